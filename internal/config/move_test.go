package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against a plan that shows a VM's change of pool as done at once.
func TestDiffShowsPoolChangeAsMove(t *testing.T) {
	at := func(pool model.Pool) *Site { return &Site{VMs: []VM{{Name: "vm-1", Pool: pool}}} }
	got := Diff(at("quotes"), at("spare"))
	require.Equal(t, []Change{{ActionMove, KindVM, "vm-1", "pool", "quotes", "spare"}}, got)
	require.Equal(t, "> vm vm-1: moves from pool quotes to pool spare when it is empty", got[0].String())
}
