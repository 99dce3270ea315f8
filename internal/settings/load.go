package settings

import (
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/ingress"
	"boragepulley/internal/model"
	"boragepulley/internal/tomldoc"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Defaults of optional settings.
const (
	DefaultLogLevel        = "info"
	DefaultSiteWrites      = 300
	DefaultSiteReads       = 1200
	DefaultMaxRequests     = 4096
	DefaultBodyTimeout     = 10 * time.Second
	DefaultBalancerGrace   = 2 * time.Second
	DefaultDrainTimeout    = 11 * time.Minute
	DefaultAnswerRetention = 10 * time.Minute
	// DefaultAnswerBytes leaves most of the 128 MB that a daemon may use for requests.
	DefaultAnswerBytes = 16 << 20
)

// maxFDs is the largest value of max_fds.
const maxFDs = 1 << 20

// MinTokenLength is the minimum length of the operator token in bytes; shorter tokens could
// be guessed.
const MinTokenLength = 16

// maxRequests is the largest value of max_requests: each request needs a goroutine and a
// connection.
const maxRequests = 100000

var (
	nameRule    = tomldoc.StringRule{Required: true, OK: config.ValidName, Expected: "1 to 63 lower-case letters, digits and inner hyphens"}
	addressRule = tomldoc.StringRule{Required: true, OK: config.ValidAddress, Expected: `an address "IP:port"`}
	logLevels   = []string{"debug", "info", "warn", "error"}
)

// Load reads and checks the settings file at path. Errors: the file cannot be read, or
// tomldoc.Faults with all faults of the file.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if info.Size() > MaxFileBytes {
		return nil, errors.Errorf("settings: %s: found %d bytes, expected at most %d", path, info.Size(), MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, string(text))
}

