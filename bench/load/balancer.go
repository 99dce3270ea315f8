package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval is how often the balancer asks each entry VM whether it is ready.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Balancer stands for the platform's balancer: it sends new requests to entry VMs
// that are ready, in turn.
type Balancer struct {
	client *http.Client

	mu    sync.Mutex // guards the fields below
	addrs map[string]string
	ready []string
	next  int
}

// NewBalancer returns a balancer over entry VMs (name to caller address).
func NewBalancer(addrs map[string]string) *Balancer {
	return &Balancer{addrs: addrs, client: &http.Client{
		Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Run probes the entry VMs until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		b.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *Balancer) probe(ctx context.Context) {
	b.mu.Lock()
	addrs := make(map[string]string, len(b.addrs))
	for n, a := range b.addrs {
		addrs[n] = a
	}
	b.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ready []string
	for name, addr := range addrs {
		wg.Go(func() {
			if b.isReady(ctx, addr) {
				mu.Lock()
				ready = append(ready, name)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *Balancer) isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// Pick returns the next ready entry VM and its address; ok is false if none is ready.
func (b *Balancer) Pick() (name, addr string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", "", false
	}
	b.next++
	name = b.ready[b.next%len(b.ready)]
	return name, b.addrs[name], true
}

// Ready returns the number of ready entry VMs.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// AwaitReady waits until n entry VMs are ready. Error: ctx's.
func (b *Balancer) AwaitReady(ctx context.Context, n int) error {
	tick := time.NewTicker(probeInterval / 2)
	defer tick.Stop()
	for b.Ready() < n {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
