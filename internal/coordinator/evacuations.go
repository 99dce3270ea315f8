package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

// reasonEvacuated is the reason for withdrawing a start from a minion of an evacuated data centre.
const reasonEvacuated model.Reason = "evacuated"

// errWithheld is the error of a start that was not sent because mayStartIn did not allow it.
var errWithheld = errors.Wrap(site.ErrNotSent, "coordinator: no start may be sent to the data centre")

const (
	// suspendedAfter is the pause of the term's loop from which the process counts as having been
	// suspended. The loop runs at least every 40 ms, and a long scheduling run takes 0.2 s.
	suspendedAfter = time.Second
	// operatorReadTimeout bounds the read of the operators' table after that.
	operatorReadTimeout = 900 * time.Millisecond
)

// knownEvacuations returns the operators' evacuations, or nil. It is safe for concurrent use.
func (t *Term) knownEvacuations() *evacuation.State {
	if t.deps.Evacuations == nil {
		return nil
	}
	return t.deps.Evacuations()
}

// learnEvacuations passes on a state. It is safe for concurrent use.
func (t *Term) learnEvacuations(s *evacuation.State, source string) {
	if t.deps.LearnEvacuations != nil && s != nil {
		t.deps.LearnEvacuations(s, source)
	}
}

// evacuated reports whether a data centre is evacuated.
func (t *Term) evacuated(dc model.DataCentre) bool { return t.knownEvacuations().Evacuated(dc) }

// mayStartIn reports whether starts may be sent to a data centre: it is not evacuated, the operators'
// table has been read, and is not being read again. It is safe for concurrent use.
func (t *Term) mayStartIn(dc model.DataCentre) bool {
	if t.deps.Evacuations == nil {
		return true
	}
	s := t.deps.Evacuations()
	return s != nil && !s.Evacuated(dc) && !t.rereading.Load()
}

// noticeSuspension reads the operators' table again after the process was suspended: the call that
// would have told of a change may be broken, which takes a while to be noticed. If the store does not
// answer, starts continue, as in any outage of the store. It must run before the orders' deadline is
// extended: that ends during a suspension which is long enough to matter, so until then none is sent.
func (t *Term) noticeSuspension() {
	paused := t.now - t.lastLoop
	if t.deps.Evacuations != nil && paused > suspendedAfter && !t.rereading.Load() {
		t.rereading.Store(true)
		t.async(operatorReadTimeout, func(ctx context.Context) func() {
			err := t.readEvacuations(ctx)
			t.rereading.Store(false)
			return func() {
				t.log.Info().Err(err).Dur("paused", paused).Msg("Coordinator: evacuations read again after a pause of the process.")
				t.needsPlan, t.ordersChanged = true, true
			}
		})
	}
	t.lastLoop = t.now
}

// readEvacuations reads the operators' table at the start of a term. What this process knew before
// may be older than the term: it may have been suspended, or cut off from the store.
func (t *Term) readEvacuations(ctx context.Context) error {
	c, err := t.deps.Feed.ReadAll(ctx, platform.PriorityClaim, evacuation.Table)
	if err != nil {
		return err
	}
	s, _ := evacuation.Apply(nil, c.Rows, c.Version, true) // the entry VM logs faulty rows as it follows the table
	t.learnEvacuations(s, "store")
	return nil
}

// updateEvacuations acts on a new state.
func (t *Term) updateEvacuations() {
	s := t.knownEvacuations()
	if s == t.evacuations {
		return
	}
	begun, ended := evacuation.Diff(t.evacuations, s)
	t.evacuations = s
	for _, dc := range begun {
		t.logEvacuation(dc)
	}
	for _, dc := range ended {
		t.log.Info().Str("dc", string(dc)).Uint64("version", evacuation.VersionOf(s)).Msg("Coordinator: evacuation no longer in force.")
	}
	if len(begun)+len(ended) > 0 {
		t.needsPlan, t.ordersChanged = true, true // resendOrders withdraws starts, the plan releases reserved places
	}
}

// logEvacuation logs an evacuation that has come into force, with what it affects.
func (t *Term) logEvacuation(dc model.DataCentre) {
	minions, running, unsent, unanswered, inFlight := 0, 0, 0, 0, 0
	for _, m := range t.minions {
		if m.DC != dc {
			continue
		}
		minions++
		for task := range m.Tasks {
			start := t.pendingStarts[task]
			switch {
			case task.Phase == jobs.Running:
				running++
			case start == nil:
			case start.inFlight:
				inFlight++
			case start.tries == 0:
				unsent++
			default:
				unanswered++
			}
		}
	}
	t.log.Warn().Str("dc", string(dc)).Uint64("version", t.evacuations.Version).Int("minions", minions).Int("running", running).
		Int("unsent_requeued", unsent).Int("unanswered_stopped", unanswered).Int("in_flight", inFlight).Msg("Coordinator: evacuation in force.")
}

// withdrawStart withdraws a start from a minion of an evacuated data centre. If it has certainly not
// been sent, the task is requeued. Otherwise it may be carried out, so its run is stopped. The other
// members of a gang must not be started without this one; the next plan stops those that were, see
// incompleteGang.
func (t *Term) withdrawStart(task *jobs.Task, start *pendingStart) {
	counters.Add("evacuation_requeues", 1)
	if start.tries > 0 {
		t.stopRun(task, reasonEvacuated)
	} else {
		t.requeueBecause(task, string(reasonEvacuated))
	}
	t.needsPlan = true
	if !task.Step.Spec.Gang {
		return
	}
	for _, other := range task.Step.Tasks {
		s := t.pendingStarts[other]
		if s == nil || s.tries > 0 {
			continue
		}
		reason := reasonGang
		if t.evacuated(s.minion.DC) {
			reason = reasonEvacuated
			counters.Add("evacuation_requeues", 1)
		}
		t.requeueBecause(other, string(reason))
	}
}
