// Package entry is the part of a site's entry VM that every one of them runs: it accepts
// jobs and stores them, answers callers, follows the configuration, and takes part in
// the choice of the site's coordinator. The coordinator's own work is in package
// coordinator.
//
// Ownership: the goroutine of Node.run owns the election; traffic goroutines read the
// configuration, the coordinator's address and its counts through atomic pointers.
package entry
