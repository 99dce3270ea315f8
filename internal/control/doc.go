// Package control implements the control loop of a daemon. One goroutine owns all
// control state: membership, the coordinator lease of the data centre, the
// configuration in force and, on the coordinator, the admission queue and its permits.
// It publishes immutable snapshots through an atomic pointer. Goroutines that handle
// requests read the snapshots and send events to the loop.
package control
