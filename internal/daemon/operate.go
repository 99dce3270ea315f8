package daemon

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/internal/platform"
)

func (d *Daemon) operatorServer(log zerolog.Logger) (*http.Server, error) {
	h, err := operator.NewHandler(operator.Options{
		Token: d.set.OperatorToken, Applier: applier{d.control}, Config: configSource{d.control},
		Status: statusSource{d}, Jobs: jobSource{d}, Reports: reportSource{d}, Log: logging.Part(log, "operator"),
	})
	if err != nil {
		return nil, errors.Wrap(err, "daemon")
	}
	return operator.NewServer(d.set.OperatorListen, h), nil
}

// applier converts applies and their errors between operator and control.
type applier struct{ control *control.Control }

// Apply implements operator.Applier.
func (a applier) Apply(ctx context.Context, r operator.ApplyRequest) (operator.ApplyResult, error) {
	res, err := a.control.Apply(ctx, control.ApplyRequest{
		ApplyID: r.ApplyID, Operator: r.Operator, BaseVersion: r.BaseVersion, Files: r.Files,
	})
	if err != nil {
		return operator.ApplyResult{}, applyError(err)
	}
	if res.Digest != config.Digest(r.Files) {
		return operator.ApplyResult{}, operator.ErrApplyIDUsed
	}
	return operator.ApplyResult{Head: config.Head{
		Version: res.Version, Digest: res.Digest, ApplyID: r.ApplyID, Operator: r.Operator, Time: res.Time,
	}}, nil
}

func applyError(err error) error {
	var c *control.ConflictError
	switch {
	case errors.As(err, &c):
		return &operator.ConflictError{Head: c.Head}
	case errors.Is(err, control.ErrInvalidConfig), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		return errors.WithMessage(operator.ErrNotApplied, err.Error())
	}
	return errors.WithMessage(operator.ErrOutcomeUnknown, err.Error())
}

type configSource struct{ control *control.Control }

// Document implements operator.ConfigSource.
func (s configSource) Document() *config.Document { return s.control.Snapshot().Document }

// statusSource implements operator.StatusSource.
type statusSource struct{ *Daemon }

// Status returns the status of the site as this entry VM knows it.
func (s statusSource) Status(ctx context.Context) (operator.Status, error) {
	snap := s.control.Snapshot()
	out := operator.Status{Entry: s.self.Entry, DC: s.self.DC, Time: time.Now()}
	var site control.SiteStatus
	// Each part may wait for an entry VM that does not answer, so they wait together.
	parts := parallel{log: s.log}
	parts.run("status of the configuration", func() { out.Configuration = s.configuration(ctx, snap) })
	parts.run("status of the entry VMs", func() { out.Peers = s.peerStatus(ctx, snap) })
	parts.run("status of the site", func() { site = s.control.SiteStatus(ctx) })
	if err := parts.wait(); err != nil {
		return operator.Status{}, err
	}
	for _, c := range site.Coordinators {
		out.Coordinators = append(out.Coordinators, operator.CoordinatorStatus{DC: c.DC, Entry: c.Entry, Token: c.Token, Local: c.Local})
	}
	if snap.Site != nil {
		out.VMs = vmStatus(snap.Site, site)
		out.Teams = teamStatus(snap.Site, site)
		out.Waves = waveStatus(snap.Site, site)
	}
	return out, nil
}

func (s statusSource) configuration(ctx context.Context, snap *control.Snapshot) operator.ConfigurationStatus {
	if snap.Document == nil {
		return operator.ConfigurationStatus{Of: len(s.set.Peers)}
	}
	doc := snap.Document
	cs := s.control.ConfigStatus(ctx, doc.Version)
	out := operator.ConfigurationStatus{
		Head: config.Head{Version: doc.Version, Digest: doc.Digest, ApplyID: doc.ApplyID, Operator: doc.Operator, Time: doc.Time},
		// A daemon only puts a version in force after the head has moved to it.
		Stored: true, InForce: cs.InForce, Of: cs.Total, Everywhere: cs.Everywhere(), Confirmed: snap.Current,
	}
	for _, m := range cs.Missing {
		p := snap.Peers[m.Entry]
		since := m.Since
		if doc.Time.After(since) {
			since = doc.Time
		}
		out.Missing = append(out.Missing, operator.MissingEntry{
			Name: m.Entry, DC: p.DC, Version: m.Version, Since: since, Status: p.Status,
		})
	}
	return out
}

