package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/logging"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// attemptLinesPerSecond and attemptLineBurst bound the log lines about attempts.
	attemptLinesPerSecond, attemptLineBurst = 50, 200
	// attemptTTL is the shortest time for which an attempt is remembered: callers try up to five
	// times and are asked to wait at most maxRetryAfter in between.
	attemptTTL = 30 * time.Second
	// maxAttempts bounds the attempts of one generation.
	maxAttempts = 8192
	// attemptCheckTimeout bounds the question to the coordinator before a job is rejected.
	attemptCheckTimeout = 100 * time.Millisecond
	// attemptNoticeTimeout bounds a message about an attempt with an unknown outcome.
	attemptNoticeTimeout = 300 * time.Millisecond
)

// attempts remembers the jobs of recent attempts whose rows are or may be stored, by this entry VM
// or by another one that has sent a notice. It is empty once lines is set.
type attempts struct {
	mu sync.Mutex
	// current and previous map ids to whether the job is certainly stored.
	current, previous map[jobs.ID]bool // guarded by mu
	startedAt         time.Duration    // guarded by mu; when current was created
	// inProgress counts the attempts that are being stored.
	inProgress map[jobs.ID]int // guarded by mu
	// lines bounds the log lines about attempts and cancellations whose job is not stored.
	lines *logging.Limiter
}

// record notes an attempt. An attempt with an unknown outcome does not replace a stored one.
func (a *attempts) record(id jobs.ID, stored bool, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || now-a.startedAt > attemptTTL || len(a.current) >= maxAttempts {
		a.current, a.previous, a.startedAt = map[jobs.ID]bool{}, a.current, now
	}
	a.current[id] = stored || a.current[id] || a.previous[id]
}

// begin notes an attempt whose row may be stored from now on, until end is called: when its outcome is
// recorded, or it has certainly failed.
func (a *attempts) begin(id jobs.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inProgress == nil {
		a.inProgress = map[jobs.ID]int{}
	}
	a.inProgress[id]++
}

func (a *attempts) end(id jobs.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inProgress[id]--; a.inProgress[id] <= 0 {
		delete(a.inProgress, id)
	}
}

// lookup reports whether an attempt is remembered and whether its job is certainly stored.
func (a *attempts) lookup(id jobs.ID) (stored, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stored, known = a.current[id]; known {
		return stored, true
	}
	stored, known = a.previous[id]
	return stored, known || a.inProgress[id] > 0
}

// earlierAttempt reports whether the job of a request that cannot be stored now is, or may be,
// stored by an earlier attempt with the same id. answered is false if no coordinator that knows all
// announced jobs has answered.
func (n *Node) earlierAttempt(ctx context.Context, id jobs.ID) (stored, mayBe, answered bool) {
	stored, mayBe = n.attempts.lookup(id)
	if stored {
		return true, true, true
	}
	ctx, cancel := context.WithTimeout(ctx, attemptCheckTimeout)
	defer cancel()
	_, stored, answered = n.stateFromCoordinator(ctx, id)
	return stored, mayBe || stored, answered
}

// recordUncertain notes an attempt with an unknown outcome and informs the other entry VMs, at which
// the caller may try again.
func (n *Node) recordUncertain(id jobs.ID) {
	n.attempts.record(id, false, n.deps.Now())
	if suppressed, ok := n.attempts.lines.Allow(); ok {
		n.log.Info().Str("job", string(id)).Int64("suppressed", suppressed).Msg("Entry: the outcome of an attempt to store a job is unknown; telling the other entry VMs.")
	}
	members := n.members.Load()
	if members == nil {
		return
	}
	for name, m := range *members {
		if name == n.deps.Self.Entry {
			continue
		}
		n.runOnce("a notice of an attempt", func() {
			ctx, cancel := context.WithTimeout(n.ctx, attemptNoticeTimeout)
			defer cancel()
			if _, err := n.dial(name, m.Addr).JobUncertain(ctx, &peer.JobRequest{From: n.deps.Self, Job: string(id)}); err != nil {
				n.log.Debug().Err(err).Str("job", string(id)).Str("to", string(name)).Msg("Entry: notice of an attempt not delivered.")
			}
		})
	}
}

// uncertainTable calls onUncertain as soon as the outcome of a commit is unknown, which is before
// it is read back.
type uncertainTable struct {
	platform.Table
	onUncertain func()
}

// Commit implements platform.Table.
func (t uncertainTable) Commit(ctx context.Context, p platform.Priority, x platform.Txn) (map[string]uint64, error) {
	v, err := t.Table.Commit(ctx, p, x)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		t.onUncertain()
	}
	return v, err
}
