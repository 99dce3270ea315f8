package control

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	headKey       = "config/head"
	historyPrefix = "config/history/"
	objectPrefix  = "config/"
)

// configState holds the known state of the configuration.
type configState struct {
	// doc and index are the configuration in force.
	doc   *config.Document
	index *config.Index
	// newestValid is the newest valid version. It is pushed to peers before it is put in
	// force.
	newestValid *configVersion
	// headVersion is the highest version that was read from the head row. headRead is set
	// once the row, or its absence, was read.
	headVersion uint64
	headRead    bool
	polling     bool
	// fetchingVersion is the version that is being fetched; 0 if none.
	fetchingVersion uint64
	// loggedFailures holds the versions that could not be fetched or parsed, so that each
	// is logged only once.
	loggedFailures map[uint64]bool
	// startupDone is set once the daemon has put a version in force for the first time
	// (docs/design.md, D3).
	startupDone bool
	// evidenceAt is the time of the latest evidence that the version in force is the
	// newest one.
	evidenceAt   time.Time
	inForceSince time.Time
	// everCurrent is set once the configuration was current (docs/design.md, D3).
	everCurrent bool
}

// configVersion is one valid version of the configuration; raw is doc as sent to peers.
type configVersion struct {
	doc  *config.Document
	site *config.Site
	raw  []byte
	// headReadAt is the send time of the read of the head row that named this version; zero
	// if the version came from a peer.
	headReadAt time.Time
}

func (s *configState) version() uint64 {
	if s.doc == nil {
		return 0
	}
	return s.doc.Version
}

// newestVersion returns the number of the newest valid version, whether or not it is in
// force yet.
func (s *configState) newestVersion() uint64 {
	if s.newestValid == nil {
		return 0
	}
	return s.newestValid.doc.Version
}

// pollHead reads the head row, which names the newest version.
func (c *Control) pollHead(now time.Time) {
	if c.cfg.polling {
		return
	}
	c.cfg.polling = true
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		row, err := c.deps.Table.Get(ctx, platform.PriorityConfig, headKey)
		return func() {
			c.cfg.polling = false
			if err != nil {
				configOps.Add("head_failed", 1)
				return
			}
			c.onHeadRow(row, now)
		}
	})
}

// onHeadRow handles a head row; the read was sent at sent.
func (c *Control) onHeadRow(row platform.Row, sent time.Time) {
	c.cfg.headRead = true
	if row.Version == 0 {
		return
	}
	var h config.Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		c.log.Error().Err(err).Msg("configuration head malformed")
		return
	}
	c.cfg.headVersion = max(c.cfg.headVersion, h.Version)
	if h.Version > c.cfg.newestVersion() {
		c.fetchObject(h, sent)
		return
	}
	if h.Version <= c.cfg.version() {
		c.addEvidence(sent)
	}
	c.checkConfig(time.Now())
}

// fetchObject reads the configuration object that a head row names.
func (c *Control) fetchObject(h config.Head, sent time.Time) {
	if c.cfg.fetchingVersion >= h.Version {
		return
	}
	c.cfg.fetchingVersion = h.Version
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		data, err := c.deps.Objects.Get(ctx, platform.PriorityConfig, objectPrefix+h.Digest)
		if err == nil {
			var v *configVersion
			if v, err = c.parseVersion(h, data); err == nil {
				v.headReadAt = sent
				return func() {
					c.cfg.fetchingVersion = 0
					c.acceptVersion(v, "table", true)
				}
			}
		}
		return func() { c.onFetchFailed(h.Version, "object store", err) }
	})
}

// parseVersion validates a configuration object. The object depends only on the files, so
// that the same files applied twice are the same object; everything else comes from the
// head row.
func (c *Control) parseVersion(h config.Head, object []byte) (*configVersion, error) {
	var d config.Document
	if err := json.Unmarshal(object, &d); err != nil {
		return nil, errors.Wrap(err, "control: decode configuration object")
	}
	d.Version, d.Digest, d.ApplyID, d.Operator, d.Time = h.Version, h.Digest, h.ApplyID, h.Operator, h.Time
	return c.checkDocument(&d)
}

