package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/platform"
)

// rejectingTable loses the answer to the first commit and rejects all others. If applied is set, the first one
// takes effect, which is seen from the second read on.
type rejectingTable struct {
	platform.Table
	applied        bool
	commits, reads int
}

func (t *rejectingTable) Commit(context.Context, platform.Priority, platform.Txn) (map[string]uint64, error) {
	t.commits++
	if t.commits == 1 {
		return nil, errors.WithStack(platform.ErrUnknownOutcome)
	}
	return nil, errors.WithStack(platform.ErrRejected)
}

func (t *rejectingTable) Get(context.Context, platform.Priority, string) (platform.Row, error) {
	t.reads++
	if t.applied && t.reads > 1 {
		return platform.Row{Key: "k", Version: 1, Value: []byte(`"v"`)}, nil
	}
	return platform.Row{Key: "k"}, nil
}

// Guards against a write that the store refuses for good and that is repeated until its context ends, and
// against a rejection that hides the effect of the lost request.
func TestCommitAndVerifyReturnsTheRejectionOfItsRepeat(t *testing.T) {
	for _, applied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			table := &rejectingTable{applied: applied}
			v, err := platform.CommitAndVerify(ctx, table, platform.PriorityConfig, platform.Txn{
				Conditions: []platform.Condition{{Key: "k"}}, Puts: []platform.Put{{Key: "k", Value: []byte(`"v"`)}},
			}, "k", func(platform.Row) bool { return true })
			require.Equal(t, 2, table.commits)
			if applied {
				require.NoError(t, err)
				require.Equal(t, map[string]uint64{"k": 1}, v)
				return
			}
			require.ErrorIs(t, err, platform.ErrRejected)
		})
	}
}
