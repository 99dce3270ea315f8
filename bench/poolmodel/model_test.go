package poolmodel

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/invariant"
)

// Guards against results that differ between runs of one seed, against policies that see
// different requests, and against a model that breaks a budget of the fleet.
func TestRunsAreComparable(t *testing.T) {
	before := invariant.Count(invariant.AvailabilityBudget)
	results := map[Policy]Result{}
	for _, policy := range []Policy{Never, AtOnce, Lasting} {
		r, err := Run("aarhus", Tuning, policy, 7)
		require.NoError(t, err)
		results[policy] = r
	}
	again, err := Run("aarhus", Tuning, Lasting, 7)
	require.NoError(t, err)
	require.Equal(t, results[Lasting], again)
	require.Zero(t, results[Never].VMMoves)
	require.InDelta(t, 4*Length.Seconds(), results[Never].Buffer, 1, "four spare VMs are idle all the time")
	require.Positive(t, results[Lasting].VMMoves)
	require.Positive(t, results[AtOnce].VMMoves)
	require.Equal(t, results[Never].Requests, results[AtOnce].Requests)
	require.Equal(t, results[Never].Requests, results[Lasting].Requests)
	require.Equal(t, before, invariant.Count(invariant.AvailabilityBudget))
	_, err = Run("nowhere", Tuning, Never, 7)
	require.Error(t, err)
}
