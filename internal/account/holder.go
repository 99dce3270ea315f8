package account

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	// maxReplicaBytes is the maximum total size of the replicas for all owners.
	maxReplicaBytes = 32 << 20
	// ownerSilenceTimeout is how long an owner may send nothing before its replicas are
	// stored. It is eight replication intervals, more than any delay of a busy entry VM. A
	// silent owner replicates to another entry VM now, or it has ended unnoticed: this entry
	// VM does not see the processes of other data centres end.
	ownerSilenceTimeout = 8 * replicateInterval
)

// ErrReplicaStoreFull means that the store has no space for another replica.
var ErrReplicaStoreFull = errors.New("account: replica store full")

// Coverage is stored along with the replicas of an owner that has ended or is silent. It
// says how far they reach.
type Coverage struct {
	Owner
	StoredBy    model.EntryVM `json:"holder"`
	CoversUntil time.Time     `json:"covers_until"`
	// LastSequence is the last sequence number that is known to exist. The holder need not have all
	// batches up to it: an earlier process under its name may have received them.
	LastSequence uint64 `json:"last_sequence,omitempty"`
	// GoneSeen is when the entry VM StoredBy noticed that the owner had ended; zero if the
	// owner was only silent.
	GoneSeen time.Time `json:"gone_seen"`
}

// ReplicaStore keeps replicas of other entry VMs' unstored batches in memory, and writes
// them to the object store when their owner has ended or is silent. It is safe for
// concurrent use.
type ReplicaStore struct {
	self    model.EntryVM
	objects platform.Objects
	log     zerolog.Logger

	mu            sync.Mutex // guards the fields below
	byIncarnation map[model.Incarnation]*ownerReplicas
	size          int
	// withdrawn holds the incarnations that were reported as gone and then seen alive.
	withdrawn map[model.Incarnation]bool
}

type ownerReplicas struct {
	owner        Owner
	coversUntil  time.Time
	lastSequence uint64
	batches      map[uint64][]byte
	goneSeen     time.Time
	lastReceived time.Time
}

// NewReplicaStore returns an empty replica store.
func NewReplicaStore(self model.EntryVM, o platform.Objects, log zerolog.Logger) *ReplicaStore {
	return &ReplicaStore{self: self, objects: o, log: log, byIncarnation: make(map[model.Incarnation]*ownerReplicas),
		withdrawn: make(map[model.Incarnation]bool)}
}

// Hold keeps one replica. Sequence 0 only extends the covered time. Errors: ErrMalformed,
// ErrReplicaStoreFull.
func (r *ReplicaStore) Hold(sequence uint64, payload []byte) error {
	b, err := DecodeBatch(payload)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byIncarnation[b.Incarnation]
	if c == nil {
		c = &ownerReplicas{owner: b.Owner, batches: make(map[uint64][]byte)}
		r.byIncarnation[b.Incarnation] = c
	}
	c.lastReceived = time.Now()
	if sequence != 0 {
		size := r.size + len(payload) - len(c.batches[sequence])
		if size > maxReplicaBytes {
			return ErrReplicaStoreFull
		}
		r.size = size
		c.batches[sequence] = payload
	}
	if b.CoversUntil.After(c.coversUntil) {
		c.coversUntil = b.CoversUntil
	}
	last := sequence
	if sequence == 0 {
		last = b.First - 1 // the batch is open, all before it are closed
	}
	c.lastSequence = max(c.lastSequence, last)
	return nil
}

// Drop removes the replicas of an incarnation up to and including sequence.
func (r *ReplicaStore) Drop(inc model.Incarnation, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byIncarnation[inc]
	if c == nil {
		return
	}
	for s, p := range c.batches {
		if s <= sequence {
			r.size -= len(p)
			delete(c.batches, s)
		}
	}
}

// MarkOwnerGone records that an incarnation ended at the given time; StoreOrphaned then
// stores its replicas. An incarnation without replicas is recorded too: it may have started
// and ended while the object store was unavailable, and then this is possibly the only
// evidence that its facts are missing.
func (r *ReplicaStore) MarkOwnerGone(owner Owner, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byIncarnation[owner.Incarnation]
	if c == nil {
		c = &ownerReplicas{owner: owner, batches: make(map[uint64][]byte)}
		r.byIncarnation[owner.Incarnation] = c
	}
	if c.goneSeen.IsZero() {
		c.goneSeen = at
	}
}

