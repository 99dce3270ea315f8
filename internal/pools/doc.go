// Package pools plans the moves of VMs between the pools of one data centre: which VM to
// lend to which pool, which one to return, and why a pool that needs a VM gets none.
//
// Load comes in bursts that are shorter than a move. A VM is therefore lent only if demand
// has lasted longer than a move takes and the expected gain exceeds the cost of moving the VM
// there and back. The plan is a pure function of a snapshot; a Tracker per service keeps the
// history of demand.
package pools
