// Package admission decides which requests of a data centre may start. It implements the
// coordinator's admission state machine: it keeps the waiting requests (metadata only) and
// the permits in use, and returns effects for each event: grants, refusals and forwards to
// other data centres.
//
// The package does no I/O and is deterministic: it reads no clock and uses no random
// numbers; the time is passed in. All calls come from the coordinator's control goroutine,
// so there are no locks. Times passed to successive calls must not decrease.
package admission