// WithdrawOwnerGone undoes MarkOwnerGone for an incarnation that turned out to be running. If the
// end is stored already, a later MarkOwnerGone replaces it in the report.
func (r *ReplicaStore) WithdrawOwnerGone(inc model.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn[inc] = true
	c := r.byIncarnation[inc]
	switch {
	case c == nil:
	case len(c.batches) == 0 && c.coversUntil.IsZero():
		delete(r.byIncarnation, inc)
	default:
		c.goneSeen, c.lastReceived = time.Time{}, time.Now()
	}
}

// StoreOrphaned stores the replicas of owners that have ended or are silent. Replicas that
// cannot be stored are kept for the next call; the first error is returned.
func (r *ReplicaStore) StoreOrphaned(ctx context.Context) error {
	var first error
	for _, c := range r.orphaned() {
		if err := r.storeOwner(ctx, c); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		r.removeStored(c)
	}
	return first
}

// Run calls StoreOrphaned once a second until ctx ends.
func (r *ReplicaStore) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := r.StoreOrphaned(ctx); err != nil {
				r.log.Warn().Err(err).Msg("Replicas of a lost entry VM not stored; retrying.")
			}
		}
	}
}

func (r *ReplicaStore) orphaned() []ownerReplicas {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ownerReplicas
	for _, c := range r.byIncarnation {
		if c.goneSeen.IsZero() && time.Since(c.lastReceived) < ownerSilenceTimeout {
			continue
		}
		g := *c
		g.batches = make(map[uint64][]byte, len(c.batches))
		for s, p := range c.batches {
			g.batches[s] = p
		}
		out = append(out, g)
	}
	return out
}

func (r *ReplicaStore) storeOwner(ctx context.Context, c ownerReplicas) error {
	for _, payload := range c.batches {
		b, err := DecodeBatch(payload)
		if err != nil {
			return err
		}
		if err := r.put(ctx, b.ObjectName(), payload); err != nil {
			return err
		}
	}
	coverage := Coverage{Owner: c.owner, StoredBy: r.self, CoversUntil: c.coversUntil, LastSequence: c.lastSequence, GoneSeen: c.goneSeen}
	data, err := encode(coverage)
	if err != nil {
		return err
	}
	if c.coversUntil.IsZero() {
		// Every entry VM that noticed the end would store the same fact; one object is enough. An
		// end that replaces an earlier one is another fact.
		name := fmt.Sprintf("%s%s/%s/gone", coveragePrefix, c.owner.Entry, c.owner.Incarnation)
		if r.wasWithdrawn(c.owner.Incarnation) {
			name = fmt.Sprintf("%s/%s/%d", name, r.self, c.goneSeen.UnixMilli())
		}
		err := r.put(ctx, name, data)
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	}
	// An owner can become silent more than once; the time in the name keeps these apart.
	name := fmt.Sprintf("%s%s/%s/%s/%d", coveragePrefix, c.owner.Entry, c.owner.Incarnation, r.self, c.coversUntil.UnixMilli())
	if err := r.put(ctx, name, data); err != nil {
		return err
	}
	r.log.Info().Str("entry", string(c.owner.Entry)).Int("batches", len(c.batches)).
		Time("covers_until", c.coversUntil).Msg("Stored the replicas of a lost entry VM.")
	return nil
}

func (r *ReplicaStore) wasWithdrawn(inc model.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withdrawn[inc]
}

func (r *ReplicaStore) put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return errors.Wrapf(r.objects.Put(ctx, platform.PriorityAccount, name, data), "account: store %s", name)
}

// removeStored removes the replicas that were stored. Those that the owner sent in the
// meantime are kept.
func (r *ReplicaStore) removeStored(stored ownerReplicas) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byIncarnation[stored.owner.Incarnation]
	if c == nil {
		return
	}
	for s, p := range stored.batches {
		if c.batches[s] != nil {
			r.size -= len(p)
			delete(c.batches, s)
		}
	}
	if len(c.batches) == 0 && !c.coversUntil.After(stored.coversUntil) {
		delete(r.byIncarnation, stored.owner.Incarnation)
	}
}
