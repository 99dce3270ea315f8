package config

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"boragepulley/internal/tomldoc"
)

// Action is what a change does to an object.
type Action string

const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
	// ActionMove: a VM changes its pool, once it is empty.
	ActionMove Action = "move"
)

// Kind is the kind of object that a change concerns, as the section is named in files.
type Kind string

const (
	KindSite       Kind = "site"
	KindWeights    Kind = "weights"
	KindIsolation  Kind = "isolation"
	KindDataCentre Kind = "data_centre"
	KindService    Kind = "service"
	KindPool       Kind = "pool"
	KindVM         Kind = "vm"
	KindWorker     Kind = "worker"
	KindQueue      Kind = "queue"
	KindTeam       Kind = "team"
	KindKey        Kind = "key"
	KindBudget     Kind = "budget"
	KindWave       Kind = "wave"
)

// Change is one difference between two sites.
type Change struct {
	Action Action `json:"action"`
	Kind   Kind   `json:"kind"`
	// Object is the name of the object; empty for sections that exist once.
	Object string `json:"object,omitempty"`
	// Field is set for ActionChange and ActionMove only.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

func (c Change) String() string {
	name := strings.TrimSpace(string(c.Kind) + " " + c.Object)
	switch c.Action {
	case ActionAdd:
		return fmt.Sprintf("+ %s (%s)", name, c.To)
	case ActionRemove:
		return fmt.Sprintf("- %s (%s)", name, c.From)
	case ActionMove:
		return fmt.Sprintf("> %s: moves from pool %s to pool %s when it is empty", name, c.From, c.To)
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", name, c.Field, cmp.Or(c.From, "(none)"), cmp.Or(c.To, "(none)"))
}

// field is one field of an object as files write it.
type field struct{ name, value string }

// Object is one object of a site in a form that can be compared.
type Object struct {
	name   string
	fields []field
}

// NewObject returns an object with fields given as pairs of name and value. Objects that are compared must
// have the same fields in the same order.
func NewObject(name string, pairs ...any) Object {
	o := Object{name: name}
	for i := 0; i+1 < len(pairs); i += 2 {
		o.fields = append(o.fields, field{fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])})
	}
	return o
}

// Diff returns the differences from old to new, by kind in the order of the files'
// sections. A nil site has no objects.
func Diff(old, new *Site) []Change {
	var out []Change
	a, b := sections(old), sections(new)
	for i := range b {
		out = append(out, DiffObjects(b[i].kind, a[i].objects, b[i].objects)...)
	}
	return out
}

// DiffObjects returns the differences between two lists of objects of one kind.
func DiffObjects(kind Kind, old, new []Object) []Change {
	var out []Change
	before := make(map[string]Object, len(old))
	for _, o := range old {
		before[o.name] = o
	}
	after := make(map[string]bool, len(new))
	for _, o := range new {
		after[o.name] = true
		p, ok := before[o.name]
		if !ok {
			out = append(out, Change{Action: ActionAdd, Kind: kind, Object: o.name, To: o.summary()})
			continue
		}
		for i, f := range o.fields {
			if was := p.fields[i].value; was != f.value {
				action := ActionChange
				if kind == KindVM && f.name == "pool" {
					action = ActionMove
				}
				out = append(out, Change{action, kind, o.name, f.name, was, f.value})
			}
		}
	}
	for _, o := range old {
		if !after[o.name] {
			out = append(out, Change{Action: ActionRemove, Kind: kind, Object: o.name, From: o.summary()})
		}
	}
	return out
}

