package minion

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// TagStats is the concurrency of the requests with one tag over all minions.
type TagStats struct {
	Tag string `json:"tag"`
	// Now and Max are the running requests, now and at most since the last reset.
	Now int `json:"now"`
	Max int `json:"max"`
	// SlotMS is the integral of the running requests since the last reset, in slot milliseconds.
	SlotMS float64 `json:"slot_ms"`
	Starts int64   `json:"starts"`
}

// tagGauge records concurrency by tag exactly, at every start and end.
type tagGauge struct {
	mu   sync.Mutex
	tags map[string]*tagState // guarded by mu
}

type tagState struct {
	TagStats
	since time.Time
}

func newTagGauge() *tagGauge { return &tagGauge{tags: map[string]*tagState{}} }

// enter counts a start; the returned function counts its end.
func (g *tagGauge) enter(tag string) (leave func()) {
	g.change(tag, 1)
	return func() { g.change(tag, -1) }
}

func (g *tagGauge) change(tag string, by int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	t := g.tags[tag]
	if t == nil {
		t = &tagState{TagStats: TagStats{Tag: tag}, since: now}
		g.tags[tag] = t
	}
	t.settle(now)
	t.Now += by
	t.Max = max(t.Max, t.Now)
	if by > 0 {
		t.Starts++
	}
}

func (t *tagState) settle(now time.Time) {
	t.SlotMS += float64(t.Now) * float64(now.Sub(t.since)) / float64(time.Millisecond)
	t.since = now
}

func (g *tagGauge) stats() []TagStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	out := make([]TagStats, 0, len(g.tags))
	for _, t := range g.tags {
		t.settle(now)
		out = append(out, t.TagStats)
	}
	slices.SortFunc(out, func(a, b TagStats) int { return cmp.Compare(a.Tag, b.Tag) })
	return out
}

func (g *tagGauge) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, t := range g.tags {
		t.SlotMS, t.Starts, t.Max, t.since = 0, 0, t.Now, now
	}
}
