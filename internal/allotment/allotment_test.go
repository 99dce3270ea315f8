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

// TestMain lengthens the random sequences, because lost answers only matter after several
// writes, and runs more of them; the command line has precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": "100", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	m.Run()
}

// Guards against parts that add up to more than a limit, or that a lowered limit leaves.
func TestChanges(t *testing.T) {
	r := Initial(100, 1, map[model.DataCentre]int{"a": 3, "b": 1})
	require.Equal(t, Row{Limit: 100, Config: 1, Held: map[model.DataCentre]int{"a": 18, "b": 6}}, r)
	c := Take(r, "a", 1000)
	require.Equal(t, 76, c.Moved)
	require.Zero(t, c.Row.Unassigned())
	require.Equal(t, 18, r.Held["a"], "the row that a change was computed from stays as it is")
	require.Equal(t, ReasonNothing, Take(c.Row, "b", 1).Reason)
	c = Give(c.Row, "a", "b", 50, 60)
	require.Equal(t, map[model.DataCentre]int{"a": 60, "b": 40}, c.Row.Held)
	require.Equal(t, ReasonInUse, Give(c.Row, "a", "b", 1, 60).Reason)
	low := SetLimit(c.Row, 33, 2).Row
	require.Equal(t, map[model.DataCentre]int{"a": 19, "b": 13}, low.Held)
	require.Equal(t, ReasonStale, SetLimit(low, 100, 1).Reason)
	require.Equal(t, 67+1, SetLimit(low, 100, 3).Row.Unassigned())
	require.Equal(t, 13, Return(low, "a", 6).Moved)
	require.Equal(t, map[model.DataCentre]int{"b": 13}, Drop(low, []model.DataCentre{"b"}).Row.Held)
	require.Error(t, Row{Limit: 1, Held: map[model.DataCentre]int{"a": 2}}.Check())
}

// Guards against use of a part that was lowered for a configuration never seen here.
func TestSkippedConfiguration(t *testing.T) {
	p := NewPart("a")
	p.SetConfig(1, 100)
	old := Row{Limit: 100, Config: 1, Held: map[model.DataCentre]int{"a": 60}}
	p.Read(old, 1, p.Current())
	p.SetConfig(2, 50)
	require.Equal(t, 30, p.Usable())
	p.SetConfig(3, 200)
	require.Equal(t, 30, p.Usable(), "a raised limit adds nothing until the row is written")
	p.SetConfig(5, 200) // version 4 may have been anything
	require.Zero(t, p.Usable())
	p.Read(old, 1, 3)
	require.Zero(t, p.Usable(), "the read was sent before version 5 was known")
	p.Read(old, 1, 5)
	require.Equal(t, 60, p.Usable())
	require.True(t, p.Behind())
}

// Guards against a data centre that keeps the whole limit because it was first, and
// against giving away what is in use.
func TestOffers(t *testing.T) {
	require.Equal(t, Offer{Now: 70}, Offers(Demand{Running: 16, Capacity: 500}, 100, 0, 70))
	require.Equal(t, Offer{Now: 82}, Offers(Demand{Running: 16, Capacity: 500}, 100, 0, 700))
	busy := Demand{Running: 100, Waiting: 100, Capacity: 100}
	require.Equal(t, Offer{HoldBack: 50}, Offers(busy, 100, 0, 100))
	busy.Running = 70
	require.Equal(t, Offer{Now: 30, HoldBack: 20}, Offers(busy, 100, 0, 100))
	require.Equal(t, Offer{}, Offers(busy, 50, 50, 50))
}

// Guards against parts that are returned between two bursts.
func TestRecent(t *testing.T) {
	var r Recent
	at := time.Unix(1000, 0)
	r.Observe(at, 40)
	r.Observe(at.Add(20*time.Second), 3)
	require.Equal(t, 40, r.Max(at.Add(29*time.Second)))
	require.Equal(t, 3, r.Max(at.Add(30*time.Second)))
	require.Equal(t, 0, r.Max(at.Add(90*time.Second)))
}

// table is the row, the configurations so far, and writes and reads on their way.
type table struct {
	row     Row
	version uint64
	limits  []int // by configuration version, from 1
	dcs     []*centre
}

// centre is a data centre's coordinator with messages on their way.
type centre struct {
	name   model.DataCentre
	part   *Part
	reads  []func()
	writes []func() // deliver a write to the table and queue its answer, or lose it
}

