package site

import (
	"strings"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services map[model.Service]Service
	Teams    map[model.Team]Team
	// Keys maps a caller's key to its team.
	Keys map[string]model.Team
	// MaxBody is the largest request body of a caller, in bytes.
	MaxBody int64
	// AppliedAt is when this process put the version in force.
	AppliedAt time.Time `json:"-"`

	byName map[model.Queue]*Queue
	byHost map[string][]*Queue
}

// Queue is a named entry point for jobs.
type Queue struct {
	Name model.Queue
	// Host and Prefix select the queue of a request.
	Host, Prefix string
	// Service is the pool of minions that run the tasks of the queue's jobs.
	Service model.Service
	// Priority orders the queues; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs after which a task fails.
	MaxAttempts int
	// Stretch and Target set the deadline of a job: the duration of its longest chain of tasks,
	// multiplied by Stretch, plus Target after its arrival.
	Stretch float64
	Target  time.Duration
	// OpenToAll is set if callers need no key.
	OpenToAll bool
	// RequiresAdvice is set if tasks run only on minions that the advice service allows.
	RequiresAdvice bool
	// AdviceValidity is how long a ticket from the advice service is valid.
	AdviceValidity time.Duration
}

// Service is a pool of machines that run minions.
type Service struct {
	// Standby is set if the machines of the pool are off and cost nothing.
	Standby bool
	// RejectsOverload is set if the minions reject tasks that exceed their capacity.
	RejectsOverload bool
}

// Team holds the settings of a customer's team.
type Team struct {
	Weight float64
	// Limit is the most that the team's running tasks may reserve; a field of 0 means no limit.
	Limit jobs.Resources
}

// Index builds the lookup tables of Queue and Match. It must be called once, before either is used.
func (c *Config) Index() {
	c.byName = make(map[model.Queue]*Queue, len(c.Queues))
	c.byHost = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
}

// Queue returns the named queue, or nil.
func (c *Config) Queue(name model.Queue) *Queue { return c.byName[name] }

// Match returns the queue with the longest matching prefix, and the path after that prefix. It
// returns nil if no queue matches.
func (c *Config) Match(host, path string) (q *Queue, rest string) {
	for _, x := range c.byHost[host] {
		if strings.HasPrefix(path, x.Prefix) && (q == nil || len(x.Prefix) > len(q.Prefix)) {
			q = x
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}
