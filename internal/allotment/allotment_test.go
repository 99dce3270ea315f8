package allotment

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/model"
)

// TestMain lengthens the random sequences, because lost replies only have consequences after
// several writes, and runs more of them. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": "100", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	m.Run()
}

// Guards against assigning capacity twice if a limit is raised and lowered again while a part
// still refers to the lower limit.
func TestRaiseThenLower(t *testing.T) {
	r := Row{Limit: 20, Version: 1, Held: map[model.DataCentre]int{"a": 10}, Base: map[model.DataCentre]int{"a": 20}}
	r, n := r.TakeUnassigned("b", 1000, 100, 2)
	require.Equal(t, 50, n, "a holds half of any limit until its part is rebased")
	require.Equal(t, 20, r.Usable("a", 20)+r.Usable("b", 20))
	r = r.Rebase("a", 100, 2)
	require.Equal(t, 40, r.Unassigned(100))
	require.Equal(t, 12, r.Usable("a", 20)+r.Usable("b", 20))
}

// Guards against changes of a row that create capacity, or lose more than rounding.
func TestRowChanges(t *testing.T) {
	r := InitialRow(100, 1, map[model.DataCentre]int{"a": 3, "b": 1})
	require.Equal(t, map[model.DataCentre]int{"a": 18, "b": 6}, r.Held)
	r2, n := r.TakeUnassigned("a", 1000, 100, 1)
	require.Equal(t, 76, n)
	require.Zero(t, r2.Unassigned(100))
	require.Equal(t, 18, r.Held["a"], "the original row must not change")
	r3 := r2.Transfer("a", "b", 34, 100, 1)
	require.Equal(t, map[model.DataCentre]int{"a": 60, "b": 40}, r3.Held)
	require.Equal(t, 10, r3.Transfer("b", "", 10, 100, 1).Unassigned(100))
	low := r3.Rebase("a", 33, 2).Rebase("b", 33, 2)
	require.Equal(t, map[model.DataCentre]int{"a": 19, "b": 13}, low.Held)
	raised := low.Rebase("a", 66, 3)
	require.Equal(t, 13+5, raised.Transfer("a", "b", 10, 66, 3).Held["b"], "b's part still refers to limit 33")
	require.Equal(t, map[model.DataCentre]int{"a": 7}, InitialRow(7, 1, map[model.DataCentre]int{"a": 5}).Held)
	require.Error(t, Row{Limit: 1, Held: map[model.DataCentre]int{"a": 2}}.Check())
}

// Guards against a data centre that keeps the whole limit because it was first, and against
// transferring capacity that is in use.
func TestComputeOffer(t *testing.T) {
	require.Equal(t, Offer{Immediate: 70}, ComputeOffer(Demand{Running: 16, Capacity: 500}, 100, 0, 70))
	require.Equal(t, Offer{Immediate: 82}, ComputeOffer(Demand{Running: 16, Capacity: 500}, 100, 0, 700))
	require.Equal(t, Offer{Immediate: 1}, ComputeOffer(Demand{Capacity: 500}, 1, 0, 2), "an idle donor keeps no reserve if the other data centre holds nothing")
	require.Equal(t, Offer{}, ComputeOffer(Demand{Capacity: 500}, 1, 1, 2))
	busy := Demand{Running: 100, Waiting: 100, Capacity: 100}
	require.Equal(t, Offer{Deferred: 50}, ComputeOffer(busy, 100, 0, 100))
	busy.Running = 70
	require.Equal(t, Offer{Immediate: 30, Deferred: 20}, ComputeOffer(busy, 100, 0, 100))
	require.Equal(t, Offer{}, ComputeOffer(busy, 50, 50, 50))
}

// Guards against returning a part between two bursts: the maximum must cover 30 s.
func TestSlidingMax(t *testing.T) {
	var r SlidingMax
	at := time.Unix(1000, 0)
	r.Observe(at, 40)
	r.Observe(at.Add(20*time.Second), 3)
	require.Equal(t, 40, r.Max(at.Add(29*time.Second)))
	require.Equal(t, 3, r.Max(at.Add(30*time.Second)))
	require.Equal(t, 0, r.Max(at.Add(90*time.Second)))
}

// table models the stored row, the configured limits and the data centres.
type table struct {
	row     Row
	version uint64
	limits  []int // by configuration version, from 1
	dcs     []*centre
}

