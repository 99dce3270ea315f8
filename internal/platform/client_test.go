package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/platform"
	"boragepulley/internal/settings"
	standin "boragepulley/standins/platform"
)

// pipeListener accepts in-memory connections, so that a synctest bubble covers both sides.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// site is a stand-in platform with clients in one synctest bubble.
type site struct {
	server   *standin.Server
	listener *pipeListener
}

func newSite(t *testing.T, h func(http.Handler) http.Handler) *site {
	s := &site{server: standin.New(standin.Options{Seed: 1}), listener: newPipeListener()}
	var handler http.Handler = s.server
	if h != nil {
		handler = h(handler)
	}
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(s.listener) }()
	t.Cleanup(func() { s.server.SetFaults(standin.Faults{}); srv.Close() })
	return s
}

func (s *site) client(t *testing.T, name string) platform.Services {
	c, err := platform.NewClient(platform.Options{BaseURL: "http://platform", ClientName: name,
		WritesPerSecond: 100, ReadsPerSecond: 400, Dial: s.listener.dial})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c.Services()
}

func put(key, value string, version uint64) platform.Txn {
	v, _ := json.Marshal(value)
	return platform.Txn{Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts: []platform.Put{{Key: key, Value: v}}}
}

func holds(value string) func(platform.Row) bool {
	want, _ := json.Marshal(value)
	return func(r platform.Row) bool { return string(r.Value) == string(want) }
}

// Guards against services that differ from the interfaces in platform.go.
func TestServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		c := s.client(t, "a/1")
		ctx := t.Context()
		row, err := c.Table.Get(ctx, platform.PriorityLease, "x/1")
		require.NoError(t, err)
		require.Equal(t, platform.Row{Key: "x/1"}, row)
		v, err := c.Table.Commit(ctx, platform.PriorityLease, put("x/1", "one", 0))
		require.NoError(t, err)
		_, err = c.Table.Commit(ctx, platform.PriorityLease, put("x/1", "two", 0))
		require.ErrorIs(t, err, platform.ErrConflict)
		var conflict *platform.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, v["x/1"], conflict.Rows[0].Version)
		rows, err := c.Table.Scan(ctx, platform.PriorityLease, "x/", 0)
		require.NoError(t, err)
		require.Equal(t, conflict.Rows, rows)
		_, err = c.Table.Commit(ctx, platform.PriorityLease, platform.Txn{})
		require.ErrorIs(t, err, platform.ErrRejected)

		for range 2 {
			require.NoError(t, c.Objects.Put(ctx, platform.PriorityConfig, "o/1", []byte{0, 255}))
		}
		require.ErrorIs(t, c.Objects.Put(ctx, platform.PriorityConfig, "o/1", []byte{1}), platform.ErrConflict)
		data, err := c.Objects.Get(ctx, platform.PriorityConfig, "o/1")
		require.NoError(t, err)
		require.Equal(t, []byte{0, 255}, data)
		_, err = c.Objects.Get(ctx, platform.PriorityConfig, "o/2")
		require.ErrorIs(t, err, platform.ErrNotFound)
		names, err := c.Objects.List(ctx, platform.PriorityConfig, "o")
		require.NoError(t, err)
		require.Equal(t, []string{"o/1"}, names)

		s.server.SetVM(standin.VMChange{Name: "vm-1", State: standin.VMLeaving})
		vms, err := c.VMs.List(ctx)
		require.NoError(t, err)
		require.Len(t, vms, 1)
		require.True(t, vms[0].Leaving)
	})
}

