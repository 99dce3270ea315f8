package coordinator

import (
	"time"

	"boragepulley/internal/guard"
	"boragepulley/internal/holding"
	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/logging"
	"boragepulley/internal/schedule"
	"boragepulley/internal/site"
)

// tailPeriod is the time of which the tail latencies reported by a task make one sample. Minions report them
// with each poll, several times a second, and the latencies of successive polls are much the same.
const tailPeriod = 2 * time.Second

// interferenceState is what the term knows of tasks that slow each other down. It has no learner until the
// first sample, and samples are only taken of tasks that name an image.
type interferenceState struct {
	learner *interference.Learner
	// exposures is reused for each sample.
	exposures []interference.Exposure
	// learnedLog and avoidedLog bound the lines about pairs and about placements.
	learnedLog, avoidedLog *logging.Limiter
}

// table returns the trusted pairs, nil if there are none.
func (s *interferenceState) table() *interference.Table {
	if s.learner == nil {
		return nil
	}
	return s.learner.Table()
}

// runBegan records that the run of a task has begun on a minion, unless that is known already. The time is
// known exactly if the start order was sent once; start is nil for a run that a minion reports and whose start
// is not pending.
func (t *Term) runBegan(m *holding.Minion, task *jobs.Task, start *pendingStart) {
	if task.Step.Spec.Image != "" {
		m.RunBegan(task, t.now, start != nil && start.tries == 1 && task.Checkpoint == "")
	}
}

// learnFromEnd takes a sample of a run that has ended as done. It must be called before the end is recorded.
func (t *Term) learnFromEnd(m *holding.Minion, task *jobs.Task, end site.EndReport) {
	spec := task.Step.Spec
	if spec.Image == "" || end.Outcome != jobs.EndDone || end.Run != task.Run || task.Minion != m.ID || task.Phase != jobs.Running {
		return
	}
	// The members of a gang wait for each other, and tasks far from their data or from each other are slow
	// because of that.
	if spec.LongRunning || spec.Gang || spec.SameRack || spec.DataRack != "" && spec.DataRack != string(m.Rack) {
		return
	}
	took, exact := m.RunTime(task, t.now)
	if !exact || t.doubtful(m, t.now-took) {
		return
	}
	t.learn(m, task, float64(took))
}

// learnFromTail records the tail latency that a running task reports, and takes a sample once a period.
func (t *Term) learnFromTail(m *holding.Minion, task *jobs.Task, run site.RunReport) {
	spec := task.Step.Spec
	if spec.Image == "" || !spec.LongRunning || spec.TailTarget == 0 || task.Phase != jobs.Running {
		return
	}
	mean, ended := m.ObserveTail(task, run.Load, t.now, tailPeriod)
	if !ended {
		return
	}
	if !t.doubtful(m, t.now-tailPeriod) {
		t.learn(m, task, mean)
	}
	m.RestartPeriod(task, t.now)
}

// doubtful reports whether a minion has been suspect or silent since a time: the tasks on it may have been slow
// because of a fault, and their ends may be known late.
func (t *Term) doubtful(m *holding.Minion, since time.Duration) bool {
	return m.AvoidUntil > since || m.LastPollFailure >= since && m.LastPollFailure > 0
}

// learn adds a sample of a task, with the images that ran beside it.
func (t *Term) learn(m *holding.Minion, task *jobs.Task, value float64) {
	s := &t.interference
	if s.learner == nil {
		s.learner = interference.NewLearner()
		s.learnedLog, s.avoidedLog = logging.NewLimiter(1, 20), logging.NewLimiter(2, 20)
		setGauge("interference_pairs", 0) // the last term's value otherwise
	}
	s.exposures = m.Exposures(s.exposures[:0], task, t.now)
	counters.Add("interference_samples", 1)
	group := "" // the periods of a long-running task follow one another
	if !task.Step.Spec.LongRunning {
		group = string(task.Step.Job.ID)
	}
	var changes []interference.Change
	// An error in the learner must not set the task's job aside.
	if err := guard.Recover(t.log, "learning which tasks slow each other down", func() {
		changes = s.learner.Add(interference.Sample{Image: interference.Image(task.Step.Spec.Image), Minion: interference.Minion(m.ID),
			Group: group, Value: value, Neighbours: s.exposures, At: t.now})
	}); err != nil {
		s.learner = nil
		return
	}
	if len(changes) == 0 {
		return
	}
	setGauge("interference_pairs", int64(s.table().Pairs()))
	for _, c := range changes {
		if c.Trusted {
			counters.Add("interference_pairs", 1)
		}
		suppressed, ok := s.learnedLog.Allow()
		if !ok {
			continue
		}
		message := "Coordinator: interference learned."
		if !c.Trusted {
			message = "Coordinator: interference no longer known."
		}
		t.log.Info().Str("subject", string(c.Subject)).Str("neighbour", string(c.Neighbour)).Float64("stretch", c.Stretch).
			Float64("samples_with", c.With).Float64("samples_without", c.Without).Int64("suppressed", suppressed).Msg(message)
	}
}

// addInterference adds the trusted pairs to a snapshot, and to each of its minions the images of its tasks. It
// does nothing while no pair is trusted.
func (t *Term) addInterference(s *schedule.Snapshot) {
	table := t.interference.table()
	if table == nil {
		return
	}
	s.Interference = table
	for i := range s.Minions {
		s.Minions[i].Images = table.Bits(t.minions[s.Minions[i].ID].Kinds.Images)
	}
	if len(t.reservedPlaces) == 0 {
		return
	}
	reserved := map[jobs.Minion]uint64{}
	for task, to := range t.reservedPlaces {
		reserved[to] |= table.Bit(interference.Image(task.Step.Spec.Image))
	}
	for i := range s.Minions {
		s.Minions[i].Images |= reserved[s.Minions[i].ID]
	}
}

// countAvoided counts and logs the starts on another minion than without the trusted pairs.
func (t *Term) countAvoided(avoided []schedule.Avoided) {
	for _, a := range avoided {
		counters.Add("interference_avoided", 1)
		if suppressed, ok := t.interference.avoidedLog.Allow(); ok {
			t.log.Info().Str("task", a.Task.Name()).Str("image", a.Task.Step.Spec.Image).Str("minion", string(a.Minion)).Str("instead_of", string(a.InsteadOf)).
				Int64("suppressed", suppressed).Msg("Coordinator: interference avoided.")
		}
	}
}
