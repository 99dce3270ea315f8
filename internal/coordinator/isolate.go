package coordinator

import (
	"boragepulley/internal/guard"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// Work for one job runs isolated: a panic sets the job aside for the rest of the term, and the others go
// on. Otherwise the term would end, its successor would load the same job, and no job of the site would run.
// A job that was set aside keeps its rows, so that a later version of this program can continue it.

// isolated runs f, which works for one job. It returns false if f panicked; the job is then set aside.
func (t *Term) isolated(j *jobs.Job, doing string, f func()) bool {
	if err := guard.Recover(t.log, doing, f); err != nil {
		t.setAside(j, doing)
		return false
	}
	return true
}

// eachLive runs f isolated for each job that is not in a final state and has occurrences in memory.
func (t *Term) eachLive(doing string, f func(j *jobs.Job)) {
	for _, j := range t.registry.Live() {
		t.isolated(j, doing, func() { f(j) })
	}
}

// isolatedTask is isolated for the job of a named task. If it has none, a panic is passed on.
func (t *Term) isolatedTask(name string, doing string, f func()) {
	n, err := jobs.ParseTaskName(name)
	if err != nil {
		f()
		return
	}
	j := t.registry.Get(n.Job)
	if j == nil {
		f()
		return
	}
	t.isolated(j, doing, f)
}

// setAside removes a job from the state of the term. Its runs are stopped as those of an unknown job once
// their minions list them.
func (t *Term) setAside(j *jobs.Job, doing string) {
	counters.Add("jobs_set_aside", 1)
	t.log.Error().Str("job", string(j.ID)).Str("doing", doing).Msg("Coordinator: job set aside after an unexpected error; it does not run in this term.")
	t.asideJobs[j.ID] = true
	for _, m := range t.minions {
		m.DropJob(j)
	}
	ofJob := func(task *jobs.Task) bool { return task.Step.Job == j }
	for task := range t.pendingStarts {
		if ofJob(task) {
			delete(t.pendingStarts, task)
		}
	}
	for task := range t.pendingStops {
		if ofJob(task) {
			delete(t.pendingStops, task)
		}
	}
	for task := range t.reservedPlaces {
		if ofJob(task) {
			delete(t.reservedPlaces, task)
		}
	}
	delete(t.writer.heldStarts, j)
	t.registry.Remove(j.ID)
	t.needsPlan = true
}

// decodeMinion decodes an entry of the list of minions. A panic is an error of the entry.
func (t *Term) decodeMinion(id string, value []byte) (e site.MinionEntry, err error) {
	if failed := guard.Recover(t.log, "decoding a minion's entry", func() { e, err = t.deps.Codec.Minion(id, value) }); failed != nil {
		return e, failed
	}
	return e, err
}
