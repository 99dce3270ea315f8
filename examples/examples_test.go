package examples

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/settings"
)

func readSite(t *testing.T, name string) *config.Site {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(name, "site", "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var files []config.File
	for _, p := range paths {
		text, err := os.ReadFile(p)
		require.NoError(t, err)
		files = append(files, config.File{Name: filepath.Base(p), Text: string(text)})
	}
	s, faults := config.Parse(files)
	require.Empty(t, faults, "%s", faults.Error())
	return s
}

// Guards the sizes that the design page names, and the examples against new rules.
func TestExamplesPassCheck(t *testing.T) {
	for name, dcs := range map[string]int{"alexandria": 3, "aarhus": 4} {
		s := readSite(t, name)
		require.Len(t, s.DataCentres, dcs)
		require.Len(t, s.Services, 5)
		require.Len(t, s.Teams, 6)
		require.InDelta(t, 50, len(s.Workers), 2)
		require.Len(t, s.Waves, 1)
		x, spare, open := config.NewIndex(s, 1), 0, 0
		minions := map[model.Service]int{}
		for _, v := range s.VMs {
			require.Equal(t, [2]int{8, 64}, [2]int{v.Slots, v.Connections})
			minions[x.Pool(v.Pool).Service]++
		}
		for _, p := range s.Pools {
			if p.Spare {
				spare++
				continue
			}
			require.True(t, minions[p.Service] >= 8 && minions[p.Service] <= 12, "%s has %d minions", p.Service, minions[p.Service])
		}
		for _, q := range s.Queues {
			if q.Open {
				open++
			}
		}
		require.Equal(t, 1, spare, name)
		require.Equal(t, 1, open, name)
	}
}

// Guards the keys that the READMEs publish, which tests and demonstrations present.
func TestExampleKeysMatchREADME(t *testing.T) {
	row := regexp.MustCompile("\\| `([^`.]+\\.[^`]+)` \\|")
	for _, name := range []string{"alexandria", "aarhus"} {
		x := config.NewIndex(readSite(t, name), 1)
		text, err := os.ReadFile(filepath.Join(name, "README.md"))
		require.NoError(t, err)
		rows := row.FindAllStringSubmatch(string(text), -1)
		require.Len(t, rows, len(x.Keys))
		for _, r := range rows {
			id, secret, err := config.SplitKey(r[1])
			require.NoError(t, err)
			require.True(t, x.Key(id).Matches(secret), id)
		}
	}
}

// Guards the example settings, and their entry VMs against those of the site's files.
func TestExampleSettings(t *testing.T) {
	for _, name := range []string{"alexandria", "aarhus"} {
		site := readSite(t, name)
		paths, err := filepath.Glob(filepath.Join(name, "daemon", "*.toml"))
		require.NoError(t, err)
		require.NotEmpty(t, paths)
		for _, p := range paths {
			s, err := settings.Load(p)
			require.NoError(t, err)
			total := 0
			for _, dc := range site.DataCentres {
				total += len(dc.EntryVMs)
				for _, e := range s.InDC(dc.Name) {
					require.Contains(t, dc.EntryVMs, e.Name)
				}
			}
			require.Len(t, s.Peers, total)
			for _, v := range site.Services {
				require.Greater(t, s.DrainTimeout, v.MaxRun)
			}
		}
	}
}
