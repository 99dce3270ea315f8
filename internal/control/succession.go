package control

import (
	"time"

	"boragepulley/internal/model"
)

// checkLocalSuccession takes the coordinator role without the table (docs/design.md, D2).
// It does so if the table is unreachable, the coordinator is gone, silent or has stepped
// down, and this entry VM has the lowest name of those that are alive.
func (c *Control) checkLocalSuccession(now time.Time) {
	if c.shuttingDown || c.coord != nil || c.takeover != nil || c.lease.writeInFlight {
		return
	}
	if c.lease.usable() || now.Sub(c.lease.lastUsable) < LeaseTTL || now.Sub(c.started) < LeaseTTL {
		return
	}
	if c.coordinatorAlive(now) || !c.hasLowestLivingName(now) || !c.predecessorUnavailable(now) {
		return
	}
	t := c.following.token
	t.Succession++
	c.startTakeover(t, true, "table unreachable and coordinator out of service")
}

// hasLowestLivingName reports whether no member that is alive has a lower name.
func (c *Control) hasLowestLivingName(now time.Time) bool {
	for _, m := range c.localMembers() {
		if m.Name < c.self.Entry && m.status != MemberGone && !m.isSilent(now) && m.status != MemberLeaving {
			return false
		}
	}
	return true
}

// predecessorUnavailable reports whether the last known coordinator can no longer serve.
func (c *Control) predecessorUnavailable(now time.Time) bool {
	name := c.following.coordinator
	if name == "" && c.following.token == (model.Token{}) {
		name = c.lease.row.Holder
	}
	m := c.byName[name]
	return m == nil || m.status == MemberGone || m.isSilent(now) || m.coordinator != m.Name && m.answered.After(c.lease.lastUsable)
}
