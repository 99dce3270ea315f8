package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/account"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/upstream"
)

// Defaults of Config.
const (
	DefaultMaxRequests     = 4096
	DefaultAnswerRetention = 10 * time.Minute
	DefaultAnswerBytes     = 64 << 20
)

// Config are the parts and bounds of a Service.
type Config struct {
	Entry   model.EntryVM
	DC      model.DataCentre
	Control control.API
	Minions upstream.Minions
	// Table holds the claims of non-idempotent requests.
	Table platform.Table
	// Objects holds the bodies and answers of tasks, Tasks reaches the coordinator about
	// them; without them queues of tasks are refused.
	Objects  platform.Objects
	Tasks    TaskCoordinator
	Recorder account.Recorder
	// Forwarder reaches other entry VMs; nil means that nothing is forwarded.
	Forwarder Forwarder
	// Lookup asks other entry VMs about jobs; nil means that they cannot be asked.
	Lookup JobLookup
	Log    zerolog.Logger
	// MaxRequests bounds the unfinished requests that this entry VM holds.
	MaxRequests int
	// AnswerRetention and AnswerBytes bound the answers that are kept for later.
	AnswerRetention time.Duration
	AnswerBytes     int64
}

// Service takes requests through their life. It is safe for concurrent use.
type Service struct {
	cfg     Config
	log     zerolog.Logger
	claims  *claimer
	budgets retryBudgets
	// drain is cancelled when the graceful shutdown begins.
	drain      context.Context
	beginDrain context.CancelFunc

	mu   sync.Mutex // guards the fields below
	kept keptJobs
	// active counts jobs whose goroutine has not ended.
	active int
	// idle is closed when active is 0 and a drain has begun.
	idle chan struct{}
	// draining is set before drain is cancelled.
	draining bool
}

// New returns a service. It starts no goroutine until a request comes.
func New(c Config) *Service {
	if c.MaxRequests <= 0 {
		c.MaxRequests = DefaultMaxRequests
	}
	if c.AnswerRetention <= 0 {
		c.AnswerRetention = DefaultAnswerRetention
	}
	if c.AnswerBytes <= 0 {
		c.AnswerBytes = DefaultAnswerBytes
	}
	log := c.Log.With().Str("part", "dispatch").Logger()
	s := &Service{
		cfg:    c,
		log:    log,
		claims: newClaimer(c.Table, log),
		kept:   newKeptJobs(c.AnswerRetention, c.AnswerBytes),
		idle:   make(chan struct{}),
	}
	s.drain, s.beginDrain = context.WithCancel(context.Background())
	return s
}

// NewJobID returns an id for a request that this entry VM accepts.
func (s *Service) NewJobID() model.JobID { return model.NewJobID(time.Now(), s.cfg.Entry) }

// Submit takes a request through its whole life and returns its result, at the latest
// at its deadline. If ctx ends first, a request that was not dispatched is withdrawn,
// and a dispatched one runs to its end and its answer is kept.
func (s *Service) Submit(ctx context.Context, in Submission) model.Result {
	j, refused := s.accept(in, false)
	if j == nil {
		return refused
	}
	return s.await(ctx, j)
}

