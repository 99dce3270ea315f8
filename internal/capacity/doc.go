// Package capacity decides which machines each service holds while demand goes from queue
// to queue: a queue asks for several times its mean for some seconds, then for nearly
// nothing. Machines that nobody needs wait in a standby pool, where they cost nothing,
// and come back before a rising demand is at its highest.
//
// A plan is a pure function of a Snapshot; what has to be remembered of demand is kept by
// a Demand per service.
//
// Invariants of a plan:
//   - Only machines on which nothing runs are moved.
//   - No service is left with less than it needs now and its reserve.
package capacity
