package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Guards against minions above their slots and teams above their limit in random
// sequences of pauses, kills, restarts, store outages and lost store answers.
func TestRandomFaults(t *testing.T) {
	const slots, limit = 3, 5
	for seed := range uint64(20) {
		inBubble(t, map[model.DataCentre]int{"a": 4}, func(cl *cluster) {
			rng := rand.New(rand.NewPCG(seed, 11))
			cl.serving(slots, limit)
			held := map[*model.Permit]model.EntryVM{}
			granted, down := 0, 0
			for step := range 200 {
				at := cl.peers[rng.IntN(len(cl.peers))].Name
				n := cl.nodes[at]
				out := n.isDead() || n.isPaused()
				switch what := rng.IntN(24); {
				case what == 0 && !out && down < 2:
					n.pause()
					down++
				case what == 1 && !out && down < 2:
					n.kill()
					down++
					for p, h := range held {
						if h == at {
							delete(held, p) // its job still runs
						}
					}
				case what <= 4 && n.isPaused():
					n.resume()
					down--
				case what <= 4 && n.isDead():
					cl.start(at)
					down--
				case what == 5:
					cl.store.setDown(true)
				case what <= 7:
					cl.store.setDown(false)
				case what == 8:
					cl.loseJobs(rng)
				case what < 16 && !out:
					for _, p := range cl.fill(at, 2) {
						held[p] = at
						granted++
					}
				case !out:
					for p, h := range held {
						if h == at {
							cl.finish(p)
							n.c.Release(p, peer.AttemptOK)
							delete(held, p)
						}
					}
				}
				require.LessOrEqual(t, cl.runningJobs(), limit, "seed %d step %d", seed, step)
				for _, vm := range []string{"a-vm-1", "a-vm-2"} {
					require.LessOrEqual(t, cl.runningAt(vm), slots, "seed %d step %d", seed, step)
				}
				cl.wait(time.Duration(rng.IntN(400)) * time.Millisecond)
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
				cl.finish(p)
				cl.nodes[h].c.Release(p, peer.AttemptOK)
			}
			cl.mu.Lock()
			clear(cl.running)
			cl.mu.Unlock()
			cl.wait(20 * time.Second)
			require.Len(t, cl.fill(cl.coordinator("a", 5*time.Second), 100), limit, "seed %d", seed)
		})
	}
}

// loseJobs ends the jobs of entry VMs that are dead, as minions do after their run time.
func (cl *cluster) loseJobs(rng *rand.Rand) {
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

func (cl *cluster) runningAt(addr string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.running[addr])
}
