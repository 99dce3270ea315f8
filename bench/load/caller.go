package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/standins/minion"
)

// Request is one request of a caller.
type Request struct {
	Queue string
	Team  string
	// Key is "<key id>.<secret>", empty on queues open to all.
	Key        string
	RequestID  string
	Idempotent bool
	Urgent     bool
	// Run is how long the minion works.
	Run      time.Duration
	Deadline time.Duration
	// AnswerBytes pads the answer.
	AnswerBytes int
	// Tag groups requests whose starts and concurrency the minions record; empty selects
	// the team.
	Tag string
	// Entry selects one entry VM by name; empty lets the balancer choose.
	Entry string
	// Content makes the body distinct; 0 selects the request's number. A repeated request
	// has the same content as the first one.
	Content int64
	// Task makes the request a task for a queue of kind tasks.
	Task *Task
}

// Verdict is what a caller saw of its request.
type Verdict string

const (
	// SawRan: a whole answer to this request arrived.
	SawRan Verdict = "ran"
	// SawNotRun: a refusal that says that the job was not run.
	SawNotRun Verdict = "not_run"
	// SawUnknown: an answer that says that the outcome is unknown.
	SawUnknown Verdict = "unknown"
	// SawBroken: the connection broke or timed out without an answer.
	SawBroken Verdict = "broken"
	// SawUnsent: no entry VM took the connection; the request was never sent.
	SawUnsent Verdict = "unsent"
	// SawWrong: an answer that is not whole, or not to this request. It is always a fault.
	SawWrong Verdict = "wrong"
)

// Seen is a caller's own record of one request.
type Seen struct {
	Request
	Number int64
	// Entry is the entry VM that the request went to; it shadows the requested one.
	Entry   string
	Job     model.JobID
	Verdict Verdict
	Reason  model.Reason
	Status  int
	Minion  string
	Detail  string
	Sent    time.Time
	Took    time.Duration
	// Open is set for a task that was accepted and whose end was not learnt.
	Open bool
}

// Callers send requests and keep their own account.
type Callers struct {
	Balancer *Balancer
	client   *http.Client
	number   atomic.Int64

	mu   sync.Mutex // guards seen
	seen []Seen
}

// answerSlack is how long after its deadline a caller still waits for the answer.
const answerSlack = 5 * time.Second

// NewCallers returns callers that reach entry VMs through the balancer.
func NewCallers(b *Balancer) *Callers {
	t := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     2 * time.Second,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Callers{Balancer: b, client: &http.Client{Transport: t}}
}

// Seen returns the account so far.
func (c *Callers) Seen() []Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Seen(nil), c.seen...)
}

// Do sends one request, records what was seen and returns it.
func (c *Callers) Do(ctx context.Context, r Request) Seen {
	s := Seen{Request: r, Number: c.number.Add(1), Sent: time.Now()}
	c.send(ctx, &s)
	if s.Task != nil {
		c.follow(ctx, &s)
	}
	s.Took = time.Since(s.Sent)
	c.mu.Lock()
	c.seen = append(c.seen, s)
	c.mu.Unlock()
	return s
}

// body makes each request's body distinct, so that an answer to another request is noticed.
func (s *Seen) body() []byte {
	content := s.Content
	if content == 0 {
		content = s.Number
	}
	if s.Task != nil {
		return s.Task.body(s.Run, content)
	}
	tag := s.Tag
	if tag == "" {
		tag = s.Team
	}
	return fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":%d,"tag":%q,"number":%d}`, s.Run.Milliseconds(), s.AnswerBytes, tag, content)
}

