package jobs

import "slices"

// A job's stored progress names the minions on which runs of it may be going on, so that a
// successor waits for these only and starts everything else at once. A start is sent only
// when the row that a successor would read names its minion:
//
//	order -> (row with the minion is written) -> stored -> start is sent
//
// The row keeps a minion until no run of the job can be there any more.

// RecordedOn reports whether a successor would look for a run of the job on a minion, whatever
// becomes of the write under way.
func (j *Job) RecordedOn(m Minion) bool {
	return j.stored.on[m] && (j.writing == nil || j.writing[m])
}

// MarkUnsaved has the job's progress written, because a run on a minion is to be covered by it.
func (b *Registry) MarkUnsaved(j *Job) { b.changed(j) }

// MayRunOn returns the minions on which runs of the job may be going on: as the row has it
// that was taken over, and as ordered since.
func (j *Job) MayRunOn() map[Minion]bool {
	out := map[Minion]bool{}
	if j.Inherited {
		for m := range j.stored.on {
			out[m] = true
		}
	}
	for _, s := range j.Steps {
		for _, t := range s.Tasks {
			if t.Active() {
				out[t.Minion] = true
			}
		}
	}
	return out
}

// WriteStarted notes that a row of progress is being written, as EncodeProgress returned it last.
func (b *Registry) WriteStarted(j *Job, on map[Minion]bool) { j.writing = on }

// WriteFailed notes that the write under way had no effect.
func (b *Registry) WriteFailed(j *Job) { j.writing = nil }

// minionList returns a set in order.
func minionList(set map[Minion]bool) []Minion {
	out := make([]Minion, 0, len(set))
	for m := range set {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}