func (s statusSource) peerStatus(ctx context.Context, snap *control.Snapshot) []operator.PeerStatus {
	listed := s.listed(ctx)
	version := uint64(0)
	if snap.Site != nil {
		version = snap.Site.Version
	}
	out := []operator.PeerStatus{{
		Name: s.self.Entry, DC: s.self.DC, Status: control.MemberAlive, Config: version,
		LastHeard: time.Now(), Listed: listed(s.self.Entry),
	}}
	for name, p := range snap.Peers {
		out = append(out, operator.PeerStatus{
			Name: name, DC: p.DC, Status: p.Status, Config: p.Config, LastHeard: p.LastHeard, Listed: listed(name),
		})
	}
	slices.SortFunc(out, func(a, b operator.PeerStatus) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// listed returns what the platform's list of VMs says of an entry VM; the list is a hint.
func (s statusSource) listed(ctx context.Context) func(model.EntryVM) string {
	vms, err := s.VMs.List(ctx)
	if err != nil {
		return func(model.EntryVM) string { return "" }
	}
	state := make(map[string]string, len(vms))
	for _, v := range vms {
		state[v.Name] = "live"
		if v.Leaving {
			state[v.Name] = "leaving"
		}
	}
	return func(e model.EntryVM) string {
		if l := state[string(e)]; l != "" {
			return l
		}
		return "missing"
	}
}

// waveStatus returns the progress of the waves. VMs of data centres whose progress is not known
// count as not done, so that no wave looks finished while a data centre has no coordinator.
func waveStatus(site *config.Index, st control.SiteStatus) []operator.WaveStatus {
	var out []operator.WaveStatus
	for _, w := range st.Waves {
		x := operator.WaveStatus{Name: w.Name, Done: w.Done, Active: w.Active, Total: w.Total, Paused: w.Paused}
		for i := range site.Waves {
			if site.Waves[i].Name != w.Name {
				continue
			}
			for j := range site.VMs {
				v := &site.VMs[j]
				if slices.Contains(site.Waves[i].Pools, v.Pool) && !slices.Contains(st.WavesFrom[w.Name], v.DC) {
					x.Total++
				}
			}
		}
		out = append(out, x)
	}
	return out
}

func vmStatus(site *config.Index, st control.SiteStatus) []operator.VMStatus {
	out := make([]operator.VMStatus, 0, len(site.VMs))
	for _, vm := range site.VMs {
		v := operator.VMStatus{Name: vm.Name, DC: vm.DC, Pool: vm.Pool, State: model.VMServing, Slots: vm.Slots}
		if m, ok := st.VMs[vm.Name]; ok {
			v.State, v.Busy, v.Ejected, v.Suspect = m.State, m.Used, m.Ejected, m.Suspect
			v.MoveTo, v.Wave, v.Since, v.Held, v.Detail = m.MoveTo, m.Wave, m.Since, m.HoldReason, m.Detail
			if m.Pool != "" {
				v.Pool = m.Pool
			}
		}
		out = append(out, v)
	}
	return out
}

func teamStatus(site *config.Index, st control.SiteStatus) []operator.TeamStatus {
	shares, running := 0, 0
	for _, t := range site.Teams {
		shares += t.Share
		running += st.Running[t.Name]
	}
	out := make([]operator.TeamStatus, 0, len(site.Teams))
	for _, t := range site.Teams {
		out = append(out, operator.TeamStatus{
			Name: t.Name, Running: st.Running[t.Name], Waiting: st.Waiting[t.Name], Limit: t.Limit, Share: t.Share,
			SharePercent: percent(t.Share, shares), UsedPercent: percent(st.Running[t.Name], running),
		})
	}
	return out
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
