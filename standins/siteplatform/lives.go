package siteplatform

import (
	"slices"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
)

// Crash ends the process of a machine's minion without notice. It starts again after down, under its
// id, with a wall clock that is wrong by clockStep. It reports false if there is no such process now.
func (p *Platform) Crash(name string, down, clockStep time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.sound(name)
	if m == nil {
		return false
	}
	id := m.minion
	p.events.add("machine %s: minion %s crashes", m.name, id)
	m.crashed = true
	p.minions.Change(id, func(x *fleet.Minion) { x.Down = true })
	p.reachable(m, false)
	time.AfterFunc(down, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if m.minion != id {
			return // the machine was moved or maintained meanwhile
		}
		m.crashed = false
		p.reachable(m, true)
		p.minions.RestartAt(id, clockStep)
		p.events.add("machine %s: minion %s starts again, its clock is wrong by %v", m.name, id, clockStep)
		p.writeEntry(m, 1)
	})
	return true
}

// Leave announces that a machine's minion ends after notice, and ends it then. A new one joins after
// back. It returns the minion, or an empty id if there is none that can leave.
func (p *Platform) Leave(name string, notice, back time.Duration) jobs.Minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.sound(name)
	if m == nil {
		return ""
	}
	p.events.add("machine %s: minion %s leaves in %v", m.name, m.minion, notice)
	m.leaving, m.gone = true, time.Now().Add(notice)
	p.writeEntry(m, 1)
	time.AfterFunc(notice, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.leaving = false
		p.takeDown(m, stateDown, back)
	})
	return m.minion
}

// sound returns a machine that is up and whose minion neither leaves nor is down, or nil. It requires
// mu.
func (p *Platform) sound(name string) *machine {
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.name == name })
	if i < 0 || p.machines[i].state != stateUp || p.machines[i].leaving || p.machines[i].crashed || p.machines[i].minion == "" {
		return nil
	}
	return p.machines[i]
}
