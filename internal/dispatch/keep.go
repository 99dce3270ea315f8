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
	// maxKept bounds the ended jobs whose state is kept.
	maxKept = 100_000
)

// repeatKey finds an earlier request with the same id. Requests of queues open to all
// have no team, so their ids are separate per queue.
type repeatKey struct {
	team  model.Team
	queue model.Queue
	id    string
}

func repeatKeyOf(r model.Request) repeatKey {
	k := repeatKey{team: r.Team, id: r.RequestID}
	if r.Team == "" {
		k.queue = r.Queue
	}
	return k
}

// keptJobs are the unfinished jobs and, for a bounded time, the ended ones. The
// service's lock guards it.
type keptJobs struct {
	retention time.Duration
	maxBytes  int64

	jobs    map[model.JobID]*job
	repeats map[repeatKey]*job
	// ended holds *endedJob in the order of their end.
	ended *list.List
	// oldestBody is the oldest ended job whose body is kept.
	oldestBody *list.Element
	bytes      int64
}

type endedJob struct {
	j  *job
	at time.Time
}

func newKeptJobs(retention time.Duration, maxBytes int64) keptJobs {
	return keptJobs{
		retention: retention, maxBytes: maxBytes, ended: list.New(),
		jobs: map[model.JobID]*job{}, repeats: map[repeatKey]*job{},
	}
}

func (k *keptJobs) add(j *job) {
	k.jobs[j.req.Job] = j
	if j.req.RequestID != "" && !j.forwarded {
		k.repeats[repeatKeyOf(j.req)] = j
	}
}

// earlier returns the job that j repeats: the same job forwarded again, or one with
// the same team and request id.
func (k *keptJobs) earlier(j *job) *job {
	if j.forwarded {
		return k.jobs[j.req.Job]
	}
	if j.req.RequestID == "" {
		return nil
	}
	return k.repeats[repeatKeyOf(j.req)]
}

// finish keeps an ended job. A job that did not run, or an idempotent one without an
// answer, can be asked for again with the same request id.
func (k *keptJobs) finish(j *job, now time.Time) {
	res := j.result()
	again := res.Outcome() == model.OutcomeNotRun || (res.State == model.StateUnknown && j.req.Idempotent)
	if again {
		k.forgetRepeat(j)
	}
	e := k.ended.PushBack(&endedJob{j, now})
	k.bytes += int64(len(res.Body))
	if k.oldestBody == nil {
		k.oldestBody = e
	}
	k.sweep(now)
}

func (k *keptJobs) forgetRepeat(j *job) {
	if key := repeatKeyOf(j.req); k.repeats[key] == j {
		delete(k.repeats, key)
	}
}

// sweep drops answers and states past their bounds.
func (k *keptJobs) sweep(now time.Time) {
	for e := k.oldestBody; e != nil; e = k.oldestBody {
		ej := e.Value.(*endedJob)
		if k.bytes <= k.maxBytes && now.Sub(ej.at) < k.retention {
			break
		}
		k.bytes -= ej.j.dropBody()
		k.oldestBody = e.Next()
	}
	for e := k.ended.Front(); e != nil; e = k.ended.Front() {
		ej := e.Value.(*endedJob)
		if k.ended.Len() <= maxKept && now.Sub(ej.at) < k.retention+stateRetention {
			return
		}
		if e == k.oldestBody {
			k.oldestBody = e.Next()
			k.bytes -= ej.j.dropBody()
		}
		k.ended.Remove(e)
		k.forgetRepeat(ej.j)
		delete(k.jobs, ej.j.req.Job)
	}
}

// dropBody forgets the answer's body and returns its size in bytes. The states of the
// job do not change.
func (j *job) dropBody() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := int64(len(j.res.Body))
	if j.res.State == model.StateRan {
		j.res.Body, j.res.Reason = nil, model.ReasonAnswerExpired
		j.res.Detail = "the answer is not kept any more"
	}
	j.failedAnswer = nil
	return n
}

// Get returns the state of a job that this entry VM accepted or works on, without its
// answer. The steps name the job's queue and team.
func (s *Service) Get(id model.JobID) peer.JobGetReply { return s.get(id, false) }

// Answer returns the state of a job with its answer, if it is still kept.
func (s *Service) Answer(id model.JobID) peer.JobGetReply { return s.get(id, true) }

func (s *Service) get(id model.JobID, body bool) peer.JobGetReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.sweep(time.Now())
	j := s.kept.jobs[id]
	if j == nil {
		return peer.JobGetReply{Result: model.Result{Job: id}}
	}
	res := j.result()
	if !body {
		res.Body = nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.original != nil {
		res = *j.original
	}
	return peer.JobGetReply{Found: true, Result: res, Steps: append([]model.Record(nil), j.steps...)}
}
