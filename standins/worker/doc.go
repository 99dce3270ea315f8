// Package worker is a stand-in of the platform's workers. It keeps the contract of
// docs/design.md ("Minion and worker contracts"): tasks under leases, usage reports with a
// lag, checkpoint, throttle and stop.
package worker