// Guards against a write that may have taken effect being reported as without effect,
// and against one that certainly had none being reported as unknown.
func TestErrorClasses(t *testing.T) {
	reset := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	plain503 := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	}
	garbled := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"vers`) })
	}
	for name, tc := range map[string]struct {
		faults  standin.Faults
		wrap    func(http.Handler) http.Handler
		closed  bool
		write   error
		applied bool
	}{
		"refused by the service":  {faults: standin.Faults{Outage: standin.OutageRefuse}, write: platform.ErrUnavailable},
		"cut for this client":     {faults: standin.Faults{Cuts: []standin.Cut{{ClientPrefix: "a/", Mode: standin.OutageRefuse}}}, write: platform.ErrUnavailable},
		"connection refused":      {closed: true, write: platform.ErrUnavailable},
		"dropped":                 {faults: standin.Faults{Outage: standin.OutageDrop}, write: platform.ErrUnknownOutcome},
		"hanging":                 {faults: standin.Faults{Outage: standin.OutageHang}, write: platform.ErrUnknownOutcome},
		"slow beyond the timeout": {faults: standin.Faults{DelayMS: 3000}, write: platform.ErrUnknownOutcome, applied: true},
		"answer lost":             {faults: standin.Faults{LostAnswers: []standin.LostAnswer{{KeyPrefix: "k", Next: 1}}}, write: platform.ErrUnknownOutcome, applied: true},
		"connection reset":        {wrap: reset, write: platform.ErrUnknownOutcome},
		"refusal of a middlebox":  {wrap: plain503, write: platform.ErrUnknownOutcome},
		"garbled answer":          {wrap: garbled, write: platform.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, tc.wrap)
				s.server.SetFaults(tc.faults)
				if tc.closed {
					s.listener.Close()
				}
				c := s.client(t, "a/1")
				_, err := c.Table.Commit(t.Context(), platform.PriorityLease, put("k", "v", 0))
				require.ErrorIs(t, err, tc.write)
				time.Sleep(5 * time.Second)
				if tc.wrap == nil && !tc.closed {
					s.server.SetFaults(standin.Faults{})
					row, err := s.client(t, "b/1").Table.Get(t.Context(), platform.PriorityLease, "k")
					require.NoError(t, err)
					require.Equal(t, tc.applied, row.Version != 0)
					return
				}
				_, err = c.Table.Get(t.Context(), platform.PriorityLease, "k")
				require.ErrorIs(t, err, platform.ErrUnavailable)
			})
		})
	}
}

// Guards against a cut of one data centre that hits another.
func TestCutHitsOneDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		s.server.SetFaults(standin.Faults{Cuts: []standin.Cut{{ClientPrefix: "a/", Mode: standin.OutageHang}}})
		_, err := s.client(t, "a/1").Table.Get(t.Context(), platform.PriorityLease, "k")
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = s.client(t, "b/1").Table.Get(t.Context(), platform.PriorityLease, "k")
		require.NoError(t, err)
	})
}

// Guards against a write that is applied twice or reported wrongly after its answer was lost.
func TestCommitAndVerifyLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		c := s.client(t, "a/1")
		lose := func(next int) {
			s.server.SetFaults(standin.Faults{LostAnswers: []standin.LostAnswer{{KeyPrefix: "k", Next: next}}})
		}
		lose(1)
		v, err := platform.CommitAndVerify(t.Context(), c.Table, platform.PriorityConfig, put("k", "mine", 0), "k", holds("mine"))
		require.NoError(t, err)
		require.EqualValues(t, 1, v["k"])
		require.EqualValues(t, 1, s.server.Stats().Writes, "the row shows the write, it is not sent again")

		// Without a condition an unchanged row proves nothing.
		s.server.SetFaults(standin.Faults{Outage: standin.OutageDrop})
		go func() { time.Sleep(10 * time.Millisecond); s.server.SetFaults(standin.Faults{}) }()
		x := put("k", "other", 0)
		x.Conditions = nil
		_, err = platform.CommitAndVerify(t.Context(), c.Table, platform.PriorityConfig, x, "k", holds("other"))
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)

		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s.server.SetFaults(standin.Faults{Outage: standin.OutageHang})
		_, err = platform.CommitAndVerify(ctx, c.Table, platform.PriorityConfig, put("k", "late", v["k"]), "k", holds("late"))
		require.ErrorIs(t, err, platform.ErrUnknownOutcome, "unknown when the time is over")
	})
}

// Guards against a write that takes effect after its read-back: the late request and the
// repeated one must not both apply.
func TestCommitAndVerifyLateEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		c := s.client(t, "a/1")
		s.server.SetFaults(standin.Faults{DelayMS: 1500})
		go func() { time.Sleep(time.Second); s.server.SetFaults(standin.Faults{}) }()
		_, err := platform.CommitAndVerify(t.Context(), c.Table, platform.PriorityConfig, put("k", "mine", 0), "k", holds("mine"))
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		row, err := c.Table.Get(t.Context(), platform.PriorityConfig, "k")
		require.NoError(t, err)
		require.EqualValues(t, 1, row.Version, "applied once")
	})
}