func (c *Control) checkDocument(d *config.Document) (*configVersion, error) {
	if got := c.deps.Digest(d.Files); got != d.Digest {
		return nil, errors.Errorf("control: configuration %d has digest %s, want %s", d.Version, got, d.Digest)
	}
	site, err := c.deps.Parse(d.Files)
	if err != nil {
		return nil, errors.Wrapf(err, "control: parse configuration %d", d.Version)
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "control: encode configuration")
	}
	return &configVersion{doc: d, site: site, raw: raw}, nil
}

func (c *Control) onFetchFailed(v uint64, source string, err error) {
	if c.cfg.fetchingVersion == v {
		c.cfg.fetchingVersion = 0
	}
	configOps.Add("fetch_failed", 1)
	if c.cfg.loggedFailures == nil {
		c.cfg.loggedFailures = map[uint64]bool{}
	}
	if !c.cfg.loggedFailures[v] {
		c.cfg.loggedFailures[v] = true
		c.log.Warn().Err(err).Uint64("version", v).Str("source", source).Msg("configuration not fetched; retrying")
	}
}

// fetchFrom fetches the configuration from a peer that has reported a newer version.
func (c *Control) fetchFrom(m *member, v uint64) {
	if c.cfg.fetchingVersion >= v {
		return
	}
	c.cfg.fetchingVersion = v
	have := c.cfg.newestVersion()
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		got, err := c.getConfigFrom(ctx, m.client, have)
		if err != nil {
			return func() { c.onFetchFailed(v, string(m.Name), err) }
		}
		return func() {
			c.cfg.fetchingVersion = 0
			if got != nil {
				c.acceptVersion(got, string(m.Name), false)
			}
		}
	})
}

// getConfigFrom asks a peer for a version above have. It returns nil if the peer has none.
func (c *Control) getConfigFrom(ctx context.Context, r PeerClient, have uint64) (*configVersion, error) {
	reply, err := r.ConfigGet(ctx, &peer.ConfigGet{From: c.self, Version: have})
	if err != nil || reply.Document == nil {
		return nil, err
	}
	var d config.Document
	if err := json.Unmarshal(reply.Document, &d); err != nil {
		return nil, errors.Wrap(err, "control: decode the configuration of a peer")
	}
	return c.checkDocument(&d)
}

// acceptVersion handles a valid version. If it is newer than all known ones, it is pushed
// to peers and then put in force.
func (c *Control) acceptVersion(v *configVersion, source string, fromTable bool) {
	if v.doc.Version <= c.cfg.newestVersion() {
		return // a late answer with an old version
	}
	c.cfg.newestValid = v
	configOps.Add("learned", 1)
	c.log.Info().Uint64("version", v.doc.Version).Str("source", source).Msg("configuration received")
	c.pushVersion(v, fromTable)
}

// pushVersion offers a version to peers and then puts it in force: as soon as one peer has
// it, or after configPushWait. A version that came from a peer is pushed only within the
// data centre, because the entry VM that read it from the table pushes it everywhere.
func (c *Control) pushVersion(v *configVersion, everywhere bool) {
	n := v.doc.Version
	msg := &peer.ConfigOffer{From: c.self, Version: n}
	acked := make(chan struct{}, len(c.members))
	sent := 0
	for _, m := range c.members {
		if m.configVersion >= n || m.status == MemberGone || !everywhere && m.DC != c.self.DC {
			continue
		}
		sent++
		c.runAsync(storeTimeout, func(ctx context.Context) func() {
			_, err := m.client.ConfigOffer(ctx, msg)
			acked <- struct{}{}
			if err != nil {
				return nil
			}
			return func() {
				m.configVersion = max(m.configVersion, n)
				c.putInForce(n)
			}
		})
	}
	if sent == 0 {
		c.putInForce(n)
		return
	}
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		wctx, cancel := context.WithTimeout(ctx, configPushWait)
		defer cancel()
		for range sent {
			select {
			case <-acked:
			case <-wctx.Done():
				return func() { c.putInForce(n) }
			}
		}
		return func() { c.putInForce(n) }
	})
}

