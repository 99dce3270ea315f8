package prove

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/standins/faultproxy"
)

func keyScenarios() []Scenario {
	return []Scenario{
		{Name: "key-withdrawn", Shows: "I3: a key is withdrawn while requests wait under it", Site: keySite, Run: keyWithdrawn(keyCase{})},
		{Name: "key-paused", Shows: "I3: a key is withdrawn while an entry VM is paused, which later resumes", Site: keySite, Run: keyWithdrawn(keyCase{pause: true})},
		{Name: "key-cut-platform", Shows: "I3: a key is withdrawn while a data centre is cut from the platform", Site: keySite, Run: keyWithdrawn(keyCase{cutPlatform: true})},
		{Name: "key-cut-peers", Shows: "I3: a key is withdrawn while a data centre is cut from its peers", Site: keySite, Run: keyWithdrawn(keyCase{cutPeers: true})},
		{Name: "key-isolated", Shows: "I3: a data centre cut from everything refuses keyed work and serves the open queue", Site: keySite, Run: keyWithdrawn(keyCase{cutPlatform: true, cutPeers: true})},
	}
}

// Faults of keys.
const (
	FaultKeyWorks   load.FaultKind = "a withdrawn key worked after 3 s, or in an isolated data centre after the isolation time (I3)"
	FaultKeyRefusal load.FaultKind = "a request under a withdrawn key ended with another reason"
	FaultOpenQueue  load.FaultKind = "the open queue was not served in an isolated data centre"
)

const (
	// keyWithin is the target for a withdrawn key to stop working everywhere.
	keyWithin = inForceWithin
	// isolatedAfter is the isolation time of the generated sites.
	isolatedAfter = 5 * time.Second
	// onTheWay is for requests that passed their last check before the bound and are
	// still on their way to the minion when the minions' counters are read.
	onTheWay = 200 * time.Millisecond
	// keyRun is the run time of requests under the withdrawn key.
	keyRun = 800 * time.Millisecond
)

// keySite has one minion per data centre, so that requests wait for its slots.
func keySite() sites.Options {
	return sites.Options{
		Name: "prove", DataCentres: sites.DataCentres(3, 2), Services: 1, MinionsPerService: 3,
		MaxRun: 5 * time.Second, Deadline: 30 * time.Second,
	}
}

// keyCase says what is wrong while the key is withdrawn.
type keyCase struct{ pause, cutPlatform, cutPeers bool }

func (k keyCase) isolated() bool { return k.cutPlatform && k.cutPeers }

func keyWithdrawn(k keyCase) func(context.Context, *Env) error {
	return func(ctx context.Context, e *Env) error {
		x := &keyRunner{Env: e, keyCase: k, dc: e.target()}
		return x.run(ctx)
	}
}

// keyRunner is one run of a key scenario.
type keyRunner struct {
	*Env
	keyCase
	dc     model.DataCentre
	paused model.EntryVM
	cutAt  time.Time
	// sent and accepted are when the apply that withdrew the key was sent and accepted.
	sent, accepted time.Time
}

func (x *keyRunner) run(ctx context.Context) error {
	load := x.load(ctx)
	stopped := false
	defer func() {
		if !stopped {
			load.stop()
		}
	}()
	x.Wait(ctx, 3*time.Second)
	inside, outside := x.sides(x.dc)
	if err := x.inject(ctx, inside); err != nil {
		return err
	}
	if err := x.withdraw(ctx, outside); err != nil {
		return err
	}
	before, err := x.starts(ctx)
	if err != nil {
		return err
	}
	if x.paused != "" {
		x.Say("Resuming %s.", x.paused)
		if err := x.Resume(x.paused); err != nil {
			return err
		}
	}
	x.Wait(ctx, 4*time.Second)
	after, err := x.tagsByName()
	if err != nil {
		return err
	}
	for _, n := range x.Entries() {
		t := keyTag(n)
		if d := after[t].Starts - before[t]; d > 0 {
			x.Fail(FaultKeyWorks, "%d requests through %s started", d, n)
		}
	}
	stopped = true
	load.stop()
	return x.judge(inside)
}

// keyTag is the tag of the requests under the withdrawn key that go through an entry VM.
func keyTag(n model.EntryVM) string { return "withdrawn/" + string(n) }

// load keeps more requests in flight under the key than its team may run, and a few of
// another team and of the open queue, at every entry VM.
func (x *keyRunner) load(ctx context.Context) floods {
	var f floods
	queue := string(sites.QueueName(0))
	for _, n := range x.Entries() {
		f = append(f,
			x.flood(ctx, n, 12, func(int) load.Request {
				return load.Request{Queue: queue, Team: string(sites.TeamName(0)), Key: sites.KeyText(0), Idempotent: true,
					Run: keyRun, Deadline: 30 * time.Second, Tag: keyTag(n)}
			}),
			x.flood(ctx, n, 1, func(int) load.Request {
				return load.Request{Queue: queue, Team: string(sites.TeamName(1)), Key: sites.KeyText(1), Idempotent: true,
					Run: 50 * time.Millisecond, Deadline: 10 * time.Second}
			}),
			x.flood(ctx, n, 1, func(int) load.Request {
				return load.Request{Queue: string(sites.OpenQueue), Idempotent: true, Run: 50 * time.Millisecond, Deadline: 10 * time.Second}
			}))
	}
	return f
}

