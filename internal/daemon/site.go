package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/clock"
	"boragepulley/internal/coordinator"
	"boragepulley/internal/entry"
	"boragepulley/internal/fencing"
	"boragepulley/internal/guard"
	"boragepulley/internal/ingress"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	client "boragepulley/internal/platform"
	"boragepulley/internal/settings"
	"boragepulley/internal/sitestatus"
	"boragepulley/platform"
)

const (
	// balancerNotice is how long the balancer may go on sending connections after
	// readiness turned red: it asks once a second and takes two misses.
	balancerNotice = 2200 * time.Millisecond
	// heapShare of the memory is where the garbage collector begins to work harder; stacks,
	// buffers of the kernel and the program need the rest.
	heapShare = 0.5
	// jobShare of the memory is for accepted jobs that have not ended. A coordinator that loads them needs
	// two to three times as much for a moment, beside the heap of a busy one.
	jobShare = 0.15
	// siteCloseMargin is kept of the platform's grace for the end of the process.
	siteCloseMargin = 800 * time.Millisecond
	// headerTimeout bounds how long a caller may take for a request's header, and
	// callerIdle how long its connection may be unused.
	headerTimeout = 3 * time.Second
	callerIdle    = 60 * time.Second
	// maxHeaderBytes bounds the header of a caller's request; those of the protocol take less than 1 KB.
	maxHeaderBytes = 16 << 10
	// smallConnections bounds the connections for readiness checks and for metrics, each of which has a
	// few clients, and peerConnections those of other entry VMs, of which a site has up to 41.
	smallConnections = 64
	peerConnections  = 256
	// siteStoreTimeout bounds a store call; a store that is slow by a factor of 60 answers
	// in 0.5 s, and a lost answer is noticed only by this bound.
	siteStoreTimeout = 900 * time.Millisecond
	// siteSmallTimeout is the shortest time limit of a small store call: the store answers in 5
	// to 10 ms, and a burst on one part adds 100 ms.
	siteSmallTimeout = 200 * time.Millisecond
	// siteBreakerMax bounds the pause between two tries of a store that does not answer:
	// accepting jobs begins again so long after its return.
	siteBreakerMax = 400 * time.Millisecond
)

// Site is one running entry VM on the users' platform.
type Site struct {
	set     *settings.Site
	log     zerolog.Logger
	node    *entry.Node
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	peers   *peer.Server
	// The bounds are those of the listeners of the same names.
	bounds, readyBounds, metricsBounds, peerBounds *ingress.Guard
	lis                                            map[string]net.Listener

	mu      sync.Mutex
	clients []*peer.Client // guarded by mu
}

// limitHeap sets where the garbage collector begins to work harder; 0 MB means no limit.
func limitHeap(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * heapShare * (1 << 20)))
	}
}

// NewSite builds an entry VM and opens its listeners. Errors: an address that cannot be
// listened on, or settings that the store's client rejects.
func NewSite(set *settings.Site, log zerolog.Logger) (*Site, error) {
	limitHeap(set.MemoryMB)
	store, err := client.NewClient(client.Options{
		BaseURL: set.StoreURL, ClientName: string(set.DC) + "/" + string(set.Name), WritesPerSecond: set.StoreWrites / 2,
		ReadsPerSecond: set.StoreReads / 2, CallTimeout: siteStoreTimeout, MinSmallCallTimeout: siteSmallTimeout, MaxBreakerBackoff: siteBreakerMax, ProbeOnlyByReads: true, Log: logging.Part(log, "store"),
	})
	if err != nil {
		return nil, errors.Wrap(err, "daemon")
	}
	table := platform.NewStore(store, set.LinkMbps)
	self := peer.Sender{Entry: set.Name, DC: set.DC, Incarnation: model.NewIncarnation()}
	s := &Site{set: set, log: logging.Part(log, "daemon"), lis: map[string]net.Listener{}}
	s.node = entry.New(entry.Deps{
		Self: self, PeerAddr: set.PeerAddr, Cores: set.Cores, Table: table, Feed: table, Fleet: fencing.NewFleet(platform.NewMinions(), platform.NewMachines(set.MachinesAddr)),
		Codec:        coordinator.Codec{Minion: platform.DecodeMinion, Wave: platform.DecodeWave, WaveStatus: platform.EncodeWaveStatus},
		DecodeConfig: platform.DecodeConfig,
		Limits:       coordinator.Limits{MaxMinionLease: set.MaxMinionLease, MachineOrderGap: set.MachineOrderGap, Retention: set.Retention, RowBytes: set.StoreRowBytes, JobMemory: int64(set.MemoryMB * jobShare * (1 << 20))},
		Dial: func(name model.EntryVM, addr string) peer.SiteHandler {
			c := peer.NewClient(self, name, addr, logging.Part(log, "peer"))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.clients = append(s.clients, c)
			return c
		},
		Now: clock.SinceBoot, Log: log,
	})
	callerLog := logging.Part(log, "caller")
	s.bounds = ingress.NewGuard("callers", ingress.Derive(set.MemoryMB, set.MaxFDs), ingress.DefaultBodyTimeout, callerLog)
	s.callers = &http.Server{Handler: platform.BoundedCallerHandler(s.node, s.bounds, callerLog), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: ingress.ConnContext, ConnState: ingress.ConnState}
	small := func(name string, h http.Handler) (*http.Server, *ingress.Guard) {
		g := ingress.NewGuard(name, ingress.Small(smallConnections), ingress.DefaultBodyTimeout, callerLog)
		return &http.Server{Handler: g.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes, ConnContext: ingress.ConnContext, ConnState: ingress.ConnState}, g
	}
	s.ready, s.readyBounds = small("ready", platform.ReadinessHandler(s.node))
	s.metrics, s.metricsBounds = small("metrics", sitestatus.Handler(s.node, expvar.Handler()))
	s.peerBounds = ingress.NewGuard("peers", ingress.DerivePeers(set.MemoryMB, peerConnections, peer.MaxMessage), 0, callerLog)
	s.peers = peer.NewSiteServer(s.node.Handler(), logging.Part(log, "peer"))
	s.peers.SetBudget(s.peerBounds)
	return s, s.listen()
}

