package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/account"
	"boragepulley/internal/caller"
	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/dispatch"
	"boragepulley/internal/ingress"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/settings"
	"boragepulley/internal/upstream"
	"boragepulley/internal/worker"
)

const (
	// leaveTimeout bounds the hand-over of the coordinator role.
	leaveTimeout = 3 * time.Second
	// operatorConnections bounds the connections of operators: a few tools and a collector of metrics.
	operatorConnections = 64
	// closeTimeout bounds storing the last records.
	closeTimeout = 10 * time.Second
	// pendingCheck is how often the shutdown looks at releases that are not delivered.
	pendingCheck = 20 * time.Millisecond
)

// Daemon is one running boragepulleyd.
type Daemon struct {
	set  *settings.Settings
	log  zerolog.Logger
	self peer.Sender

	control *control.Control
	jobs    *dispatch.Service
	ledger  *account.Ledger
	holder  *account.ReplicaStore
	minions *upstream.Client
	workers *worker.Client
	platform.Services
	links *links

	callers   *caller.Server
	operators *http.Server
	peers     *peer.Server
	// The bounds are those of the listeners of the same names.
	operatorBounds, peerBounds *ingress.Guard
	listeners                  listeners

	wg sync.WaitGroup
}

type listeners struct{ caller, operator, peer net.Listener }

func (l *listeners) close() {
	for _, x := range []net.Listener{l.caller, l.operator, l.peer} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// New builds a daemon and opens its listeners. Errors: an address that cannot be
// listened on, or settings that the platform client rejects.
func New(set *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	limitHeap(set.MemoryMB)
	d := &Daemon{
		set:  set,
		log:  logging.Part(log, "daemon"),
		self: peer.Sender{Entry: set.Name, DC: set.DC, Incarnation: model.NewIncarnation()},
	}
	client, err := platform.NewClient(platform.OptionsFromSettings(set, logging.Part(log, "platform")))
	if err != nil {
		return nil, errors.Wrap(err, "daemon")
	}
	d.Services = client.Services()
	d.build(log)
	if d.operators, err = d.operatorServer(log); err != nil {
		return nil, err
	}
	d.operatorBounds = ingress.NewGuard("operators", ingress.Small(operatorConnections), ingress.DefaultBodyTimeout, logging.Part(log, "caller"))
	d.peerBounds = ingress.NewGuard("peers", ingress.DerivePeers(set.MemoryMB, peerConnections, peer.MaxMessage), 0, logging.Part(log, "caller"))
	d.peers.SetBudget(d.peerBounds)
	return d, d.listen()
}

func (d *Daemon) build(log zerolog.Logger) {
	d.links = &links{self: d.self, clients: make(map[model.EntryVM]*peer.Client)}
	owner := account.Owner{Entry: d.self.Entry, DC: d.self.DC, Incarnation: d.self.Incarnation}
	snapshot := func() *control.Snapshot { return d.control.Snapshot() }
	copiers := []account.Replicator{&copier{links: d.links, snapshot: snapshot}, &copier{links: d.links, snapshot: snapshot, far: true}}
	d.ledger = account.NewLedger(owner, d.Services, copiers, logging.Part(log, "account"), time.Now)
	d.holder = account.NewReplicaStore(d.self.Entry, d.Objects, logging.Part(log, "account"))
	d.minions = upstream.New(upstream.Options{})
	d.workers = worker.NewClient(worker.Options{})
	d.control = control.New(control.Deps{
		Settings: d.set, Incarnation: d.self.Incarnation, Table: d.Table, Objects: d.Objects,
		Minions: d.minions, VMPools: d.Pools, Workers: d.workers, Recorder: d.ledger, Dial: d.dial(log), Parse: parseFiles, Digest: config.Digest,
		Log: log, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.jobs = dispatch.New(dispatch.Config{
		Entry: d.self.Entry, DC: d.self.DC, Control: d.control, Minions: d.minions, Table: d.Table,
		Objects: d.Objects, Tasks: d.control, Recorder: d.ledger, Forwarder: d.links, Lookup: d.links, Log: log, MaxRequests: d.set.MaxRequests,
		AnswerRetention: d.set.AnswerRetention, AnswerBytes: d.set.AnswerBytes,
	})
	d.callers = caller.New(caller.Config{
		Entry: d.self.Entry, Dispatcher: d.jobs, Snapshot: snapshot, Lookup: d.links, Log: log, BodyTimeout: d.set.BodyTimeout,
		MaxRequests: d.set.MaxRequests,
		Bounds:      ingress.NewGuard("callers", ingress.Derive(d.set.MemoryMB, d.set.MaxFDs), d.set.BodyTimeout, logging.Part(log, "caller")),
	})
	names := make([]model.EntryVM, 0, len(d.set.Peers))
	for _, p := range d.set.Peers {
		names = append(names, p.Name)
	}
	box := &inbox{ControlHandler: d.control.Handler(), self: d.self, jobs: d.jobs, ledger: d.ledger, holder: d.holder}
	d.peers = peer.NewServer(box, names, logging.Part(log, "peer"))
}

// dial makes the client of a peer; control, dispatch and account share it.
func (d *Daemon) dial(log zerolog.Logger) func(settings.Peer) control.PeerClient {
	return func(p settings.Peer) control.PeerClient {
		c := peer.NewClient(d.self, p.Name, p.Addr, logging.Part(log, "peer"))
		d.links.clients[p.Name] = c
		return c
	}
}

// parseFiles checks a set of files for the control side. Warnings do not stop it.
func parseFiles(files []config.File) (*config.Site, error) {
	site, faults := config.Parse(files)
	return site, faults.Err()
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		to   *net.Listener
		addr string
	}{
		{&d.listeners.caller, d.set.CallerListen},
		{&d.listeners.operator, d.set.OperatorListen},
		{&d.listeners.peer, d.set.PeerListen},
	} {
		lis, err := net.Listen("tcp", l.addr)
		if err != nil {
			d.listeners.close()
			return errors.Wrap(err, "daemon: listen")
		}
		*l.to = lis
	}
	return nil
}

// Run serves until ctx ends, and then shuts down gracefully. Errors: a listener that
// failed, or a shutdown that could not finish within its time.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 3)
	d.wg.Go(func() { failed <- d.peers.Serve(d.peerBounds.ListenOnly(d.listeners.peer)) })
	d.control.Start()
	d.wg.Go(func() { d.ledger.Run(background) })
	d.wg.Go(func() { runUntilDone(background, d.log, "replicas of other entry VMs", d.holder.Run) })
	d.wg.Go(func() {
		runUntilDone(background, d.log, "watching entry VMs", func(ctx context.Context) { watchMembers(ctx, d.control.Snapshot, d.holder) })
	})
	d.wg.Go(func() { runUntilDone(background, d.log, "watching limits", d.watchLimits) })
	d.wg.Go(func() { failed <- d.callers.Serve(d.listeners.caller) })
	d.wg.Go(func() { failed <- d.serveOperators() })
	d.log.Info().Str("entry", string(d.self.Entry)).Str("dc", string(d.self.DC)).
		Str("incarnation", string(d.self.Incarnation)).Msg("Daemon started.")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.log.Error().Err(err).Msg("A listener failed; shutting down.")
	}
	if e := d.shutdown(stop); err == nil {
		err = e
	}
	d.wg.Wait()
	return err
}

