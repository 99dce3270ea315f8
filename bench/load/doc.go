// Package load is the callers of an experiment: an open-loop generator with the
// users' load profile, callers that keep their own account of every request, and the
// comparison of that account with the minions' run counts and the system's report.
package load
