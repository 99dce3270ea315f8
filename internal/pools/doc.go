// Package pools plans the moves of VMs between the pools of one data centre: which VM to
// lend to which pool, which one to give back, and why a pool that needs a VM gets none.
//
// Load comes in bursts that are shorter than a move, so demand counts only when it has
// lasted longer than a move takes and the expected gain exceeds the cost of moving a VM
// there and back. The plan is a pure function of a snapshot; what has to be remembered
// about demand is kept by a Tracker per service.
package pools