// centre models a data centre's coordinator, with its configuration version and its reads and
// writes in flight.
type centre struct {
	name     model.DataCentre
	config   uint64
	part     LocalState
	inFlight []func()
}

func newTable(limit int) *table {
	tb := &table{row: InitialRow(limit, 1, map[model.DataCentre]int{"a": 1, "b": 1, "c": 2}), version: 1, limits: []int{limit}}
	for _, n := range []model.DataCentre{"a", "b", "c"} {
		c := &centre{name: n, config: 1}
		c.part.Update(tb.row, 1)
		tb.dcs = append(tb.dcs, c)
	}
	return tb
}

func (tb *table) limit(c *centre) int { return c.part.Limit(tb.limits[c.config-1], c.config) }

func (tb *table) usable(c *centre) int { return c.part.Usable(c.name, tb.limit(c)) }

// send starts a write; lost is whether its reply is lost. done, if not nil, is called with
// the reply.
func (tb *table) send(c *centre, row Row, lost bool, done func(ok bool)) {
	_, at, _ := c.part.Row()
	write := c.part.BeginWrite(row)
	c.inFlight = append(c.inFlight, func() {
		ok := tb.version == at
		if ok {
			tb.row, tb.version = row, tb.version+1
		}
		if lost {
			return
		}
		v := tb.version
		c.inFlight = append(c.inFlight, func() {
			if ok {
				c.part.Update(row, v)
			} else {
				c.part.AbortWrite(write)
			}
			if done != nil {
				done(ok)
			}
		})
	})
}

// transfer reserves and sends a transfer as the coordinator does: a refused write releases the
// reserved amount, a lost reply keeps it reserved.
func (tb *table) transfer(c *centre, to model.DataCentre, n int, lost bool) {
	n = min(n, tb.usable(c))
	r, _, ok := c.part.Row()
	if !ok || n <= 0 || c.part.Reserved() > 0 || c.name == to {
		return
	}
	c.part.Reserve(n)
	tb.send(c, r.Transfer(c.name, to, n, tb.limit(c), c.config), lost, func(ok bool) {
		if !ok {
			c.part.Release()
		}
	})
}

// Guards against use above a limit in any order of writes, reads and configuration changes:
// replies are lost or delayed, limits are raised and lowered, and data centres continue with
// an older configuration.
func TestNeverAboveTheLimit(t *testing.T) {
	moved, differing := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(100)
		pick := func(t *rapid.T) *centre { return rapid.SampledFrom(tb.dcs).Draw(t, "dc") }
		lost := func(t *rapid.T) bool { return rapid.Bool().Draw(t, "answer lost") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				require.NoError(t, tb.row.Check())
				sum, highest, lowest := 0, 0, 1<<30
				for _, c := range tb.dcs {
					sum += tb.usable(c)
					highest = max(highest, tb.limits[c.config-1])
					lowest = min(lowest, tb.limits[c.config-1])
				}
				if lowest < highest {
					differing++
				}
				if sum > highest {
					t.Fatalf("%d usable of %d, row %+v", sum, highest, tb.row)
				}
			},
			"take": func(t *rapid.T) {
				c := pick(t)
				r, _, _ := c.part.Row()
				if row, n := r.TakeUnassigned(c.name, rapid.IntRange(1, 80).Draw(t, "n"), tb.limit(c), c.config); n > 0 {
					tb.send(c, row, lost(t), nil)
					moved++
				}
			},
			"give": func(t *rapid.T) {
				tb.transfer(pick(t), pick(t).name, rapid.IntRange(1, 80).Draw(t, "n"), lost(t))
			},
			"return": func(t *rapid.T) {
				tb.transfer(pick(t), "", rapid.IntRange(1, 80).Draw(t, "n"), lost(t))
			},
			"settle": func(t *rapid.T) {
				c := pick(t)
				r, _, _ := c.part.Row()
				if c.part.Reserved() == 0 && c.config >= r.Version {
					tb.send(c, r.Rebase(c.name, tb.limit(c), c.config), lost(t), nil)
				}
			},
			"deliver": func(t *rapid.T) {
				c := pick(t)
				if len(c.inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
				m := c.inFlight[i]
				c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
				m()
			},
			"read": func(t *rapid.T) {
				c, r, v := pick(t), tb.row, tb.version
				if rapid.Bool().Draw(t, "late") {
					c.inFlight = append(c.inFlight, func() { c.part.Update(r, v) })
					return
				}
				c.part.Update(r, v)
			},
			"apply": func(t *rapid.T) {
				tb.limits = append(tb.limits, rapid.SampledFrom([]int{1, 7, 20, 50, 100, 200}).Draw(t, "limit"))
			},
			"learn": func(t *rapid.T) {
				if c := pick(t); c.config < uint64(len(tb.limits)) {
					c.config = uint64(rapid.IntRange(int(c.config)+1, len(tb.limits)).Draw(t, "version"))
				}
			},
		})
	})
	require.Positive(t, moved, "parts must move")
	require.Positive(t, differing, "limits must differ between data centres at times")
}