func (d *Daemon) serveOperators() error {
	if err := d.operators.Serve(d.operatorBounds.ListenOnly(d.listeners.operator)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "daemon: operators")
	}
	return nil
}

// watchLimits keeps the bound on connections per minion at this entry VM's part of the
// minion's connections, as the configuration changes.
func (d *Daemon) watchLimits(ctx context.Context) {
	entries := len(d.set.InDC(d.set.DC))
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	version := uint64(0)
	for {
		if site := d.control.Snapshot().Site; site != nil && site.Version != version {
			version = site.Version
			byAddr := make(map[string]upstream.Limit, len(site.VMs))
			for _, vm := range site.VMs {
				byAddr[vm.Addr] = connectionBound(vm, entries)
			}
			d.minions.SetLimits(upstream.DefaultConnections, byAddr)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// spareConnections are the connections to one minion beyond one per slot: for status
// polls and for connections that are about to be replaced.
const spareConnections = 4

// connectionBound is how many connections this entry VM may have to a minion: an equal part
// of the minion's, and open at once no more than it can use. The rest is for connections that
// went silent, which the minion counts until its own timeout.
func connectionBound(vm config.VM, entries int) upstream.Limit {
	share := vm.Connections / entries
	return upstream.Limit{Open: min(share, vm.Slots+spareConnections), Total: share}
}