func (tb *table) limit() int { return tb.limits[len(tb.limits)-1] }

func (tb *table) send(c *centre, ch Change, lost, twice bool) {
	cond, cfg := c.part.version, uint64(0)
	if ch.Reason == ReasonLimitMoved {
		cfg = ch.Row.Config
	}
	deliver := func() {
		if tb.version != cond || (cfg != 0 && cfg != uint64(len(tb.limits))) {
			if !lost {
				c.reads = append(c.reads, func() { c.part.Refused(cond) })
			}
			return
		}
		tb.row, tb.version = ch.Row, tb.version+1
		v := tb.version
		if !lost {
			c.reads = append(c.reads, func() { c.part.Written(cond, v) })
		}
	}
	c.writes = append(c.writes, deliver)
	if twice {
		c.writes = append(c.writes, deliver)
	}
}

// Guards against use above a limit in any order of writes, reads and configurations,
// with lost answers, late answers, repeated writes and skipped configuration versions.
func TestNeverAboveTheLimit(t *testing.T) {
	var moved, uncertain int
	rapid.Check(t, func(t *rapid.T) {
		tb := &table{row: Initial(100, 1, map[model.DataCentre]int{"a": 1, "b": 1, "c": 2}), version: 1, limits: []int{100}}
		for _, n := range []model.DataCentre{"a", "b", "c"} {
			c := &centre{name: n, part: NewPart(n)}
			c.part.SetConfig(1, 100)
			c.part.Read(tb.row, 1, 1)
			tb.dcs = append(tb.dcs, c)
		}
		pick := func(t *rapid.T) *centre { return rapid.SampledFrom(tb.dcs).Draw(t, "dc") }
		write := func(t *rapid.T, c *centre, ch Change) {
			if ch.Moved != 0 && c.part.Begin(ch) {
				moved++
				tb.send(c, ch, rapid.Bool().Draw(t, "answer lost"), rapid.IntRange(0, 5).Draw(t, "twice") == 5)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				require.NoError(t, tb.row.Check())
				sum, head := 0, uint64(len(tb.limits))
				for _, c := range tb.dcs {
					if c.part.Current() != head {
						continue
					}
					u := c.part.Usable()
					if u > tb.row.Held[c.name] {
						t.Fatalf("%s may use %d and holds %d", c.name, u, tb.row.Held[c.name])
					}
					sum += u
					if !c.part.Certain() {
						uncertain++
					}
				}
				if sum > tb.limit() {
					t.Fatalf("%d usable of %d", sum, tb.limit())
				}
			},
			"take": func(t *rapid.T) {
				c := pick(t)
				if r, _, ok := c.part.Row(); ok {
					write(t, c, Take(r, c.name, rapid.IntRange(1, 80).Draw(t, "n")))
				}
			},
			"give": func(t *rapid.T) {
				c, to := pick(t), pick(t)
				if r, _, ok := c.part.Row(); ok {
					write(t, c, Give(r, c.name, to.name, rapid.IntRange(1, 80).Draw(t, "n"), rapid.IntRange(0, 9).Draw(t, "keep")))
				}
			},
			"return": func(t *rapid.T) {
				c := pick(t)
				if r, _, ok := c.part.Row(); ok {
					write(t, c, Return(r, c.name, rapid.IntRange(0, 30).Draw(t, "keep")))
				}
			},
			"set limit": func(t *rapid.T) {
				c := pick(t)
				if r, _, ok := c.part.Row(); ok && c.part.Behind() {
					cfg := c.part.Current()
					write(t, c, SetLimit(r, tb.limits[cfg-1], cfg))
				}
			},
			"repeat": func(t *rapid.T) {
				c := pick(t)
				if ch, ok := c.part.Pending(); ok {
					tb.send(c, ch, rapid.Bool().Draw(t, "answer lost"), false)
				}
			},
			"deliver": func(t *rapid.T) {
				if c := pick(t); len(c.writes) > 0 {
					i := rapid.IntRange(0, len(c.writes)-1).Draw(t, "write")
					w := c.writes[i]
					c.writes = append(c.writes[:i:i], c.writes[i+1:]...)
					w()
				}
			},
			"answer": func(t *rapid.T) {
				if c := pick(t); len(c.reads) > 0 {
					i := rapid.IntRange(0, len(c.reads)-1).Draw(t, "answer")
					f := c.reads[i]
					c.reads = append(c.reads[:i:i], c.reads[i+1:]...)
					f()
				}
			},
			"read late": func(t *rapid.T) {
				c, r, v := pick(t), tb.row, tb.version
				asked := c.part.Current()
				c.reads = append(c.reads, func() { c.part.Read(r, v, asked) })
			},
			"read": func(t *rapid.T) {
				c := pick(t)
				c.part.Read(tb.row, tb.version, c.part.Current())
			},
			"apply": func(t *rapid.T) {
				tb.limits = append(tb.limits, rapid.SampledFrom([]int{0, 7, 50, 100, 200}).Draw(t, "limit"))
			},
			"learn all": func(t *rapid.T) {
				c := pick(t)
				for v := int(c.part.Current()) + 1; v <= len(tb.limits); v++ {
					c.part.SetConfig(uint64(v), tb.limits[v-1])
				}
			},
			"learn": func(t *rapid.T) {
				c := pick(t)
				if have := int(c.part.Current()); have < len(tb.limits) {
					v := rapid.IntRange(have+1, len(tb.limits)).Draw(t, "version")
					c.part.SetConfig(uint64(v), tb.limits[v-1])
				}
			},
		})
	})
	require.Positive(t, moved*uncertain, "the sequences move parts and skip configurations")
}

