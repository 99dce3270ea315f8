// Package control is the control loop of a daemon. One goroutine owns all control
// state: membership, the coordinator lease of the data centre, the configuration
// in force and, on the coordinator, the admission queue and its permits. It
// publishes immutable snapshots through an atomic pointer; traffic goroutines read
// snapshots and send events.
package control
