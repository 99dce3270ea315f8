package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/tomldoc"
)

const validSettings = `name = "e1"
data_centre = "dc-a"
caller_listen = "127.0.0.1:8001"
operator_listen = "127.0.0.1:8002"
peer_listen = "127.0.0.1:8003"
operator_token = "0123456789abcdef"
platform_url = "http://127.0.0.1:7000"
[[peer]]
name = "e1"
data_centre = "dc-a"
address = "127.0.0.1:8003"
[[peer]]
name = "e2"
data_centre = "dc-b"
address = "127.0.0.1:8013"
`

// Guards against wrong defaults and against settings that are assigned to the wrong field.
func TestLoadGoodSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.toml")
	require.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, &Settings{
		Name: "e1", DC: "dc-a", CallerListen: "127.0.0.1:8001", OperatorListen: "127.0.0.1:8002", PeerListen: "127.0.0.1:8003",
		OperatorToken: "0123456789abcdef", LogLevel: "info", PlatformURL: "http://127.0.0.1:7000",
		SiteWritesPerSecond: 300, SiteReadsPerSecond: 1200,
		Peers:       []Peer{{"e1", "dc-a", "127.0.0.1:8003"}, {"e2", "dc-b", "127.0.0.1:8013"}},
		MaxRequests: 4096, BodyTimeout: 10 * time.Second, BalancerGrace: 2 * time.Second, DrainTimeout: 11 * time.Minute,
		AnswerRetention: 10 * time.Minute, AnswerBytes: 16 << 20,
	}, s)
	require.Equal(t, 150.0, s.WriteBudget())
	_, err = Load(path + ".missing")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against settings that break a rule and are accepted, and against faults that name
// the wrong line, field or value.
func TestParseRules(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "[[peer]]", "colour = 1\n[[peer]]", "x.toml:8: error: colour: found an unknown field"},
		{"name", `name = "e1"`, `name = "E 1"`, `x.toml:1: error: name: found "E 1", expected 1 to 63`},
		{"listen", "127.0.0.1:8001", "8001", `x.toml:3: error: caller_listen: found "8001", expected an address "IP:port"`},
		{"listen twice", "127.0.0.1:8002", "127.0.0.1:8001", "x.toml:4: error: operator_listen: found \"127.0.0.1:8001\", expected an address other than that of caller_listen"},
		{"token missing", "operator_token = \"0123456789abcdef\"\n", "", "operator_token: found nothing, expected a string of at least 16"},
		{"short token", "0123456789abcdef", "hunter2", "x.toml:6: error: operator_token: found a value that is not accepted, expected a string of at least 16"},
		{"token with space", "0123456789abcdef", "hunter2 hunter2 hunter2", "x.toml:6: error: operator_token: found a value that is not accepted"},
		{"URL", "http://127.0.0.1:7000", "127.0.0.1:7000", `platform_url: found "127.0.0.1:7000", expected a base URL`},
		{"log level", "[[peer]]", "log_level = \"loud\"\n[[peer]]", `log_level: found "loud", expected one of debug, info, warn, error`},
		{"writes", "[[peer]]", "site_writes_per_second = 0\n[[peer]]", `site_writes_per_second: found 0, expected a number from 1`},
		{"reads", "[[peer]]", "site_reads_per_second = nan\n[[peer]]", `site_reads_per_second: found NaN, expected a number from 1`},
		{"requests", "[[peer]]", "max_requests = 0\n[[peer]]", `max_requests: found 0, expected an integer from 1`},
		{"body timeout", "[[peer]]", "body_timeout = \"1h\"\n[[peer]]", `body_timeout: found "1h", expected a duration from "100ms" to "5m"`},
		{"drain timeout", "[[peer]]", "drain_timeout = 30\n[[peer]]", `drain_timeout: found 30, expected a duration`},
		{"retention", "[[peer]]", "answer_retention = \"0s\"\n[[peer]]", `answer_retention: found "0s", expected a duration`},
		{"answer bytes", "[[peer]]", "answer_bytes = -1\n[[peer]]", `answer_bytes: found -1, expected an integer from 0`},
		{"peer twice", `name = "e2"`, `name = "e1"`, `peer[1].name: found "e1" again`},
		{"peer address twice", "127.0.0.1:8013", "127.0.0.1:8003", `peer[1].address: found "127.0.0.1:8003" again`},
		{"peer without address", "address = \"127.0.0.1:8013\"\n", "", `x.toml:12: error: peer[1].address: found nothing`},
		{"not among peers", "name = \"e1\"\n", "name = \"e9\"\n", `peer: found 2 peers without "e9"`},
		{"other data centre", "data_centre = \"dc-a\"\ncaller", "data_centre = \"dc-b\"\ncaller", `x.toml:10: error: peer[0].data_centre: found "dc-a", expected "dc-b"`},
		{"malformed TOML", `name = "e1"`, `name = `, "expected valid TOML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.toml", strings.Replace(validSettings, c.old, c.new, 1))
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), "hunter2", "faults must not repeat the token")
		})
	}
}

// Guards against reporting only the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("x.toml", "log_level = 1\nmax_requests = 0\n")
	var faults tomldoc.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 9)
	require.Equal(t, []int{1, 2}, []int{faults[7].Line, faults[8].Line})
}
