package dispatch

import (
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
)

// Metrics: job steps by state and reason, and repeated requests that joined a job.
var (
	stepCount   = expvar.NewMap("dispatch_steps")
	repeatCount = expvar.NewInt("dispatch_repeats")
)

// fact is one step in the life of a job.
type fact struct {
	state   model.State
	reason  model.Reason
	detail  string
	minion  model.VM
	attempt int
	// answer is set with StateRan.
	answer *model.Result
}

// step moves a job to a state: it checks the invariants, keeps the step, accounts for
// it and logs it with its reason.
func (s *Service) step(j *job, f fact) {
	rec := model.Record{
		Job: j.req.Job, Time: time.Now(), Entry: s.cfg.Entry, State: f.state, Reason: f.reason,
		Queue: j.req.Queue, Team: j.req.Team, RequestID: j.req.RequestID,
		Minion: f.minion, Attempt: f.attempt, Config: version(s.cfg.Control.Snapshot()), Detail: f.detail,
	}
	j.take(f, rec)
	if accountable(j, f.state) {
		s.cfg.Recorder.Record(rec)
	}
	s.logStep(rec)
}

// take makes a step the job's present state. The lock is released even if a violated
// invariant panics, so that the panic ends the process instead of blocking it.
func (j *job) take(f fact, rec model.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	checkStep(j, f)
	j.setResultLocked(f)
	if len(j.steps) < maxSteps || f.state.Final() {
		j.steps = append(j.steps, rec)
	}
}

// accountable reports whether this entry VM may account for the state. A refusal of a
// forwarded job is only this entry VM's: the one that accepted the job may still
// dispatch it, and alone accounts for the refusal.
func accountable(j *job, st model.State) bool {
	return !j.forwarded || (st != model.StateAccepted && st.Outcome() != model.OutcomeNotRun)
}

// checkStep asserts the invariants of a state change. j.mu is held.
func checkStep(j *job, f fact) {
	old := j.res.State
	invariant.Check(!old.Final() || old == f.state, invariant.TrueRefusal,
		"job %s goes from final state %s to %s", j.req.Job, old, f.state)
	if f.state.Outcome() == model.OutcomeNotRun {
		invariant.Check(!j.handed && !j.mayHaveRun && j.failedAnswer == nil, invariant.TrueRefusal,
			"job %s is reported as not run (%s) but may have run", j.req.Job, f.reason)
	}
	if f.answer != nil {
		invariant.Check(f.answer.Job == j.req.Job, invariant.WholeAnswer,
			"job %s gets the answer of job %s", j.req.Job, f.answer.Job)
	}
}

func (j *job) setResultLocked(f fact) {
	j.res.State, j.res.Reason, j.res.Detail = f.state, f.reason, f.detail
	if f.minion != "" {
		j.res.Minion = f.minion
	}
	if f.state == model.StateDispatched && f.minion != "" {
		j.res.Attempts++
	}
	if f.answer != nil {
		j.res.Status, j.res.ContentType, j.res.Body = f.answer.Status, f.answer.ContentType, f.answer.Body
		j.res.Minion, j.res.Attempts = f.answer.Minion, max(j.res.Attempts, f.answer.Attempts)
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
