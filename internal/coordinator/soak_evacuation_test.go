package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

const (
	// evacuateBound is how long after the store's acknowledgement of an evacuation starts may still be
	// ordered in its data centre.
	evacuateBound = 5 * time.Second
	// soakDCs is the number of data centres of a soak with evacuations.
	soakDCs = 3
	// evacuateShare and endShare are the shares of the steps in which an evacuation begins and ends.
	evacuateShare, endShare = 0.15, 0.10
	// feedInterval is how often an entry VM of the soak reads the operators' table.
	feedInterval = 300 * time.Millisecond
)

// soakOperators evacuates data centres at random, and records the starts that are ordered there too late.
type soakOperators struct {
	ts *testSite
	r  *rand.Rand
	// known holds what each entry VM knows.
	known map[model.EntryVM]*knownEvacuations

	mu      sync.Mutex
	since   map[model.DataCentre]time.Time // guarded by mu; when the rows were written
	late    []string                       // guarded by mu
	checked int                            // guarded by mu; starts while any data centre was evacuated
}

func newSoakOperators(ts *testSite, r *rand.Rand) *soakOperators {
	o := &soakOperators{ts: ts, r: r, known: map[model.EntryVM]*knownEvacuations{}, since: map[model.DataCentre]time.Time{}}
	for n := range soakMinions {
		id := jobs.Minion(fmt.Sprint("m", n))
		ts.minions.Change(id, func(m *fleet.Minion) { m.Entry.DC = soakDC(id) })
		ts.list(id)
	}
	ts.evacuations = func(name model.EntryVM) *knownEvacuations {
		if o.known[name] == nil {
			o.known[name] = &knownEvacuations{}
		}
		return o.known[name]
	}
	ts.clients = fencing.NewFleet(&recordingMinions{ts.minions, o}, ts.machines)
	return o
}

// soakDC returns the data centre of a minion.
func soakDC(id jobs.Minion) model.DataCentre {
	return model.DataCentre("dc-" + string('0'+(id[1]-'0')%soakDCs))
}

// recordingMinions checks each start when it is sent.
type recordingMinions struct {
	*fleet.Minions
	o *soakOperators
}

func (m *recordingMinions) Start(ctx context.Context, to site.Receiver, order site.StartOrder) (int64, error) {
	m.o.ordered(to.ID, order)
	return m.Minions.Start(ctx, to, order)
}

func (o *soakOperators) ordered(to jobs.Minion, order site.StartOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.since) > 0 {
		o.checked++
	}
	if since, ok := o.since[soakDC(to)]; ok && time.Since(since) > evacuateBound {
		o.late = append(o.late, fmt.Sprintf("%s run %d ordered at %s on %s, %s after the evacuation", order.Task, order.Run, time.Since(o.ts.startedAt), to, time.Since(since)))
	}
}

// follow lets an entry VM follow the operators' table for the rest of the test.
func (o *soakOperators) follow(name string, fault func(op string) fleet.Fault) {
	known, view, ctx := o.ts.evacuations(model.EntryVM(name)), &fleet.View{Store: o.ts.store, Fault: fault}, o.ts.t.Context()
	go func() {
		for ctx.Err() == nil {
			if c, err := view.ReadAll(ctx, platform.PriorityConfig, evacuation.Table); err == nil {
				s, _ := evacuation.Apply(nil, c.Rows, c.Version, true)
				known.learn(s, "store")
			}
			_ = pauseFor(ctx, feedInterval)
		}
	}()
}

func pauseFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// step begins or ends evacuations.
func (o *soakOperators) step() {
	if o.r.Float64() < evacuateShare {
		o.set(o.any(), true)
	}
	if o.r.Float64() < endShare {
		o.set(o.any(), false)
	}
}

func (o *soakOperators) any() model.DataCentre {
	return model.DataCentre(fmt.Sprint("dc-", o.r.IntN(soakDCs)))
}

func (o *soakOperators) set(dc model.DataCentre, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, already := o.since[dc]; already == evacuated {
		return
	}
	key := evacuation.RowPrefix + string(dc)
	if evacuated {
		o.ts.store.Put(key, []byte("{}"))
		o.since[dc] = time.Now()
		return
	}
	o.ts.store.Put(key, nil)
	delete(o.since, dc)
}

func (o *soakOperators) endAll() {
	for n := range soakDCs {
		o.set(model.DataCentre(fmt.Sprint("dc-", n)), false)
	}
}

func (o *soakOperators) requireBound() {
	o.mu.Lock()
	defer o.mu.Unlock()
	require.Empty(o.ts.t, o.late)
}
