package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burstFactor and idleFactor are the users' profile: each queue in turn asks for
	// five times its mean, and for a twentieth in between.
	burstFactor = 5.0
	idleFactor  = 1.0 / 20
)

// Stream is the load of one queue.
type Stream struct {
	Queue string
	// Mean is the mean rate in requests per second.
	Mean float64
	// Next makes the next request.
	Next func(*rand.Rand) Request
}

// Profile runs streams whose bursts follow each other.
type Profile struct {
	Streams []Stream
	// Burst is how long each queue's burst lasts.
	Burst time.Duration
	// Steady sends each stream at its mean without bursts.
	Steady bool
	Seed   uint64
	// MaxInFlight bounds the requests of all streams that wait for an answer.
	MaxInFlight int
}

// Run sends requests until ctx ends, and returns when all of them are answered. The
// requests themselves are bounded by their deadlines, not by ctx.
func (p Profile) Run(ctx context.Context, c *Callers) {
	limit := make(chan struct{}, max(p.MaxInFlight, 1))
	var wg sync.WaitGroup
	for i, s := range p.Streams {
		wg.Go(func() { p.runStream(ctx, c, i, s, limit, &wg) })
	}
	wg.Wait()
}

func (p Profile) runStream(ctx context.Context, c *Callers, index int, s Stream, limit chan struct{}, wg *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(p.Seed, uint64(index)))
	start := time.Now()
	for {
		wait := time.Duration(rnd.ExpFloat64() / p.rate(index, s.Mean, time.Since(start)) * float64(time.Second))
		// A pause is cut short at a quarter of a burst and drawn again, so that the next
		// phase's rate soon holds; exponential pauses have no memory, so this is exact.
		pause := min(wait, p.redraw())
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if wait > pause {
			continue
		}
		r := s.Next(rnd)
		select {
		case limit <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-limit }()
			c.Do(context.WithoutCancel(ctx), r)
		})
	}
}

// rate returns the stream's rate in requests per second at a time since the start.
func (p Profile) rate(index int, mean float64, since time.Duration) float64 {
	if p.Steady || p.Burst == 0 {
		return mean
	}
	turn := int(since/p.Burst) % len(p.Streams)
	if turn == index {
		return mean * burstFactor
	}
	return mean * idleFactor
}

func (p Profile) redraw() time.Duration {
	if p.Burst == 0 {
		return time.Second
	}
	return p.Burst / 4
}
