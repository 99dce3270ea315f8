package siteplatform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	client "boragepulley/internal/platform"
	"boragepulley/internal/site"
	"boragepulley/platform"
	"boragepulley/standins/fleet"
	"boragepulley/standins/siteplatform"
)

func start(t *testing.T) *siteplatform.Platform {
	p, err := siteplatform.Start(siteplatform.Site{
		Capacity: jobs.Resources{CPU: 2000, MemoryMB: 1000}, Machines: []siteplatform.MachineSpec{{Name: "m0", Pool: "s", Rack: "z-1"}, {Name: "m1", Pool: "s", Rack: "z-2"}},
		Config: map[string]any{"version": 1}, MoveTime: time.Millisecond, UpkeepTime: time.Millisecond, Heartbeat: time.Second, StopTime: time.Millisecond,
		Work: func(string, int) (time.Duration, jobs.End) { return 0, jobs.EndDone }, Need: func(string) jobs.Resources { return jobs.Resources{CPU: 1500} },
	})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// testCallTimeout keeps the tests' verdict independent of the speed of the machine.
const testCallTimeout = time.Minute

// Guards against a store that the product's client misreads: versions, conflicts, parts, the feed.
func TestStoreSpeaksTheProductsWire(t *testing.T) {
	p := start(t)
	c, err := client.NewClient(client.Options{BaseURL: "http://" + p.StoreAddr(), WritesPerSecond: 100, ReadsPerSecond: 100, CallTimeout: testCallTimeout})
	require.NoError(t, err)
	s := platform.NewStore(c, 100)
	versions, err := s.Commit(t.Context(), 0, client.Txn{Puts: []client.Put{{Key: "minion/a", Value: []byte("1")}, {Key: "minion/b", Value: []byte("2")}}})
	require.NoError(t, err)
	_, err = s.Commit(t.Context(), 0, client.Txn{Conditions: []client.Condition{{Key: "minion/a", Version: versions["minion/a"] - 1}}, Puts: []client.Put{{Key: "minion/a"}}})
	var conflict *client.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "1", string(conflict.Rows[0].Value))
	_, err = s.Commit(t.Context(), 0, client.Txn{Puts: []client.Put{{Key: "job/0000000000000001", Value: []byte("x")}}})
	require.NoError(t, err)
	_, err = s.Commit(t.Context(), 0, client.Txn{Puts: []client.Put{{Key: "servers/x", Value: []byte("x")}}})
	require.ErrorIs(t, err, client.ErrRejected)
	jobRows, err := s.ReadAll(t.Context(), 0, "job")
	require.NoError(t, err)
	require.Len(t, jobRows.Rows, 1)
	_, err = s.Commit(t.Context(), 0, client.Txn{Puts: []client.Put{{Key: "minion/a"}}})
	require.NoError(t, err)
	changes, err := s.Changes(t.Context(), 0, "minion", versions["minion/a"], time.Second)
	require.NoError(t, err)
	require.Len(t, changes.Rows, 1)
	require.Nil(t, changes.Rows[0].Value)
}

// Guards against faults of the store for one client that the product's client takes for others: a
// refused transaction is not carried out, one without an answer is, and other clients are served.
func TestStoreFaultsOfOneClient(t *testing.T) {
	p := start(t)
	fault := fleet.None
	addr, err := p.AddStoreClient(func(string) fleet.Fault { return fault }, nil)
	require.NoError(t, err)
	commit := func(addr, key string) error {
		c, err := client.NewClient(client.Options{BaseURL: "http://" + addr, WritesPerSecond: 100, ReadsPerSecond: 100, CallTimeout: testCallTimeout})
		require.NoError(t, err)
		_, err = platform.NewStore(c, 100).Commit(t.Context(), 0, client.Txn{Puts: []client.Put{{Key: key, Value: []byte("1")}}})
		return err
	}
	require.NoError(t, commit(addr, "minion/a"))
	fault = fleet.Refuse
	require.ErrorIs(t, commit(addr, "minion/b"), client.ErrUnavailable)
	require.Nil(t, p.Row("minion/b"))
	fault = fleet.Lose
	require.ErrorIs(t, commit(addr, "minion/c"), client.ErrUnknownOutcome)
	require.Equal(t, "1", string(p.Row("minion/c")))
	require.NoError(t, commit(p.StoreAddr(), "minion/d"))
	require.Equal(t, "1", string(p.Row("minion/d")))
}

