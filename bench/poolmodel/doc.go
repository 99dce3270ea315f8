// Package poolmodel compares policies for moves of VMs between pools with a small
// discrete-time model of the slots and queues of one site. It has no processes, network or
// faults; the policy and the maintenance waves are planned by the packages of the product.
package poolmodel
