// Package admission decides which requests of a data centre may start. It is the
// state machine behind the coordinator: it holds the waiting requests (metadata
// only) and the outstanding permits, and answers each event with effects: grants,
// refusals and redirects to other data centres.
//
// The package does no I/O, reads no clock and uses no random numbers: the time is an
// argument. The coordinator's control goroutine owns the state and makes all calls, so
// there are no locks. Times passed to successive calls must not decrease.
package admission
