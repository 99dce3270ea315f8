// Package mutants shows that the scenarios of package prove can fail: it breaks one rule
// of the daemon at a time in a copy of the module, builds the daemon from the copy, and
// runs the scenario that must notice.
package mutants