// putInForce puts the newest valid version in force if it is version n and the startup
// phase is over.
func (c *Control) putInForce(n uint64) {
	v := c.cfg.newestValid
	if v == nil || v.doc.Version != n || c.cfg.version() >= n {
		return
	}
	if !c.cfg.startupDone && !c.startupComplete(time.Now()) {
		return
	}
	c.cfg.startupDone = true
	old := c.cfg.version()
	if !invariant.Check(n > old, invariant.ConfigNeverReverts, "configuration %d would replace %d", n, old) {
		return
	}
	c.cfg.doc, c.cfg.index, c.cfg.inForceSince = v.doc, config.NewIndex(v.site, n), time.Now()
	c.snapshotStale = true
	setGauge("configuration_version", int64(n))
	c.log.Info().Uint64("from", old).Uint64("to", n).Str("operator", v.doc.Operator).Str("digest", v.doc.Digest).
		Msg("configuration in force")
	c.recordEvent("configuration", "entry/"+string(c.self.Entry), versionText(old), versionText(n), "in force")
	c.addEvidence(v.headReadAt)
	c.applySite()
	c.publishSnapshot()
	if old == 0 {
		// The first evidence is requested without waiting for the next round.
		c.sendHeartbeats(time.Now())
	}
}

// startupComplete reports whether a starting daemon may put its newest version in force:
// either it has the version that the head row names, or the table has not answered for
// configStartupWait and the version came from a peer.
func (c *Control) startupComplete(now time.Time) bool {
	if c.cfg.headRead {
		return c.cfg.newestVersion() >= c.cfg.headVersion
	}
	return now.Sub(c.started) >= configStartupWait && c.cfg.newestValid != nil
}

// checkConfig puts a version in force that had to wait for the end of the startup phase,
// and updates the evidence from remote data centres.
func (c *Control) checkConfig(now time.Time) {
	if v := c.cfg.newestValid; v != nil && c.cfg.version() < v.doc.Version && !c.cfg.startupDone && c.startupComplete(now) {
		c.putInForce(v.doc.Version)
	}
	c.remoteDCEvidence(now)
	if wasCurrent := c.Snapshot().Current; c.cfg.index != nil && wasCurrent != c.isCurrent(now) {
		c.snapshotStale = true
		c.log.Warn().Bool("current", !wasCurrent).Dur("evidence_age", c.evidenceAge(now)).Msg("configuration became current or isolated")
		c.recordEvent("configuration", "entry/"+string(c.self.Entry), "", map[bool]string{true: "current", false: "isolated"}[!wasCurrent], "evidence age")
	}
}

// addEvidence records that the version in force was the newest one at t.
func (c *Control) addEvidence(t time.Time) {
	if c.cfg.doc != nil && t.After(c.cfg.evidenceAt) {
		c.cfg.evidenceAt = t
		c.snapshotStale = true
	}
}

// onEvidence uses the evidence that a peer relays in its answer to a message sent at sent.
// The evidence age in the answer is counted from sent, so that a relay never makes evidence
// look newer than it is. The evidence of a peer with a newer version is not used, because it
// does not apply to the version in force here.
func (c *Control) onEvidence(hb *peer.Heartbeat, sent time.Time) {
	if hb.Config <= c.cfg.version() && hb.Config > 0 && hb.EvidenceAge >= 0 {
		c.addEvidence(sent.Add(-hb.EvidenceAge))
	}
}

