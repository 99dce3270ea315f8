package mutants

import (
	"boragepulley/bench/load"
	"boragepulley/bench/prove"
)

// Edit replaces one text of one file.
type Edit struct {
	// File is relative to the module's root.
	File string
	// Old must occur exactly once in the file.
	Old, New string
}

// Mutant is one broken rule.
type Mutant struct {
	Name  string
	Edits []Edit
	// Scenario must notice the mutant with a fault of the kind Expect.
	Scenario string
	Seed     uint64
	Expect   load.FaultKind
}

// All returns every mutant. A rule that two places guard is broken in both, because one
// alone would change nothing that can be seen.
func All() []Mutant {
	return []Mutant{
		{
			Name: "configuration steps back", Scenario: "config-race", Seed: 1, Expect: prove.FaultVersionBack,
			Edits: []Edit{
				{"internal/control/configuration.go", "if h.Version > c.cfg.newestVersion() {", "if h.Version != c.cfg.newestVersion() {"},
				{"internal/control/configuration.go", "if v.doc.Version <= c.cfg.newestVersion() {", "if v.doc.Version == c.cfg.newestVersion() {"},
				{"internal/control/configuration.go", "|| c.cfg.version() >= n {", "|| c.cfg.version() == n {"},
				{"internal/control/configuration.go", "if !invariant.Check(n > old, invariant.ConfigNeverReverts,", "if !invariant.Check(true, invariant.ConfigNeverReverts,"},
				// The answer of the table arrives late.
				{"internal/control/configuration.go", "row, err := c.deps.Table.Get(ctx, platform.PriorityConfig, headKey)", "row, err := c.deps.Table.Get(ctx, platform.PriorityConfig, headKey)\n\t\tsleep(ctx, time.Duration(now.UnixNano())%(storeTimeout/4))"},
			},
		},
		{
			Name: "no key check before the dispatch", Scenario: "key-isolated", Seed: 1, Expect: prove.FaultKeyWorks,
			Edits: []Edit{{"internal/control/gate.go", "		r = checkPermitKey(c.Snapshot(), p, keyID, now)", "		r = model.ReasonNone"}},
		},
		{
			Name: "queued requests keep a withdrawn key", Scenario: "key-withdrawn", Seed: 1, Expect: prove.FaultInvariant,
			Edits: []Edit{{"internal/admission/site.go", "if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {", "if reason := a.authorize(r.queue, r.keyID, r.team); reason == model.ReasonUnknownQueue {"}},
		},
		{
			Name: "team limit exceeded by one per data centre", Scenario: "limits-faults", Seed: 1, Expect: prove.FaultLimit,
			Edits: []Edit{{"internal/admission/grant.go", "- t.permits - t.tasks - blocked", "- t.permits - t.tasks - blocked + 1"}},
		},
		{
			Name: "slots of unknown use are free after a takeover", Scenario: "slots-takeover", Seed: 1, Expect: load.FaultMinionLimits,
			Edits: []Edit{
				{"internal/admission/minion.go", "	if !m.answered {\n		return max(m.slots, len(m.permits))", "	if !m.answered {\n		return len(m.permits)"},
				{"internal/admission/minion.go", "return len(m.permits) + len(m.unattributed)", "return len(m.permits)"},
				{"internal/admission/minion.go", "m.state == model.VMServing && m.answered && m.used()", "m.state == model.VMServing && m.used()"},
			},
		},
		{
			// The old coordinator neither notices that its lease has ended nor steps down for a
			// higher token, and no entry VM rejects its permits.
			Name: "a resumed coordinator goes on", Scenario: "slots-takeover", Seed: 1, Expect: load.FaultMinionLimits,
			Edits: []Edit{
				{"internal/control/gate.go", "	case g.isCoordinator && now.After(g.authorityUntil):", "	case false:"},
				{"internal/control/gate.go", "	case p.Token.Less(g.token):", "	case false:"},
				{"internal/control/gate.go", "	case !g.isCoordinator && now.Sub(g.confirmedAt) > LeaseTTL:", "	case false:"},
				{"internal/control/gate.go", "case !ok || h.permit != p || h.session != g.session || now.After(p.NotAfter):", "case !ok || h.permit != p:"},
				{"internal/control/gate.go", "if p.Token.Less(g.token) || session != g.session {", "if false {"},
				{"internal/control/lease.go", "	if !c.following.token.Less(t) {", "	if !c.following.token.Less(t) || c.coord != nil {"},
				{"internal/control/lease.go", "	if now.After(until) {\n		c.stepDown(", "	if until.IsZero() {\n		c.stepDown("},
				{"internal/control/lease.go", "c.stepDown(\"lease row is held by \" + string(got.Holder))", "c.log.Warn().Msg(\"lease row is held by \" + string(got.Holder))"},
			},
		},
		{
			Name: "no claim", Scenario: "once-faults", Seed: 1, Expect: load.FaultRanTwice,
			Edits: []Edit{{"internal/dispatch/claimjob.go", `if j.req.Idempotent || j.req.RequestID == "" || j.claimedBySender {`, "if j != nil {"}},
		},
		{
			Name: "a claim in conflict counts as held", Scenario: "once-faults", Seed: 1, Expect: load.FaultRanTwice,
			Edits: []Edit{{"internal/dispatch/claims.go", "		case errors.Is(err, platform.ErrConflict):\n			c.resolveEach(g)", "		case errors.Is(err, platform.ErrConflict):\n			for _, a := range g {\n				c.deliver(a, claimResult{held: true})\n			}"}},
		},
		{
			Name: "a non-idempotent job that may have started is tried again", Scenario: "minion-all-bad", Seed: 1, Expect: prove.FaultInvariant,
			Edits: []Edit{{"internal/dispatch/retry.go", "	case failAnswerLost, failIncompleteAnswer, failStatus:\n		return idempotent", "	case failAnswerLost, failIncompleteAnswer, failStatus:\n		return true"}},
		},
		{
			Name: "the digest of an answer is not checked", Scenario: "minion-faults", Seed: 1, Expect: load.FaultWrongAnswer,
			Edits: []Edit{{"internal/upstream/wire.go", "; !strings.EqualFold(got, want) {", "; got == want+want {"}},
		},
		{
			Name: "a job that may have run is reported as not run", Scenario: "minion-all-bad", Seed: 1, Expect: load.FaultFalseRefusal,
			Edits: []Edit{{"internal/dispatch/run.go", "	case mayHaveRun:\n		st.state = model.StateUnknown", "	case mayHaveRun:\n		st.state = model.StateRefused"}},
		},
		{
			Name: "a graceful shutdown does not wait for answers", Scenario: "rolling-restart", Seed: 1, Expect: load.FaultCutOff,
			Edits: []Edit{
				{"internal/daemon/shutdown.go", "if e := d.jobs.Wait(ctx); e != nil {", "if e := ctx.Err(); e != nil {"},
				{"internal/caller/server.go", "s.http.Shutdown(ctx)", "s.http.Close()"},
			},
		},
		{
			Name: "records are not copied", Scenario: "records-copied", Seed: 1, Expect: prove.FaultGapLong,
			Edits: []Edit{{"internal/daemon/links.go", "reply, err := to.HoldRecords(ctx, &peer.HoldRecords{From: c.links.self, Batch: sequence, Payload: payload})", "reply := peer.HoldRecordsReply{}; _ = to"}},
		},
		{
			Name: "copies of records are dropped but count as covered", Scenario: "records-copied", Seed: 1, Expect: load.FaultReportMissing,
			Edits: []Edit{{"internal/account/holder.go", "		c.batches[sequence] = payload\n", ""}},
		},
	}
}
