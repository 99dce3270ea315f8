package control

import (
	"time"

	"boragepulley/internal/model"
)

// checkLocalSuccession takes the coordinator role without the table (D2): the table is
// unreachable, the coordinator is gone, silent or has given up, and this entry VM is the
// living one with the lowest name.
func (c *Control) checkLocalSuccession(now time.Time) {
	if c.shuttingDown || c.coord != nil || c.takeover != nil || c.lease.writing {
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

// hasLowestLivingName reports whether no living member has a lower name.
func (c *Control) hasLowestLivingName(now time.Time) bool {
	for _, m := range c.localMembers() {
		if m.Name < c.self.Entry && m.status != MemberGone && !m.isSilent(now) && m.status != MemberLeaving {
			return false
		}
	}
	return true
}

// predecessorUnavailable reports whether the last known coordinator cannot serve any more.
func (c *Control) predecessorUnavailable(now time.Time) bool {
	name := c.following.coordinator
	if name == "" && c.following.token == (model.Token{}) {
		name = c.lease.row.Holder
	}
	m := c.byName[name]
	return m == nil || m.status == MemberGone || m.isSilent(now) || m.coordinator != m.Name && m.answered.After(c.lease.lastUsable)
}
