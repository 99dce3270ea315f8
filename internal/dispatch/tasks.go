package dispatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/upstream"
)

// ErrCoordinatorUnreachable means that the coordinator did not answer a query about a
// task. It says nothing about the state of the task.
var ErrCoordinatorUnreachable = errors.New("dispatch: the task's coordinator did not answer")

const (
	// insertTimeout limits how long the insert of a row is retried while its outcome is
	// unknown. It is far shorter than the retention of an ended task's row, so that a late
	// retry never inserts a task a second time.
	insertTimeout = 30 * time.Second
	// Delays between polls of the row of a task whose caller waits. The longest one keeps
	// a thousand waiting callers within the read budget of a site.
	taskPollMin = 100 * time.Millisecond
	taskPollMax = 2 * time.Second
	// taskReadTimeout is the timeout of one read.
	taskReadTimeout = 2 * time.Second
)

// TaskSpec is what a caller declares about a task.
type TaskSpec struct {
	Size model.TaskSize
	// RunMS is the declared run time in milliseconds, 0 if none is given.
	RunMS         int64
	CanCheckpoint bool
}

// TaskCoordinator reaches the coordinator of the local data centre about tasks. It is
// implemented by control.Control.
type TaskCoordinator interface {
	// OfferTask notifies the coordinator of a stored row, in the background.
	OfferTask(version uint64, row model.TaskRow)
	// CancelTask cancels a task that has not started. Found is false in the reply if the
	// task is unknown; an error says nothing about the task.
	CancelTask(ctx context.Context, job model.JobID, team model.Team) (peer.JobGetReply, error)
}

func (j *job) isTask() bool { return j.queue.Kind == config.QueueTasks }

// taskStored reports whether j is a task whose row is or may be stored. The store then
// holds its state.
func (j *job) taskStored() bool {
	if !j.isTask() {
		return false
	}
	select {
	case <-j.done:
	default:
		return false
	}
	return !j.result().State.Final()
}

// storeTask stores the body and the row of a task and hands the task over to the
// coordinator. The job's goroutine ends afterwards.
func (s *Service) storeTask(j *job) {
	if s.cfg.Objects == nil || s.cfg.Tasks == nil {
		s.endJob(j, model.ReasonNoMinion, "this entry VM does not accept tasks")
		return
	}
	if r := j.stopReason(); r != model.ReasonNone {
		s.endJob(j, r, "")
		return
	}
	ctx, cancel := context.WithTimeout(j.ctx, insertTimeout)
	err := platform.PutAndVerify(ctx, s.cfg.Objects, platform.PriorityClaim, model.TaskBodyName(j.req.Job), j.body)
	cancel()
	if err != nil {
		s.endJob(j, reasonOr(j.stopReason(), model.ReasonStoreUnavailable), "the body could not be stored: "+err.Error())
		return
	}
	if err := j.markInFlight(nil); err != nil {
		s.endJob(j, reasonOr(j.stopReason(), model.ReasonCancelled), "")
		return
	}
	row := j.taskRow()
	version, err := s.insertTask(row)
	switch {
	case err == nil:
		s.recordStep(j, step{state: model.StateQueued, reason: model.ReasonTaskStored})
		s.cfg.Tasks.OfferTask(version, row)
	case errors.Is(err, platform.ErrUnknownOutcome):
		j.clearInFlight(true)
		s.endJob(j, model.ReasonAnswerLost, "it is not known whether the task was stored: "+err.Error())
	default:
		j.clearInFlight(false)
		s.endJob(j, model.ReasonStoreUnavailable, "the task was not stored: "+err.Error())
	}
}

func (j *job) taskRow() model.TaskRow {
	return model.TaskRow{Request: j.req, ContentType: j.contentType, Digest: upstream.Digest(j.body), Declared: j.task.Size,
		RunMS: j.task.RunMS, CanCheckpoint: j.task.CanCheckpoint, State: model.TaskWaiting}
}

// insertTask inserts the row unless it exists. platform.ErrUnknownOutcome means that the
// row may be stored; after any other error it is not and will not be stored.
func (s *Service) insertTask(row model.TaskRow) (uint64, error) {
	val, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "task row")
	}
	key := model.TaskKey(s.cfg.DC, row.Request.Job)
	// The caller's deadline does not apply, because the outcome must be determined.
	ctx, cancel := context.WithTimeout(context.Background(), insertTimeout)
	defer cancel()
	v, err := platform.CommitAndVerify(ctx, s.cfg.Table, platform.PriorityClaim, platform.Txn{
		Conditions: []platform.Condition{{Key: key}}, Puts: []platform.Put{{Key: key, Value: val}},
	}, key, func(platform.Row) bool { return true }) // any row under this key is this task's: the key contains the job id
	return v[key], err
}

// awaitTaskResult waits for the result of a stored task until its deadline or until ctx
// ends. The results of other jobs are returned unchanged.
func (s *Service) awaitTaskResult(ctx context.Context, j *job, res model.Result) model.Result {
	if !j.taskStored() || res.Job != j.req.Job {
		return res
	}
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	stop := context.AfterFunc(s.drain, cancel)
	defer stop()
	for delay := taskPollMin; ; delay = min(delay*5/4, taskPollMax) {
		if rep, err := s.FindTask(ctx, j.req.Job, true); err == nil && rep.Found {
			res = rep.Result
			if res.State.Final() || res.State == model.StateUnknown {
				return res
			}
		}
		if !sleep(ctx, delay/2+rand.N(delay)) {
			break
		}
	}
	res.State, res.Reason = model.StateUnknown, model.ReasonDeadlineRunning
	res.Detail = "the task had not ended at the deadline of its request; ask for its state later"
	if s.isDraining() {
		res.Reason = model.ReasonShuttingDown
		res.Detail = "this entry VM is shutting down; the task continues, ask another entry VM for its state"
	}
	return res
}

