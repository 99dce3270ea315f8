package maintenance

import "boragepulley/internal/model"

// BudgetTracker counts VMs that are out of service against the availability budgets, for other
// planners that take VMs out of service.
type BudgetTracker struct{ ledger *ledger }

// NewBudgetTracker returns the count for the budgets of a snapshot. It includes every VM of the
// snapshot that does not serve, does not answer or is drained by configuration.
func NewBudgetTracker(s Snapshot) *BudgetTracker {
	o := &BudgetTracker{ledger: newLedger(&s)}
	for i := range s.VMs {
		if v := &s.VMs[i]; v.State != model.VMServing || v.Suspect || v.Drained {
			o.ledger.count(v)
		}
	}
	return o
}

// Allows reports whether every budget of the VM's service allows one more VM in its place
// to be out of service; otherwise it returns the narrowest budget that does not.
func (o *BudgetTracker) Allows(v VM) (reason Reason, detail string, ok bool) {
	b, ok := o.ledger.room(&v)
	return b.reason, b.detail, ok
}

// Add enters a VM that is going out of service.
func (o *BudgetTracker) Add(v VM) { o.ledger.count(&v) }