func (x *keyRunner) inject(ctx context.Context, inside []model.EntryVM) error {
	if x.pause {
		x.paused = inside[x.Rand.IntN(len(inside))]
		x.Say("Pausing %s.", x.paused)
		x.lose(x.paused)
		return x.Pause(x.paused)
	}
	var links []string
	if x.cutPlatform {
		links = append(links, cluster.PlatformLinks(x.dc))
	}
	if x.cutPeers {
		links = append(links, x.CrossLinks(x.dc)...)
	}
	if len(links) == 0 {
		return nil
	}
	x.Say("Cutting %s: %s.", x.dc, strings.Join(links, " "))
	x.cutAt = time.Now()
	if err := x.Link(faultproxy.ActionCut, links...); err != nil {
		return err
	}
	x.Wait(ctx, time.Duration(200+x.Rand.IntN(1500))*time.Millisecond)
	return nil
}

func (x *keyRunner) withdraw(ctx context.Context, through []model.EntryVM) error {
	a := &applies{e: x.Env}
	base, err := x.head(ctx, through...)
	if err != nil {
		return err
	}
	files := a.distinct(func(o *sites.Options) { o.WithdrawnKeys = []int{0} })
	x.Say("Withdrawing the key of %s.", sites.TeamName(0))
	x.sent = time.Now()
	r := a.apply(ctx, "operator-1", base, files, through...)
	x.accepted = r.answered
	return errors.Wrap(r.err, "prove: withdraw")
}

// starts waits for the time at which the key must have stopped working at each entry VM
// and returns how many requests under it had started by then.
func (x *keyRunner) starts(ctx context.Context) (map[string]int64, error) {
	out := make(map[string]int64)
	inside, outside := x.sides(x.dc)
	read := func(at time.Time, entries []model.EntryVM) error {
		x.Wait(ctx, time.Until(at.Add(onTheWay)))
		tags, err := x.tagsByName()
		for _, n := range entries {
			out[keyTag(n)] = tags[keyTag(n)].Starts
		}
		return err
	}
	if err := read(x.accepted.Add(keyWithin), outside); err != nil {
		return nil, err
	}
	return out, read(x.bound(), inside)
}

// bound is when the key must have stopped working in the data centre with the fault.
func (x *keyRunner) bound() time.Time {
	t := x.accepted.Add(keyWithin)
	if x.isolated() && x.cutAt.Add(isolatedAfter).After(t) {
		return x.cutAt.Add(isolatedAfter)
	}
	return t
}

// judge checks what the callers saw.
func (x *keyRunner) judge(inside []model.EntryVM) error {
	isInside := make(map[string]bool)
	for _, n := range inside {
		isInside[string(n)] = true
	}
	queued := 0
	var last time.Duration
	for _, s := range x.Callers.Seen() {
		switch {
		case s.Key == sites.KeyText(0):
			if x.judgeKeyed(s, isInside[s.Entry]) {
				queued++
				last = max(last, s.Sent.Add(s.Took).Sub(x.accepted))
			}
		case x.isolated() && isInside[s.Entry]:
			x.judgeIsolated(s)
		}
	}
	x.Measure(float64(queued), "requests", "refused in the queue as key_withdrawn")
	x.measureTime(last, "last answer key_withdrawn after the apply was accepted")
	if queued == 0 {
		return errors.New("prove: no request waited when its key was withdrawn")
	}
	return nil
}

// judgeKeyed checks a request under the withdrawn key. It reports whether it was refused
// while it waited.
func (x *keyRunner) judgeKeyed(s load.Seen, inside bool) bool {
	end := s.Sent.Add(s.Took)
	if s.Verdict != load.SawNotRun {
		if s.Verdict == load.SawRan && s.Sent.After(x.bound()) {
			x.Fail(FaultKeyWorks, "a request sent %v after the apply was accepted ran", s.Sent.Sub(x.accepted))
		}
		return false
	}
	if end.Before(x.sent) {
		return false
	}
	switch s.Reason {
	case model.ReasonKeyWithdrawn:
		return s.Sent.Before(x.accepted)
	case model.ReasonKeyUnknown:
		if s.Sent.After(x.sent) {
			return false
		}
	case model.ReasonConfigUnconfirmed:
		// An entry VM that was paused or cut off may first learn that it cannot confirm keys.
		if inside && (x.isolated() || x.pause) {
			return false
		}
	}
	x.Fail(FaultKeyRefusal, "through %s, sent %v after the apply was accepted, took %v: %s %s", s.Entry, s.Sent.Sub(x.accepted), s.Took, s.Reason, s.Detail)
	return false
}

// judgeIsolated checks requests of the other team and of the open queue in an isolated
// data centre.
func (x *keyRunner) judgeIsolated(s load.Seen) {
	if !s.Sent.After(x.cutAt.Add(isolatedAfter + onTheWay)) {
		return
	}
	// The requests after healing, if any, may run.
	if s.Key == "" && s.Verdict != load.SawRan {
		x.Fail(FaultOpenQueue, "through %s: %s %s", s.Entry, s.Verdict, s.Reason)
	}
	if s.Key != "" && (s.Verdict != load.SawNotRun || s.Reason != model.ReasonConfigUnconfirmed) {
		x.Fail(FaultKeyWorks, "a keyed request in the isolated data centre, through %s: %s %s", s.Entry, s.Verdict, s.Reason)
	}
}
