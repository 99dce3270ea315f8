package platform

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// burstSeconds is the burst of a budget, in seconds of its rate.
const burstSeconds = 2

var errBudgetWait = errors.New("no token in time")

// budget is a token bucket whose waiting calls are served in the order of their priority
// and, within one, of their arrival.
type budget struct {
	lim  *rate.Limiter
	wait time.Duration // how long a call may wait

	mu      sync.Mutex
	waiters waiters     // guarded by mu
	seq     uint64      // guarded by mu
	timer   *time.Timer // guarded by mu; set while waiters is not empty
}

// waiter is one waiting call.
type waiter struct {
	prio   Priority
	seq    uint64
	index  int        // in the heap, -1 when removed
	result chan error // buffered, receives exactly one value when removed by the budget
}

func newBudget(perSecond float64, wait time.Duration) *budget {
	return &budget{lim: rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond))), wait: wait}
}

// take waits for a token. Errors: the wait is over, the context ended, or reject was called.
func (b *budget) take(ctx context.Context, p Priority) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	b.mu.Lock()
	if len(b.waiters) == 0 && b.lim.Allow() {
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiter{prio: p, seq: b.seq, result: make(chan error, 1)}
	heap.Push(&b.waiters, w)
	b.arm()
	b.mu.Unlock()

	t := time.NewTimer(b.wait)
	defer t.Stop()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return b.leave(w, ctx.Err())
	case <-t.C:
		return b.leave(w, errBudgetWait)
	}
}

// leave removes a waiter. If its token came at the same moment, the token is used.
func (b *budget) leave(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return <-w.result
	}
	heap.Remove(&b.waiters, w.index)
	b.arm()
	return err
}

// reject ends all waiting calls with an error.
func (b *budget) reject(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiters) > 0 {
		heap.Pop(&b.waiters).(*waiter).result <- err
	}
	b.arm()
}

// grant gives the tokens at hand to the first waiters.
func (b *budget) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiters) > 0 && b.lim.Allow() {
		heap.Pop(&b.waiters).(*waiter).result <- nil
	}
	b.arm()
}

// arm sets the timer for the next token. It requires mu.
func (b *budget) arm() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if len(b.waiters) == 0 {
		return
	}
	missing := max(0, 1-b.lim.Tokens())
	// One microsecond more than the exact time, so that rounding does not fire it early.
	d := time.Duration(missing/float64(b.lim.Limit())*float64(time.Second)) + time.Microsecond
	b.timer = time.AfterFunc(d, b.grant)
}

// waiters is a heap of waiting calls.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	return q[i].prio < q[j].prio || q[i].prio == q[j].prio && q[i].seq < q[j].seq
}
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a waiter; it is called by container/heap.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last waiter; it is called by container/heap.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
