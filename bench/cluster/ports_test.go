package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a port of a cut link or a stopped daemon, on which nothing listens, that
// another experiment takes: the link cannot be healed then.
func TestPickersShareNoPort(t *testing.T) {
	a, b := newPortPicker(), newPortPicker()
	defer a.close()
	defer b.close()
	seen := map[string]bool{}
	for range 2*blockSize + 1 { // more than two blocks each
		for _, p := range []*portPicker{a, b} {
			addr, err := p.next()
			require.NoError(t, err)
			require.False(t, seen[addr], "%s was handed out twice", addr)
			seen[addr] = true
		}
	}
}

// Guards against blocks that stay reserved after an experiment, and against an endless
// search when there is none.
func TestBlocksAreGivenBack(t *testing.T) {
	const lowest, blocks = 32000, 2 // above the ports of experiments
	all := portPicker{lowest: lowest, blocks: blocks}
	for all.reserve() == nil {
	}
	require.Len(t, all.reserved, blocks)
	p := portPicker{lowest: lowest, blocks: blocks}
	defer p.close()
	_, err := p.next()
	require.ErrorIs(t, err, ErrNoPorts)
	all.close()
	_, err = p.next()
	require.NoError(t, err)
}
