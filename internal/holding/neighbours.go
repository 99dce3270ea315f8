package holding

import (
	"time"

	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
)

// maxTrackedImages bounds the images on a minion whose running times are known.
const maxTrackedImages = 64

// neighbours tells for how long tasks of each image have run beside a run. It has no entries for tasks
// without an image.
type neighbours struct {
	images []imageTime
	runs   map[*jobs.Task]*imageRun
}

// imageTime is how long tasks of an image have run on a minion.
type imageTime struct {
	image interference.Image
	// running is the number of tasks at present, changed when it changed.
	running int
	changed time.Duration
	// any is for how long at least one ran, several for how long at least two did.
	any, several time.Duration
	// since is when the entry was first used for the image.
	since time.Duration
}

// imageRun is a run of a task with an image.
type imageRun struct {
	// since is when the run, or its present period of observation, began; exact is set if the begin of the
	// run is known.
	since time.Duration
	exact bool
	// counted is set if the run is counted in the imageTime of its image.
	counted bool
	// before holds imageTime.beside at that time, for the entries that there were.
	before []time.Duration
	// tailSum and tails are the sum and the number of the tail latencies reported in the period.
	tailSum, tails int64
}

func (x *imageTime) advance(now time.Duration) {
	if passed := now - x.changed; passed > 0 {
		if x.running > 0 {
			x.any += passed
		}
		if x.running > 1 {
			x.several += passed
		}
		x.changed = now
	}
}

// beside returns for how long tasks of the image have run that can be neighbours of one of image i.
func (x *imageTime) beside(i interference.Image) time.Duration {
	if x.image == i {
		return x.several
	}
	return x.any
}

func imageOf(t *jobs.Task) interference.Image { return interference.Image(t.Step.Spec.Image) }

// RunBegan records that a run of one of the minion's tasks has begun, unless that is known already. exact
// is set if it began now.
func (m *Minion) RunBegan(t *jobs.Task, now time.Duration, exact bool) {
	image := imageOf(t)
	if image == "" || m.neighbours.runs[t] != nil {
		return
	}
	if _, ok := m.Tasks[t]; !ok {
		return
	}
	n := &m.neighbours
	if n.runs == nil {
		n.runs = map[*jobs.Task]*imageRun{}
	}
	r := &imageRun{exact: exact}
	if x := n.entry(image, now); x != nil {
		x.advance(now)
		x.running++
		r.counted = true
	}
	n.runs[t] = r
	n.restart(r, image, now)
}

// entry returns the entry of an image. It returns nil if too many images run.
func (n *neighbours) entry(i interference.Image, now time.Duration) *imageTime {
	idle := -1
	for k := range n.images {
		switch x := &n.images[k]; {
		case x.image == i:
			return x
		case x.running == 0:
			idle = k
		}
	}
	if len(n.images) < maxTrackedImages {
		n.images = append(n.images, imageTime{image: i, changed: now, since: now})
		return &n.images[len(n.images)-1]
	}
	if idle < 0 {
		return nil
	}
	n.images[idle] = imageTime{image: i, changed: now, since: now}
	return &n.images[idle]
}

// restart begins a period of observation of a run.
func (n *neighbours) restart(r *imageRun, image interference.Image, now time.Duration) {
	r.since, r.before, r.tailSum, r.tails = now, r.before[:0], 0, 0
	for k := range n.images {
		n.images[k].advance(now)
		r.before = append(r.before, n.images[k].beside(image))
	}
}

// runEnded removes the run of a task, if one is known.
func (n *neighbours) runEnded(t *jobs.Task, now time.Duration) {
	r := n.runs[t]
	if r == nil {
		return
	}
	delete(n.runs, t)
	for k := range n.images {
		if x := &n.images[k]; r.counted && x.image == imageOf(t) {
			x.advance(now)
			x.running--
		}
	}
	if len(n.runs) == 0 {
		n.images = n.images[:0]
	}
}

// RunTime returns how long a task with an image has run. ok is false if its begin is not known exactly.
func (m *Minion) RunTime(t *jobs.Task, now time.Duration) (d time.Duration, ok bool) {
	r := m.neighbours.runs[t]
	if r == nil || !r.exact || now <= r.since {
		return 0, false
	}
	return now - r.since, true
}

// Exposures appends to list the shares of the present run or period of a task during which tasks of each
// image ran beside it.
func (m *Minion) Exposures(list []interference.Exposure, t *jobs.Task, now time.Duration) []interference.Exposure {
	n := &m.neighbours
	r := n.runs[t]
	if r == nil || now <= r.since {
		return list
	}
	for k := range n.images {
		x := &n.images[k]
		x.advance(now)
		during := x.beside(imageOf(t))
		if k < len(r.before) && x.since <= r.since {
			during -= r.before[k]
		}
		if during > 0 {
			list = append(list, interference.Exposure{Image: x.image, Share: min(float64(during)/float64(now-r.since), 1)})
		}
	}
	return list
}

// ObserveTail records a tail latency that a task with an image reports. Once a period has passed, it returns
// the mean of those reported in it; RestartPeriod must be called then.
func (m *Minion) ObserveTail(t *jobs.Task, latency int64, now, period time.Duration) (mean float64, ok bool) {
	r := m.neighbours.runs[t]
	if r == nil || latency <= 0 {
		return 0, false
	}
	r.tailSum, r.tails = r.tailSum+latency, r.tails+1
	return float64(r.tailSum) / float64(r.tails), now >= r.since+period
}

// RestartPeriod begins the next period of observation of a task with an image.
func (m *Minion) RestartPeriod(t *jobs.Task, now time.Duration) {
	if r := m.neighbours.runs[t]; r != nil {
		m.neighbours.restart(r, imageOf(t), now)
	}
}
