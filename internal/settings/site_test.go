package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSiteSettings = `name = "e1"
data_centre = "a"
caller_listen = "10.0.0.1:80"
ready_listen = "10.0.0.1:81"
peer_listen = "10.0.0.1:82"
metrics_listen = "10.0.0.1:83"
store_url = "http://10.0.0.9:1"
machines_address = "10.0.0.9:2"
grace = "6s"
max_hold = "6000ms"
duty_gap = "3000ms"
retention = "120s"
`

// Guards against settings that are assigned to the wrong field, and against reporting only
// the first fault.
func TestParseSite(t *testing.T) {
	s, err := ParseSite("f", validSiteSettings)
	require.NoError(t, err)
	require.Equal(t, 6*time.Second, s.MaxMinionLease)
	require.Equal(t, 1.0, s.Cores)
	require.Equal(t, "10.0.0.1:82", s.PeerAddr)
	s, err = ParseSite("f", validSiteSettings+"peer_address = \"10.0.0.7:90\"\n")
	require.NoError(t, err)
	require.Equal(t, "10.0.0.7:90", s.PeerAddr)
	require.Equal(t, "10.0.0.1:82", s.PeerListen)
	require.Zero(t, s.MaxFDs)
	_, err = ParseSite("f", validSiteSettings+"memory_mb = 31\nmax_fds = 255\n")
	require.ErrorContains(t, err, "f:13: error: memory_mb: found 31, expected at least 32")
	require.ErrorContains(t, err, "f:14: error: max_fds: found 255, expected at least 256")
	_, err = ParseSite("f", validSiteSettings+"memory_mb = 32\nmax_fds = 256\n")
	require.NoError(t, err)
	_, err = ParseSite("f", strings.ReplaceAll(strings.ReplaceAll(validSiteSettings, `"6s"`, `"soon"`), `"10.0.0.1:82"`, `"here"`))
	require.ErrorContains(t, err, "grace")
	require.ErrorContains(t, err, "peer_listen")
}

// Guards against a deployment template that lacks a required setting or contains an unknown one.
func TestTemplateHasEverySetting(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.toml.tmpl"))
	require.NoError(t, err)
	values := map[string]string{"node_name": "e1", "zone": "a", "listen.front": "10.0.0.1:80", "listen.ready": "10.0.0.1:81", "ip": "10.0.0.1",
		"internal_ports.0": "82", "internal_ports.1": "83", "platform.address": "10.0.0.9:1", "platform.writes_per_s": "600", "platform.reads_per_s": "2000",
		"cloud.address": "10.0.0.9:2", "advice": "10.0.0.9:3", "limits.cpu_share": "0.4", "limits.link_mbps": "200", "limits.memory_mb": "536", "limits.max_fds": "4100", "bounds.grace_s": "6", "bounds.max_hold_ms": "6000",
		"bounds.lease_ms": "3000", "bounds.status_s": "120"}
	out := string(text)
	for k, v := range values {
		require.Contains(t, out, "{{"+k+"}}")
		out = strings.ReplaceAll(out, "{{"+k+"}}", v)
	}
	require.NotContains(t, out, "{{")
	s, err := ParseSite("f", out)
	require.NoError(t, err)
	require.Equal(t, 0.4, s.Cores)
	require.Equal(t, 600.0, s.StoreWrites)
	require.Equal(t, 200.0, s.LinkMbps)
	require.Equal(t, 536.0, s.MemoryMB)
	require.Equal(t, 4100, s.MaxFDs)
}
