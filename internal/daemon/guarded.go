package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"boragepulley/internal/guard"
)

// restartDelay is the pause before a background task is restarted after a panic.
const restartDelay = time.Second

// runUntilDone runs a background task that returns when ctx ends, and restarts it after a panic.
func runUntilDone(ctx context.Context, log zerolog.Logger, what string, f func(context.Context)) {
	for guard.Recover(log, what, func() { f(ctx) }) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}

// parallel runs the parts of an operation at the same time.
type parallel struct {
	log zerolog.Logger
	g   errgroup.Group
}

// run runs f in its own goroutine.
func (p *parallel) run(what string, f func()) {
	p.g.Go(func() error { return guard.Recover(p.log, what, f) })
}

// wait waits for all parts. Error: guard.ErrPanic if one of them panicked.
func (p *parallel) wait() error { return p.g.Wait() }
