package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against one job that stops the whole site: a panic in the work for it ended the term, and each
// successor loaded the job and ended as well.
func TestJobThatFailsInsideTheCoordinatorIsIsolated(t *testing.T) {
	corruptions := map[string]func(j *jobs.Job){
		"a waiting step": func(j *jobs.Job) { j.Step(0, 0).Spec = nil },
		"a running task": func(j *jobs.Job) { j.Active()[0].Step.Spec = nil },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 3)
				const bad = jobs.ID("00000000000000ff")
				term := ts.startTerm("e1", nil)
				sleep(time.Second)
				ts.submitJob(term, bad, step(8), step(2, 0))
				sleep(100 * time.Millisecond)
				require.NoError(t, term.do(t.Context(), func() {
					_ = term.isolated(term.registry.Get(bad), "corrupting the job", func() { corrupt(term.registry.Get(bad)) })
				}))
				for i := range 10 {
					ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(2), step(1, 0))
				}
				sleep(12 * time.Second)
				require.NoError(t, term.ctx.Err(), "the term goes on")
				require.NotEmpty(t, ts.log.linesWith("set aside"))
				for i := range 10 {
					require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))))
				}
				require.NoError(t, term.do(t.Context(), func() {
					for _, m := range term.minions {
						require.Empty(t, m.Tasks)
						require.Zero(t, m.Used)
					}
				}))
				endTerm(term)
				next := ts.startTerm("e2", nil) // its rows are still there
				defer endTerm(next)
				sleep(15 * time.Second)
				require.Equal(t, jobs.StateCompleted, ts.state(next, bad))
			})
		})
	}
}

// Guards against an entry of the list of minions that ends each term because its decoder fails on it.
func TestEntryThatItsDecoderFailsOnIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		view := &fleet.View{Store: ts.store}
		d := ts.deps("e1", view)
		decode := d.Codec.Minion
		d.Codec.Minion = func(id string, v []byte) (site.MinionEntry, error) {
			if id == "odd" {
				panic("decoder bug")
			}
			return decode(id, v)
		}
		ts.store.Put("servers/odd", []byte("{}"))
		held, err := lease.Acquire(t.Context(), view, d.Now, ts.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		defer endTerm(term)
		sleep(time.Second)
		ts.store.Put("servers/odd", []byte("{ }"))
		ts.submitJob(term, "0000000000000001", step(2), step(2, 0))
		sleep(5 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
	})
}
