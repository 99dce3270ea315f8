package account

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// maxHeldBytes bounds the copies that one holder keeps for all owners.
const maxHeldBytes = 32 << 20

// ErrHolderFull means that the holder has no room for another copy.
var ErrHolderFull = errors.New("account: holder full")

// Coverage is written by a holder for an owner that is gone.
type Coverage struct {
	Owner
	Holder      model.EntryVM `json:"holder"`
	CoversUntil time.Time     `json:"covers_until"`
	// GoneSeen is when the holder saw that the owner was gone.
	GoneSeen time.Time `json:"gone_seen"`
}

// Holder keeps copies of other entry VMs' unstored batches, and stores them when
// their owner is gone. Safe for concurrent use.
type Holder struct {
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
}

// NewHolder returns an empty holder.
func NewHolder(self model.EntryVM, o platform.Objects, log zerolog.Logger) *Holder {
	return &Holder{self: self, objects: o, log: log, held: make(map[model.Incarnation]*heldCopies)}
}

// Hold keeps one copy. Errors: ErrMalformed, ErrHolderFull.
func (h *Holder) Hold(sequence uint64, payload []byte) error {
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
	if sequence != 0 {
		if h.bytes+len(payload) > maxHeldBytes {
			return ErrHolderFull
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
func (h *Holder) Drop(inc model.Incarnation, sequence uint64) {
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

// OwnerGone marks an incarnation as gone at the given time; StoreGone stores its copies.
func (h *Holder) OwnerGone(inc model.Incarnation, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.held[inc]; c != nil && c.goneSeen.IsZero() {
		c.goneSeen = at
	}
}

// StoreGone stores the copies of owners that are gone. Copies that cannot be stored
// are kept for the next call.
func (h *Holder) StoreGone(ctx context.Context) error {
	for _, c := range h.gone() {
		if err := h.storeOwner(ctx, c); err != nil {
			return err
		}
		h.forget(c.owner.Incarnation)
	}
	return nil
}

// Run calls StoreGone once a second until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := h.StoreGone(ctx); err != nil {
				h.log.Warn().Err(err).Msg("Copies of a lost entry VM not stored; retrying.")
			}
		}
	}
}

func (h *Holder) gone() []heldCopies {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []heldCopies
	for _, c := range h.held {
		if c.goneSeen.IsZero() {
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

func (h *Holder) storeOwner(ctx context.Context, c heldCopies) error {
	for _, payload := range c.batches {
		b, err := DecodeBatch(payload)
		if err != nil {
			return err
		}
		if err := h.put(ctx, b.ObjectName(), payload); err != nil {
			return err
		}
	}
	cover := Coverage{Owner: c.owner, Holder: h.self, CoversUntil: c.coversUntil, GoneSeen: c.goneSeen}
	data, err := encode(cover)
	if err != nil {
		return err
	}
	name := coveragePrefix + string(c.owner.Entry) + "/" + string(c.owner.Incarnation) + "/" + string(h.self)
	if err := h.put(ctx, name, data); err != nil {
		return err
	}
	h.log.Info().Str("entry", string(c.owner.Entry)).Int("batches", len(c.batches)).
		Time("covers_until", c.coversUntil).Msg("Stored the copies of a lost entry VM.")
	return nil
}

func (h *Holder) put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return errors.Wrapf(h.objects.Put(ctx, platform.PriorityAccount, name, data), "account: store %s", name)
}

func (h *Holder) forget(inc model.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.held[inc]
	if c == nil {
		return
	}
	for _, p := range c.batches {
		h.bytes -= len(p)
	}
	delete(h.held, inc)
}
