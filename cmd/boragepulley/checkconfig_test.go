package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const validConfig = `{"version":7,
"routes":[
 {"name":"r-1","host":"a.example","prefix":"/p/","service":"s-1","max_attempts":3,"stretch":1.5,"target_duration_ms":600}],
"services":[{"name":"s-1","rejects_overload":true},{"name":"off","standby":true}],
"limits":{"max_body_bytes":60000},
"tenants":[{"name":"t-1","api_keys":["k-1"],"weight":1,"cap":{"cpu":1000}}]}`

func writeConfig(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// Guards against a check whose exit status does not follow the severity of what it found, since scripts
// decide by it whether a configuration is sent.
func TestCheckConfigExitCodes(t *testing.T) {
	valid := writeConfig(t, validConfig)
	code, out, errOut := tool(t, "check-config", valid)
	require.Equal(t, exitOK, code, out+errOut)

	noKeys := writeConfig(t, `{"version":8,"routes":[{"name":"r-1","host":"a.example","prefix":"/p/","service":"s-1","max_attempts":3,"stretch":1.5,"public":true}],
"services":[{"name":"s-1"}],"tenants":[{"name":"t-1","weight":1}]}`)
	code, out, _ = tool(t, "check-config", noKeys)
	require.Equal(t, exitWarnings, code, out)
	require.Contains(t, out, ":2: warning: tenants[0].api_keys")

	hidden := writeConfig(t, `{"version":6,"routes":[
{"name":"r-1","host":"a.example","prefix":"/p/","service":"s-1","max_attempts":3,"stretch":1.5},
{"name":"r-2","host":"a.example","prefix":"/p/","service":"s-1","max_attempts":3,"stretch":1.5}],
"services":[{"name":"s-1"}],"tenants":[{"name":"t-1","api_keys":["k-2"],"weight":1}]}`)
	code, out, _ = tool(t, "check-config", "--in-force", valid, hidden)
	require.Equal(t, exitRefused, code, out)
	for _, want := range []string{":1: error: version", ":3: error: routes[1].prefix", "+ queue r-2", "- service off", "compared with 7 in force"} {
		require.Contains(t, out, want)
	}
	require.NotContains(t, out, "k-2", "keys are secrets")

	code, _, errOut = tool(t, "check-config", writeConfig(t, "{\"version\":7,\n\"routes\":3}"))
	require.Equal(t, exitRefused, code)
	require.Contains(t, errOut, "config.json:2")
	code, _, _ = tool(t, "check-config", filepath.Join(t.TempDir(), "missing.json"))
	require.Equal(t, exitUsage, code)
}
