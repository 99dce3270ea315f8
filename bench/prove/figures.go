package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"boragepulley/bench/load"
	"boragepulley/internal/model"
	"boragepulley/standins/minion"
)

// Figure is one value that a scenario measured.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

func (f Figure) String() string {
	return fmt.Sprintf("%s: %s %s", f.Name, strconv.FormatFloat(f.Value, 'f', -1, 64), f.Unit)
}

// Measure records a figure of the scenario, which is printed at its end.
func (e *Env) Measure(value float64, unit, name string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.figures = append(e.figures, Figure{Name: fmt.Sprintf(name, args...), Value: value, Unit: unit})
}

func (e *Env) measureTime(d time.Duration, name string, args ...any) {
	e.Measure(float64(d.Milliseconds()), "ms", name, args...)
}

// measureCallers records the callers' latency of requests that ran.
func (e *Env) measureCallers() {
	var took []time.Duration
	for _, s := range e.Callers.Seen() {
		if s.Verdict == load.SawRan {
			took = append(took, s.Took)
		}
	}
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	for _, p := range []int{50, 99, 100} {
		e.measureTime(took[(len(took)-1)*p/100], "requests that ran, percentile %d of the time to the answer", p)
	}
}

// tag returns what the minions recorded for a tag.
func (e *Env) tag(name string) (minion.TagStats, error) {
	all, err := e.Tags()
	if err != nil {
		return minion.TagStats{}, err
	}
	for _, t := range all {
		if t.Tag == name {
			return t, nil
		}
	}
	return minion.TagStats{Tag: name}, nil
}

// tagsByName returns what the minions recorded for all tags.
func (e *Env) tagsByName() (map[string]minion.TagStats, error) {
	all, err := e.Tags()
	out := make(map[string]minion.TagStats, len(all))
	for _, t := range all {
		out[t.Tag] = t
	}
	return out, err
}

// judgeCounters requires that no running daemon counted an invariant violation.
func (e *Env) judgeCounters() error {
	for _, n := range e.Entries() {
		vars, err := e.Vars(n)
		if err != nil {
			return err
		}
		var counts map[string]int64
		if err := json.Unmarshal(vars["invariant_violations"], &counts); err != nil {
			return fmt.Errorf("prove: invariant_violations of %s: %w", n, err)
		}
		for id, k := range counts {
			if k > 0 {
				e.Fail(FaultInvariant, "%s: %s %d times", n, id, k)
			}
		}
	}
	return nil
}

// flood keeps a number of requests in flight at an entry VM until the returned function
// is called, which waits for the last answers.
func (e *Env) flood(ctx context.Context, entry model.EntryVM, inFlight int, next func(n int) load.Request) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range inFlight {
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n += inFlight {
				r := next(n)
				r.Entry = string(entry)
				if s := e.Callers.Do(context.WithoutCancel(ctx), r); s.Verdict != load.SawRan {
					e.Wait(ctx, refusedPause)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// refusedPause is how long a caller of a flood waits after a refusal.
const refusedPause = 100 * time.Millisecond

// floods runs several floods; the returned function ends all of them.
type floods []func()

func (f floods) stop() {
	var wg sync.WaitGroup
	for _, s := range f {
		wg.Go(s)
	}
	wg.Wait()
}
