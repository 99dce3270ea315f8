package maintenance

import (
	"cmp"
	"fmt"
	"slices"

	"boragepulley/internal/model"
)

// pause looks for a correlated failure: two or more VMs of one rack that failed within
// FailureWindow. It holds while one of them is still failed, and for the cooldown after the
// newest of these failures.
func pause(s *Snapshot) (detail string, paused bool) {
	cooldown := s.Cooldown
	if cooldown == 0 {
		cooldown = Cooldown
	}
	failed := make(map[model.VM]bool)
	for i := range s.VMs {
		if s.VMs[i].State == model.VMFailed {
			failed[s.VMs[i].Name] = true
		}
	}
	fs := slices.Clone(s.Failures)
	slices.SortFunc(fs, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), a.At.Compare(b.At), cmp.Compare(a.VM, b.VM))
	})
	for i, f := range fs {
		for _, g := range fs[i+1:] {
			if g.Rack != f.Rack || g.At.Sub(f.At) > FailureWindow {
				break
			}
			if g.VM != f.VM && (failed[f.VM] || failed[g.VM] || s.Now.Sub(g.At) < cooldown) {
				return fmt.Sprintf("VMs %s and %s of rack %s failed within %s", f.VM, g.VM, f.Rack, FailureWindow), true
			}
		}
	}
	return "", false
}
