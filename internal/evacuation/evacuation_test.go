package evacuation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

func put(dc string) platform.Row {
	return platform.Row{Key: RowPrefix + dc, Value: []byte("{}")}
}

func removal(dc string) platform.Row { return platform.Row{Key: RowPrefix + dc} }

// Guards against evacuations that are lost, or that outlast their row.
func TestApply(t *testing.T) {
	had := &State{Version: 5, DCs: map[model.DataCentre]bool{"a": true, "b": true}}
	type want struct {
		version uint64
		dcs     []model.DataCentre
	}
	for name, c := range map[string]struct {
		from    *State
		rows    []platform.Row
		version uint64
		all     bool
		want    want
	}{
		"first read":                   {nil, []platform.Row{put("a"), put("b")}, 3, true, want{3, []model.DataCentre{"a", "b"}}},
		"first read of an empty table": {nil, nil, 0, true, want{0, nil}},
		"changes":                      {had, []platform.Row{put("c"), removal("a")}, 7, false, want{7, []model.DataCentre{"b", "c"}}},
		"no changes":                   {had, nil, 9, false, want{9, []model.DataCentre{"a", "b"}}},
		"removed and written again":    {had, []platform.Row{removal("a"), put("a")}, 9, false, want{9, []model.DataCentre{"a", "b"}}},
		"removed while history lost":   {had, []platform.Row{put("a")}, 9, true, want{9, []model.DataCentre{"a"}}},
		"older copy of the table":      {had, nil, 4, true, want{5, []model.DataCentre{"a", "b"}}},
		"answer without a version":     {had, []platform.Row{removal("b")}, 0, false, want{5, []model.DataCentre{"a"}}},
		"removal of an unknown row":    {nil, []platform.Row{removal("z")}, 9, false, want{9, nil}},
		"other rows":                   {had, []platform.Row{{Key: "op/config"}, {Key: "op/wave/1", Value: []byte("{}")}, {Key: "op/evacuated/x", Value: []byte("{}")}}, 9, false, want{9, []model.DataCentre{"a", "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			got, bad := Apply(c.from, c.rows, c.version, c.all)
			require.Empty(t, bad)
			require.Equal(t, c.want, want{got.Version, got.Names()})
		})
	}
	require.Equal(t, []model.DataCentre{"a", "b"}, had.Names(), "a state is immutable")
}

// Guards against an evacuation that does not apply because its value is unreadable, and against a bad row
// that affects others.
func TestBadRows(t *testing.T) {
	for name, value := range map[string]string{"empty": "", "no JSON": "{", "other JSON": "true", "text": "evacuate!"} {
		t.Run(name, func(t *testing.T) {
			got, bad := Apply(nil, []platform.Row{{Key: RowPrefix + "a", Value: []byte(value)}, put(""), put("b")}, 1, true)
			require.Equal(t, []model.DataCentre{"a", "b"}, got.Names())
			require.Equal(t, []BadRow{{RowPrefix + "a", UnreadableValue}, {RowPrefix, EmptyName}}, bad)
		})
	}
	got, bad := Apply(got(put("a")), []platform.Row{removal("")}, 2, false)
	require.Equal(t, []model.DataCentre{"a"}, got.Names())
	require.Len(t, bad, 1)
	_, bad = Apply(nil, []platform.Row{{Key: RowPrefix + "a", Value: []byte(" \n{\"by\": \"me\"}")}}, 1, true)
	require.Empty(t, bad)
}

func got(rows ...platform.Row) *State {
	s, _ := Apply(nil, rows, 1, true)
	return s
}

// Guards against an older state that replaces a newer one, and against one that is lost in a message.
func TestNewerStateWins(t *testing.T) {
	a, b := &State{Version: 1, DCs: map[model.DataCentre]bool{"a": true}}, &State{Version: 2}
	require.Same(t, b, Newer(a, b))
	require.Same(t, b, Newer(b, a))
	require.Same(t, a, Newer(a, &State{Version: 1}))
	require.Same(t, a, Newer(nil, a))
	require.Same(t, a, Newer(a, nil))
	require.Nil(t, Newer(nil, nil))
	require.Equal(t, a, FromPeer(VersionOf(a), a.Names()))
	require.Nil(t, FromPeer(0, []model.DataCentre{"a"}), "a peer that has not read the table")
	require.Equal(t, []model.DataCentre{"a"}, FromPeer(3, []model.DataCentre{"a", "", "a"}).Names())
	begun, ended := Diff(a, &State{DCs: map[model.DataCentre]bool{"b": true, "c": true}})
	require.Equal(t, []model.DataCentre{"b", "c"}, begun)
	require.Equal(t, []model.DataCentre{"a"}, ended)
	begun, ended = Diff(nil, nil)
	require.Empty(t, begun)
	require.Empty(t, ended)
}
