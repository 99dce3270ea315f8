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

// MaxRequestID is the maximum length of a caller's request id in bytes.
const MaxRequestID = 200

// Submission is a caller's request as received, before validation.
type Submission struct {
	// Job is the id reported to the caller; if empty, one is generated.
	Job   model.JobID
	Queue model.Queue
	// Key is "<key id>.<secret>", or empty. It is never logged.
	Key        string
	RequestID  string
	Idempotent bool
	// Priority defaults to normal.
	Priority model.Priority
	// Deadline is relative to the arrival of the request; 0 selects the queue's default.
	Deadline    time.Duration
	ContentType string
	Body        []byte
	// Task is what the caller declares about a task; it is ignored by queues of other kinds.
	Task TaskSpec
}

// refusal is the reason why a request is refused.
type refusal struct {
	reason model.Reason
	detail string
}

// identity is the authenticated sender of a request. It is empty for open queues, whose
// requests belong to no team.
type identity struct {
	team  model.Team
	keyID string
}

// Precheck validates everything but the body, so that a caller without a valid key cannot
// make the entry VM read a body. It returns the maximum body size of the queue in bytes.
// A refusal is recorded and returned with ok false.
func (s *Service) Precheck(in Submission) (maxBody int64, refused model.Result, ok bool) {
	defer s.beginJob(&in)()
	snap := s.cfg.Control.Snapshot()
	j, r := s.validate(snap, in)
	if r == nil && s.isDraining() {
		r = &refusal{model.ReasonShuttingDown, "this entry VM is shutting down"}
	}
	if r != nil {
		return 0, s.refuse(j.req, snap, *r), false
	}
	return j.queue.MaxBody, model.Result{}, true
}

// Authenticate returns the team that the key belongs to, for queries about jobs of queues
// that need a key. The reason is other than ReasonNone if the key is refused.
func (s *Service) Authenticate(key string) (model.Team, model.Reason) {
	who, r := authenticate(s.cfg.Control.Snapshot(), key)
	if r != nil {
		return "", r.reason
	}
	return who.team, model.ReasonNone
}

// validate converts a submission to a job that is not started. The job is never nil; the
// refusal is nil if the request is valid.
func (s *Service) validate(snap *control.Snapshot, in Submission) (*job, *refusal) {
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
		return j, &refusal{model.ReasonConfigUnconfirmed, "no configuration is known yet"}
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

// authorize checks that the key's team may post to the queue. Open queues accept any
// request and ignore its key.
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

// authenticate returns the team of a key. It applies the isolation policy, because a newer
// configuration that this data centre has not received may have withdrawn the key.
func authenticate(snap *control.Snapshot, key string) (identity, *refusal) {
	if snap.Site == nil || (!snap.Current && snap.Site.Isolation.Keys != config.KeysServe) {
		return identity{}, &refusal{model.ReasonConfigUnconfirmed, "this data centre cannot confirm which keys are valid"}
	}
	if key == "" {
		return identity{}, &refusal{model.ReasonKeyMissing, "this queue requires a key"}
	}
	id, secret, _ := strings.Cut(key, ".")
	var want [sha256.Size]byte
	k := snap.Site.Key(id)
	if k != nil {
		want = k.SHA256
	}
	// Hash and compare for unknown ids too, so that response times do not reveal which ids exist.
	got := sha256.Sum256([]byte(secret))
	equal := subtle.ConstantTimeCompare(got[:], want[:]) == 1
	if k == nil || !equal {
		return identity{}, &refusal{model.ReasonKeyUnknown, "the key is unknown or was withdrawn"}
	}
	return identity{k.Team, k.ID}, nil
}

// authorizeForwarded repeats, for a forwarded request, the checks of the entry VM that
// accepted it: the configuration may differ here.
func authorizeForwarded(snap *control.Snapshot, q *config.Queue, req model.Request) *refusal {
	if q.Open {
		return nil
	}
	if !snap.Current && snap.Site.Isolation.Keys != config.KeysServe {
		return &refusal{model.ReasonConfigUnconfirmed, "this data centre cannot confirm which keys are valid"}
	}
	k := snap.Site.Key(req.KeyID)
	if k == nil || k.Team != req.Team || !teamMayPost(q, req.Team) {
		return &refusal{model.ReasonKeyWithdrawn, "the key is no longer valid for this queue"}
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

// fingerprint returns a hash of the request's queue, kind, content type, task declaration
// and body, so that a reused request id for a different request is refused instead of
// returning the wrong answer.
func fingerprint(j *job) string {
	d := xxhash.New()
	fmt.Fprintf(d, "%s\x00%t\x00%s\x00", j.req.Queue, j.req.Idempotent, j.contentType)
	if j.isTask() {
		fmt.Fprintf(d, "%+v\x00", j.task)
	}
	_, _ = d.Write(j.body)
	return fmt.Sprintf("%016x", d.Sum64())
}