// Find returns the state of a job that this entry VM accepted or received by forwarding, or
// of a task that any entry VM accepted. It returns an error if the store does not answer.
func (s *Service) Find(ctx context.Context, id model.JobID, answer bool) (peer.JobGetReply, error) {
	s.mu.Lock()
	j := s.registry.byID[id]
	s.mu.Unlock()
	if j != nil && !j.taskStored() {
		return s.get(id, answer), nil
	}
	rep, err := s.FindTask(ctx, id, answer)
	if j != nil && (err != nil || !rep.Found) {
		return s.get(id, answer), nil
	}
	if err != nil {
		// Without the store, only the jobs in the registry are known.
		return peer.JobGetReply{Result: model.Result{Job: id}}, err
	}
	return rep, nil
}

// FindTask reads the state of a task from the store, with its answer if requested.
func (s *Service) FindTask(ctx context.Context, id model.JobID, answer bool) (peer.JobGetReply, error) {
	none := peer.JobGetReply{Result: model.Result{Job: id}}
	dc, ok := s.acceptingDC(id)
	if !ok || s.cfg.Objects == nil {
		return none, nil
	}
	ctx, cancel := context.WithTimeout(ctx, taskReadTimeout)
	defer cancel()
	r, err := s.cfg.Table.Get(ctx, platform.PriorityBackground, model.TaskKey(dc, id))
	if err != nil {
		return none, errors.Wrap(err, "dispatch: task row")
	}
	if r.Version == 0 || len(r.Value) == 0 {
		return s.readTaskAnswer(ctx, id)
	}
	var row model.TaskRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return none, errors.Wrap(err, "dispatch: task row")
	}
	res := control.TaskResult(row)
	if answer && res.State == model.StateRan {
		return s.readTaskAnswer(ctx, id)
	}
	return taskReply(id, row.Request.Queue, row.Request.Team, res), nil
}

// readTaskAnswer reads the stored answer of a task that ran.
func (s *Service) readTaskAnswer(ctx context.Context, id model.JobID) (peer.JobGetReply, error) {
	none := peer.JobGetReply{Result: model.Result{Job: id}}
	data, err := s.cfg.Objects.Get(ctx, platform.PriorityBackground, model.TaskAnswerName(id))
	if errors.Is(err, platform.ErrNotFound) {
		return none, nil
	}
	if err != nil {
		return none, errors.Wrap(err, "dispatch: task answer")
	}
	var a model.TaskAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return none, errors.Wrap(err, "dispatch: task answer")
	}
	return taskReply(id, a.Queue, a.Team, a.Result), nil
}

func taskReply(id model.JobID, q model.Queue, t model.Team, res model.Result) peer.JobGetReply {
	return peer.JobGetReply{Found: true, Result: res, Steps: []model.Record{{Job: id, Queue: q, Team: t, State: res.State}}}
}

// acceptingDC returns the data centre of the entry VM that accepted a job.
func (s *Service) acceptingDC(id model.JobID) (model.DataCentre, bool) {
	entry, err := id.Entry()
	if err != nil {
		return "", false
	}
	if entry == s.cfg.Entry {
		return s.cfg.DC, true
	}
	p, ok := s.cfg.Control.Snapshot().Peers[entry]
	return p.DC, ok
}

// cancelLocalTask cancels a task of the local data centre. Errors: ErrNoSuchJob,
// ErrNotOwner, ErrNotCancellable, ErrCoordinatorUnreachable.
func (s *Service) cancelLocalTask(id model.JobID, team model.Team) (model.Result, error) {
	none := model.Result{Job: id}
	dc, ok := s.acceptingDC(id)
	if !ok || dc != s.cfg.DC || s.cfg.Tasks == nil {
		return none, ErrNoSuchJob
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	rep, err := s.cfg.Tasks.CancelTask(ctx, id, team)
	switch {
	case err != nil:
		return model.Result{Job: id, State: model.StateUnknown}, errors.Wrap(ErrCoordinatorUnreachable, err.Error())
	case !rep.Found:
		return none, ErrNoSuchJob
	case rep.Denied:
		return none, ErrNotOwner
	case rep.Result.State != model.StateCancelled:
		return rep.Result, ErrNotCancellable
	}
	return rep.Result, nil
}

// CancelTask cancels a task through any entry VM of its data centre. Errors: those of
// Cancel and ErrCoordinatorUnreachable.
func (s *Service) CancelTask(ctx context.Context, id model.JobID, team model.Team) (model.Result, error) {
	dc, ok := s.acceptingDC(id)
	if !ok || s.cfg.Lookup == nil {
		return model.Result{Job: id}, ErrNoSuchJob
	}
	if dc == s.cfg.DC {
		return s.cancelLocalTask(id, team)
	}
	res, err := model.Result{Job: id}, error(ErrNoSuchJob)
	for _, to := range s.forwardCandidates(dc) {
		res, err = s.cfg.Lookup.JobCancel(ctx, to, id, team)
		if err == nil || errors.Is(err, ErrNotCancellable) || errors.Is(err, ErrNotOwner) {
			break
		}
	}
	return res, err
}
