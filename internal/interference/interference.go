// Package interference learns which tasks slow each other down on a minion, by the images that they run.
// It performs no I/O and is owned by one goroutine.
package interference

import "time"

// Image names what tasks run; tasks of one image behave alike.
type Image string

// Sample is one completed run of a task, or one observation of a task that serves.
type Sample struct {
	Image Image
	// Stretch is the measured duration or tail latency relative to the image's usual one on sound minions
	// without known interference; 1 means as usual.
	Stretch float64
	// Neighbours are the shares of the run's time during which a task of each image ran beside it, 0 to 1.
	Neighbours map[Image]float64
	// MinionStretch is the mean stretch on this minion over all images, to tell a slow minion from a
	// neighbour; 1 if unknown.
	MinionStretch float64
	At            time.Duration
}
