package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/account"
	"boragepulley/internal/guard"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// Guards against an unexpected error in one part of an operator's query that ends the process.
func TestUnexpectedErrorFailsOnlyTheQuery(t *testing.T) {
	p := parallel{log: zerolog.Nop()}
	done := false
	p.run("one part", func() { panic("unexpected") })
	p.run("another part", func() { done = true })
	require.ErrorIs(t, p.wait(), guard.ErrPanic)
	require.True(t, done)
}

// Guards against an unexpected error in the collection of one entry VM's records that ends the process: the
// report is made, and that entry VM counts as one that did not answer.
func TestUnexpectedErrorInACollectionFailsNoReport(t *testing.T) {
	store := &fakeStore{objects: map[string][]byte{}, onList: func() {}}
	services := platform.Services{Table: fakeTable{}, Objects: store}
	self := peer.Sender{Entry: "e1", DC: "a", Incarnation: model.NewIncarnation()}
	ledger := account.NewLedger(account.Owner{Entry: self.Entry, DC: self.DC, Incarnation: self.Incarnation}, services, nil, zerolog.Nop(), time.Now)
	var broken *peer.Client // each call of it panics
	d := &Daemon{log: zerolog.Nop(), self: self, Services: services, ledger: ledger, links: &links{self: self, clients: map[model.EntryVM]*peer.Client{"e2": broken}}}
	_, err := d.buildReport(t.Context())
	require.NoError(t, err)
	_, live, gone := d.unstored(t.Context())
	require.Len(t, live, 1)
	require.False(t, gone["e2"])
}

// Guards against a background task that ends the process, or itself for good, with an unexpected error.
func TestBackgroundTaskIsRestartedAfterAnUnexpectedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		runs := 0
		runUntilDone(ctx, zerolog.Nop(), "a task", func(ctx context.Context) {
			if runs++; runs < 4 {
				panic("unexpected")
			}
			<-ctx.Done()
		})
		require.Equal(t, 4, runs)
	})
}
