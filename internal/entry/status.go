package entry

import (
	"context"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/sitestatus"
)

// statusTimeout bounds the wait for the term's goroutine.
const statusTimeout = time.Second

// Status implements sitestatus.Source.
func (n *Node) Status(ctx context.Context) sitestatus.Entry {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	now := n.deps.Now()
	out := sitestatus.Entry{Name: n.deps.Self.Entry, DC: n.deps.Self.DC, Incarnation: n.deps.Self.Incarnation, Ready: n.Ready(), Stopping: n.stopping.Load()}
	if since := n.outageSince.Load(); since != 0 {
		out.StoreAwayMS = (now - time.Duration(since)).Milliseconds()
	}
	if c := n.config.Load(); c != nil {
		out.Configuration = &sitestatus.Configuration{Version: c.Version, AgeMS: time.Since(c.AppliedAt).Milliseconds()}
	}
	if v := n.coordinator.Load(); v != nil {
		out.Follows = &sitestatus.Coordinator{Name: v.name, Epoch: v.epoch, HeartbeatAgeMS: (now - v.lastHeartbeat).Milliseconds(), Released: v.released}
	}
	if t := n.term.Load(); t != nil {
		out.Term = t.Status(ctx)
	}
	return out
}

// Job implements sitestatus.Source.
func (n *Node) Job(ctx context.Context, id jobs.ID) (sitestatus.Job, bool) {
	t := n.term.Load()
	if t == nil {
		return sitestatus.Job{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return t.Job(ctx, id)
}
