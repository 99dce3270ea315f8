package dispatch

import (
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
)

// Metrics: job steps by state and reason, and repeated requests attached to an earlier job.
var (
	stepCount   = expvar.NewMap("dispatch_steps")
	repeatCount = expvar.NewInt("dispatch_repeats")
)

// step is one state change of a job.
type step struct {
	state   model.State
	reason  model.Reason
	detail  string
	minion  model.VM
	attempt int
	// answer is set with StateRan.
	answer *model.Result
}

// recordStep applies a state change to a job: it checks the invariants, keeps the step,
// passes it to the recorder and logs it with its reason.
func (s *Service) recordStep(j *job, st step) {
	defer s.cfg.Recorder.Begin()()
	rec := model.Record{
		Job: j.req.Job, Time: time.Now(), Entry: s.cfg.Entry, State: st.state, Reason: st.reason,
		Queue: j.req.Queue, Team: j.req.Team, RequestID: j.req.RequestID,
		Minion: st.minion, Attempt: st.attempt, Config: version(s.cfg.Control.Snapshot()), Detail: st.detail,
	}
	j.applyStep(st, rec)
	if shouldRecord(j, st.state) {
		s.cfg.Recorder.Record(rec)
	}
	s.logStep(rec)
}

// applyStep sets the job's state to that of the step. The lock is released even if a
// violated invariant panics, so that the panic ends the process instead of blocking it.
func (j *job) applyStep(st step, rec model.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	checkStep(j, st)
	j.setResultLocked(st)
	if len(j.steps) < maxSteps || st.state.Final() {
		j.steps = append(j.steps, rec)
	}
}

// shouldRecord reports whether this entry VM passes the state to its recorder. It does not
// record the acceptance or refusal of a forwarded job: the entry VM that accepted the job
// records these, and may still dispatch the job after a refusal here.
func shouldRecord(j *job, state model.State) bool {
	return !j.forwarded || (state != model.StateAccepted && state.Outcome() != model.OutcomeNotRun)
}

// checkStep checks the invariants of a state change. The caller holds j.mu.
func checkStep(j *job, st step) {
	old := j.res.State
	invariant.Check(!old.Final() || old == st.state, invariant.NoWorkAfterRefusal,
		"job %s changes from final state %s to %s", j.req.Job, old, st.state)
	if st.state.Outcome() == model.OutcomeNotRun {
		invariant.Check(!j.inFlight && !j.mayHaveRun && j.failedAnswer == nil, invariant.NoWorkAfterRefusal,
			"job %s is reported as not run (%s) but may have run", j.req.Job, st.reason)
	}
	if st.answer != nil {
		invariant.Check(st.answer.Job == j.req.Job, invariant.CompleteResponse,
			"job %s gets the answer of job %s", j.req.Job, st.answer.Job)
	}
}

func (j *job) setResultLocked(st step) {
	j.res.State, j.res.Reason, j.res.Detail = st.state, st.reason, st.detail
	if st.minion != "" {
		j.res.Minion = st.minion
	}
	if st.state == model.StateDispatched && st.minion != "" {
		j.res.Attempts++
	}
	if st.answer != nil {
		j.res.Status, j.res.ContentType, j.res.Body = st.answer.Status, st.answer.ContentType, st.answer.Body
		j.res.Minion, j.res.Attempts = st.answer.Minion, max(j.res.Attempts, st.answer.Attempts)
	}
}

func (s *Service) logStep(r model.Record) {
	name := string(r.State)
	if r.Reason != model.ReasonNone {
		name += "/" + string(r.Reason)
	}
	stepCount.Add(name, 1)
	ev := s.log.Info()
	if r.State == model.StateUnknown {
		ev = s.log.Warn()
	}
	logRecord(ev, r).Msg("job " + string(r.State))
}

func logRecord(ev *zerolog.Event, r model.Record) *zerolog.Event {
	ev = ev.Str("job", string(r.Job)).Str("queue", string(r.Queue)).Str("reason", string(r.Reason))
	if r.Team != "" {
		ev = ev.Str("team", string(r.Team))
	}
	if r.Minion != "" {
		ev = ev.Str("minion", string(r.Minion))
	}
	if r.Attempt > 0 {
		ev = ev.Int("attempt", r.Attempt)
	}
	if r.Detail != "" {
		ev = ev.Str("detail", r.Detail)
	}
	return ev
}
