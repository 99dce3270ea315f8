package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/explain"
)

// Guards against an explanation from logs that needs a server, exits with the wrong code or loses
// lines of one of several files.
func TestExplainFromLogs(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "vm-a.log"), filepath.Join(dir, "vm-b.log")
	require.NoError(t, os.WriteFile(a, []byte(`{"part":"caller","request":"r1","job":"00000000000000aa","method":"POST","status":401,"reason":"unknown_key","config":7,"config_age":12,"time":2000,"message":"Caller: answered."}`+"\n"), 0o600))
	require.NoError(t, os.WriteFile(b, []byte(`{"part":"daemon","time":1000,"message":"Daemon started."}`+"\n"), 0o600))
	explainOf := func(args ...string) (exitCode, string, string) {
		var out, errOut bytes.Buffer
		code := run(context.Background(), args, &out, &errOut)
		return code, out.String(), errOut.String()
	}
	code, out, _ := explainOf("explain", "r1", a, b)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "id r1, job 00000000000000aa: not accepted: the last of its requests got 401 (unknown_key)")
	require.Contains(t, out, "unknown_key by configuration 7, in force there for 12 ms")
	code, out, _ = explainOf("--output", "json", "explain", "00000000000000aa", a, b)
	require.Equal(t, exitOK, code)
	var s explain.Story
	require.NoError(t, json.Unmarshal([]byte(out), &s))
	require.Equal(t, 2, s.Read)
	require.Equal(t, "vm-a.log", s.Lines[len(s.Lines)-1].VM)
	code, out, _ = explainOf("explain", "r2", a, b)
	require.Equal(t, exitRefused, code)
	require.Contains(t, out, "no line names this id")
	code, _, errOut := explainOf("explain", "r1", filepath.Join(dir, "missing"))
	require.Equal(t, exitUsage, code)
	require.Contains(t, errOut, "missing")
}