func (s *Site) listen() error {
	for _, addr := range []string{s.set.CallerListen, s.set.ReadyListen, s.set.PeerListen, s.set.MetricsListen} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, open := range s.lis {
				_ = open.Close()
			}
			return errors.Wrap(err, "daemon: listen")
		}
		s.lis[addr] = l
	}
	return nil
}

// Run serves until ctx ends, and then shuts down gracefully. Errors: a listener that
// failed, or a shutdown that could not finish within its time.
func (s *Site) Run(ctx context.Context) error {
	failed := make(chan error, len(s.lis))
	for _, x := range []struct {
		addr  string
		serve func(net.Listener) error
	}{
		{s.set.CallerListen, func(l net.Listener) error { return s.callers.Serve(s.bounds.Listen(l)) }},
		{s.set.ReadyListen, func(l net.Listener) error { return s.ready.Serve(s.readyBounds.Listen(l)) }},
		{s.set.MetricsListen, func(l net.Listener) error { return s.metrics.Serve(s.metricsBounds.Listen(l)) }},
		{s.set.PeerListen, func(l net.Listener) error { return s.peers.Serve(s.peerBounds.ListenOnly(l)) }},
	} {
		go func() {
			if err := x.serve(s.lis[x.addr]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "daemon: %s", x.addr)
			}
		}()
	}
	s.node.Start()
	s.log.Info().Str("entry", string(s.set.Name)).Str("dc", string(s.set.DC)).Msg("Daemon started.")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		s.log.Error().Err(err).Msg("A listener failed; shutting down.")
	}
	if e := s.shutdown(); err == nil {
		err = e
	}
	return err
}

// shutdown stops without cutting off a request: readiness turns red, the coordinator role
// is handed over, and callers are served until the balancer has noticed and their last
// answer is written.
func (s *Site) shutdown() error {
	s.log.Info().Msg("Graceful shutdown started.")
	ctx, cancel := context.WithTimeout(context.Background(), s.set.TerminationGrace-siteCloseMargin)
	defer cancel()
	notice := time.After(min(balancerNotice, (s.set.TerminationGrace-siteCloseMargin)/2))
	// The hand-over waits for the store's answers, for the whole time if there are none.
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		_ = guard.Recover(s.log, "the hand-over", func() { s.node.BeginShutdown(ctx) }) // logged there
	}()
	<-notice
	go s.bounds.Drain(ctx)
	err := errors.Wrap(s.callers.Shutdown(ctx), "daemon: callers still waiting")
	<-handedOver
	s.node.Stop()
	s.closeClients()
	s.peers.Close()
	_ = s.ready.Close()
	_ = s.metrics.Close()
	s.log.Info().AnErr("error", err).Msg("Daemon stopped.")
	return err
}

func (s *Site) closeClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
}
