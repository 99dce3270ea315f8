package daemon

import (
	"context"
	"time"

	"boragepulley/internal/account"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
)

// watchInterval is how often the membership is compared with the last one.
const watchInterval = 200 * time.Millisecond

// watchMembers tells the holder of record copies which processes are gone, until ctx ends.
func watchMembers(ctx context.Context, snapshot func() *control.Snapshot, h *account.ReplicaStore) {
	last := make(map[model.EntryVM]model.Incarnation)
	gone := make(map[model.Incarnation]bool)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		for name, p := range snapshot().Peers {
			old := last[name]
			if old == p.Incarnation {
				continue
			}
			last[name] = p.Incarnation
			if old != "" {
				gone[old] = true
				h.MarkOwnerGone(account.Owner{Entry: name, DC: p.DC, Incarnation: old}, time.Now())
			}
			if gone[p.Incarnation] {
				delete(gone, p.Incarnation)
				h.WithdrawOwnerGone(p.Incarnation)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
