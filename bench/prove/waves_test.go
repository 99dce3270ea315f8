package prove

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/operator"
)

// Guards against a check of the budgets that misses a VM which leaves while others are out or
// suspect, and against one that fails because serving VMs do not answer polls for a while after
// the last VM had left, as when their host is overloaded.
func TestBudgetCheckAndSuspectVMs(t *testing.T) {
	const serving, draining = model.VMServing, model.VMDraining
	vm := func(name model.VM, s model.VMState, suspect bool) operator.VMStatus {
		return operator.VMStatus{Name: name, State: s, Suspect: suspect}
	}
	status := func(vms ...operator.VMStatus) *operator.Status { return &operator.Status{VMs: vms} }
	none := status(vm("a", serving, false), vm("b", serving, false), vm("c", serving, false), vm("d", serving, false))
	left := status(vm("a", draining, false), vm("b", draining, false), vm("c", serving, false), vm("d", serving, false))
	leftThenSuspect := status(vm("a", draining, false), vm("b", draining, false), vm("c", serving, true), vm("d", serving, true))
	suspect := status(vm("a", serving, false), vm("b", serving, false), vm("c", serving, true), vm("d", serving, true))
	suspectThenLeft := status(vm("a", draining, false), vm("b", serving, false), vm("c", serving, true), vm("d", serving, true))
	three := status(vm("a", draining, false), vm("b", draining, false), vm("c", draining, false), vm("d", serving, false))
	for name, c := range map[string]struct {
		samples []*operator.Status
		down    map[model.VM]bool
		bad     bool
	}{
		"within the budget":            {samples: []*operator.Status{none, left, none}},
		"suspect after the last left":  {samples: []*operator.Status{none, left, leftThenSuspect, left, none}},
		"left in the same sample":      {samples: []*operator.Status{none, leftThenSuspect}, bad: true},
		"left while others suspect":    {samples: []*operator.Status{none, suspect, suspectThenLeft}, bad: true},
		"left, suspect, and left more": {samples: []*operator.Status{none, suspectThenLeft, leftThenSuspect}, bad: true},
		"three left":                   {samples: []*operator.Status{none, three}, bad: true},
		"suspect and down":             {samples: []*operator.Status{none, left, leftThenSuspect}, down: map[model.VM]bool{"c": true}, bad: true},
	} {
		e := &Env{}
		s := newSampler(e)
		for _, v := range none.VMs {
			s.service[v.Name] = "service"
		}
		for _, st := range c.samples {
			s.judgeStatus(st, c.down)
		}
		require.Equal(t, c.bad, len(e.faults) > 0, "%s: %v", name, e.faults)
	}
}