// remoteDCEvidence derives evidence from the answers of all remote data centres in the
// configuration. The head row is written only by entry VMs, so an entry VM that gets
// answers from all data centres learns of a change with the next answer at the latest.
// Only the coordinator exchanges messages with the remote data centres.
func (c *Control) remoteDCEvidence(now time.Time) {
	if c.coord == nil || c.cfg.index == nil {
		return
	}
	oldest := now
	for _, dc := range c.cfg.index.DataCentres {
		if dc.Name == c.self.DC {
			continue
		}
		remote := c.remoteDCs[dc.Name]
		if remote == nil || remote.answered.IsZero() || remote.configVersion > c.cfg.version() {
			return
		}
		if remote.answered.Before(oldest) {
			oldest = remote.answered
		}
	}
	c.addEvidence(oldest)
}

// noEvidence is the evidence age if there has never been any evidence.
const noEvidence = time.Duration(1<<62 - 1)

func (c *Control) evidenceAge(now time.Time) time.Duration {
	if c.cfg.evidenceAt.IsZero() {
		return noEvidence
	}
	return now.Sub(c.cfg.evidenceAt)
}

// isCurrent reports whether there is recent evidence that the configuration in force is the
// newest one.
func (c *Control) isCurrent(now time.Time) bool {
	return c.cfg.index != nil && c.evidenceAge(now) <= c.cfg.index.Isolation.After
}

// ConfigOffer implements peer.ControlHandler. It answers only once this entry VM has the
// version, so that the sender knows that a second entry VM has it.
func (h handler) ConfigOffer(ctx context.Context, m *peer.ConfigOffer) (*peer.Empty, error) {
	c := h.c
	have, err := callOnLoop(ctx, c, func() (uint64, error) {
		if p := c.byName[m.From.Entry]; p != nil && c.acceptSender(m.From) {
			p.configVersion = max(p.configVersion, m.Version)
		}
		return c.cfg.newestVersion(), nil
	})
	if err != nil || have >= m.Version {
		return &peer.Empty{}, err
	}
	r := c.peerClients[m.From.Entry]
	if r == nil {
		return nil, peer.ErrMalformed
	}
	v, err := c.getConfigFrom(ctx, r, have)
	if err != nil {
		return nil, err
	}
	if v == nil {
		return nil, errors.New("control: the peer does not have the configuration that it offered")
	}
	return callOnLoop(ctx, c, func() (*peer.Empty, error) {
		c.acceptVersion(v, string(m.From.Entry), false)
		return &peer.Empty{}, nil
	})
}

// ConfigGet implements peer.ControlHandler. In a reply without a document, Version is the
// version in force here.
func (h handler) ConfigGet(ctx context.Context, m *peer.ConfigGet) (*peer.ConfigGetReply, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.ConfigGetReply, error) {
		c.acceptSender(m.From)
		if c.cfg.newestVersion() > m.Version {
			return &peer.ConfigGetReply{Version: c.cfg.newestVersion(), Document: c.cfg.newestValid.raw}, nil
		}
		return &peer.ConfigGetReply{Version: c.cfg.version()}, nil
	})
}

// fetchConfigFromPeers asks every peer once for its configuration when the daemon starts.
func (c *Control) fetchConfigFromPeers() {
	for _, m := range c.members {
		c.runAsync(storeTimeout, func(ctx context.Context) func() {
			v, err := c.getConfigFrom(ctx, m.client, 0)
			if err != nil || v == nil {
				return nil
			}
			return func() { c.acceptVersion(v, string(m.Name), false) }
		})
	}
}

// certainlyNoEffect reports whether a store call that failed with err certainly had no
// effect.
func certainlyNoEffect(err error) bool {
	return stderrors.Is(err, platform.ErrUnavailable) || stderrors.Is(err, platform.ErrRateLimited)
}

// dataCentres returns the names of the data centres in the configuration.
func (c *Control) dataCentres() []model.DataCentre {
	if c.cfg.index == nil {
		return nil
	}
	out := make([]model.DataCentre, 0, len(c.cfg.index.DataCentres))
	for _, d := range c.cfg.index.DataCentres {
		out = append(out, d.Name)
	}
	return out
}
