package siteplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	holderHeader = "X-Boragepulley-Duty-Holder"
	tokenHeader  = "X-Boragepulley-Fencing-Token"
)

// machineOrder is the body of a move or an upkeep.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (p *Platform) machineHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"machines": p.listMachines(), "next_token": nil})
	})
	mux.HandleFunc("POST /-/machine-move", p.serveMachineOrder(p.move))
	mux.HandleFunc("POST /-/machine-upkeep", p.serveMachineOrder(p.upkeep))
	return mux
}

func (p *Platform) listMachines() []map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []map[string]any
	for _, m := range p.machines {
		out = append(out, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels(),
			"capacity": wireResources(p.site.Capacity), "id": string(m.minion)})
	}
	return out
}

// serveMachineOrder checks the order of holders. carry runs under mu and returns the reason
// of a refusal.
func (p *Platform) serveMachineOrder(carry func(*machine, machineOrder) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o machineOrder
		token, err := strconv.ParseUint(r.Header.Get(tokenHeader), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
			http.Error(w, "malformed order", http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.name == o.Machine })
		if i < 0 {
			p.mu.Unlock()
			http.Error(w, "no such machine", http.StatusBadRequest)
			return
		}
		m := p.machines[i]
		p.checkHolder(m, r.Header.Get(holderHeader), token)
		reason := carry(m, o)
		p.mu.Unlock()
		if reason != "" {
			reply(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	}
}

// checkHolder records orders of two holders with one token, and a lower token after a higher
// one.
func (p *Platform) checkHolder(m *machine, holder string, token uint64) {
	switch {
	case token == m.token && holder != m.holder && m.holder != "":
		p.violation("machine %s is ordered by %s and %s with token %d", m.name, m.holder, holder, token)
	case token < m.token:
		p.violation("machine %s is ordered by %s with token %d after token %d", m.name, holder, token, m.token)
	}
	if token >= m.token {
		m.token, m.holder = token, holder
	}
}

func (p *Platform) move(m *machine, o machineOrder) string {
	switch {
	case m.state == stateMoving && m.pool == o.Pool, m.state == stateUp && m.pool == o.Pool:
		return ""
	case m.state != stateUp || m.leaving:
		return "busy"
	}
	m.pool = o.Pool
	p.takeDown(m, stateMoving, p.site.MoveTime)
	return ""
}

func (p *Platform) upkeep(m *machine, o machineOrder) string {
	wave := p.waves[o.Wave]
	switch {
	case wave == nil || !slices.Contains(wave.Machines, m.name):
		return "wave"
	case wave.begun[m.name]:
		return ""
	case m.state != stateUp || m.leaving:
		return "busy"
	}
	down := 0
	for _, x := range p.machines {
		if x.state == stateUpkeep && slices.Contains(wave.Machines, x.name) {
			down++
		}
	}
	if down >= wave.Cap {
		p.violation("upkeep of %s begins while %d machines of wave %d are down, cap %d", m.name, down, o.Wave, wave.Cap)
	}
	wave.begun[m.name] = true
	p.takeDown(m, stateUpkeep, p.site.UpkeepTime)
	return ""
}

// takeDown ends the minion of a machine; a new one joins later. The caller holds mu.
func (p *Platform) takeDown(m *machine, state string, d time.Duration) {
	p.events.add("machine %s: %s, pool %s, minion %s ends", m.name, state, m.pool, m.minion)
	p.minions.Remove(m.minion)
	p.rows.Put("servers/"+string(m.minion), nil)
	m.state, m.minion, m.crashed, m.leaving = state, "", false, false
	p.reachable(m, false)
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reachable(m, true) // a minion is listed once it can be reached
		m.state = stateUp
		p.startMinion(m)
	})
}

func (p *Platform) reachable(m *machine, up bool) {
	if p.site.OnMachine != nil {
		p.site.OnMachine(m.name, up)
	}
}

func (m *machine) labels() []string { return []string{"kind-a", m.rack} }

// zoneOf returns the zone of a rack, with which its name begins.
func zoneOf(rack string) string {
	zone, _, _ := strings.Cut(rack, "-")
	return zone
}
