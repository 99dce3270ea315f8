package sitefaults

import (
	"context"
	"net/http"
	"sync"
	"time"

	"boragepulley/standins/siteplatform"
)

// configuration is a configuration of the operators and when the store took it.
type configuration struct {
	n     int
	acked time.Time
}

// configs are the configurations so far. It is safe for concurrent use.
type configs struct {
	mu   sync.Mutex
	last configuration // guarded by mu
}

func (c *configs) begin(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last.acked = at
}

func (c *configs) newest() configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// change writes the next configuration.
func (c *configs) change(p *siteplatform.Platform) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.last.n + 1
	if err := p.Configure(config(n)); err != nil {
		return err
	}
	c.last = configuration{n: n, acked: time.Now()}
	p.Note("configuration %d", n)
	return nil
}

const probePause = 100 * time.Millisecond

// probe is a request whose answer tells which configuration an entry VM follows.
type probe struct {
	what, path, key string
	// follows is the status by the newest configuration, goesBack that by the one before it.
	follows, goesBack int
}

func probes(n int) []probe {
	known := "/" + services[0] + "/short/"
	out := []probe{
		{"the new key", known, addedKey(n), http.StatusOK, http.StatusUnauthorized},
		{"the new queue", addedPrefix(n), apiKey, http.StatusOK, http.StatusNotFound},
	}
	if n > 0 {
		out = append(out, probe{"the withdrawn key", known, addedKey(n - 1), http.StatusUnauthorized, http.StatusOK},
			probe{"the withdrawn queue", addedPrefix(n - 1), apiKey, http.StatusNotFound, http.StatusOK})
	}
	return out
}

// probeConfig asks an entry VM again and again by which configuration it acts.
func (c *callers) probeConfig(ctx context.Context, e *entryVM) {
	var followed struct {
		n      int
		at     time.Time // of the first answer by configuration n
		inLife time.Time // the start of the process that gave it
	}
	for sleep(ctx, probePause) {
		now := c.configs.newest()
		for _, p := range probes(now.n) {
			began := e.startedAt()
			a := c.ask(ctx, c.client, e, http.MethodGet, p.path, p.key, nil)
			if c.configs.newest() != now || e.startedAt() != began {
				break
			}
			switch {
			// A key or queue that is refused may also be one that the process has not heard of yet.
			case a.status == p.follows && p.follows == http.StatusOK && (followed.n != now.n || followed.inLife != began):
				followed.n, followed.at, followed.inLife = now.n, time.Now(), began
			case a.status == p.goesBack:
				since := time.Duration(0)
				if followed.n == now.n && followed.inLife == began {
					since = a.sent.Sub(followed.at)
				}
				c.check.followsOlder(a, p, now, since, began)
			}
		}
	}
}

// followsOlder judges an answer by an older configuration, by a process that began then and had
// followed the newest for a time.
func (c *checker) followsOlder(a answer, p probe, newest configuration, followed time.Duration, began time.Time) {
	slack, stalled := rollbackSlack, c.stalledSince(a.sent.Add(-contact))
	if stalled || !a.from.inTouch(a.sent) {
		slack *= slowedFactor
	}
	switch late := a.sent.Sub(newest.acked); {
	case followed > slack:
		c.report("CONFIG: %s answers %d for %s of configuration %d, %v after it followed it", a.from.name, a.status, p.what, newest.n, followed.Round(time.Millisecond))
	case late > configApply && a.from.inTouch(a.sent) && !stalled:
		c.report("CONFIG: %s answers %d for %s of configuration %d, %v after its write", a.from.name, a.status, p.what, newest.n, late.Round(time.Millisecond))
	case p.goesBack == http.StatusOK && began.After(newest.acked):
		c.report("CONFIG: %s was started after configuration %d and answers %d for %s", a.from.name, newest.n, a.status, p.what)
	}
}
