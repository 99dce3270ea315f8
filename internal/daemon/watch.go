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
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		for name, p := range snapshot().Peers {
			if old := last[name]; old != "" && old != p.Incarnation {
				h.MarkOwnerGone(account.Owner{Entry: name, DC: p.DC, Incarnation: old}, time.Now())
			}
			last[name] = p.Incarnation
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
