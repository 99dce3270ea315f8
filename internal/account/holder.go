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
	// maxHeldBytes bounds the copies that one holder keeps for all owners.
	maxHeldBytes = 32 << 20
	// ownerSilent is how long an owner may send nothing before its copies are stored: eight
	// copy intervals, above any delay of a busy entry VM. It has chosen another holder, or has ended without this entry VM
	// seeing it, as one of another data centre does.
	ownerSilent = 8 * copyInterval
)

// ErrReplicaStoreFull means that the holder has no room for another copy.
var ErrReplicaStoreFull = errors.New("account: holder full")

// Coverage is written by a holder for an owner that is gone or silent.
type Coverage struct {
	Owner
	StoredBy    model.EntryVM `json:"holder"`
	CoversUntil time.Time     `json:"covers_until"`
	// GoneSeen is when the holder saw that the owner was gone; zero if it was only silent.
	GoneSeen time.Time `json:"gone_seen"`
}

// ReplicaStore keeps copies of other entry VMs' unstored batches, and stores them when
// their owner is gone or silent. Safe for concurrent use.
type ReplicaStore struct {
	self    model.EntryVM
	objects platform.Objects
	log     zerolog.Logger

	mu    sync.Mutex // guards the fields below
	held  map[model.Incarnation]*heldCopies
	bytes int
}

type heldCopies struct {
	owner       Owner
	coversUntil time.Time
	batches     map[uint64][]byte
	goneSeen    time.Time
	heard       time.Time
}

// NewReplicaStore returns an empty holder.
func NewReplicaStore(self model.EntryVM, o platform.Objects, log zerolog.Logger) *ReplicaStore {
	return &ReplicaStore{self: self, objects: o, log: log, held: make(map[model.Incarnation]*heldCopies)}
}

// Hold keeps one copy. Errors: ErrMalformed, ErrReplicaStoreFull.
func (h *ReplicaStore) Hold(sequence uint64, payload []byte) error {
	b, err := DecodeBatch(payload)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.held[b.Incarnation]
	if c == nil {
		c = &heldCopies{owner: b.Owner, batches: make(map[uint64][]byte)}
		h.held[b.Incarnation] = c
	}
	c.heard = time.Now()
	if sequence != 0 {
		if h.bytes+len(payload) > maxHeldBytes {
			return ErrReplicaStoreFull
		}
		h.bytes += len(payload) - len(c.batches[sequence])
		c.batches[sequence] = payload
	}
	if b.CoversUntil.After(c.coversUntil) {
		c.coversUntil = b.CoversUntil
	}
	return nil
}

// Drop releases the copies of an incarnation up to and including sequence.
func (h *ReplicaStore) Drop(inc model.Incarnation, sequence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.held[inc]
	if c == nil {
		return
	}
	for s, p := range c.batches {
		if s <= sequence {
			h.bytes -= len(p)
			delete(c.batches, s)
		}
	}
}

// MarkOwnerGone marks an incarnation as gone at the given time; StoreOrphaned stores its copies. One
// of which nothing is held is named all the same: it may have lived and ended while the store
// was away, and nobody else may tell that its facts are missing.
func (h *ReplicaStore) MarkOwnerGone(owner Owner, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.held[owner.Incarnation]
	if c == nil {
		c = &heldCopies{owner: owner, batches: make(map[uint64][]byte)}
		h.held[owner.Incarnation] = c
	}
	if c.goneSeen.IsZero() {
		c.goneSeen = at
	}
}

// StoreOrphaned stores the copies of owners that are gone or silent. Copies that cannot be
// stored are kept for the next call; the first error is returned.
func (h *ReplicaStore) StoreOrphaned(ctx context.Context) error {
	var first error
	for _, c := range h.gone() {
		if err := h.storeOwner(ctx, c); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		h.forget(c)
	}
	return first
}

// Run calls StoreOrphaned once a second until ctx ends.
func (h *ReplicaStore) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := h.StoreOrphaned(ctx); err != nil {
				h.log.Warn().Err(err).Msg("Copies of a lost entry VM not stored; retrying.")
			}
		}
	}
}

func (h *ReplicaStore) gone() []heldCopies {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldCopies
	for _, c := range h.held {
		if c.goneSeen.IsZero() && time.Since(c.heard) < ownerSilent {
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

func (h *ReplicaStore) storeOwner(ctx context.Context, c heldCopies) error {
	for _, payload := range c.batches {
		b, err := DecodeBatch(payload)
		if err != nil {
			return err
		}
		if err := h.put(ctx, b.ObjectName(), payload); err != nil {
			return err
		}
	}
	cover := Coverage{Owner: c.owner, StoredBy: h.self, CoversUntil: c.coversUntil, GoneSeen: c.goneSeen}
	data, err := encode(cover)
	if err != nil {
		return err
	}
	if c.coversUntil.IsZero() {
		// All that heard of the owner say the same; one object is enough.
		err := h.put(ctx, fmt.Sprintf("%s%s/%s/gone", coveragePrefix, c.owner.Entry, c.owner.Incarnation), data)
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	}
	// An owner can fall silent more than once: each time has a name of its own.
	name := fmt.Sprintf("%s%s/%s/%s/%d", coveragePrefix, c.owner.Entry, c.owner.Incarnation, h.self, c.coversUntil.UnixMilli())
	if err := h.put(ctx, name, data); err != nil {
		return err
	}
	h.log.Info().Str("entry", string(c.owner.Entry)).Int("batches", len(c.batches)).
		Time("covers_until", c.coversUntil).Msg("Stored the copies of a lost entry VM.")
	return nil
}

func (h *ReplicaStore) put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return errors.Wrapf(h.objects.Put(ctx, platform.PriorityAccount, name, data), "account: store %s", name)
}

// forget drops the copies that were stored. What the owner sent meanwhile stays.
func (h *ReplicaStore) forget(stored heldCopies) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.held[stored.owner.Incarnation]
	if c == nil {
		return
	}
	for s, p := range stored.batches {
		if c.batches[s] != nil {
			h.bytes -= len(p)
			delete(c.batches, s)
		}
	}
	if len(c.batches) == 0 && !c.coversUntil.After(stored.coversUntil) {
		delete(h.held, stored.owner.Incarnation)
	}
}
