package pools

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/model"
)

// simulation models demand over time and performs the moves of each plan.
type simulation struct {
	s     Snapshot
	work  map[model.Service]int
	ends  map[model.VM]time.Time
	last  map[model.VM]Move
	raw   map[model.Service][]int
	moves int
}

// step advances the simulation by one second.
func (h *simulation) step(t *rapid.T) {
	h.s.Now = h.s.Now.Add(time.Second)
	for i := range h.s.VMs {
		v := &h.s.VMs[i]
		if end, ok := h.ends[v.Name]; ok && !h.s.Now.Before(end) {
			delete(h.ends, v.Name)
			v.Pool, v.Target, v.State, v.MovedAt = v.Target, "", model.VMServing, h.s.Now
		}
	}
	for i, svc := range []model.Service{"s00", "s01"} {
		slots := 0
		for _, v := range h.s.VMs {
			if v.Home == h.s.Pools[i].Name && v.Pool == v.Home && v.Target == "" {
				slots += v.Slots
			}
		}
		h.raw[svc] = append(h.raw[svc], h.work[svc]-slots)
		h.s.Demand[svc].Observe(Sample{At: h.s.Now, Work: h.work[svc], Slots: slots, Unit: 8}, h.s.MoveTime)
	}
	for _, m := range NewPlan(h.s).Moves {
		h.begin(t, m)
	}
}

func (h *simulation) begin(t *rapid.T, m Move) {
	h.moves++
	for i := range h.s.VMs {
		v := &h.s.VMs[i]
		if v.Name != m.VM {
			continue
		}
		if prev, ok := h.last[m.VM]; ok {
			h.checkDemandChanged(t, v, prev, m)
		}
		v.Target, v.State = m.To, model.VMDraining
		h.ends[m.VM] = h.s.Now.Add(h.s.MoveTime)
		h.last[m.VM] = m
	}
}

// checkDemandChanged requires that a VM moves again only after demand has differed for more than
// twice the move time: on average over that time, the VM was unused before it returns home,
// or would have been used before it is lent again.
func (h *simulation) checkDemandChanged(t *rapid.T, v *VM, prev, m Move) {
	window := int(2 * h.s.MoveTime / time.Second)
	require.Greater(t, h.s.Now.Sub(v.MovedAt), 2*h.s.MoveTime, "%s moved %s ago", v.Name, h.s.Now.Sub(v.MovedAt))
	require.Equal(t, prev.To, m.From)
	svc, lent := model.Service("s00"), 0
	if m.From == "p01" || m.From == "spare" && m.To == "p01" {
		svc = "s01"
	}
	for _, w := range h.s.VMs {
		if w.Pool == "p"+model.Pool(svc[1:]) && w.Home != w.Pool {
			lent++
		}
	}
	if m.Reason == ReasonDemand {
		lent++
	}
	raw := h.raw[svc]
	sum := 0.0
	for _, x := range raw[len(raw)-window:] {
		sum += min(1, max(0, float64(x-(lent-1)*8)/8))
	}
	mean := sum / float64(window)
	// The short average lags by its window, so the bounds have that much tolerance.
	tolerance := shortWindow.Seconds() / float64(window) * 2
	if m.Reason == ReasonDemand {
		require.GreaterOrEqual(t, mean, lowUse-tolerance, "lent again without demand")
	} else {
		require.LessOrEqual(t, mean, highUse+tolerance, "returned while in use")
	}
}

// Guards against moving VMs back and forth with bursts, and against VMs that do not return
// home after demand has ended.
func TestNoOscillationAndReturn(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		h := &simulation{s: fleet(2, 2, 2), work: map[model.Service]int{}, ends: map[model.VM]time.Time{}, last: map[model.VM]Move{}, raw: map[model.Service][]int{}}
		h.s.MoveTime = time.Duration(rapid.IntRange(4, 6).Draw(t, "move")) * time.Second
		for i := range h.s.Pools[:2] {
			h.s.Pools[i].Max = 4
		}
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			h.work["s00"] = rapid.SampledFrom([]int{0, 8, 20, 40}).Draw(t, "work")
			h.work["s01"] = rapid.SampledFrom([]int{0, 8, 20, 40}).Draw(t, "other work")
			for range rapid.SampledFrom([]int{3, 10, 30, 100}).Draw(t, "length") {
				h.step(t)
			}
		}
		// Bursts that are shorter than a move continue; they must not prevent the returns.
		gap := rapid.IntRange(10, 20).Draw(t, "gap")
		for i := range 20 * int(h.s.MoveTime/time.Second) {
			h.work = map[model.Service]int{}
			if i%gap < 3 {
				h.work["s00"] = 40
			}
			h.step(t)
		}
		for _, v := range h.s.VMs {
			require.Equal(t, v.Home, v.Pool, "%s is not at home", v.Name)
		}
		moves += h.moves
	})
	require.Greater(t, moves, 1000, "the cases must contain moves")
}