func (c *Callers) send(ctx context.Context, s *Seen) {
	name, addr, ok := c.pick(s.Request)
	if !ok {
		s.Verdict, s.Detail = SawUnsent, "no entry VM is ready"
		return
	}
	s.Entry = name
	deadline := s.Deadline
	if deadline == 0 {
		deadline = 30 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+answerSlack)
	defer cancel()
	body := s.body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/queues/"+s.Queue+"/requests", bytes.NewReader(body))
	if err != nil {
		s.Verdict, s.Detail = SawUnsent, err.Error()
		return
	}
	// Without GetBody the client never sends a request twice by itself.
	req.GetBody = nil
	s.setHeaders(req.Header)
	resp, err := c.client.Do(req)
	if err != nil {
		s.Verdict, s.Detail = brokenVerdict(err), err.Error()
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		s.Verdict, s.Detail = SawBroken, err.Error()
		return
	}
	s.judge(resp, answer, body)
}

func (c *Callers) pick(r Request) (name, addr string, ok bool) {
	if r.Entry == "" {
		return c.Balancer.Pick()
	}
	c.Balancer.mu.Lock()
	defer c.Balancer.mu.Unlock()
	addr, ok = c.Balancer.addrs[r.Entry]
	return r.Entry, addr, ok
}

// brokenVerdict tells a connection that did not open, for which nothing was sent, from one that broke.
func brokenVerdict(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return SawUnsent
	}
	return SawBroken
}

func (s *Seen) setHeaders(h http.Header) {
	h.Set("Content-Type", "application/json")
	if s.Key != "" {
		h.Set("Authorization", "Bearer "+s.Key)
	}
	if s.RequestID != "" {
		h.Set("X-Request-Id", s.RequestID)
	}
	if !s.Idempotent {
		h.Set("X-Idempotent", "false")
	}
	if s.Urgent {
		h.Set("X-Priority", "urgent")
	}
	if s.Deadline > 0 {
		h.Set("X-Deadline-Ms", strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	}
	if s.Task != nil {
		s.Task.setHeaders(h)
	}
}

// judge decides what the answer says, and checks that a minion's answer is whole and
// belongs to this request.
func (s *Seen) judge(resp *http.Response, answer, sent []byte) {
	s.Status = resp.StatusCode
	s.Job = model.JobID(resp.Header.Get("X-Job-Id"))
	if resp.Header.Get("X-Outcome") == string(model.OutcomeRan) {
		s.judgeAnswer(resp.StatusCode, answer, sent)
		return
	}
	var p struct {
		Outcome model.Outcome `json:"outcome"`
		Reason  model.Reason  `json:"reason"`
		Job     model.JobID   `json:"job_id"`
		Detail  string        `json:"detail"`
	}
	if err := json.Unmarshal(answer, &p); err != nil {
		s.Verdict, s.Detail = SawWrong, "neither an answer nor a problem document: "+err.Error()
		return
	}
	s.Reason, s.Detail = p.Reason, p.Detail
	if p.Job != "" {
		s.Job = p.Job
	}
	switch p.Outcome {
	case model.OutcomeNotRun:
		s.Verdict = SawNotRun
	case model.OutcomeUnknown:
		s.Verdict = SawUnknown
	default:
		s.Verdict, s.Detail = SawWrong, "outcome "+string(p.Outcome)
	}
}

func (s *Seen) judgeAnswer(status int, answer, sent []byte) {
	if status >= http.StatusInternalServerError {
		s.Verdict, s.Detail = SawRan, "the minion failed"
		return
	}
	var a minion.RunAnswer
	if err := json.Unmarshal(answer, &a); err != nil {
		s.Verdict, s.Detail = SawWrong, "answer not whole: "+err.Error()
		return
	}
	s.Minion = a.Minion
	want := fmt.Sprintf("%016x", xxhash.Sum64(sent))
	switch {
	case a.RequestDigest != want:
		s.Verdict, s.Detail = SawWrong, "answer to another request"
	case a.Job != string(s.Job):
		s.Verdict, s.Detail = SawWrong, "answer of another job"
	case a.Padding != padding(s.AnswerBytes):
		s.Verdict, s.Detail = SawWrong, "answer altered or too short"
	default:
		s.Verdict = SawRan
	}
}

// padding is what a minion pads its answer with.
func padding(n int) string {
	p := make([]byte, n)
	for i := range p {
		p[i] = 'a' + byte(i%26)
	}
	return string(p)
}
