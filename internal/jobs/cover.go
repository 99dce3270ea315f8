package jobs

import "slices"

// A job's stored progress names the minions on which runs of the job may be in progress. A new
// coordinator has to hear from these minions, or wait until the leases there have expired, before
// it starts the job's tasks; all other jobs can start at once. Therefore a start order is sent only
// after the stored row names its minion:
//
//	Order -> row with the minion is written -> stored -> start order is sent
//
// The row names a minion until no run of the job can be in progress on it.

// RecordedOn reports whether the job's stored progress names a minion, and still will after the
// write in flight, whether or not that takes effect.
func (j *Job) RecordedOn(m Minion) bool {
	return j.stored.minions[m] && (j.pendingMinions == nil || j.pendingMinions[m])
}

// MarkUnsaved marks the job's progress to be written again, so that it names the minion of a run
// that was ordered.
func (r *Registry) MarkUnsaved(j *Job) { r.markChanged(j) }

// MayRunOn returns the minions on which runs of the job may be in progress: those of active tasks
// and, for an inherited job, those named by the stored row.
func (j *Job) MayRunOn() map[Minion]bool {
	out := map[Minion]bool{}
	if j.Inherited {
		for m := range j.stored.minions {
			out[m] = true
		}
	}
	for _, t := range j.Active() {
		out[t.Minion] = true
	}
	return out
}

// WriteStarted records that the progress row last returned by EncodeProgress is being written. It
// names the given minions.
func (r *Registry) WriteStarted(j *Job, minions map[Minion]bool) { j.pendingMinions = minions }

// WriteFailed records that the write in flight had no effect.
func (r *Registry) WriteFailed(j *Job) { j.pendingMinions = nil }

// sortedMinions returns the members of a set in ascending order.
func sortedMinions(set map[Minion]bool) []Minion {
	out := make([]Minion, 0, len(set))
	for m := range set {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}
