package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Guards against minions with more jobs than slots and teams above their limit in random
// sequences of pauses, kills, restarts, store outages and jobs that end on their own.
func TestRandomFaults(t *testing.T) { playRandomFaults(t, 0) }

// Guards against the same, and against a data centre that does not recover, when control
// goroutines panic as well.
func TestRandomFaultsAndPanics(t *testing.T) { playRandomFaults(t, 12) }

// playRandomFaults lets the control goroutine of the entry VM of a step panic in one of panicEvery
// steps, or never if it is 0.
func playRandomFaults(t *testing.T, panicEvery int) {
	const slots, limit = 3, 5
	for seed := range uint64(20) {
		inBubble(t, map[model.DataCentre]int{"a": 4}, func(cl *cluster) {
			rng, panics := rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 12))
			cl.startServing(slots, limit)
			held := map[*model.Permit]model.EntryVM{}
			granted, down := 0, 0
			for step := range 200 {
				entry := cl.peers[rng.IntN(len(cl.peers))].Name
				n := cl.nodes[entry]
				out := n.isDead() || n.isPaused()
				if panicEvery > 0 && !out && panics.IntN(panicEvery) == 0 {
					n.panicOnLoop()
				}
				switch what := rng.IntN(24); {
				case what == 0 && !out && down < 2:
					n.pause()
					down++
				case what == 1 && !out && down < 2:
					n.kill()
					down++
					for p, h := range held {
						if h == entry {
							delete(held, p) // its job keeps running on the minion
						}
					}
				case what <= 4 && n.isPaused():
					n.resume()
					down--
				case what <= 4 && n.isDead():
					cl.start(entry)
					down--
				case what == 5:
					cl.store.setDown(true)
				case what <= 7:
					cl.store.setDown(false)
				case what == 8:
					cl.endJobsOfDeadNodes(rng)
				case what < 16 && !out:
					for _, p := range cl.acquireUpTo(entry, 2) {
						held[p] = entry
						granted++
					}
				case !out:
					for p, h := range held {
						if h == entry {
							cl.finishJob(p)
							n.control.Release(p, peer.AttemptOK)
							delete(held, p)
						}
					}
				}
				require.LessOrEqual(t, cl.runningJobs(), limit, "seed %d step %d", seed, step)
				for _, vm := range []string{"a-vm-1", "a-vm-2"} {
					require.LessOrEqual(t, cl.runningJobsAt(vm), slots, "seed %d step %d", seed, step)
				}
				cl.advance(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
			require.Greater(t, granted, 10, "seed %d", seed)
			// Everything recovers once the faults end.
			cl.store.setDown(false)
			for _, p := range cl.peers {
				cl.nodes[p.Name].resume()
				if cl.nodes[p.Name].isDead() {
					cl.start(p.Name)
				}
			}
			for p, h := range held {
				cl.finishJob(p)
				cl.nodes[h].control.Release(p, peer.AttemptOK)
			}
			cl.mu.Lock()
			clear(cl.running)
			cl.mu.Unlock()
			cl.advance(20 * time.Second)
			require.Len(t, cl.acquireUpTo(cl.awaitCoordinator("a", 5*time.Second), 100), limit, "seed %d", seed)
		})
	}
}

// endJobsOfDeadNodes randomly ends jobs of dead entry VMs, as minions do when a job's run
// time is over.
func (cl *cluster) endJobsOfDeadNodes(rng *rand.Rand) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for addr, jobs := range cl.running {
		kept := jobs[:0]
		for _, j := range jobs {
			e, err := j.ID.Entry()
			require.NoError(cl.t, err)
			if !cl.nodes[e].isDead() || rng.IntN(2) == 0 {
				kept = append(kept, j)
			}
		}
		cl.running[addr] = kept
	}
}

func (cl *cluster) runningJobsAt(addr string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.running[addr])
}