// Guards against capacity that stays in a data centre that does not need it: after lost
// replies and changes of demand, every data centre must get what it needs if the limit
// allows it.
func TestUnusedPartsReachDemand(t *testing.T) {
	const limit = 100
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(limit)
		running := map[model.DataCentre]int{}
		deliver := func(c *centre) {
			for len(c.inFlight) > 0 {
				m := c.inFlight[0]
				c.inFlight = c.inFlight[1:]
				m()
			}
			c.part.Update(tb.row, tb.version)
		}
		lost := func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		for phase := range 3 {
			backlog := map[model.DataCentre]int{}
			for _, c := range tb.dcs {
				backlog[c.name] = rapid.SampledFrom([]int{0, 5, 30, 90}).Draw(t, fmt.Sprintf("demand %s in phase %d", c.name, phase))
			}
			for range 60 {
				for _, c := range tb.dcs {
					tb.round(c, backlog, running, lost, deliver)
				}
				sum := 0
				for _, n := range running {
					sum += n
				}
				require.LessOrEqual(t, sum, limit)
			}
			total, served := 0, 0
			for dc, n := range backlog {
				total += n
				served += running[dc]
				if n > 0 && running[dc] == 0 {
					t.Fatalf("%s gets nothing: %v of %v, row %+v", dc, running, backlog, tb.row)
				}
			}
			if served < min(total, limit)-10 {
				t.Fatalf("%d of %d run at limit %d: %v, row %+v", served, total, limit, running, tb.row)
			}
		}
	})
}

// round performs one data centre's periodic work: it starts requests, returns what it does not
// need, takes unassigned capacity and asks the other data centres.
func (tb *table) round(c *centre, backlog, running map[model.DataCentre]int, lost func() bool, deliver func(*centre)) {
	deliver(c)
	running[c.name] = min(backlog[c.name], tb.usable(c))
	d := Demand{Running: running[c.name], Waiting: backlog[c.name] - running[c.name], Peak: running[c.name], Capacity: 100}
	tb.transfer(c, "", tb.usable(c)-Retained(d, tb.usable(c), 8), lost())
	deliver(c)
	want := AdditionalDemand(d, tb.usable(c))
	r, _, _ := c.part.Row()
	if row, n := r.TakeUnassigned(c.name, want, tb.limit(c), c.config); n > 0 {
		tb.send(c, row, lost(), nil)
		deliver(c)
	}
	for _, o := range tb.dcs {
		if o == c || want <= 0 {
			continue
		}
		deliver(o)
		od := Demand{Running: running[o.name], Waiting: backlog[o.name] - running[o.name], Capacity: 100}
		offer := ComputeOffer(od, tb.usable(o), tb.row.Held[c.name], want)
		tb.transfer(o, c.name, offer.Immediate, lost())
		// Some requests end, and no new ones start on the deferred amount.
		running[o.name] -= min(offer.Deferred, 5, running[o.name])
		deliver(o)
	}
}

// Guards against using a part that the data centre's own pending write reduces, if the limit
// is raised again before the reply to that write.
func TestPendingWriteIsNotUsable(t *testing.T) {
	var p LocalState
	p.Update(Row{Limit: 7, Version: 3, Held: map[model.DataCentre]int{"a": 2}, Base: map[model.DataCentre]int{"a": 7}}, 1)
	r, _, _ := p.Row()
	write := p.BeginWrite(r.Rebase("a", 1, 4))
	require.Equal(t, 0, p.Usable("a", 7))
	p.AbortWrite(write)
	require.Equal(t, 2, p.Usable("a", 7))
	p.BeginWrite(r.Rebase("a", 1, 4))
	p.Update(r.Rebase("a", 1, 4), 2)
	require.Equal(t, 0, p.Usable("a", 7))
}
