package sites

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// Guards against generated sites that do not pass the check, at the sizes used by tests,
// by the users and by the target in two years.
func TestGenerateSizes(t *testing.T) {
	wave := Aarhus()
	wave.WaveStart = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)
	for name, o := range map[string]Options{
		"default":    {},
		"alexandria": Alexandria(),
		"lending":    {SpareMinions: 2, Lend: 1},
		"aarhus":     wave,
		"smallest":   {DataCentres: DataCentres(1, 1), Services: 1, MinionsPerService: 1, Teams: 1},
		"target":     {DataCentres: DataCentres(7, 4), Services: 34, MinionsPerService: 40, SpareMinions: 40, Workers: 1200, Accelerators: 1, Teams: 31},
	} {
		s, faults := config.Parse(Generate(o))
		require.Empty(t, faults, name)
		require.Len(t, s.VMs, o.Minions(), name)
		require.Len(t, s.Workers, o.Workers, name)
	}
}

// Guards the addresses and placement that tests rely on to start stand-ins.
func TestGenerateAddresses(t *testing.T) {
	o := Options{MinionAddrs: []string{"127.0.0.1:9001"}, Workers: 5, WorkerAddrs: []string{"127.0.0.1:9101"}}
	s, faults := config.Parse(Generate(o))
	require.Empty(t, faults)
	x := config.NewIndex(s, 1)
	require.Equal(t, "127.0.0.1:9001", x.VM(MinionName(0)).Addr)
	require.Equal(t, model.DataCentre("dc-2"), x.VM(MinionName(4)).DC)
	require.Equal(t, "127.0.0.1:9101", x.Worker(WorkerName(0)).Addr)
	require.Equal(t, model.DataCentre("dc-2"), x.Worker(WorkerName(4)).DC)
	id, secret, err := config.SplitKey(KeyText(2))
	require.NoError(t, err)
	require.True(t, x.Key(id).Matches(secret))
	require.Equal(t, TeamName(2), x.Key(id).Team)
}
