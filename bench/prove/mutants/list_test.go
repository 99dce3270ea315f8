package mutants

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/bench/prove"
)

// Guards against mutants that no longer apply after a change of the daemon, or that name
// a scenario that does not exist: such a mutant would show nothing.
func TestEditsApply(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	names := map[string]bool{}
	for _, m := range All() {
		require.False(t, names[m.Name], "%s twice", m.Name)
		names[m.Name] = true
		_, ok := prove.Find(m.Scenario)
		require.True(t, ok, "%s: scenario %s", m.Name, m.Scenario)
		require.NotEmpty(t, m.Expect, m.Name)
		require.NotEmpty(t, m.Edits, m.Name)
		dir := t.TempDir()
		for _, e := range m.Edits {
			to := filepath.Join(dir, e.File)
			if _, err := os.Stat(to); err != nil {
				data, err := os.ReadFile(filepath.Join(root, e.File))
				require.NoError(t, err, m.Name)
				require.NoError(t, os.MkdirAll(filepath.Dir(to), 0o755))
				require.NoError(t, os.WriteFile(to, data, 0o600))
			}
			require.NoError(t, e.apply(dir), m.Name)
		}
	}
}

// Guards against an edit that changes more than the one place it means.
func TestEditMustMatchOnce(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f.go")
	require.NoError(t, os.WriteFile(path, []byte("a b a"), 0o600))
	require.ErrorIs(t, Edit{"f.go", "a", "c"}.apply(dir), ErrEdit)
	require.ErrorIs(t, Edit{"f.go", "x", "c"}.apply(dir), ErrEdit)
	require.NoError(t, Edit{"f.go", "b", "c"}.apply(dir))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "a c a", string(data))
}