// Guards against lost or doubled updates when many writers race and answers get lost: each
// success adds exactly one entry.
func TestRacingWritersWithLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		s.server.SetFaults(standin.Faults{LostAnswers: []standin.LostAnswer{{KeyPrefix: "list", Probability: 0.3}}})
		var wg sync.WaitGroup
		const writers, each = 4, 10
		for w := range writers {
			c := s.client(t, fmt.Sprintf("a/%d", w))
			wg.Go(func() {
				for i := range each {
					appendEntry(t, c.Table, fmt.Sprintf("%d-%d", w, i))
				}
			})
		}
		wg.Wait()
		s.server.SetFaults(standin.Faults{})
		row, err := s.client(t, "b/1").Table.Get(t.Context(), platform.PriorityConfig, "list")
		require.NoError(t, err)
		seen := map[string]int{}
		for _, e := range entries(row) {
			seen[e]++
			require.Equal(t, 1, seen[e], "entry %s", e)
		}
		require.Len(t, seen, writers*each)
		require.Positive(t, s.server.Stats().LostAnswers)
	})
}

func entries(r platform.Row) []string {
	var list []string
	_ = json.Unmarshal(r.Value, &list)
	return list
}

// appendEntry adds an entry to the row "list" by compare-and-set until it succeeds.
func appendEntry(t *testing.T, tab platform.Table, entry string) {
	mine := func(r platform.Row) bool {
		for _, e := range entries(r) {
			if e == entry {
				return true
			}
		}
		return false
	}
	for {
		r, err := tab.Get(t.Context(), platform.PriorityConfig, "list")
		if err == nil {
			v, _ := json.Marshal(append(entries(r), entry))
			x := platform.Txn{Conditions: []platform.Condition{{Key: "list", Version: r.Version}},
				Puts: []platform.Put{{Key: "list", Value: v}}}
			if _, err = platform.CommitAndVerify(t.Context(), tab, platform.PriorityConfig, x, "list", mine); err == nil {
				return
			}
		}
		if errors.Is(err, platform.ErrUnknownOutcome) {
			t.Errorf("entry %s: %v", entry, err)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a stampede in and after an outage, and against a client that stays away
// after it.
func TestOutageIsProbedGently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		c := s.client(t, "a/1")
		s.server.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		stop := make(chan struct{})
		var served atomic.Int64
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				for {
					if _, err := c.Table.Get(t.Context(), platform.PriorityClaim, "k"); err == nil {
						served.Add(1)
					}
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
		}
		time.Sleep(time.Minute)
		// At most 50 calls are under way when the breaker opens. After that the back-off
		// allows at most 4 probes in its first 2 s and one in 2.5 s later.
		require.Less(t, s.server.Stats().Arrived, int64(50+4+60/2.5))
		s.server.SetFaults(standin.Faults{})
		time.Sleep(5100 * time.Millisecond)
		require.Positive(t, served.Load(), "the client is back within the longest back-off")
		close(stop)
		wg.Wait()
	})
}

// Guards against a rate limit of the service that opens the breaker or is taken for an
// unknown outcome.
func TestRateLimitIsNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, nil)
		limited := 0
		for i := range 2 {
			c := s.client(t, fmt.Sprintf("a/%d", i))
			for range 100 {
				_, err := c.Table.Commit(t.Context(), platform.PriorityAccount, platform.Txn{
					Puts: []platform.Put{{Key: "k", Value: json.RawMessage(`1`)}}})
				if err != nil {
					require.ErrorIs(t, err, platform.ErrUnavailable)
					limited++
				}
			}
		}
		require.EqualValues(t, limited, s.server.Stats().RateLimited)
		require.EqualValues(t, 100, limited, "the burst of the service is a quarter of a second")
	})
}

// Guards against a daemon that uses the whole site's budget or a name that a cut of its
// data centre does not match.
func TestOptionsOfSettings(t *testing.T) {
	o := platform.OptionsFromSettings(&settings.Settings{Name: "entry-1", DC: "a", PlatformURL: "http://127.0.0.1:1",
		SiteWritesPerSecond: 300, SiteReadsPerSecond: 1200, Peers: make([]settings.Peer, 8)}, zerolog.Nop())
	require.Equal(t, "a/entry-1", o.ClientName)
	require.Equal(t, 37.5, o.WritesPerSecond)
	require.Equal(t, 150.0, o.ReadsPerSecond)
	_, err := platform.NewClient(o)
	require.NoError(t, err)
	o.ReadsPerSecond = 0
	_, err = platform.NewClient(o)
	require.Error(t, err)
}
