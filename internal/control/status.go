package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"boragepulley/internal/admission"
	"boragepulley/internal/guard"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// ConfigStatus tells at which entry VMs a configuration version is in force.
type ConfigStatus struct {
	Version uint64 `json:"version"`
	// InForce is the number of entry VMs, out of Total, with this version or a later one
	// in force.
	InForce int                 `json:"in_force"`
	Total   int                 `json:"total"`
	Missing []EntryConfigStatus `json:"missing,omitempty"`
}

// Everywhere reports whether the version is in force at all entry VMs.
func (s ConfigStatus) Everywhere() bool { return s.InForce == s.Total }

// EntryConfigStatus describes an entry VM at which a version is not known to be in force.
type EntryConfigStatus struct {
	Entry model.EntryVM `json:"entry"`
	// Version is the highest version that it has reported; 0 if it never did.
	Version uint64 `json:"version"`
	// Since is when it last reported anything; zero if it never did.
	Since  time.Time `json:"since"`
	Reason string    `json:"reason"`
}

// ConfigStatus asks all entry VMs which version they have in force. It waits for at most
// one second, or until ctx ends.
func (c *Control) ConfigStatus(ctx context.Context, version uint64) ConfigStatus {
	s := c.Snapshot()
	out := ConfigStatus{Version: version, Total: len(c.peerClients) + 1}
	if s.Document != nil && s.Document.Version >= version {
		out.InForce++
	} else {
		out.Missing = append(out.Missing, EntryConfigStatus{Entry: c.self.Entry, Since: time.Now(), Reason: "not in force yet"})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, r := range c.peerClients {
		wg.Go(func() {
			// No peer has a higher version than this, so none sends its document.
			reply, err := askPeer(c, func() (*peer.ConfigGetReply, error) {
				return r.ConfigGet(ctx, &peer.ConfigGet{From: c.self, Version: 1<<63 - 1})
			})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				p := s.Peers[name]
				out.Missing = append(out.Missing, EntryConfigStatus{Entry: name, Version: p.Config, Since: p.LastHeard, Reason: err.Error()})
			case reply.Version >= version:
				out.InForce++
			default:
				out.Missing = append(out.Missing, EntryConfigStatus{Entry: name, Version: reply.Version, Since: time.Now(), Reason: "not in force yet"})
			}
		})
	}
	wg.Wait()
	sort.Slice(out.Missing, func(i, j int) bool { return out.Missing[i].Entry < out.Missing[j].Entry })
	return out
}

// askPeer returns what f returns, or guard.ErrPanic if it panics.
func askPeer[R any](c *Control, f func() (*R, error)) (reply *R, err error) {
	if failed := guard.Recover(c.log, "status of a peer", func() { reply, err = f() }); failed != nil {
		return nil, failed
	}
	return reply, err
}

// CoordinatorStatus is the coordinator's view of its data centre.
type CoordinatorStatus struct {
	Token   model.Token            `json:"token"`
	Local   bool                   `json:"local"`
	Usage   admission.Usage        `json:"usage"`
	Minions []admission.MinionInfo `json:"minions"`
	Permits []model.Permit         `json:"permits,omitempty"`
}

// CoordinatorStatus returns the status if this entry VM is the coordinator, otherwise
// peer.ErrNotCoordinator.
func (c *Control) CoordinatorStatus(ctx context.Context) (CoordinatorStatus, error) {
	return callOnLoop(ctx, c, func() (CoordinatorStatus, error) {
		if c.coord == nil {
			return CoordinatorStatus{}, peer.ErrNotCoordinator
		}
		a := c.coord.admission
		return CoordinatorStatus{Token: c.following.token, Local: c.coord.local, Usage: a.Usage(time.Now()),
			Minions: a.Minions(), Permits: a.Permits()}, nil
	})
}
