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

// ErrCoordinatorUnreachable means that the coordinator did not answer about a task; it says
// nothing about the task.
var ErrCoordinatorUnreachable = errors.New("dispatch: the task's coordinator did not answer")

const (
	// insertFor bounds how long the insert of a row is repeated while its outcome is not
	// known. It is far below the time for which the row of an ended task is kept, so that
	// a late repetition never inserts a task again.
	insertFor = 30 * time.Second
	// Waits between two reads of the row of a task whose caller waits. The longest one
	// keeps a thousand waiting callers within the reads of a site.
	taskPollMin = 100 * time.Millisecond
	taskPollMax = 2 * time.Second
	// taskReadTimeout bounds one read.
	taskReadTimeout = 2 * time.Second
)

// TaskSpec is what a caller declares about a task.
type TaskSpec struct {
	Size model.TaskSize
	// RunMS is the declared run time in milliseconds, 0 if none is given.
	RunMS         int64
	CanCheckpoint bool
}

// TaskCoordinator reaches the coordinator of the own data centre about tasks. control.Control
// implements it.
type TaskCoordinator interface {
	// OfferTask tells the coordinator about a stored row, in the background.
	OfferTask(version uint64, row model.TaskRow)
	// CancelTask cancels a task that never started. The reply has Found false for an
	// unknown task; an error says nothing about the task.
	CancelTask(ctx context.Context, job model.JobID, team model.Team) (peer.JobGetReply, error)
}

func (j *job) isTask() bool { return j.queue.Kind == config.QueueTasks }

// taskStored reports whether j is a task whose row is or may be stored: its state is then
// in the store.
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

// storeTask stores the body and the row of a task. The job's goroutine ends after it; the
// coordinator has the task then.
func (s *Service) storeTask(j *job) {
	if s.cfg.Objects == nil || s.cfg.Tasks == nil {
		s.end(j, model.ReasonNoMinion, "this entry VM takes no tasks")
		return
	}
	if r := j.stopReason(); r != model.ReasonNone {
		s.end(j, r, "")
		return
	}
	ctx, cancel := context.WithTimeout(j.ctx, insertFor)
	err := platform.PutAndVerify(ctx, s.cfg.Objects, platform.PriorityClaim, model.TaskBodyName(j.req.Job), j.body)
	cancel()
	if err != nil {
		s.end(j, reasonOr(j.stopReason(), model.ReasonStoreUnavailable), "the body could not be stored: "+err.Error())
		return
	}
	if err := j.hand(nil); err != nil {
		s.end(j, reasonOr(j.stopReason(), model.ReasonCancelled), "")
		return
	}
	row := j.taskRow()
	version, err := s.insertTask(row)
	switch {
	case err == nil:
		s.step(j, fact{state: model.StateQueued, reason: model.ReasonTaskStored})
		s.cfg.Tasks.OfferTask(version, row)
	case errors.Is(err, platform.ErrUnknownOutcome):
		j.handBack(true)
		s.end(j, model.ReasonAnswerLost, "it is not known whether the task was stored: "+err.Error())
	default:
		j.handBack(false)
		s.end(j, model.ReasonStoreUnavailable, "the task was not stored: "+err.Error())
	}
}

func (j *job) taskRow() model.TaskRow {
	return model.TaskRow{Request: j.req, ContentType: j.contentType, Digest: upstream.Digest(j.body), Declared: j.task.Size,
		RunMS: j.task.RunMS, CanCheckpoint: j.task.CanCheckpoint, State: model.TaskWaiting}
}