func (o Object) summary() string {
	parts := make([]string, 0, len(o.fields))
	for _, f := range o.fields {
		if f.value != "" && f.value != "false" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	return strings.Join(parts, " ")
}

// section is all objects of one kind.
type section struct {
	kind    Kind
	objects []Object
}

// sections returns the objects of a site. Every call returns the same kinds in the same
// order, and objects of a kind have the same fields.
func sections(s *Site) []section {
	var single [3][]Object
	if s == nil {
		s = &Site{}
	} else {
		single = [3][]Object{
			{{"", []field{{"name", s.Name}}}},
			{{"", weightFields(s.Weights)}},
			{{"", []field{{"keys", string(s.Isolation.Keys)}, duration("after", s.Isolation.After)}}},
		}
	}
	return []section{
		{KindSite, single[0]},
		{KindWeights, single[1]},
		{KindIsolation, single[2]},
		{KindDataCentre, objects(s.DataCentres, dataCentreObject)},
		{KindService, objects(s.Services, serviceObject)},
		{KindPool, objects(s.Pools, poolObject)},
		{KindVM, objects(s.VMs, vmObject)},
		{KindWorker, objects(s.Workers, workerObject)},
		{KindQueue, objects(s.Queues, queueObject)},
		{KindTeam, objects(s.Teams, teamObject)},
		{KindKey, objects(s.Keys, keyObject)},
		{KindBudget, objects(s.Budgets, budgetObject)},
		{KindWave, objects(s.Waves, waveObject)},
	}
}

func objects[T any](list []T, f func(*T) Object) []Object {
	out := make([]Object, len(list))
	for i := range list {
		out[i] = f(&list[i])
	}
	return out
}

func weightFields(w Weights) []field {
	return []field{
		integer("buffer_cost", int64(w.BufferCost)), integer("rollout_time", int64(w.RolloutTime)),
		integer("moves", int64(w.Moves)), integer("share_closeness", int64(w.ShareCloseness)),
	}
}

func dataCentreObject(c *DataCentre) Object {
	return Object{string(c.Name), []field{{"entry_vms", list(c.EntryVMs)}}}
}

func serviceObject(s *Service) Object {
	return Object{string(s.Name), []field{duration("max_run", s.MaxRun)}}
}

func poolObject(p *Pool) Object {
	return Object{string(p.Name), []field{{"service", string(p.Service)}, boolean("spare", p.Spare),
		integer("min", int64(p.Min)), integer("max", int64(p.Max))}}
}

func vmObject(v *VM) Object {
	return Object{string(v.Name), []field{
		{"pool", string(v.Pool)}, {"data_centre", string(v.DC)}, {"rack", string(v.Rack)}, {"address", v.Addr},
		integer("slots", int64(v.Slots)), integer("connections", int64(v.Connections)),
		boolean("drain", v.Drain),
	}}
}

func workerObject(w *Worker) Object {
	return Object{string(w.Name), []field{
		{"data_centre", string(w.DC)}, {"rack", string(w.Rack)}, {"address", w.Addr},
		integer("cores", int64(w.Cores)), integer("memory_mb", int64(w.MemoryMB)), integer("accelerators", int64(w.Accelerators)),
	}}
}

func queueObject(q *Queue) Object {
	return Object{string(q.Name), []field{
		{"kind", string(q.Kind)}, {"service", string(q.Service)}, boolean("open", q.Open), {"teams", list(q.Teams)},
		integer("max_waiting", int64(q.MaxWaiting)), integer("max_body", q.MaxBody),
		duration("deadline", q.Deadline), duration("max_deadline", q.MaxDeadline),
		integer("max_attempts", int64(q.MaxAttempts)), integer("retry_percent", int64(q.RetryPercent)),
		boolean("deferrable", q.Deferrable),
	}}
}

func teamObject(t *Team) Object {
	return Object{string(t.Name), []field{integer("share", int64(t.Share)), integer("limit", int64(t.Limit))}}
}

func keyObject(k *Key) Object {
	return Object{k.ID, []field{{"team", string(k.Team)}, {"sha256", hex.EncodeToString(k.SHA256[:])}}}
}

func budgetObject(b *Budget) Object {
	return Object{string(b.Service) + " per " + string(b.Scope), []field{integer("max_unavailable", int64(b.MaxUnavailable))}}
}

func waveObject(w *Wave) Object {
	return Object{w.Name, []field{
		{"pools", list(w.Pools)}, {"start", w.Start.UTC().Format(time.RFC3339Nano)}, duration("drain_timeout", w.DrainTimeout),
		duration("cooldown", w.Cooldown),
	}}
}

func integer(name string, n int64) field { return field{name, strconv.FormatInt(n, 10)} }

func duration(name string, d time.Duration) field { return field{name, tomldoc.ShortDuration(d)} }

func boolean(name string, b bool) field { return field{name, strconv.FormatBool(b)} }

func list[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, ",")
}
