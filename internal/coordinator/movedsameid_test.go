package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// silentMoves is a machine service that carries out each move and answers none.
type silentMoves struct{ *fleet.MovingMachines }

func (l *silentMoves) Move(ctx context.Context, fence site.MachineFence, name model.VM, to model.Service) error {
	_ = l.MovingMachines.Move(ctx, fence, name, to)
	return errors.WithStack(site.ErrNoAnswer)
}

// Guards against a machine that takes no work any more after a move whose answer was lost, because its next
// minion has the id of the one that the move ended, and that one was cordoned.
func TestMinionUnderTheSameIDTakesWorkAfterAMoveWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 4)
		s.moving.KeepIDs = true
		s.fleet = fencing.NewFleet(s.minions, &silentMoves{s.moving})
		s.startWithoutBurst()
		s.waitForLine("moving machine")
		sleep(10 * time.Second)
		s.submitTo(s.term, burstQueue, burstService, "f000000000000001", jobs.Step{Count: 100, Need: jobs.Resources{CPU: 1000}, Estimate: 700 * time.Millisecond})
		sleep(40 * time.Second)
		require.Equal(t, jobs.StateCompleted, s.state(s.term, "f000000000000001"))
		require.NoError(t, s.term.do(t.Context(), func() {
			for id, m := range s.term.minions {
				if m.Cordoned && len(s.term.machines.moves) == 0 {
					t.Errorf("%s is cordoned, and no move is in progress\n%s", id, s.log.linesWith(string(id)))
				}
			}
		}))
	})
}
