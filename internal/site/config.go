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
	// MaxBody bounds a caller's request in bytes.
	MaxBody int64

	byName map[model.Queue]*Queue
	byHost map[string][]*Queue
}

// Queue is a named entry point for jobs.
type Queue struct {
	Name model.Queue
	// Host and Prefix select the queue of a request.
	Host, Prefix string
	// Service runs the tasks of the queue's jobs.
	Service model.Service
	// Priority 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// Stretch times a job's longest chain, plus Target, is the time in which it is to end.
	Stretch float64
	Target  time.Duration
	// OpenToAll queues need no key.
	OpenToAll bool
	// RequiresAdvice queues run only on minions that the advice service allows.
	RequiresAdvice bool
	// AdviceValidity is how long a ticket of the advice service can be used.
	AdviceValidity time.Duration
}

// Service is a pool of machines that run minions.
type Service struct {
	// Standby machines are off and cost nothing.
	Standby bool
	// RejectsOverload minions reject what does not fit.
	RejectsOverload bool
}

// Team is a customer.
type Team struct {
	Weight float64
	// Limit is what the team may have running; a field of 0 means no limit.
	Limit jobs.Resources
}

// Index prepares the lookups. It must be called once, before the configuration is used.
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

// Match returns the queue of a request and the rest of its path after the prefix.
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
