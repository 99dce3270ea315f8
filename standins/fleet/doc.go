// Package fleet is a stand-in of a platform on which one entry VM at a time coordinates a
// site: a store with a feed, minions that run tasks under leases, and machines that move
// between pools. It works in memory and by the clock of its process, so that tests run it
// under a fake clock. It loses and delays answers on request, and keeps a list of what no
// coordinator may ever do, see Minions.Violations.
package fleet
