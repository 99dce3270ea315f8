package dispatch

import (
	"container/list"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

const (
	// stateRetention is how long the state of an ended job is kept after its answer.
	stateRetention = time.Hour
	// maxEndedJobs is the maximum number of ended jobs whose state is kept.
	maxEndedJobs = 100_000
)

// requestIDKey identifies requests with the same request id. Requests to open queues have
// no team, so their request ids are scoped to the queue instead.
type requestIDKey struct {
	team  model.Team
	queue model.Queue
	id    string
}

func requestIDKeyOf(r model.Request) requestIDKey {
	k := requestIDKey{team: r.Team, id: r.RequestID}
	if r.Team == "" {
		k.queue = r.Queue
	}
	return k
}

// jobRegistry holds the unfinished jobs and, for a limited time, the ended ones. It is
// guarded by the service's lock.
type jobRegistry struct {
	retention time.Duration
	maxBytes  int64

	byID        map[model.JobID]*job
	byRequestID map[requestIDKey]*job
	// ended lists *endedJob values, the earliest end first.
	ended *list.List
	// oldestBody is the earliest ended job whose answer body is still kept.
	oldestBody *list.Element
	bytes      int64
}

type endedJob struct {
	j       *job
	endedAt time.Time
}

func newJobRegistry(retention time.Duration, maxBytes int64) jobRegistry {
	return jobRegistry{
		retention: retention, maxBytes: maxBytes, ended: list.New(),
		byID: map[model.JobID]*job{}, byRequestID: map[requestIDKey]*job{},
	}
}

func (r *jobRegistry) add(j *job) {
	r.byID[j.req.Job] = j
	if j.req.RequestID != "" && !j.forwarded {
		r.byRequestID[requestIDKeyOf(j.req)] = j
	}
}

// repeatedBy returns the job that j repeats: the same job that was forwarded before, or one
// with the same team and request id. It returns nil if there is none.
func (r *jobRegistry) repeatedBy(j *job) *job {
	if j.forwarded {
		return r.byID[j.req.Job]
	}
	if j.req.RequestID == "" {
		return nil
	}
	return r.byRequestID[requestIDKeyOf(j.req)]
}

// markEnded moves a job to the ended ones. The request id of a job that did not run, or of
// an idempotent one without an answer, can be used again.
func (r *jobRegistry) markEnded(j *job, now time.Time) {
	res := j.result()
	repeatable := res.Outcome() == model.OutcomeNotRun || (res.State == model.StateUnknown && j.req.Idempotent)
	if repeatable {
		r.removeRequestID(j)
	}
	e := r.ended.PushBack(&endedJob{j, now})
	r.bytes += int64(len(res.Body))
	if r.oldestBody == nil {
		r.oldestBody = e
	}
	r.evict(now)
}

func (r *jobRegistry) removeRequestID(j *job) {
	if key := requestIDKeyOf(j.req); r.byRequestID[key] == j {
		delete(r.byRequestID, key)
	}
}

// evict removes the answers and states that exceed the limits on age, size or number.
func (r *jobRegistry) evict(now time.Time) {
	for e := r.oldestBody; e != nil; e = r.oldestBody {
		ej := e.Value.(*endedJob)
		if r.bytes <= r.maxBytes && now.Sub(ej.endedAt) < r.retention {
			break
		}
		r.bytes -= ej.j.dropBody()
		r.oldestBody = e.Next()
	}
	for e := r.ended.Front(); e != nil; e = r.ended.Front() {
		ej := e.Value.(*endedJob)
		if r.ended.Len() <= maxEndedJobs && now.Sub(ej.endedAt) < r.retention+stateRetention {
			return
		}
		if e == r.oldestBody {
			r.oldestBody = e.Next()
			r.bytes -= ej.j.dropBody()
		}
		r.ended.Remove(e)
		r.removeRequestID(ej.j)
		delete(r.byID, ej.j.req.Job)
	}
}

// dropBody removes the answer's body and returns its size in bytes. The state of the job
// does not change.
func (j *job) dropBody() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := int64(len(j.res.Body))
	if j.res.State == model.StateRan {
		j.res.Body, j.res.Reason = nil, model.ReasonAnswerExpired
		j.res.Detail = "the answer is no longer kept"
	}
	j.failedAnswer = nil
	return n
}

// Get returns the state of a job that this entry VM accepted or received by forwarding,
// without its answer. The steps name the job's queue and team.
func (s *Service) Get(id model.JobID) peer.JobGetReply { return s.get(id, false) }

// Answer returns the state of a job, with its answer if that is still kept.
func (s *Service) Answer(id model.JobID) peer.JobGetReply { return s.get(id, true) }

func (s *Service) get(id model.JobID, body bool) peer.JobGetReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.evict(time.Now())
	j := s.registry.byID[id]
	if j == nil {
		return peer.JobGetReply{Result: model.Result{Job: id}}
	}
	res := j.result()
	if !body {
		res.Body = nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.originalResult != nil {
		res = *j.originalResult
	}
	return peer.JobGetReply{Found: true, Result: res, Steps: append([]model.Record(nil), j.steps...)}
}
