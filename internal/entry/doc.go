// Package entry implements what every entry VM of a site does: it accepts and stores jobs, answers
// callers, follows the operators' configuration, and takes part in the election of the site's
// coordinator. The work of the coordinator is in package coordinator.
//
// Concurrency: the goroutine of Node.elect owns the state of the election. Goroutines that serve
// requests read the configuration, the coordinator's address and its counts through atomic
// pointers.
package entry
