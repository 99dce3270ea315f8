// Package siteconfig checks the operators' configuration of a site before it is put in force, and compares
// it with the version in force. It performs no I/O.
package siteconfig

import (
	"fmt"
	"strings"

	"boragepulley/internal/config"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Document is a configuration as operators write it: unlike site.Config it keeps the order of its entries,
// and those that share a name.
type Document struct {
	Version uint64
	Queues  []site.Queue
	// Attempts are the MaxAttempts of the queues as written; site.Queue has the value in force.
	Attempts []int
	Services []Service
	Teams    []Team
	MaxBody  int64
}

// Service is a pool with its name.
type Service struct {
	Name model.Service
	site.Service
}

// Team is a team with its name and the keys of its callers.
type Team struct {
	Name model.Team
	Keys []string
	site.Team
}

// Section is a list of a document; findings name it with an index.
type Section string

const (
	Top      Section = ""
	Queues   Section = "queues"
	Services Section = "services"
	Teams    Section = "teams"
)

// Finding is one problem of a document.
type Finding struct {
	Section Section
	// Index is the position of the entry in its section.
	Index int
	// Field is the name of the field in site.Queue, Service, Team or Document.
	Field    string
	Found    string
	Expected string
	// Warning is set if the configuration can be put in force.
	Warning bool
}

// Limits are bounds of the platform that a configuration can contradict.
type Limits struct {
	// RowBytes is the largest value of a row of the store.
	RowBytes int64
	// InForce is the version in force; 0 if it is not known.
	InForce uint64
}

// checker collects the findings of a document.
type checker struct {
	d    *Document
	l    Limits
	list []Finding
}

// Check returns the problems of a document, in its order.
func Check(d *Document, l Limits) []Finding {
	c := &checker{d: d, l: l}
	c.checkTop()
	c.checkQueues()
	c.checkServices()
	c.checkTeams()
	return c.list
}

func (c *checker) fault(s Section, i int, field, found, expected string) {
	c.list = append(c.list, Finding{Section: s, Index: i, Field: field, Found: found, Expected: expected})
}

func (c *checker) warn(s Section, i int, field, found, expected string) {
	c.list = append(c.list, Finding{s, i, field, found, expected, true})
}

func (c *checker) checkTop() {
	switch v := c.d.Version; {
	case v == 0:
		c.fault(Top, 0, "Version", "0", "a version above 0")
	case v <= c.l.InForce:
		c.fault(Top, 0, "Version", fmt.Sprint(v), fmt.Sprintf("a version above %d, which is in force; entry VMs ignore others", c.l.InForce))
	}
	switch {
	case c.d.MaxBody < 0:
		c.fault(Top, 0, "MaxBody", fmt.Sprint(c.d.MaxBody), "0 for the default, or a number of bytes")
	case c.l.RowBytes > 0 && c.d.MaxBody > c.l.RowBytes:
		c.warn(Top, 0, "MaxBody", fmt.Sprint(c.d.MaxBody), fmt.Sprintf("at most the %d bytes that a row holds: larger jobs are rejected unless they compress to that size", c.l.RowBytes))
	}
}

func (c *checker) checkQueues() {
	names, entryPoints := map[model.Queue]int{}, map[[2]string]int{}
	services := map[model.Service]*Service{}
	for i := range c.d.Services {
		services[c.d.Services[i].Name] = &c.d.Services[i]
	}
	for i := range c.d.Queues {
		q := &c.d.Queues[i]
		c.checkName(Queues, i, string(q.Name), names[q.Name])
		names[q.Name] = i + 1
		c.checkEntryPoint(i, q)
		at := [2]string{q.Host, q.Prefix}
		if first := entryPoints[at]; first > 0 {
			c.fault(Queues, i, "Prefix", fmt.Sprintf("%q again on host %q", q.Prefix, q.Host), fmt.Sprintf("another prefix: each request goes to queue %q, entry %d", c.d.Queues[first-1].Name, first-1))
		} else {
			entryPoints[at] = i + 1
		}
		switch svc := services[q.Service]; {
		case svc == nil:
			c.fault(Queues, i, "Service", fmt.Sprintf("%q", q.Service), "the name of a service: no minion would run the queue's tasks")
		case svc.Standby:
			c.fault(Queues, i, "Service", fmt.Sprintf("%q, whose machines are off", q.Service), "a service that is not on standby")
		}
		c.checkObjective(i, q)
	}
}

// checkEntryPoint checks that requests can match a queue: they are matched by the host without its port,
// and by a prefix of the path.
func (c *checker) checkEntryPoint(i int, q *site.Queue) {
	switch {
	case q.Host == "":
		c.fault(Queues, i, "Host", "nothing", "the host of the queue's requests")
	case strings.ContainsAny(q.Host, ":/ "):
		c.fault(Queues, i, "Host", fmt.Sprintf("%q", q.Host), "a host without scheme, port or path: no request matches this one")
	}
	if !strings.HasPrefix(q.Prefix, "/") || strings.ContainsAny(q.Prefix, "?# ") {
		c.fault(Queues, i, "Prefix", fmt.Sprintf("%q", q.Prefix), `a path that begins with "/", without query: no request matches this one`)
	}
}

func (c *checker) checkObjective(i int, q *site.Queue) {
	if n := c.d.Attempts[i]; n < 1 {
		c.warn(Queues, i, "MaxAttempts", fmt.Sprint(n), "at least 1, as which it counts")
	}
	if q.Priority < 0 {
		c.fault(Queues, i, "Priority", fmt.Sprint(q.Priority), "0 for the highest priority, or a number above it")
	}
	if q.Target < 0 {
		c.fault(Queues, i, "Target", q.Target.String(), "no negative duration")
	}
	if q.Stretch < 1 {
		c.warn(Queues, i, "Stretch", fmt.Sprint(q.Stretch), "at least 1: a job takes as long as its longest chain of tasks")
	}
	if q.RequiresAdvice && q.AdviceValidity <= 0 {
		c.fault(Queues, i, "AdviceValidity", q.AdviceValidity.String(), "a duration above 0: no start would have a valid ticket")
	}
}

// checkName checks the name of an entry; first is one more than the index of an earlier entry with this
// name, or 0.
func (c *checker) checkName(s Section, i int, name string, first int) {
	switch {
	case name == "":
		c.fault(s, i, "Name", "nothing", "a name")
	case first > 0:
		c.fault(s, i, "Name", fmt.Sprintf("%q again", name), fmt.Sprintf("a unique name, first used by entry %d", first-1))
	}
}

func (c *checker) checkServices() {
	used := map[model.Service]bool{}
	for _, q := range c.d.Queues {
		used[q.Service] = true
	}
	names := map[model.Service]int{}
	standby := 0
	for i, s := range c.d.Services {
		c.checkName(Services, i, string(s.Name), names[s.Name])
		names[s.Name] = i + 1
		switch {
		case s.Standby && standby > 0:
			c.warn(Services, i, "Standby", "a second standby pool", fmt.Sprintf("one, as in entry %d: machines are taken from one of them only", standby-1))
		case s.Standby:
			standby = i + 1
		case !used[s.Name]:
			c.warn(Services, i, "Name", fmt.Sprintf("%q", s.Name), "a service that some queue uses: its machines get no work")
		}
	}
}

func (c *checker) checkTeams() {
	names, keys := map[model.Team]int{}, map[string]model.Team{}
	open := false
	for _, q := range c.d.Queues {
		open = open || q.OpenToAll
	}
	total := 0.0
	for i, t := range c.d.Teams {
		c.checkName(Teams, i, string(t.Name), names[t.Name])
		names[t.Name] = i + 1
		total += max(0, t.Weight)
		if t.Weight < 0 {
			c.fault(Teams, i, "Weight", fmt.Sprint(t.Weight), "no negative weight")
		}
		if !(jobs.Resources{}).Fits(t.Limit) {
			c.fault(Teams, i, "Limit", fmt.Sprintf("%+v", t.Limit), "0 for no limit, or amounts above it")
		}
		if len(t.Keys) == 0 {
			c.warn(Teams, i, "Keys", "nothing", "at least one key: nobody can submit jobs as this team")
		}
		for _, k := range t.Keys {
			switch other, known := keys[k]; {
			case k == "":
				c.fault(Teams, i, "Keys", "an empty key", "keys with at least one character: requests without a key would count as this team's")
			case known && other != t.Name:
				c.fault(Teams, i, "Keys", "key "+Fingerprint(k), fmt.Sprintf("a key of one team: it also belongs to %q", other))
			case known:
				c.warn(Teams, i, "Keys", "key "+Fingerprint(k)+" again", "each key once")
			}
			keys[k] = t.Name
		}
	}
	if len(c.d.Teams) > 0 && total == 0 {
		c.warn(Teams, 0, "Weight", "0 for every team", "a weight above 0: no team has a share when all capacity is in use")
	}
	for i, q := range c.d.Queues {
		if len(keys) == 0 && !q.OpenToAll {
			c.warn(Queues, i, "Name", fmt.Sprintf("%q needs a key and no team has one", q.Name), "a team with a key, or a public queue")
		}
	}
}

// Diff returns what a document changes compared with the one in force; before may be nil. Keys are shown
// by their fingerprints.
func Diff(before, after *Document) []config.Change {
	if before == nil {
		before = &Document{}
	}
	var out []config.Change
	a, b := before.sections(), after.sections()
	for i := range b {
		out = append(out, config.DiffObjects(b[i].kind, a[i].objects, b[i].objects)...)
	}
	return out
}

type section struct {
	kind    config.Kind
	objects []config.Object
}

func (d *Document) sections() []section {
	limits := section{config.KindSite, []config.Object{config.NewObject("", "max_body", d.MaxBody)}}
	queues, services := section{kind: config.KindQueue}, section{kind: config.KindService}
	teams, keys := section{kind: config.KindTeam}, section{kind: config.KindKey}
	for i, q := range d.Queues {
		queues.objects = append(queues.objects, config.NewObject(string(q.Name), "host", q.Host, "prefix", q.Prefix, "service", q.Service, "priority", q.Priority,
			"max_attempts", d.Attempts[i], "stretch", q.Stretch, "target", q.Target, "public", q.OpenToAll, "advice", q.RequiresAdvice, "advice_validity", q.AdviceValidity))
	}
	for _, s := range d.Services {
		services.objects = append(services.objects, config.NewObject(string(s.Name), "standby", s.Standby, "rejects_overload", s.RejectsOverload))
	}
	for _, t := range d.Teams {
		teams.objects = append(teams.objects, config.NewObject(string(t.Name), "weight", t.Weight, "cpu", t.Limit.CPU, "memory_mb", t.Limit.MemoryMB, "accelerators", t.Limit.Accelerators))
		for _, k := range t.Keys {
			keys.objects = append(keys.objects, config.NewObject(Fingerprint(k), "team", t.Name))
		}
	}
	return []section{limits, queues, services, teams, keys}
}
