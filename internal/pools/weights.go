package pools

import (
	"math"

	"boragepulley/internal/config"
)

const (
	// movesFactor is how much the weight of moves raises the cost of a move: at a weight
	// of everything, a move has to gain five times its duration.
	movesFactor = 4
	// reservePart is the part of the spare VMs that stays in reserve for failures when
	// buffer cost has no weight; at half of all weight there is no reserve.
	reservePart = 0.5
	// firstPart is the part of all weight from which roll-out time goes first: with
	// it, no VM moves from or to a service that a wave works on.
	firstPart = 0.25
)

func total(w config.Weights) float64 {
	return max(1, float64(w.BufferCost+w.RolloutTime+w.Moves+w.ShareCloseness))
}

// exchange is the number of seconds of service that one second of moving has to gain. The
// weight of moves raises it; a reserve that costs much and shares that are to be met
// lower it, but never below 1.
func exchange(w config.Weights) float64 {
	sum := total(w)
	return max(1, (1+movesFactor*float64(w.Moves)/sum)/(1+float64(w.BufferCost+w.ShareCloseness)/sum))
}

// reserve is the number of VMs of a spare pool that are not lent.
func reserve(w config.Weights, p *Pool) int {
	part := reservePart * max(0, 1-2*float64(w.BufferCost)/total(w))
	return max(p.Min, int(math.Round(part*float64(p.Home))))
}

// waveFirst reports whether moves wait for the waves of the services they concern.
func waveFirst(w config.Weights) bool { return float64(w.RolloutTime)/total(w) >= firstPart }
