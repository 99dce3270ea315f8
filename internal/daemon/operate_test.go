package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/internal/peer"
)

// Guards against a wave that is reported as done while a data centre whose VMs still wait has no
// coordinator, or one that does not know the progress yet.
func TestWaveIsNotDoneWhileADataCentreIsUnknown(t *testing.T) {
	site := config.NewIndex(&config.Site{
		Waves: []config.Wave{{Name: "w", Pools: []model.Pool{"p"}}},
		VMs: []config.VM{{Name: "a-1", DC: "a", Pool: "p"}, {Name: "a-2", DC: "a", Pool: "p"}, {Name: "a-3", DC: "a", Pool: "spare"},
			{Name: "b-1", DC: "b", Pool: "p"}, {Name: "b-2", DC: "b", Pool: "p"}, {Name: "b-3", DC: "b", Pool: "spare"}},
	}, 1)
	a := []peer.WaveStatus{{Name: "w", Done: 2, Total: 2}}
	known := control.SiteStatus{Waves: a, WavesFrom: map[string][]model.DataCentre{"w": {"a"}}}
	require.Equal(t, []operator.WaveStatus{{Name: "w", Done: 2, Total: 4}}, waveStatus(site, known))
	known.WavesFrom["w"] = []model.DataCentre{"a", "b"}
	require.Equal(t, []operator.WaveStatus{{Name: "w", Done: 2, Total: 2}}, waveStatus(site, known))
}
