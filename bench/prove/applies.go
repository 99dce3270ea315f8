package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/sites"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
)

// applied is one apply as its operator saw it.
type applied struct {
	id, operator string
	base         uint64
	result       operator.ApplyResult
	err          error
	// answered is when the operator had the answer.
	answered time.Time
}

// conflict returns the head that a conflict named, or nil.
func (a *applied) conflict() *config.Head {
	var p *operator.Problem
	if errors.As(a.err, &p) && p.Type == operator.TypeConflict {
		return p.Conflict
	}
	return nil
}

// decided reports whether the operator knows what became of the apply.
func (a *applied) decided() bool {
	var p *operator.Problem
	return a.err == nil || errors.As(a.err, &p) && p.Type != operator.TypeOutcomeUnknown || errors.Is(a.err, operator.ErrUnreachable)
}

// applies is the operators' own account of all applies of a scenario.
type applies struct {
	e *Env

	mu   sync.Mutex // guards the fields below
	list []applied
	next int
}

// files returns the site's files with a number that makes them distinct.
func (e *Env) files(n int, change func(*sites.Options)) []config.File {
	o := e.Site
	o.MaxWaiting = 1000 + n
	if change != nil {
		change(&o)
	}
	return sites.Generate(o)
}

// distinct returns files that no other apply of the scenario has.
func (a *applies) distinct(change func(*sites.Options)) []config.File {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	return a.e.files(a.next, change)
}

// apply sends one apply through the entry VMs, in order, until one decides it.
func (a *applies) apply(ctx context.Context, by string, base uint64, files []config.File, through ...model.EntryVM) applied {
	return a.applyAs(ctx, string(model.NewIncarnation()), by, base, files, through...)
}

func (a *applies) applyAs(ctx context.Context, id, by string, base uint64, files []config.File, through ...model.EntryVM) applied {
	out := applied{id: id, operator: by, base: base}
	op, err := a.e.Operator(through...)
	if err == nil {
		out.result, err = op.Apply(ctx, operator.ApplyRequest{ApplyID: id, Operator: by, BaseVersion: base, Files: files})
	}
	out.err, out.answered = err, time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, out)
	return out
}

// head returns the newest version that an entry VM knows.
func (e *Env) head(ctx context.Context, through ...model.EntryVM) (uint64, error) {
	op, err := e.Operator(through...)
	if err != nil {
		return 0, err
	}
	st, err := op.Status(ctx)
	return st.Configuration.Head.Version, err
}

// judge compares the operators' account with the history in the table: versions follow
// each other, each apply id is stored at most once, an accepted apply is stored at its
// version, and a refused one is not stored.
func (a *applies) judge() error {
	rows, err := a.e.TableRows("config/history/")
	if err != nil {
		return err
	}
	stored := make(map[string][]uint64)
	for i, r := range rows {
		var h config.Head
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return errors.Wrap(err, "prove: "+r.Key)
		}
		if h.Version != uint64(i+1) || r.Key != fmt.Sprintf("config/history/%020d", i+1) {
			a.e.Fail(FaultApplies, "row %d of the history is %s with version %d", i+1, r.Key, h.Version)
		}
		stored[h.ApplyID] = append(stored[h.ApplyID], h.Version)
	}
	for id, v := range stored {
		if len(v) > 1 {
			a.e.Fail(FaultApplies, "apply %s is stored as versions %v", id, v)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	accepted := 0
	for _, x := range a.list {
		v := stored[x.id]
		if x.err != nil && x.conflict() == nil {
			if x.decided() && !a.retriedLocked(x.id) && len(v) > 0 {
				a.e.Fail(FaultApplies, "apply %s by %s was not applied (%v) and is stored as %v", x.id, x.operator, x.err, v)
			}
			continue
		}
		switch {
		case x.err == nil && (len(v) != 1 || v[0] != x.result.Version):
			a.e.Fail(FaultApplies, "apply %s by %s was accepted as version %d and is stored as %v", x.id, x.operator, x.result.Version, v)
		case x.err != nil && len(v) > 0:
			a.e.Fail(FaultApplies, "apply %s by %s was refused (%v) and is stored as %v", x.id, x.operator, x.err, v)
		}
		if x.err == nil {
			accepted++
		}
	}
	a.e.Measure(float64(len(a.list)), "applies", "sent")
	a.e.Measure(float64(accepted), "applies", "accepted")
	return nil
}

// retriedLocked reports whether an apply was sent more than once. Requires a.mu.
func (a *applies) retriedLocked(id string) bool {
	n := 0
	for _, x := range a.list {
		if x.id == id {
			n++
		}
	}
	return n > 1
}

// judgeRace requires that exactly one of several applies on the same base won, and that
// every other one got a conflict that names the winner's version.
func (a *applies) judgeRace(round []applied) (winner applied) {
	won := 0
	for _, x := range round {
		if x.err == nil {
			winner = x
			won++
		}
	}
	if won != 1 {
		a.e.Fail(FaultApplies, "%d of %d applies on version %d were accepted: %+v", won, len(round), round[0].base, round)
		return winner
	}
	for _, x := range round {
		if x.err == nil {
			continue
		}
		c := x.conflict()
		if c == nil || c.Version != winner.result.Version || c.ApplyID != winner.id || c.Operator != winner.operator {
			a.e.Fail(FaultApplies, "%s lost against version %d by %s and was told: %v (%+v)", x.operator, winner.result.Version, winner.operator, x.err, c)
		}
	}
	return winner
}