// Parse reads and checks settings; name is the file name that faults show. Error:
// tomldoc.Faults with all faults of the text.
func Parse(name, text string) (*Settings, error) {
	var faults tomldoc.Faults
	t := tomldoc.Parse(name, text, MaxFileBytes, &faults)
	if t == nil {
		return nil, faults.Err()
	}
	s := readSettings(t)
	t.RejectUnknownFields()
	faults.Sort()
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readSettings(t *tomldoc.Table) *Settings {
	s := &Settings{
		Name:                model.EntryVM(t.String("name", nameRule)),
		DC:                  model.DataCentre(t.String("data_centre", nameRule)),
		CallerListen:        t.String("caller_listen", addressRule),
		OperatorListen:      t.String("operator_listen", addressRule),
		PeerListen:          t.String("peer_listen", addressRule),
		OperatorToken:       readToken(t),
		LogLevel:            t.String("log_level", tomldoc.StringRule{Default: DefaultLogLevel, OK: knownLogLevel, Expected: "one of " + strings.Join(logLevels, ", ")}),
		PlatformURL:         t.String("platform_url", tomldoc.StringRule{Required: true, OK: validURL, Expected: `a base URL "http://host:port"`}),
		SiteWritesPerSecond: t.Float("site_writes_per_second", tomldoc.FloatRule{Default: DefaultSiteWrites, Min: 1, Max: 100000}),
		SiteReadsPerSecond:  t.Float("site_reads_per_second", tomldoc.FloatRule{Default: DefaultSiteReads, Min: 1, Max: 100000}),
		MaxRequests:         int(t.Int("max_requests", tomldoc.IntRule{Default: DefaultMaxRequests, Min: 1, Max: maxRequests})),
		BodyTimeout:         t.Duration("body_timeout", tomldoc.DurationRule{Default: DefaultBodyTimeout, Min: 100 * time.Millisecond, Max: 5 * time.Minute}),
		BalancerGrace:       t.Duration("balancer_grace", tomldoc.DurationRule{Default: DefaultBalancerGrace, Min: 0, Max: time.Minute}),
		DrainTimeout:        t.Duration("drain_timeout", tomldoc.DurationRule{Default: DefaultDrainTimeout, Min: time.Second, Max: time.Hour}),
		AnswerRetention:     t.Duration("answer_retention", tomldoc.DurationRule{Default: DefaultAnswerRetention, Min: time.Second, Max: time.Hour}),
		MemoryMB:            t.Float("memory_mb", tomldoc.FloatRule{Default: 0, Min: 0, Max: 1e6}),
		MaxFDs:              int(t.Int("max_fds", tomldoc.IntRule{Default: 0, Min: 0, Max: maxFDs})),
		AnswerBytes:         t.Int("answer_bytes", tomldoc.IntRule{Default: DefaultAnswerBytes, Min: 0, Max: 1 << 30}),
	}
	checkResources(t, s.MemoryMB, s.MaxFDs)
	checkListenAddresses(t, s)
	readPeers(t, s)
	return s
}

// checkResources reports a memory or a number of descriptors with which a process could not serve callers.
func checkResources(t *tomldoc.Table, memoryMB float64, fds int) {
	if memoryMB > 0 && memoryMB < ingress.MinMemoryMB {
		t.Fault("memory_mb", fmt.Sprint(memoryMB), fmt.Sprintf("at least %d, so that bodies fit into their part of it, or 0 for the process's own limit", ingress.MinMemoryMB))
	}
	if fds > 0 && fds < ingress.MinFDs {
		t.Fault("max_fds", fmt.Sprint(fds), fmt.Sprintf("at least %d, so that callers can connect, or 0 for the process's own limit", ingress.MinFDs))
	}
}

// readToken reads the operator token. Faults do not contain the token.
func readToken(t *tomldoc.Table) string {
	return t.String("operator_token", tomldoc.StringRule{
		Required: true,
		Secret:   true,
		OK: func(s string) bool {
			return len(s) >= MinTokenLength && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
		},
		Expected: fmt.Sprintf("a string of at least %d printable ASCII characters without spaces", MinTokenLength),
	})
}

// checkListenAddresses reports listeners that share an address.
func checkListenAddresses(t *tomldoc.Table, s *Settings) {
	used := map[string]string{}
	for _, l := range []struct{ field, addr string }{
		{"caller_listen", s.CallerListen}, {"operator_listen", s.OperatorListen}, {"peer_listen", s.PeerListen},
	} {
		if other, ok := used[l.addr]; ok && l.addr != "" {
			t.Fault(l.field, fmt.Sprintf("%q", l.addr), "an address other than that of "+other)
			continue
		}
		used[l.addr] = l.field
	}
}

// readPeers reads the list of entry VMs, which must include this one.
func readPeers(t *tomldoc.Table, s *Settings) {
	tables := t.Tables("peer")
	for _, pt := range tables {
		p := Peer{
			Name: model.EntryVM(pt.String("name", nameRule)),
			DC:   model.DataCentre(pt.String("data_centre", nameRule)),
			Addr: pt.String("address", addressRule),
		}
		pt.RejectUnknownFields()
		checkPeer(pt, s, p)
		s.Peers = append(s.Peers, p)
	}
	included := slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Name == s.Name })
	if !included && t.Valid("name", "peer") && s.Name != "" {
		t.Fault("peer", fmt.Sprintf("%d peers without %q", len(tables), s.Name), "all entry VMs of the site, this one included")
	}
}

// checkPeer checks that the name and the address of a peer differ from those of the peers
// before it, and that the peer entry of this entry VM names its data centre.
func checkPeer(pt *tomldoc.Table, s *Settings, p Peer) {
	for _, o := range s.Peers {
		if o.Name == p.Name && p.Name != "" {
			pt.Fault("name", fmt.Sprintf("%q again", p.Name), "a unique name")
		}
		if o.Addr == p.Addr && p.Addr != "" {
			pt.Fault("address", fmt.Sprintf("%q again", p.Addr), fmt.Sprintf("an address other than that of peer %q", o.Name))
		}
	}
	if p.Name == s.Name && p.DC != s.DC && p.DC != "" && s.DC != "" {
		pt.Fault("data_centre", fmt.Sprintf("%q", p.DC), fmt.Sprintf("%q, the data_centre of this entry VM", s.DC))
	}
}

func knownLogLevel(s string) bool { return slices.Contains(logLevels, s) }

func validURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
}
