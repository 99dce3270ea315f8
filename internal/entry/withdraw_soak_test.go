package entry

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// withdrawalSeeds is the number of seeds of TestWithdrawalSoak, soakSeedsEnv the variable with that of further ones in
// runs by hand.
const (
	withdrawalSeeds = 20
	soakSeedsEnv    = "BP_SOAK_SEEDS"
)

// Guards against a job that ever runs although its cancellation was answered with "no such job", and against one
// that begins long after its cancellation was stored, whichever calls of the store get no answer
// or are performed late while entry VMs are cut off and the coordinator is replaced; and against jobs that
// nobody cancelled and that are lost meanwhile.
func TestWithdrawalSoak(t *testing.T) {
	further, err := strconv.Atoi(cmp.Or(os.Getenv(soakSeedsEnv), "0"))
	require.NoError(t, err)
	withdrawals := 0
	for seed := range uint64(withdrawalSeeds + further) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { withdrawals += runWithdrawalSoak(t, seed) })
		})
	}
	require.Greater(t, withdrawals, withdrawalSeeds+further)
}

// startBound is how long after a cancellation was stored a task of the job may begin, and contactBound after the
// last fault: until then a coordinator need not have learned of it. Both are from the users' specification.
const startBound, contactBound = 3 * time.Second, 3 * time.Second

// runWithdrawalSoak returns the number of jobs that were withdrawn.
func runWithdrawalSoak(t *testing.T, seed uint64) (withdrawals int) {
	tc := newTestCluster(t, 4)
	defer tc.stop()
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 3))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n)
	}
	var began sync.Map // the time of the last start by job
	tc.minions.OnEvent = func(e fleet.Event) {
		if e.Kind == fleet.RunBegan {
			began.Store(jobs.ID(e.Task[:len(id1)]), time.Now())
		}
	}
	var calm atomic.Bool
	lossy := func(op string) fleet.Fault {
		if calm.Load() || op != "commit" {
			return fleet.None
		}
		return []fleet.Fault{fleet.Lose, fleet.Late, fleet.Late, fleet.Refuse, fleet.None, fleet.None, fleet.None, fleet.None, fleet.None}[draw(9)]
	}
	time.Sleep(4 * time.Second)
	for name := range tc.nodes {
		tc.setFaults(name, false, lossy)
	}
	var cancelled, withdrawn, accepted sync.Map
	var callers sync.WaitGroup
	for i := range 60 {
		id := jobs.ID(fmt.Sprintf("%016x", 0x100+i))
		leaves, first := draw(2) == 0, draw(4)
		patience := 3 * time.Second
		if leaves {
			patience = time.Duration(5+draw(250)) * time.Millisecond
		}
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			a := tc.nodes[fmt.Sprint("e", first)].Submit(ctx, newJob(id))
			if !leaves {
				if a.Err == nil {
					accepted.Store(id, true)
				}
				return
			}
			for n := 1; n < 40; n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 2850*time.Millisecond)
				a := tc.nodes[fmt.Sprint("e", (first+n)%4)].Cancel(ctx, id)
				cancel()
				switch {
				case a.Err == nil:
					cancelled.Store(id, time.Now())
					return
				case errors.Is(a.Err, site.ErrJobNotFound):
					withdrawn.Store(id, true)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(time.Duration(draw(120)) * time.Millisecond)
		switch draw(12) {
		case 0:
			if name := tc.coordinator(); name != "" {
				tc.setFaults(name, true, refuseAll)
			}
		case 1, 2, 3:
			for name := range tc.nodes {
				tc.setFaults(name, false, lossy)
			}
		}
	}
	calm.Store(true)
	for name := range tc.nodes {
		tc.setFaults(name, false, nil)
	}
	inTouch := time.Now().Add(contactBound)
	callers.Wait()
	time.Sleep(15 * time.Second)
	withdrawn.Range(func(id, _ any) bool {
		withdrawals++
		_, runs := began.Load(id)
		require.False(t, runs, "seed %d: job %s, which does not exist, begins", seed, id)
		return true
	})
	cancelled.Range(func(id, at any) bool {
		stored, last := at.(time.Time), time.Time{}
		if b, ok := began.Load(id); ok {
			last = b.(time.Time)
		}
		require.False(t, last.After(stored.Add(startBound)) && last.After(inTouch), "seed %d: job %s begins %v after its cancellation was stored", seed, id, last.Sub(stored))
		return true
	})
	accepted.Range(func(id, _ any) bool {
		require.Equal(t, jobs.StateCompleted, tc.nodes["e0"].State(context.Background(), id.(jobs.ID)).State, "seed %d, job %s", seed, id)
		return true
	})
	require.Empty(t, tc.minions.Violations(), "seed %d", seed)
	return withdrawals
}
