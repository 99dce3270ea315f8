package admission

import (
	"fmt"
	"testing"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// BenchmarkGrant measures one release, the grant that follows, and one new request while
// every slot is in use and the number of waiting requests is constant.
func BenchmarkGrant(b *testing.B) {
	for _, c := range []struct{ waiting, teams, minions int }{
		{1_000, 6, 50}, {10_000, 6, 50}, {100_000, 6, 50},
		{1_000, 31, 50}, {10_000, 31, 50}, {100_000, 31, 50},
		{1_000, 31, 350}, {10_000, 31, 350}, {100_000, 31, 350},
	} {
		b.Run(fmt.Sprintf("waiting=%d/teams=%d/minions=%d", c.waiting, c.teams, c.minions), func(b *testing.B) {
			f := fixture{services: 1, minions: c.minions, slots: 8, conns: 64, entries: 4, teams: c.teams,
				maxWaiting: 1 << 20, limit: 10_000}
			a, now, job := f.newAdmission(epoch), epoch, 0
			queues := []model.Queue{"q0", "late0"}
			var running []*model.Permit
			take := func(out []Effect) {
				for _, e := range out {
					if e.Kind != EffectGrant {
						b.Fatalf("%+v", e)
					}
					running = append(running, e.Permit)
				}
			}
			submit := func() {
				job++
				q := acquire(job, job%c.teams, queues[job/7%2], 10*time.Minute)
				q.From.Entry = entryName(job % f.entries)
				take(a.Submit(now, q))
			}
			for range c.waiting + 8*c.minions {
				submit()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(50 * time.Microsecond)
				p := running[0]
				running = running[1:]
				take(a.Release(now, release(p, peer.AttemptUnused)))
				submit()
			}
		})
	}
}

// BenchmarkCancel measures the cancellation of waiting requests in a long queue, each
// followed by a new request.
func BenchmarkCancel(b *testing.B) {
	for _, waiting := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := fixture{services: 1, minions: 10, slots: 8, conns: 64, entries: 4, teams: 6, maxWaiting: 1 << 20, limit: 10_000}
			a := f.newAdmission(epoch)
			for i := range waiting + 80 {
				a.Submit(epoch, acquire(i, i%6, "q0", 10*time.Minute))
			}
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				k := acquire(80+i%waiting, (80+i%waiting)%6, "q0", 10*time.Minute)
				a.Cancel(now, k.Request.Job, k.Attempt, "e0")
				k.Attempt = 2 + i/waiting
				k.Request.Job += "x"
				k.Request.Job = model.JobID(fmt.Sprintf("%s%d", k.Request.Job, i))
				a.Submit(now, k)
			}
		})
	}
}
