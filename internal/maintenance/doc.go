// Package maintenance plans the maintenance waves of one data centre within the
// availability budgets: which VMs to drain, to reboot and to return to service now, and
// why each other VM has to wait.
//
// The plan is a pure function of a snapshot. Nothing is remembered between plans, so a
// new coordinator continues a wave from the VM states in the table.
package maintenance
