package prove

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/internal/account"
	"boragepulley/internal/model"
	"boragepulley/standins/platform"
)

func recordScenarios() []Scenario {
	return []Scenario{
		{Name: "records-copied", Shows: "account: an entry VM is killed while the store is down; its peer stores its records", Run: recordsCopied},
		{Name: "data-centre-killed", Shows: "account: kill -9 of all entry VMs of a data centre at once", Run: dataCentreKilled},
		{Name: "data-centre-killed-store-down", Shows: "account: kill -9 of all entry VMs of a data centre at once while the store is down", Run: dataCentreKilledStoreDown},
	}
}

// FaultGapLong is a gap that reaches back further than the copies allow.
const FaultGapLong load.FaultKind = "records were lost although a peer should have had copies"

// copyWithin bounds how much of the end of an entry VM's account may be lost: its
// records are copied to a peer every second, and a copy takes a moment.
const copyWithin = 2 * time.Second

func recordsCopied(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	if err := e.awaitUnstoredRecords(ctx); err != nil {
		return err
	}
	n := e.pickEntries(1)[0]
	killed := time.Now()
	e.KillEntry(n)
	e.Wait(ctx, 3*time.Second)
	e.Say("The store is back.")
	if err := e.PlatformFaults(platform.Faults{}); err != nil {
		return err
	}
	stop()
	if err := e.Heal(ctx); err != nil {
		return err
	}
	return e.judgeCopies(ctx, n, killed)
}

func dataCentreKilled(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	// At any moment between two writes of the account to the store.
	e.Wait(ctx, 3*time.Second+time.Duration(e.Rand.Int64N(int64(5*time.Second))))
	return e.killDataCentre(ctx, stop)
}

func dataCentreKilledStoreDown(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	if err := e.awaitUnstoredRecords(ctx); err != nil {
		return err
	}
	return e.killDataCentre(ctx, stop)
}

// killDataCentre kills all entry VMs of a data centre at once, heals the site, and requires that at
// most the last copy interval of their accounts is lost.
func (e *Env) killDataCentre(ctx context.Context, stopLoad func()) error {
	dc := e.target()
	killed := map[model.EntryVM]time.Time{}
	for _, n := range e.Entries() {
		if e.Entry(n).DC == dc {
			killed[n] = time.Now()
			e.KillEntry(n)
		}
	}
	e.Wait(ctx, 3*time.Second)
	stopLoad()
	if err := e.Heal(ctx); err != nil {
		return err
	}
	for n, at := range killed {
		if err := e.judgeCopies(ctx, n, at); err != nil {
			return err
		}
	}
	return nil
}

// awaitUnstoredRecords ends the writes to the store and waits until records have piled up.
func (e *Env) awaitUnstoredRecords(ctx context.Context) error {
	e.Wait(ctx, 2*time.Second)
	e.Say("The store is down.")
	if err := e.PlatformFaults(platform.Faults{Outage: platform.OutageRefuse}); err != nil {
		return err
	}
	e.Wait(ctx, 6*time.Second)
	return nil
}

// judgeCopies reads the report until the peer has stored its copies, which waits for its
// circuit breaker and its next round, at most for settleWithin.
func (e *Env) judgeCopies(ctx context.Context, n model.EntryVM, killed time.Time) error {
	start := time.Now()
	for {
		r, err := e.finalReport(ctx)
		if err != nil {
			return err
		}
		g, ok := gapOf(r, n, killed)
		if !ok {
			return errors.Errorf("prove: the report shows no gap of %s, which was killed", n)
		}
		short := killed.Sub(g.From) <= copyWithin
		if short || time.Since(start) > settleWithin {
			e.measureTime(killed.Sub(g.From), "end of the account of %s that is lost", n)
			e.measureTime(time.Since(start), "until the copies were in the report")
			if !short {
				e.Fail(FaultGapLong, "%s was killed at %v; gap: %+v", n, killed.UTC(), g)
			}
			return nil
		}
		e.Wait(ctx, 500*time.Millisecond)
	}
}

// gapOf returns the gap of the process of an entry VM that was killed at a time.
func gapOf(r *account.Report, n model.EntryVM, killed time.Time) (account.Gap, bool) {
	for _, g := range r.Gaps {
		if g.Entry == n && !g.From.After(killed.Add(copyWithin)) && !g.To.Before(killed) {
			return g, true
		}
	}
	return account.Gap{}, false
}
