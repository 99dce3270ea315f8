// Package interference learns which tasks slow each other down on a minion, by the images that they run.
// It performs no I/O and is owned by one goroutine; a Table is immutable.
package interference

import "time"

// Image names what tasks run; tasks of one image behave alike.
type Image string

// Minion names the minion on which a sample was taken.
type Minion string

// Sample is one completed run of a task, or one observation of a task that serves.
type Sample struct {
	Image  Image
	Minion Minion
	// Group names samples that may have a cause in common, such as the tasks of one job; empty for none.
	Group string
	// Value is the duration of the run or the tail latency, in any unit that is the same for all
	// samples of the image.
	Value float64
	// Neighbours are the shares of the sample's time during which a task of each image ran beside it. An image
	// is listed at most once, also the sample's own.
	Neighbours []Exposure
	// At is a reading of a clock that never goes back.
	At time.Duration
}

// Exposure is the share of a sample's time during which at least one task of an image ran beside it, 0 to 1.
type Exposure struct {
	Image Image
	Share float64
}

// Pair is an ordered pair of images.
type Pair struct{ Subject, Neighbour Image }

// Change tells that a pair has become trusted, or is no longer.
type Change struct {
	Pair
	Trusted bool
	// Stretch is the factor by which the neighbour lengthens the subject's runs.
	Stretch float64
	// With and Without are the decayed numbers of samples with and without the neighbour.
	With, Without float64
}

// Table tells which images to keep apart. A nil Table has none.
type Table struct {
	bits  map[Image]uint64
	avoid map[Image]uint64
	pairs int
}

// NewTable returns the table of some pairs, nil if there are none. It ignores images beyond the first 64.
func NewTable(pairs []Pair) *Table {
	if len(pairs) == 0 {
		return nil
	}
	t := &Table{bits: map[Image]uint64{}, avoid: map[Image]uint64{}, pairs: len(pairs)}
	for _, p := range pairs {
		for _, i := range []Image{p.Subject, p.Neighbour} {
			if t.bits[i] == 0 {
				t.bits[i] = 1 << len(t.bits)
			}
		}
		// Neither is to be started beside the other, whichever of them is slowed down.
		t.avoid[p.Subject] |= t.bits[p.Neighbour]
		t.avoid[p.Neighbour] |= t.bits[p.Subject]
	}
	return t
}

// Pairs returns the number of trusted pairs.
func (t *Table) Pairs() int {
	if t == nil {
		return 0
	}
	return t.pairs
}

// Bit returns the bit of an image in a set of images, 0 if it is in no trusted pair.
func (t *Table) Bit(i Image) uint64 {
	if t == nil {
		return 0
	}
	return t.bits[i]
}

// Bits returns the set of the images that have a count above 0.
func (t *Table) Bits(counts map[Image]int) uint64 {
	var set uint64
	for i, n := range counts {
		if n > 0 {
			set |= t.Bit(i)
		}
	}
	return set
}

// Avoid returns the set of images beside which no task of an image should be started.
func (t *Table) Avoid(i Image) uint64 {
	if t == nil {
		return 0
	}
	return t.avoid[i]
}
