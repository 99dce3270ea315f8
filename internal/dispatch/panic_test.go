package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/upstream"
)

// Guards against an unexpected error in one request that ends the process, leaves its caller without an
// answer or its permit in use, or tells its caller that a request which may have run has not.
func TestUnexpectedErrorEndsOneRequestOnly(t *testing.T) {
	for name, c := range map[string]struct {
		breakIt func(*testEntryVM)
		want    model.State
	}{
		"before the minion is called": {func(r *testEntryVM) {
			r.ctl.acquire = func(context.Context, control.Attempt) (peer.AcquireReply, bool, error) { panic("unexpected") }
		}, model.StateRefused},
		"before the first byte is sent": {func(r *testEntryVM) {
			r.minions.fault = func(upstream.Call) fault { panic("unexpected") }
		}, model.StateRefused},
		"after the request was sent": {func(r *testEntryVM) {
			r.minions.fault = func(c upstream.Call) fault {
				if c.BeforeSend() == nil {
					panic("unexpected")
				}
				return noFault
			}
		}, model.StateUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestEntryVM(3)
				acquire, fault := r.ctl.acquire, r.minions.fault
				c.breakIt(r)
				res := r.Submit(t.Context(), withID(input("x", false), "id"))
				require.Equal(t, c.want, res.State)
				require.Equal(t, model.ReasonUnexpectedError, res.Reason)
				async := r.SubmitAsync(t.Context(), withID(input("y", false), "id2"))
				require.NotEmpty(t, async.Job)
				synctest.Wait() // it has ended before its faults are taken back
				r.ctl.acquire, r.minions.fault = acquire, fault
				require.Equal(t, model.StateRan, r.Submit(t.Context(), input("z", true)).State)
				if c.want == model.StateRefused {
					require.Equal(t, model.StateRan, r.Submit(t.Context(), withID(input("x", false), "id")).State, "the claim is released")
				}
				r.drainAndCheck(t)
			})
		})
	}
}