// insertTask inserts the row unless it exists. Errors: ErrUnknownOutcome; any other error
// means that the row is not and will not be stored.
func (s *Service) insertTask(row model.TaskRow) (uint64, error) {
	val, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "task row")
	}
	key := model.TaskKey(s.cfg.DC, row.Request.Job)
	// The caller's deadline does not end it: the outcome must become known.
	ctx, cancel := context.WithTimeout(context.Background(), insertFor)
	defer cancel()
	v, err := platform.CommitAndVerify(ctx, s.cfg.Table, platform.PriorityClaim, platform.Txn{
		Conditions: []platform.Condition{{Key: key}}, Puts: []platform.Put{{Key: key, Value: val}},
	}, key, func(platform.Row) bool { return true }) // the key names the job, which has one row only
	return v[key], err
}

// taskResult returns the result of a task that is stored, waiting for its end until the
// deadline or until ctx ends. Other jobs' results are returned as they are.
func (s *Service) taskResult(ctx context.Context, j *job, res model.Result) model.Result {
	if !j.taskStored() || res.Job != j.req.Job {
		return res
	}
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	stop := context.AfterFunc(s.drain, cancel)
	defer stop()
	for gap := taskPollMin; ; gap = min(gap*5/4, taskPollMax) {
		if rep, err := s.FindTask(ctx, j.req.Job, true); err == nil && rep.Found {
			res = rep.Result
			if res.State.Final() || res.State == model.StateUnknown {
				return res
			}
		}
		if !sleep(ctx, gap/2+rand.N(gap)) {
			break
		}
	}
	res.State, res.Reason = model.StateUnknown, model.ReasonDeadlineRunning
	res.Detail = "the task had not ended at the deadline of its request; ask for its state later"
	if s.isDraining() {
		res.Reason = model.ReasonShuttingDown
		res.Detail = "this entry VM shuts down; the task goes on, ask another entry VM for its state"
	}
	return res
}

// Find returns the state of a job that this entry VM accepted or works on, or of a
// task, wherever it was accepted. Error: the store does not tell.
func (s *Service) Find(ctx context.Context, id model.JobID, answer bool) (peer.JobGetReply, error) {
	s.mu.Lock()
	j := s.kept.jobs[id]
	s.mu.Unlock()
	if j != nil && !j.taskStored() {
		return s.get(id, answer), nil
	}
	rep, err := s.FindTask(ctx, id, answer)
	if j != nil && (err != nil || !rep.Found) {
		return s.get(id, answer), nil
	}
	if err != nil {
		// Without the store, only the jobs that are kept here are known.
		return peer.JobGetReply{Result: model.Result{Job: id}}, err
	}
	return rep, nil
}

// FindTask reads the state of a task, and its answer if asked for, from the store.
func (s *Service) FindTask(ctx context.Context, id model.JobID, answer bool) (peer.JobGetReply, error) {
	none := peer.JobGetReply{Result: model.Result{Job: id}}
	dc, ok := s.dcOf(id)
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
		return s.endedTask(ctx, id)
	}
	var row model.TaskRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return none, errors.Wrap(err, "dispatch: task row")
	}
	res := control.TaskResult(row)
	if answer && res.State == model.StateRan {
		return s.endedTask(ctx, id)
	}
	return taskReply(id, row.Request.Queue, row.Request.Team, res), nil
}

// endedTask reads the answer of a task that ran.
func (s *Service) endedTask(ctx context.Context, id model.JobID) (peer.JobGetReply, error) {
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

// dcOf returns the data centre of the entry VM that accepted a job.
func (s *Service) dcOf(id model.JobID) (model.DataCentre, bool) {
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

// cancelLocalTask cancels a task of the own data centre. Errors: ErrNoSuchJob, ErrNotOwner,
// ErrNotCancellable, ErrCoordinatorUnreachable.
func (s *Service) cancelLocalTask(id model.JobID, team model.Team) (model.Result, error) {
	none := model.Result{Job: id}
	dc, ok := s.dcOf(id)
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

// CancelTask cancels a task through any entry VM of its data centre. Errors: as
// Cancel, and ErrCoordinatorUnreachable.
func (s *Service) CancelTask(ctx context.Context, id model.JobID, team model.Team) (model.Result, error) {
	dc, ok := s.dcOf(id)
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
