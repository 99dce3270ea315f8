package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// Guards against a ready line that comes too early, names wrong addresses, or a subcommand
// that does not stop.
func TestReadyLine(t *testing.T) {
	for _, tc := range []struct {
		args  []string
		path  string
		addrs int
	}{
		{[]string{"platform"}, "/admin/stats", 0},
		{[]string{"minions", "--count", "3"}, "/debug/stats", 3},
		{[]string{"workers", "--listen", "w-a=127.0.0.1:0"}, "/debug/stats", 1},
		{[]string{"proxy", "--link", "l=127.0.0.1:0=127.0.0.1:1"}, "/links", 1},
	} {
		ctx, stop := context.WithCancel(context.Background())
		r, w := io.Pipe()
		var c cli
		p, err := kong.New(&c)
		require.NoError(t, err)
		k, err := p.Parse(tc.args)
		require.NoError(t, err)
		k.BindTo(ctx, (*context.Context)(nil))
		k.BindTo(w, (*io.Writer)(nil))
		done := make(chan error, 1)
		go func() { err := k.Run(); w.CloseWithError(err); done <- err }()
		var ready Ready
		require.NoError(t, json.NewDecoder(r).Decode(&ready), "%v", tc.args)
		require.Equal(t, tc.args[0], ready.Kind)
		require.Len(t, ready.Addrs, tc.addrs)
		res, err := http.Get("http://" + ready.Admin + tc.path)
		require.NoError(t, err)
		res.Body.Close()
		require.Equal(t, http.StatusOK, res.StatusCode)
		stop()
		require.NoError(t, <-done)
		_, err = http.Get("http://" + ready.Admin + tc.path)
		require.Error(t, err, "the listener is closed after the stop")
	}
}
