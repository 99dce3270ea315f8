package guard

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/invariant"
)

// Guards against a panic that ends the process, or is not returned, logged and counted.
func TestPanicBecomesAnError(t *testing.T) {
	var out bytes.Buffer
	before := panics.Value()
	var rows []int
	err := Recover(zerolog.New(&out), "reading a row", func() { _ = rows[3] })
	require.ErrorIs(t, err, ErrPanic)
	require.Contains(t, out.String(), "reading a row")
	require.Contains(t, out.String(), "guard_test.go")
	require.Equal(t, before+1, panics.Value())
	require.NoError(t, Recover(zerolog.Nop(), "nothing", func() {}))
}

// Guards against a violated invariant that is recovered, and so not noticed by a test.
func TestInvariantViolationsAreNotRecovered(t *testing.T) {
	require.Panics(t, func() {
		_ = Recover(zerolog.Nop(), "x", func() { invariant.Check(false, invariant.TeamLimit, "") })
	})
}
