package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/platform"
)

// Guards against partly applied transactions, conditions that are ignored, versions that
// repeat after a delete, and scans that miss or invent rows.
func TestTableMatchesModel(t *testing.T) {
	keys := []string{"a/1", "a/2", "b/1", "b/2", "c"}
	rapid.Check(t, func(t *rapid.T) {
		tab, model := newTable(), map[string]platform.Row{}
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			x, holds := drawTxn(t, keys, model)
			versions, err := tab.commit(x)
			var conflict *conflictError
			if errors.As(err, &conflict) == holds {
				t.Fatalf("transaction %+v: error %v, conditions hold: %v", x, err, holds)
			}
			if holds {
				for _, p := range x.Puts {
					applyPut(t, model, highest, p, versions[p.Key])
				}
			}
			checkScans(t, tab, model)
		}
	})
}

func drawTxn(t *rapid.T, keys []string, model map[string]platform.Row) (platform.Txn, bool) {
	var x platform.Txn
	holds := true
	for _, k := range rapid.SliceOfDistinct(rapid.SampledFrom(keys), rapid.ID[string]).Draw(t, "conditions") {
		c := platform.Condition{Key: k, Version: model[k].Version}
		if rapid.IntRange(0, 5).Draw(t, "wrong") == 0 {
			c.Version = rapid.Uint64Range(0, 60).Draw(t, "version")
			holds = holds && c.Version == model[k].Version
		}
		x.Conditions = append(x.Conditions, c)
	}
	put := rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, len(keys), rapid.ID[string]).Draw(t, "puts")
	for _, k := range put {
		p := platform.Put{Key: k}
		if rapid.Bool().Draw(t, "keep") {
			p.Value = json.RawMessage(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value")))
		}
		x.Puts = append(x.Puts, p)
	}
	return x, holds
}

func applyPut(t *rapid.T, model map[string]platform.Row, highest map[string]uint64, p platform.Put, version uint64) {
	if p.Value == nil {
		if version != 0 {
			t.Fatalf("deleted row %s has version %d", p.Key, version)
		}
		delete(model, p.Key)
		return
	}
	if version <= highest[p.Key] {
		t.Fatalf("row %s: version %d after %d", p.Key, version, highest[p.Key])
	}
	highest[p.Key] = version
	model[p.Key] = platform.Row{Key: p.Key, Version: version, Value: p.Value}
}

func checkScans(t *rapid.T, tab *table, model map[string]platform.Row) {
	for _, prefix := range []string{"", "a/", "b/1", "z"} {
		want := []platform.Row{}
		for k, r := range model {
			if strings.HasPrefix(k, prefix) {
				want = append(want, r)
			}
		}
		slices.SortFunc(want, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
		require.Equal(t, want, tab.scan(prefix, 0))
		require.Equal(t, want[:min(1, len(want))], tab.scan(prefix, 1))
	}
}

// Guards against malformed transactions that change rows.
func TestTableRejectsMalformed(t *testing.T) {
	tab := newTable()
	one := json.RawMessage(`1`)
	for _, x := range []platform.Txn{
		{},
		{Puts: []platform.Put{{Key: "", Value: one}}},
		{Puts: []platform.Put{{Key: "a", Value: one}, {Key: "a"}}},
	} {
		_, err := tab.commit(x)
		require.ErrorIs(t, err, errBadTxn)
	}
	require.Empty(t, tab.scan("", 0))
}

// Guards against a list without lag, which would hide that callers trust it.
func TestVMListLagsBothWays(t *testing.T) {
	v := newVMList(Lag{AppearMS: 1000, RemoveMS: 3000})
	t0 := time.Unix(100, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	v.set(at(0), VMChange{Name: "vm-1", State: VMLive})
	require.Empty(t, v.list(at(999)))
	require.Len(t, v.list(at(1000)), 1)
	v.set(at(2000), VMChange{Name: "vm-1", State: VMLeaving})
	require.False(t, v.list(at(2999))[0].Leaving)
	require.True(t, v.list(at(3000))[0].Leaving)
	v.set(at(4000), VMChange{Name: "vm-1", State: VMGone})
	require.Len(t, v.list(at(6999)), 1, "a VM that is gone stays on the list for the lag")
	require.Empty(t, v.list(at(7000)))
}
