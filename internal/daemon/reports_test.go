package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/account"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// fakeTable is a table without rows that takes every transaction.
type fakeTable struct{ platform.Table }

func (fakeTable) Scan(context.Context, platform.Priority, string, int) ([]platform.Row, error) {
	return nil, nil
}

func (fakeTable) Commit(context.Context, platform.Priority, platform.Txn) (map[string]uint64, error) {
	return nil, nil
}

// fakeStore keeps objects in memory. onList runs after the names of the objects were
// read and before they are returned.
type fakeStore struct {
	objects map[string][]byte
	onList  func()
}

func (f *fakeStore) Put(_ context.Context, _ platform.Priority, name string, data []byte) error {
	f.objects[name] = data
	return nil
}

func (f *fakeStore) Get(_ context.Context, _ platform.Priority, name string) ([]byte, error) {
	return f.objects[name], nil
}

func (f *fakeStore) List(_ context.Context, _ platform.Priority, prefix string) ([]string, error) {
	var names []string
	for n := range f.objects {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	f.onList()
	return names, nil
}

// Guards against a report that misses, without a gap, the records that an entry VM
// stores while the report is made.
func TestReportWhileRecordsAreStored(t *testing.T) {
	store := &fakeStore{objects: make(map[string][]byte)}
	services := platform.Services{Table: fakeTable{}, Objects: store}
	self := peer.Sender{Entry: "e1", DC: "a", Incarnation: model.NewIncarnation()}
	ledger := account.NewLedger(account.Owner{Entry: self.Entry, DC: self.DC, Incarnation: self.Incarnation},
		services, nil, zerolog.Nop(), time.Now)
	d := &Daemon{log: zerolog.Nop(), self: self, Services: services, ledger: ledger, links: &links{self: self}}
	job := model.NewJobID(time.Now(), self.Entry)
	ledger.Record(model.Record{Job: job, Time: time.Now(), Entry: self.Entry, State: model.StateRan, Queue: "q"})
	store.onList = func() { require.NoError(t, ledger.Flush(context.Background())) }

	r, err := d.buildReport(context.Background())
	require.NoError(t, err)
	require.NotEmpty(t, store.objects, "the records were stored while the report was made")
	require.Empty(t, r.Gaps)
	require.NotNil(t, r.Job(job), "job missing from the report")
}
