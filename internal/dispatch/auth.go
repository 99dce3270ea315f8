package dispatch

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
)

// MaxRequestID bounds a caller's request id in bytes.
const MaxRequestID = 200

// Submission is a caller's request.
type Submission struct {
	// Job is the id that the caller is told; if empty, one is made.
	Job   model.JobID
	Queue model.Queue
	// Key is "<key id>.<secret>", or empty. It is never logged.
	Key        string
	RequestID  string
	Idempotent bool
	// Priority is normal if empty.
	Priority model.Priority
	// Deadline is relative; 0 selects the queue's default.
	Deadline    time.Duration
	ContentType string
	Body        []byte
	// Task is what the caller declares about a task; only queues of kind tasks use it.
	Task TaskSpec
}

// refusal says why a request is refused.
type refusal struct {
	reason model.Reason
	detail string
}

// identity is who a request came from. It is empty for queues open to all, whose
// requests count to no team.
type identity struct {
	team  model.Team
	keyID string
}

// Precheck checks everything but the body, so that a caller without a valid key cannot
// make the entry VM read one. It returns the queue's bound on the body in bytes.
// A refusal is accounted for and returned with ok false.
func (s *Service) Precheck(in Submission) (maxBody int64, refused model.Result, ok bool) {
	snap := s.cfg.Control.Snapshot()
	j, r := s.check(snap, in)
	if r == nil && s.isDraining() {
		r = &refusal{model.ReasonShuttingDown, "this entry VM is shutting down"}
	}
	if r != nil {
		return 0, s.refuse(j.req, snap, *r), false
	}
	return j.queue.MaxBody, model.Result{}, true
}

// Authenticate returns the team that the key belongs to, for questions about jobs of
// keyed queues. A refusal has a reason other than ReasonNone.
func (s *Service) Authenticate(key string) (model.Team, model.Reason) {
	who, r := authenticate(s.cfg.Control.Snapshot(), key)
	if r != nil {
		return "", r.reason
	}
	return who.team, model.ReasonNone
}

// check turns the input into a job that is not started. The job is never nil; the
// refusal is nil if the request may go on.
func (s *Service) check(snap *control.Snapshot, in Submission) (*job, *refusal) {
	now := time.Now()
	j := &job{
		req: model.Request{
			Job: in.Job, RequestID: in.RequestID, Queue: in.Queue, Priority: in.Priority,
			Idempotent: in.Idempotent, Accepted: now,
		},
		contentType: in.ContentType, body: in.Body, task: in.Task,
	}
	if j.req.Priority == "" {
		j.req.Priority = model.PriorityNormal
	}
	if snap.Site == nil {
		return j, &refusal{model.ReasonIsolated, "no configuration is known yet"}
	}
	q := snap.Site.Queue(in.Queue)
	if q == nil {
		return j, &refusal{model.ReasonUnknownQueue, fmt.Sprintf("no queue %q", in.Queue)}
	}
	j.queue = *q
	who, r := authorize(snap, q, in.Key)
	if r != nil {
		return j, r
	}
	j.req.Team, j.req.KeyID = who.team, who.keyID
	if r := checkBounds(q, in); r != nil {
		return j, r
	}
	deadline := in.Deadline
	if deadline == 0 {
		deadline = q.Deadline
	}
	j.req.Deadline = now.Add(deadline)
	if svc := snap.Site.Service(q.Service); svc != nil {
		j.maxRun = svc.MaxRun
	}
	j.fingerprint = fingerprint(j)
	return j, nil
}

// authorize checks that the key's team may post to the queue. Queues open to all take
// any request and ignore its key.
func authorize(snap *control.Snapshot, q *config.Queue, key string) (identity, *refusal) {
	if q.Open {
		return identity{}, nil
	}
	who, r := authenticate(snap, key)
	if r != nil {
		return identity{}, r
	}
	if !teamMayPost(q, who.team) {
		return identity{}, &refusal{model.ReasonKeyNotForQueue, fmt.Sprintf("team %q may not post to queue %q", who.team, q.Name)}
	}
	return who, nil
}

func teamMayPost(q *config.Queue, t model.Team) bool {
	return len(q.Teams) == 0 || slices.Contains(q.Teams, t)
}

// authenticate finds the team of a key. It applies the isolation policy, because a key
// may have been withdrawn in a configuration that this data centre has not seen.
func authenticate(snap *control.Snapshot, key string) (identity, *refusal) {
	if snap.Site == nil || (!snap.Current && snap.Site.Isolation.Keys != config.KeysServe) {
		return identity{}, &refusal{model.ReasonIsolated, "this data centre cannot confirm which keys are valid"}
	}
	if key == "" {
		return identity{}, &refusal{model.ReasonNoKey, "this queue needs a key"}
	}
	id, secret, _ := strings.Cut(key, ".")
	var want [sha256.Size]byte
	k := snap.Site.Key(id)
	if k != nil {
		want = k.SHA256
	}
	// The hash is compared for unknown ids too, so that the time does not tell which ids exist.
	got := sha256.Sum256([]byte(secret))
	equal := subtle.ConstantTimeCompare(got[:], want[:]) == 1
	if k == nil || !equal {
		return identity{}, &refusal{model.ReasonBadKey, "the key is not known or was withdrawn"}
	}
	return identity{k.Team, k.ID}, nil
}

// authorizeForwarded checks again what the entry VM that accepted a request checked.
func authorizeForwarded(snap *control.Snapshot, q *config.Queue, req model.Request) *refusal {
	if q.Open {
		return nil
	}
	if !snap.Current && snap.Site.Isolation.Keys != config.KeysServe {
		return &refusal{model.ReasonIsolated, "this data centre cannot confirm which keys are valid"}
	}
	k := snap.Site.Key(req.KeyID)
	if k == nil || k.Team != req.Team || !teamMayPost(q, req.Team) {
		return &refusal{model.ReasonKeyWithdrawn, "the key is not valid for this queue any more"}
	}
	return nil
}

func checkBounds(q *config.Queue, in Submission) *refusal {
	bad := func(f string, a ...any) *refusal {
		return &refusal{model.ReasonBadRequest, fmt.Sprintf(f, a...)}
	}
	switch {
	case in.Priority != "" && in.Priority != model.PriorityNormal && in.Priority != model.PriorityUrgent:
		return bad("priority %q: want urgent or normal", in.Priority)
	case in.Deadline < 0 || (q.MaxDeadline > 0 && in.Deadline > q.MaxDeadline):
		return bad("deadline %s: want at most %s", in.Deadline, q.MaxDeadline)
	case len(in.RequestID) > MaxRequestID:
		return bad("request id of %d bytes: want at most %d", len(in.RequestID), MaxRequestID)
	case int64(len(in.Body)) > q.MaxBody:
		return &refusal{model.ReasonBodyTooLarge, fmt.Sprintf("body of %d bytes, the queue takes %d", len(in.Body), q.MaxBody)}
	}
	return nil
}

// fingerprint identifies what a request asks for, so that a request id that is used
// again for something else is refused instead of getting the wrong answer.
func fingerprint(j *job) string {
	d := xxhash.New()
	fmt.Fprintf(d, "%s\x00%t\x00%s\x00", j.req.Queue, j.req.Idempotent, j.contentType)
	if j.isTask() {
		fmt.Fprintf(d, "%+v\x00", j.task)
	}
	_, _ = d.Write(j.body)
	return fmt.Sprintf("%016x", d.Sum64())
}