// SubmitAsync accepts a request, or refuses it, and returns its present result. The
// request does not depend on ctx or on the caller's connection. The answer for a
// non-idempotent request with an id comes after its claim is decided, so that a repeat
// gets the original job's id.
func (s *Service) SubmitAsync(ctx context.Context, in Submission) model.Result {
	j, refused := s.accept(in, true)
	if j == nil {
		return refused
	}
	select {
	case <-j.claimed:
	case <-ctx.Done():
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.original != nil {
		return *j.original
	}
	return j.res
}

// Refuse accounts for a request that was refused before Submit, for example because
// its body did not arrive, and returns its result.
func (s *Service) Refuse(in Submission, reason model.Reason, detail string) model.Result {
	snap := s.cfg.Control.Snapshot()
	j, _ := s.check(snap, in)
	return s.refuse(j.req, snap, refusal{reason, detail})
}

func (s *Service) refuse(req model.Request, snap *control.Snapshot, r refusal) model.Result {
	rec := model.Record{
		Job: req.Job, Time: time.Now(), Entry: s.cfg.Entry, State: model.StateRefused, Reason: r.reason,
		Queue: req.Queue, Team: req.Team, RequestID: req.RequestID, Config: version(snap), Detail: r.detail,
	}
	s.cfg.Recorder.Record(rec)
	s.logStep(rec)
	return model.Result{Job: req.Job, State: model.StateRefused, Reason: r.reason, Detail: r.detail}
}

func version(snap *control.Snapshot) uint64 {
	if snap.Site == nil {
		return 0
	}
	return snap.Site.Version
}

// refuseJob refuses a job that was not started.
func (s *Service) refuseJob(j *job, snap *control.Snapshot, r refusal) model.Result {
	if j.forwarded {
		return s.refuseForwarded(j, r)
	}
	return s.refuse(j.req, snap, r)
}

// accept checks a request and starts its job, or joins the job of an earlier request
// with the same id. A nil job means that the request was refused with the result.
func (s *Service) accept(in Submission, async bool) (*job, model.Result) {
	if in.Job == "" {
		in.Job = s.NewJobID()
	}
	snap := s.cfg.Control.Snapshot()
	j, r := s.check(snap, in)
	if r != nil {
		return nil, s.refuse(j.req, snap, *r)
	}
	j.async = async
	return s.enter(snap, j)
}

// enter makes j known and starts it, unless it repeats a known request.
func (s *Service) enter(snap *control.Snapshot, j *job) (*job, model.Result) {
	now := time.Now()
	s.mu.Lock()
	s.kept.sweep(now)
	if first := s.kept.earlier(j); first != nil {
		s.mu.Unlock()
		return s.join(snap, j, first)
	}
	var r *refusal
	switch {
	case s.draining:
		r = &refusal{model.ReasonShuttingDown, "this entry VM is shutting down"}
	case s.active >= s.cfg.MaxRequests:
		r = &refusal{model.ReasonQueueFull, "this entry VM holds its maximum of requests"}
	}
	if r != nil {
		s.mu.Unlock()
		return nil, s.refuseJob(j, snap, *r)
	}
	j.start()
	s.active++
	s.kept.add(j)
	s.mu.Unlock()

	s.budgets.earn(j.queue.Name, j.queue.RetryPercent, now)
	s.step(j, fact{state: model.StateAccepted})
	go s.run(j)
	return j, model.Result{}
}

// join adds the caller of j to the earlier job with the same request id.
func (s *Service) join(snap *control.Snapshot, j, first *job) (*job, model.Result) {
	if first.fingerprint != j.fingerprint {
		return nil, s.refuseJob(j, snap, refusal{model.ReasonDuplicateID,
			"job " + string(first.req.Job) + " has this request id and another queue, kind or body"})
	}
	first.join(j.async)
	repeatCount.Add(1)
	s.log.Info().Str("job", string(first.req.Job)).Str("repeat", string(j.req.Job)).
		Str("reason", string(model.ReasonDuplicateID)).Msg("repeated request joins the earlier job")
	return first, model.Result{}
}

// overdueCheck is how often a request past its deadline is looked at until its job has
// either ended or been dispatched.
const overdueCheck = 20 * time.Millisecond

// await returns the result of a job that the caller has joined.
func (s *Service) await(ctx context.Context, j *job) model.Result {
	timer := time.NewTimer(time.Until(j.req.Deadline))
	defer timer.Stop()
	for {
		select {
		case <-j.done:
			defer j.leave()
			return s.taskResult(ctx, j, s.resultFor(j))
		case <-ctx.Done():
			if at := j.leave(); at != "" {
				go func() { _ = s.cancelAt(at, j) }()
			}
			return j.result()
		case <-timer.C:
			if res, overdue := j.overdue(); overdue {
				j.leave()
				return res
			}
			timer.Reset(overdueCheck)
		}
	}
}

// resultFor returns what the caller of a finished job is told: the result of the
// original job if the claim showed that j repeats it.
func (s *Service) resultFor(j *job) model.Result {
	j.mu.Lock()
	original, final := j.original, j.final
	j.mu.Unlock()
	if original != nil {
		return *original
	}
	if final != nil {
		return *final
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.sweep(time.Now())
	return j.result()
}

// finished is called once when the goroutine of j ends.
func (s *Service) finished(j *job) {
	j.body = nil
	j.keepFinal()
	s.mu.Lock()
	s.kept.finish(j, time.Now())
	s.active--
	if s.active == 0 && s.draining {
		close(s.idle)
	}
	s.mu.Unlock()
	close(j.done)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
