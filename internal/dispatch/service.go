package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/account"
	"boragepulley/internal/control"
	"boragepulley/internal/guard"
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

// Config holds the dependencies and limits of a Service.
type Config struct {
	Entry   model.EntryVM
	DC      model.DataCentre
	Control control.API
	Minions upstream.Minions
	// Table stores the request ids that non-idempotent requests have claimed.
	Table platform.Table
	// Objects stores the bodies and answers of tasks; Tasks reaches the coordinator about
	// them. If either is nil, requests to task queues are refused.
	Objects  platform.Objects
	Tasks    TaskCoordinator
	Recorder account.Recorder
	// Forwarder sends requests to other entry VMs; nil disables forwarding.
	Forwarder Forwarder
	// Lookup queries other entry VMs about jobs; nil disables such queries.
	Lookup JobLookup
	Log    zerolog.Logger
	// MaxRequests is the maximum number of unfinished requests of this entry VM.
	MaxRequests int
	// AnswerRetention and AnswerBytes limit, by age and by total size, the answers that
	// are kept for later queries.
	AnswerRetention time.Duration
	AnswerBytes     int64
}

// Service processes requests from acceptance to their final state. It is safe for
// concurrent use.
type Service struct {
	cfg     Config
	log     zerolog.Logger
	claims  *claimer
	budgets retryBudgets
	// drain is cancelled when the graceful shutdown begins.
	drain      context.Context
	beginDrain context.CancelFunc

	mu       sync.Mutex // guards the fields below
	registry jobRegistry
	// active is the number of jobs whose goroutine has not ended.
	active int
	// idle is closed once a drain has begun and active is 0.
	idle chan struct{}
	// draining is set before drain is cancelled.
	draining bool
}

// New returns a service. It starts no goroutine before the first request.
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
		cfg:      c,
		log:      log,
		claims:   newClaimer(c.Table, log),
		registry: newJobRegistry(c.AnswerRetention, c.AnswerBytes),
		idle:     make(chan struct{}),
	}
	s.drain, s.beginDrain = context.WithCancel(context.Background())
	return s
}

// NewJobID returns a new job id that names this entry VM as the one that accepted the job.
func (s *Service) NewJobID() model.JobID { return model.NewJobID(time.Now(), s.cfg.Entry) }

// beginJob gives a submission its job id if it has none. The caller records the acceptance or
// the refusal and then calls done, so that no report takes the time of the id for complete before.
func (s *Service) beginJob(in *Submission) (done func()) {
	done = s.cfg.Recorder.Begin()
	if in.Job == "" {
		in.Job = s.NewJobID()
	}
	return done
}

// Submit processes a request and returns its result, at its deadline at the latest. If
// ctx ends first, the request is cancelled if it was not dispatched yet; a dispatched
// one runs to completion and its answer is kept.
func (s *Service) Submit(ctx context.Context, in Submission) model.Result {
	j, refused := s.accept(in, false)
	if j == nil {
		return refused
	}
	return s.await(ctx, j)
}

// SubmitAsync accepts or refuses a request and returns its current state. The request
// continues when ctx ends or the caller disconnects. For a non-idempotent request with a
// request id, SubmitAsync returns only after the claim is decided, so that a repeated
// request gets the id of the original job.
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
	if j.originalResult != nil {
		return *j.originalResult
	}
	return j.res
}

// Refuse records a request that was refused before Submit, for example because its body
// was not received, and returns its result.
func (s *Service) Refuse(in Submission, reason model.Reason, detail string) model.Result {
	defer s.beginJob(&in)()
	snap := s.cfg.Control.Snapshot()
	j, _ := s.validate(snap, in)
	return s.refuse(j.req, snap, refusal{reason, detail})
}

