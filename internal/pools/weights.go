package pools

import (
	"math"

	"boragepulley/internal/config"
)

const (
	// movesCostFactor is how much the weight of moves raises the cost of a move: if moves have all
	// the weight, a move must gain five times its duration.
	movesCostFactor = 4
	// reserveFraction is the fraction of the spare VMs that is kept for failures if buffer cost has
	// no weight. If it has half of all weight or more, no VMs are kept.
	reserveFraction = 0.5
	// minWavePart is the fraction of all weight from which roll-out time takes precedence: no VM
	// then moves from or to a pool in which a wave is unfinished.
	minWavePart = 0.25
)

func total(w config.Weights) float64 {
	return max(1, float64(w.BufferCost+w.RolloutTime+w.Moves+w.ShareCloseness))
}

// moveCostFactor returns how many seconds of service one second of moving must gain. The weight of
// moves raises it; the weights of buffer cost and share closeness lower it to no less than 1.
func moveCostFactor(w config.Weights) float64 {
	sum := total(w)
	return max(1, (1+movesCostFactor*float64(w.Moves)/sum)/(1+float64(w.BufferCost+w.ShareCloseness)/sum))
}

// reserve returns the number of VMs of a spare pool that are not lent.
func reserve(w config.Weights, p *Pool) int {
	part := reserveFraction * max(0, 1-2*float64(w.BufferCost)/total(w))
	return max(p.Min, int(math.Round(part*float64(p.Home))))
}

// wavesFirst reports whether moves wait for the waves in their pools.
func wavesFirst(w config.Weights) bool { return float64(w.RolloutTime)/total(w) >= minWavePart }