// Guards against minions and machines that the product's clients misread: refusals, runs, another
// minion at the address, the end of runs by an upkeep.
func TestMinionsAndMachinesSpeakTheProductsWire(t *testing.T) {
	p := start(t)
	machines := platform.NewMachines(p.MachinesAddr())
	list, err := machines.List(t.Context())
	require.NoError(t, err)
	require.Len(t, list, 2)
	id := list[0].Minion
	entry, err := platform.DecodeMinion(string(id), p.Row("servers/"+string(id)))
	require.NoError(t, err)
	to := site.Receiver{MinionAddress: site.MinionAddress{ID: id, Addr: entry.Addr}, Token: 3}
	minions := platform.NewMinions()
	clock, err := minions.Start(t.Context(), to, site.StartOrder{Task: "0a.0.0.0", Run: 1, LeaseUntil: 5000})
	require.NoError(t, err)
	_, err = minions.Start(t.Context(), to, site.StartOrder{Task: "0a.0.0.1", Run: 1, LeaseUntil: clock + 5000})
	require.Equal(t, site.RefusedRoom, site.RefusalOf(err))
	other := to
	other.ID = "i-other"
	_, err = minions.Poll(t.Context(), other, site.PollRequest{})
	require.ErrorIs(t, err, site.ErrOtherIncarnation)
	older := to
	older.Token = 2
	require.Equal(t, site.RefusedFenced, site.RefusalOf(minions.Stop(t.Context(), older, site.StopOrder{Task: "0a.0.0.0", Run: 1})))
	report, err := minions.Poll(t.Context(), to, site.PollRequest{LeaseUntil: clock + 5000})
	require.NoError(t, err)
	require.Len(t, report.Running, 1)
	require.Equal(t, entry.Incarnation, report.Incarnation)

	fence := site.MachineFence{Holder: "e1", Token: 3}
	require.Equal(t, site.RefusedNotInWave, site.RefusalOf(machines.Maintain(t.Context(), fence, "m0", 1)))
	require.NoError(t, p.AskWave(siteplatform.Wave{Wave: 1, Machines: []string{"m0"}, DurationS: 10, Cap: 1}))
	require.NoError(t, machines.Maintain(t.Context(), fence, "m0", 1))
	require.Eventually(t, func() bool {
		list, err := machines.List(t.Context())
		return err == nil && list[0].State == site.MachineUp && list[0].Minion != id
	}, time.Minute, time.Millisecond)
	require.Nil(t, p.Row("servers/"+string(id)))
	require.NoError(t, machines.Maintain(t.Context(), site.MachineFence{Holder: "e2", Token: 2}, "m0", 1))
	require.NotEmpty(t, p.Violations(), "a lower token after a higher one, and two orders below an older token")
}

// Guards against a minion that is lost or leaves and never comes back, one that leaves without saying so
// first, and a start in the past that is not shown as one.
func TestMinionsCrashAndLeave(t *testing.T) {
	p := start(t)
	machines := platform.NewMachines(p.MachinesAddr())
	state := func() site.Machine {
		list, err := machines.List(t.Context())
		require.NoError(t, err)
		return list[0]
	}
	entry := func() site.MinionEntry {
		id := state().Minion
		e, err := platform.DecodeMinion(string(id), p.Row("servers/"+string(id)))
		require.NoError(t, err)
		return e
	}
	before := entry()
	require.True(t, p.Crash("m0", time.Millisecond, -time.Minute))
	require.False(t, p.Crash("m0", time.Millisecond, 0) && state().Minion == "")
	require.Eventually(t, func() bool { return entry().Incarnation < before.Incarnation }, time.Minute, time.Millisecond)
	require.Equal(t, before.ID, entry().ID)

	require.Equal(t, before.ID, p.Leave("m0", time.Second, time.Millisecond))
	require.Empty(t, p.Leave("m0", 0, 0))
	require.True(t, entry().Leaving)
	require.NotZero(t, entry().Remaining)
	require.Equal(t, site.RefusedBusy, site.RefusalOf(machines.Move(t.Context(), site.MachineFence{Holder: "e1", Token: 3}, "m0", "other")))
	require.Eventually(t, func() bool { m := state(); return m.State == site.MachineUp && m.Minion != before.ID }, time.Minute, time.Millisecond)
	require.False(t, entry().Leaving)
}

// Guards against a store that never answers with rows that have changed meanwhile, and one that keeps
// the history that it should forget.
func TestStoreAnswersLateAndForgets(t *testing.T) {
	p := start(t)
	answering := make(chan struct{})
	late := time.Duration(0)
	addr, err := p.AddStoreClient(nil, func() time.Duration {
		if late > 0 {
			close(answering)
		}
		return late
	})
	require.NoError(t, err)
	c, err := client.NewClient(client.Options{BaseURL: "http://" + addr, WritesPerSecond: 100, ReadsPerSecond: 100, CallTimeout: testCallTimeout})
	require.NoError(t, err)
	s := platform.NewStore(c, 100)
	old, err := s.ReadAll(t.Context(), 0, "op")
	require.NoError(t, err)
	late = 200 * time.Millisecond
	go func() {
		<-answering
		_ = p.Configure(map[string]any{"version": 2})
	}()
	got, err := s.ReadAll(t.Context(), 0, "op")
	require.NoError(t, err)
	require.Equal(t, old.Rows, got.Rows)
	late = 0
	require.Eventually(t, func() bool {
		got, err := s.ReadAll(t.Context(), 0, "op")
		return err == nil && got.Version > old.Version
	}, time.Minute, time.Millisecond)
	p.ForgetHistory()
	_, err = s.Changes(t.Context(), 0, "op", old.Version, time.Second)
	require.ErrorIs(t, err, client.ErrHistoryGone)
}
