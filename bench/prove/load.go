package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"boragepulley/bench/load"
	"boragepulley/bench/sites"
)

// Mix describes the ordinary load of a scenario.
type Mix struct {
	// Rate is the mean rate per queue in requests per second.
	Rate float64
	// Run is the longest run time of a request.
	Run time.Duration
	// Deadline of each request; 0 selects 6 s.
	Deadline time.Duration
	// Steady leaves the bursts out.
	Steady bool
	// NonIdempotent is the part of requests marked so, from 0 to 1; half of them carry a
	// request id.
	NonIdempotent float64
	// Repeat is the part of requests with an id that are sent a second time at once
	// through another entry VM.
	Repeat float64
}

// maxInFlight bounds the requests of a scenario that wait for answers.
const maxInFlight = 600

// defaultMix is a moderate load of all kinds of requests.
func defaultMix() Mix {
	return Mix{Rate: 10, Run: 150 * time.Millisecond, NonIdempotent: 0.4, Repeat: 0.3}
}

// Load puts load on the cluster until the returned function is called, which waits for
// the last answers.
func (e *Env) Load(ctx context.Context, m Mix) (stop func()) {
	if m.Deadline == 0 {
		m.Deadline = 6 * time.Second
	}
	p := load.Profile{Burst: time.Second, Steady: m.Steady, Seed: e.Seed, MaxInFlight: maxInFlight}
	for q := range e.Site.Services {
		p.Streams = append(p.Streams, load.Stream{
			Queue: string(sites.QueueName(q)), Mean: m.Rate,
			Next: func(r *rand.Rand) load.Request { return e.request(ctx, r, q, m) },
		})
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx, e.Callers)
	}()
	return func() {
		cancel()
		<-done
	}
}

// teams of a scenario's site.
const teams = 6

func (e *Env) request(ctx context.Context, r *rand.Rand, queue int, m Mix) load.Request {
	team := r.IntN(teams)
	req := load.Request{
		Queue: string(sites.QueueName(queue)), Team: string(sites.TeamName(team)), Key: sites.KeyText(team),
		Idempotent: r.Float64() >= m.NonIdempotent, Urgent: r.IntN(5) == 0,
		Run: time.Duration(1 + r.Int64N(int64(m.Run))), Deadline: m.Deadline, AnswerBytes: r.IntN(3000),
	}
	if !req.Idempotent && r.IntN(2) == 0 {
		req.RequestID = fmt.Sprintf("id-%d-%d", e.Seed, r.Uint64())
		req.Content = 1 + r.Int64N(1<<52)
		if r.Float64() < m.Repeat {
			again := req
			go e.Callers.Do(context.WithoutCancel(ctx), again)
		}
	}
	return req
}

// Wait pauses the scenario, which injects nothing meanwhile.
func (e *Env) Wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