// Guards against capacity that stays where nobody needs it: after lost answers and
// changes of demand, every data centre comes to what it needs if the limit allows it.
func TestUnusedPartsReachDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := 100
		names := []model.DataCentre{"a", "b", "c"}
		row, version := Initial(limit, 1, map[model.DataCentre]int{"a": 1, "b": 1, "c": 1}), uint64(1)
		parts, running := map[model.DataCentre]*Part{}, map[model.DataCentre]int{}
		for _, n := range names {
			parts[n] = NewPart(n)
			parts[n].SetConfig(1, limit)
			parts[n].Read(row, version, 1)
		}
		write := func(n model.DataCentre, c Change) {
			if c.Moved == 0 || !parts[n].Begin(c) {
				return
			}
			lost := rapid.IntRange(0, 3).Draw(t, "lost") // 0: the write, 1: the answer
			if lost != 0 && parts[n].version == version {
				row, version = c.Row, version+1
				if lost > 1 {
					parts[n].Written(version-1, version)
				}
			}
		}
		for phase := range 3 {
			backlog := map[model.DataCentre]int{}
			for _, n := range names {
				backlog[n] = rapid.SampledFrom([]int{0, 5, 30, 90}).Draw(t, fmt.Sprintf("demand %s in phase %d", n, phase))
			}
			for range 60 {
				sum := 0
				for _, n := range names {
					p := parts[n]
					if c, ok := p.Pending(); ok && p.version == version {
						row, version = c.Row, version+1
						p.Written(version-1, version)
					}
					p.Read(row, version, 1)
					running[n] = min(backlog[n], p.Usable())
					sum += running[n]
					d := Demand{Running: running[n], Waiting: backlog[n] - running[n], Peak: running[n], Capacity: 100}
					write(n, Return(row, n, Returns(d, p.Usable(), 8)))
					want := Wants(d, p.Usable())
					write(n, Take(row, n, want))
					for _, o := range names {
						q := parts[o]
						q.Read(row, version, 1)
						od := Demand{Running: running[o], Waiting: backlog[o] - running[o], Capacity: 100}
						if offer := Offers(od, q.Usable(), row.Held[n], want); n != o && offer.Now > 0 {
							write(o, Give(row, o, n, offer.Now, 0))
						} else if n != o && offer.HoldBack > 0 {
							running[o] -= min(offer.HoldBack, 5) // some requests end and none starts
						}
					}
				}
				if sum > limit {
					t.Fatalf("%d running of %d", sum, limit)
				}
			}
			total, served := 0, 0
			for _, n := range names {
				total += backlog[n]
				served += running[n]
				if backlog[n] > 0 && running[n] == 0 {
					t.Fatalf("%s gets nothing: %v of %v, row %v", n, running, backlog, row)
				}
			}
			if served < min(total, limit)-10 {
				t.Fatalf("%d of %d run at limit %d: %v, row %v", served, total, limit, running, row)
			}
		}
	})
}