func (s *Service) refuse(req model.Request, snap *control.Snapshot, r refusal) model.Result {
	defer s.cfg.Recorder.Begin()()
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

// refuseJob refuses a request whose job was not started.
func (s *Service) refuseJob(j *job, snap *control.Snapshot, r refusal) model.Result {
	if j.forwarded {
		return s.refuseForwarded(j, r)
	}
	return s.refuse(j.req, snap, r)
}

// accept validates a request and starts its job, or attaches the caller to the job of an
// earlier request with the same request id. If the job is nil, the request was refused
// with the returned result.
func (s *Service) accept(in Submission, async bool) (*job, model.Result) {
	defer s.beginJob(&in)()
	snap := s.cfg.Control.Snapshot()
	j, r := s.validate(snap, in)
	if r != nil {
		return nil, s.refuse(j.req, snap, *r)
	}
	j.async = async
	return s.register(snap, j)
}

// register adds j to the registry and starts it, unless it repeats a registered request.
func (s *Service) register(snap *control.Snapshot, j *job) (*job, model.Result) {
	now := time.Now()
	s.mu.Lock()
	s.registry.evict(now)
	if first := s.registry.repeatedBy(j); first != nil {
		s.mu.Unlock()
		return s.joinEarlier(snap, j, first)
	}
	var r *refusal
	switch {
	case s.draining:
		r = &refusal{model.ReasonShuttingDown, "this entry VM is shutting down"}
	case s.active >= s.cfg.MaxRequests:
		r = &refusal{model.ReasonQueueFull, "this entry VM has reached its maximum number of open requests"}
	}
	if r != nil {
		s.mu.Unlock()
		return nil, s.refuseJob(j, snap, *r)
	}
	j.start()
	s.active++
	s.registry.add(j)
	s.mu.Unlock()

	s.budgets.deposit(j.queue.Name, j.queue.RetryPercent, now)
	s.recordStep(j, step{state: model.StateAccepted})
	go s.run(j)
	return j, model.Result{}
}

// joinEarlier attaches the caller of j to the earlier job with the same request id.
func (s *Service) joinEarlier(snap *control.Snapshot, j, first *job) (*job, model.Result) {
	if first.fingerprint != j.fingerprint {
		return nil, s.refuseJob(j, snap, refusal{model.ReasonDuplicateID,
			"job " + string(first.req.Job) + " has the same request id but a different queue, kind or body"})
	}
	first.addCaller(j.async)
	repeatCount.Add(1)
	s.log.Info().Str("job", string(first.req.Job)).Str("repeat", string(j.req.Job)).
		Str("reason", string(model.ReasonDuplicateID)).Msg("repeated request attached to the earlier job")
	return first, model.Result{}
}

// overduePollInterval is how often await checks a request that is past its deadline,
// until its job has ended or is dispatched.
const overduePollInterval = 20 * time.Millisecond

// await waits for a job on behalf of one of its callers and returns the result.
func (s *Service) await(ctx context.Context, j *job) model.Result {
	timer := time.NewTimer(time.Until(j.req.Deadline))
	defer timer.Stop()
	for {
		select {
		case <-j.done:
			defer j.removeCaller()
			return s.awaitTaskResult(ctx, j, s.callerResult(j))
		case <-ctx.Done():
			if forwardedTo := j.removeCaller(); forwardedTo != "" {
				go func() {
					_ = guard.Recover(s.log, "cancel of a forwarded request", func() { _ = s.cancelForwarded(forwardedTo, j) })
				}()
			}
			return j.result()
		case <-timer.C:
			if res, overdue := j.overdueResult(); overdue {
				j.removeCaller()
				return res
			}
			timer.Reset(overduePollInterval)
		}
	}
}

// callerResult returns the result to report to a caller of a finished job. If the claim
// showed that j repeats another job, this is the result of that original job.
func (s *Service) callerResult(j *job) model.Result {
	j.mu.Lock()
	original, final := j.originalResult, j.waitersResult
	j.mu.Unlock()
	if original != nil {
		return *original
	}
	if final != nil {
		return *final
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.evict(time.Now())
	return j.result()
}

// finishJob is called once, when the goroutine of j ends.
func (s *Service) finishJob(j *job) {
	j.body = nil
	j.keepResultForWaiters()
	s.mu.Lock()
	s.registry.markEnded(j, time.Now())
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
