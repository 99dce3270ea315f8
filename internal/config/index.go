package config

import "boragepulley/internal/model"

// Index gives access to a checked site by name. It is immutable once built and
// safe for concurrent use.
type Index struct {
	*Site
	Version  uint64
	queues   map[model.Queue]*Queue
	services map[model.Service]*Service
	teams    map[model.Team]*Team
	keys     map[string]*Key
	vms      map[model.VM]*VM
	pools    map[model.Pool]*Pool
	workers  map[model.Worker]*Worker
}

// NewIndex builds the index of a checked site at the given configuration version.
func NewIndex(s *Site, version uint64) *Index {
	x := &Index{
		Site:     s,
		Version:  version,
		queues:   make(map[model.Queue]*Queue, len(s.Queues)),
		services: make(map[model.Service]*Service, len(s.Services)),
		teams:    make(map[model.Team]*Team, len(s.Teams)),
		keys:     make(map[string]*Key, len(s.Keys)),
		vms:      make(map[model.VM]*VM, len(s.VMs)),
		pools:    make(map[model.Pool]*Pool, len(s.Pools)),
		workers:  make(map[model.Worker]*Worker, len(s.Workers)),
	}
	for i := range s.Queues {
		x.queues[s.Queues[i].Name] = &s.Queues[i]
	}
	for i := range s.Services {
		x.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Teams {
		x.teams[s.Teams[i].Name] = &s.Teams[i]
	}
	for i := range s.Keys {
		x.keys[s.Keys[i].ID] = &s.Keys[i]
	}
	for i := range s.VMs {
		x.vms[s.VMs[i].Name] = &s.VMs[i]
	}
	for i := range s.Pools {
		x.pools[s.Pools[i].Name] = &s.Pools[i]
	}
	for i := range s.Workers {
		x.workers[s.Workers[i].Name] = &s.Workers[i]
	}
	return x
}

// Queue returns the queue with the name, or nil.
func (x *Index) Queue(n model.Queue) *Queue { return x.queues[n] }

// Service returns the service with the name, or nil.
func (x *Index) Service(n model.Service) *Service { return x.services[n] }

// Team returns the team with the name, or nil.
func (x *Index) Team(n model.Team) *Team { return x.teams[n] }

// Key returns the key with the public id, or nil.
func (x *Index) Key(id string) *Key { return x.keys[id] }

// VM returns the VM with the name, or nil.
func (x *Index) VM(n model.VM) *VM { return x.vms[n] }

// Pool returns the pool with the name, or nil.
func (x *Index) Pool(n model.Pool) *Pool { return x.pools[n] }

// Worker returns the worker with the name, or nil.
func (x *Index) Worker(n model.Worker) *Worker { return x.workers[n] }
