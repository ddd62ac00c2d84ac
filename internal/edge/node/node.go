package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/conns"
	"monsoonhub.example/steer/internal/edge/entry"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/join"
	"monsoonhub.example/steer/internal/edge/meter"
	"monsoonhub.example/steer/internal/edge/pass"
	"monsoonhub.example/steer/internal/edge/place"
	"monsoonhub.example/steer/internal/edge/poison"
	"monsoonhub.example/steer/internal/edge/region"
	"monsoonhub.example/steer/internal/edge/setup"
	"monsoonhub.example/steer/internal/edge/stall"
	"monsoonhub.example/steer/internal/ops/guard"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

const (
	// Limits of the servers other than the one for callers, whose requests and responses are short: readTimeout bounds the reading
	// of a whole request, writeTimeout the time from its header to the end of the response, and idleTimeout the time between two
	// requests of a connection. The platform and other hosts call more often.
	readTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	idleTimeout  = 30 * time.Second

	// maxHeadBytes bounds the head of a request at these servers. The default of net/http, 1 MB for each connection, exceeds the
	// memory of a host.
	maxHeadBytes = 8 << 10

	// drainServeFraction is the fraction of the grace period for which a stopping host still accepts requests on open and new
	// connections, because callers keep answers of the directory for some seconds.
	drainServeFraction = 0.5

	// startupWindow is the time after its start within which a host may not know others that started with it.
	startupWindow = 2 * time.Second

	// startupHostCount is the number of hosts that a host assumes during startupWindow where it would do harm if there were
	// more than it knows. The fleet is expected to grow to 470 hosts within two years.
	startupHostCount = 500

	// leaveFlushTime is the time to send the last message to the other hosts.
	leaveFlushTime = 50 * time.Millisecond

	// shutdownMargin is the time of the grace period that Shutdown leaves for the responses to requests that have not ended, for the
	// last message to other hosts and for the end of the process.
	shutdownMargin = 300 * time.Millisecond
)

// PlatformAPI builds the handlers of the endpoints that the platform calls.
type PlatformAPI struct {
	Directory func(lookup func(name, region, dataCentre string) ([]netip.AddrPort, time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Config configures a Node.
type Config struct {
	Settings    setup.Settings
	Catalog     steer.Catalog
	Headers     steer.HeaderNames
	Deployment  steer.Deployment
	PlatformAPI PlatformAPI
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
}

// Node is one running host. It must be stopped with Shutdown.
type Node struct {
	settings setup.Settings                 // Settings at the start.
	current  atomic.Pointer[setup.Settings] // Settings last loaded. Only the fields that Reload applies differ from settings.
	ownEntry steer.HostEntry                // Registration of this host.
	logger   log.Logger
	guard    *guard.Guard

	follower   *belief.Follower
	member     *join.Member
	placer     *place.Placer
	quotas     *share.Table
	demand     *region.Demand
	entryHosts *entry.Selector
	load       *entry.Meter // Used only by the rounds of the gossiper.
	traffic    meter.Traffic
	gossiper   atomic.Pointer[gossip.Gossiper] // Nil while the follower starts, which may already relay changes.
	conns      *conns.Budget
	targets    *back.Pool
	poison     *poison.Table
	admission  *admit.Controller
	recorder   *poison.Recorder
	server     *front.Server
	auxServers []*http.Server

	synced      chan struct{} // Closed once all parts have the first plan and list of targets.
	syncOnce    sync.Once
	usesLeaders bool                      // The hosts of the data centre report through leaders. Used only by the goroutine of watchViews.
	stopping    atomic.Bool               // Shutdown has begun. The host is not ready.
	draining    atomic.Bool               // New requests are refused.
	stopsAt     atomic.Pointer[time.Time] // When Shutdown cuts the requests in progress; nil before it has begun.
	cancel      context.CancelFunc
	wait        sync.WaitGroup
}

// New opens the listeners and starts all parts. If it returns an error, no listener stays open.
func New(c Config) (*Node, error) {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	listeners, err := listen(&c.Settings)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: c.Settings,
		logger:   log.With(c.Logger, "part", "node"),
		synced:   make(chan struct{}),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
	}
	n.current.Store(&n.settings)
	n.start(c, listeners)
	_ = level.Info(n.logger).Log("msg", "Host started.", "host", c.Settings.HostID, "listen", c.Settings.Listen,
		"data-centre", c.Settings.DataCentre)
	return n, nil
}

// listenerSet holds the listeners of a host.
type listenerSet struct {
	callers, ready, directory, peers, metrics net.Listener
}

// listen opens the listeners of a host, or none if one fails.
func listen(s *setup.Settings) (listenerSet, error) {
	var p listenerSet
	var open []net.Listener
	// Connections of callers are closed when they are idle, so probes would only cost four system calls for each.
	noProbes := net.ListenConfig{
		KeepAlive: -1,
	}
	for _, l := range []struct {
		address netip.AddrPort
		dest    *net.Listener
		config  net.ListenConfig
	}{
		{address: s.Listen, dest: &p.callers, config: noProbes},
		{address: s.ReadyListen, dest: &p.ready},
		{address: s.DirectoryListen, dest: &p.directory, config: noProbes},
		{address: s.PeerListen, dest: &p.peers},
		{address: s.MetricsListen, dest: &p.metrics},
	} {
		listener, err := l.config.Listen(context.Background(), "tcp", l.address.String())
		if err != nil {
			for _, o := range open {
				_ = o.Close() // The first error is the one that matters.
			}
			return listenerSet{}, fmt.Errorf("listen on %s: %w", l.address, err)
		}
		open = append(open, listener)
		*l.dest = listener
	}
	return p, nil
}

// start creates the parts, connects them and starts the servers.
func (n *Node) start(c Config, p listenerSet) {
	s := &n.settings
	n.ownEntry = steer.HostEntry{
		ID:          s.HostID,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		Incarnation: uint64(time.Now().UnixNano()),
		Address:     s.Listen,
		PeerAddress: s.PeerListen,
		LinkMbps:    s.LinkMbps,
		CPUCores:    s.CPUCores(),
	}
	speeds := newSpeedReporter(n.logger, c.Metrics)
	n.placer = place.New(place.Config{
		Host:       s.HostID,
		DataCentre: s.DataCentre,
		Region:     s.Region,
		Regions:    s.Regions,
		Ejection:   n.logEjection,

		LimitChange: n.logLimitChange,
		SpeedChange: speeds.change,
		Features:    s.Features(),
		Deployment:  c.Deployment,
	})
	n.quotas = share.New(share.Config{
		Host:     s.HostID,
		Bounds:   quotaBounds(s),
		MinHosts: len(s.Regions), // Every data centre has a host.
	})
	n.load = entry.NewMeter(s.LinkMbps, s.CPUCores())
	n.entryHosts = entry.New(entry.Config{
		Host:       s.HostID,
		DataCentre: s.DataCentre,
		Mode:       s.DirectoryHosts,
		Deployment: c.Deployment,
		Logger:     c.Logger,
		Metrics:    c.Metrics,
	})
	n.demand = region.NewDemand(slices.Compact(slices.Sorted(maps.Values(s.Regions))))
	n.conns = conns.New(conns.Config{
		Descriptors:     s.Descriptors,
		FileDescriptors: s.FileDescriptors,
		Memory:          int64(s.MemoryMB) << 20,
		Logger:          c.Logger,
		Metrics:         c.Metrics,
	})
	slow := stall.New(stall.Config{
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	n.targets = back.New(back.Config{
		Slow:    slow,
		Headers: c.Headers,
		Memory:  int64(s.MemoryMB) << 20,
		Conns:   n.conns,
		Traffic: &n.traffic,
		Metrics: c.Metrics,
	})
	n.poison = poison.New(poison.Config{
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	n.admission = admit.New(admit.Config{
		Mode:       s.Features().Admission,
		Deployment: c.Deployment,
		CalledFor:  n.placer.ReportsWorkFactor,
		Metrics:    c.Metrics,
	})
	leaseTerm := join.LeaseTerm(s.StoreSettle())
	n.follower = belief.New(belief.Config{
		Catalog:         c.Catalog,
		Host:            s.HostID,
		LocalDataCentre: s.DataCentre,
		History:         s.History(),
		Regions:         s.Regions,
		HostLeaseTerm:   leaseTerm,
		Relay:           n.relayChanges,
		Logger:          c.Logger,
		Metrics:         c.Metrics,
	})
	n.gossiper.Store(gossip.New(gossip.Config{
		Host:         s.HostID,
		DataCentre:   s.DataCentre,
		Region:       s.Region,
		PeerAddress:  s.PeerListen,
		Usage:        n.quotas.Publish,
		Sum:          n.quotas.Sum,
		Hint:         n.hint,
		Notes:        n.placer.Notes,
		OnNotes:      n.placer.MergeNotes,
		Limits:       n.placer.LimitNotes,
		OnLimits:     n.placer.MergeLimitNotes,
		Speeds:       func(now time.Time) []steer.SpeedObservation { return speeds.notes(now, n.placer) },
		OnSpeeds:     func(now time.Time, list []steer.SpeedObservation) { speeds.merge(now, n.placer, list) },
		Crashes:      n.poison.Reports,
		OnCrashes:    n.poison.Merge,
		Load:         n.updateEntryHosts,
		OnLoad:       n.receiveLoad,
		Admission:    n.admission.Report,
		OnAdmission:  n.admission.Merge,
		OnPeerStatus: n.handlePeerStatus,
		Changes:      n.handleChanges,
		OnAsked:      n.answerWithListing,
		Logger:       c.Logger,
		Metrics:      c.Metrics,
	}))
	n.member = join.New(join.Config{
		Catalog: c.Catalog,
		Host:    n.ownEntry,
		Term:    leaseTerm,
		Missing: n.registrationMissing,
		Failed:  n.follower.NoteFailedCall,
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	n.recorder = poison.NewRecorder(poison.RecorderConfig{
		Catalog: c.Catalog,
		Table:   n.poison,
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		n.watchViews(ctx)
	}()
	handler := pass.New(pass.Config{
		Headers:   c.Headers,
		View:      n.follower.View,
		Placer:    n.placer,
		Quotas:    n.quotas,
		Targets:   n.targets,
		Poison:    n.poison,
		Admission: n.admission,
		Region:    s.Region,
		RegionOf:  n.placer.RegionOf,
		RetryBudget: pass.RetryBudgetConfig{
			Ratio: s.RetryRatio,
			Slack: s.RetrySlack,
			Hosts: n.quotas.Hosts,
		},
		Synced: n.synced,
		StopsAt: func() time.Time {
			if at := n.stopsAt.Load(); at != nil {
				return *at
			}
			return time.Time{}
		},
		Draining: n.draining.Load,
		Logger:   c.Logger,
		Metrics:  c.Metrics,
	})
	n.server = front.New(front.Config{
		Slow:          slow,
		Listener:      p.callers,
		Handler:       handler.Serve,
		Limits:        n.requestLimits,
		ExpectedBytes: handler.ExpectedBytes,
		Memory:        int64(s.MemoryMB) << 20,
		Conns:         n.conns,
		Traffic:       &n.traffic,
		Logger:        c.Logger,
		Metrics:       c.Metrics,
	})
	peers := http.NewServeMux()
	peers.Handle(gossip.Path, n.gossiper.Load().Handler())
	n.serve(p.peers, peers)
	n.serve(p.ready, c.PlatformAPI.Readiness(n.Ready))
	n.serveCallers(p.directory, c.PlatformAPI.Directory(n.lookup))
	scrape := http.NewServeMux()
	scrape.Handle("GET /metrics", telem.MetricsHandler(c.Metrics))
	scrape.Handle("GET "+pass.ExplainPath, handler.ExplainHandler(s.HostID, s.DataCentre))
	n.serve(p.metrics, scrape)
}

// serve starts an HTTP server for the platform and other hosts.
func (n *Node) serve(listener net.Listener, handler http.Handler) {
	n.startServer(n.conns.ListenReserved(listener), &http.Server{
		Handler: handler,
	})
}

// serveCallers starts an HTTP server for callers, whose connections are counted and closed if there are too many.
func (n *Node) serveCallers(listener net.Listener, handler http.Handler) {
	n.startServer(n.conns.Listen(listener), &http.Server{
		Handler:   handler,
		ConnState: n.conns.ConnState(),
	})
}

func (n *Node) startServer(listener net.Listener, server *http.Server) {
	server.ReadTimeout, server.WriteTimeout, server.IdleTimeout = readTimeout, writeTimeout, idleTimeout
	server.MaxHeaderBytes = maxHeadBytes
	n.auxServers = append(n.auxServers, server)
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(n.logger).Log("msg", "Listener failed.", "address", listener.Addr(), "err", err)
		}
	}()
}

// logEjection logs that a target is ejected: it gets no requests for some time.
func (n *Node) logEjection(a place.Ejection) {
	_ = level.Info(n.logger).Log("msg", "Target is left alone.", "target", a.Target, "for", a.Period, "fails", a.Failures,
		"told", a.FromPeers, "gentle", a.SlowStart)
}

// logLimitChange logs that a target limits its requests, changed its limit or lifted it.
func (n *Node) logLimitChange(c place.LimitChange) {
	_ = level.Info(n.logger).Log("msg", "Limit of target changed.", "target", c.Target, "limited", c.Limit.Limited,
		"per-second", c.Limit.PerSecond, "share", c.Share, "told", c.FromPeers)
}

// watchViews applies each new view of the platform until the context ends.
func (n *Node) watchViews(ctx context.Context) {
	started := time.Now()
	for {
		changed := n.follower.Changed()
		n.guard.Do("view", func() { n.applyView(time.Now(), started, n.follower.View()) })
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyView passes a view to the parts that keep their own state.
func (n *Node) applyView(now, started time.Time, view *belief.View) {
	n.setPeers(now, view)
	if view.Index != nil {
		n.quotas.SetQuotas(now, view.Index.Plan.Customers)
	}
	n.gossiper.Load().SetHosts(now, view.Hosts)
	fleet := place.Fleet{
		Hosts: n.quotas.Hosts(),
	}
	fleet.MaxHosts = fleet.Hosts
	if now.Sub(started) < startupWindow {
		fleet.MaxHosts = max(fleet.Hosts, startupHostCount)
	}
	n.placer.Update(now, view, fleet)
	n.poison.SetRegistered(now, view.Rejected)
	if view.Listed && view.Index != nil {
		n.syncOnce.Do(func() { close(n.synced) })
	}
}

// requestLimits returns the limits of the current plan, or none before the first plan.
func (n *Node) requestLimits() steer.RequestLimits {
	if x := n.follower.View().Index; x != nil {
		return x.Plan.Limits
	}
	return steer.RequestLimits{}
}

// Ready reports whether this host can serve callers. It must have a plan and a list of targets, and not be stopping.
func (n *Node) Ready() bool {
	view := n.follower.View()
	return !n.stopping.Load() && view.Listed && view.Index != nil
}

// Reload applies changed settings: the bounds of quotas, the grace period and the time for which callers keep answers of the
// directory. It logs whether other fields have changed, which need a restart.
func (n *Node) Reload(s setup.Settings) {
	old := n.current.Load()
	fixed := *old
	fixed.GraceSeconds, fixed.DirectoryTTLSeconds = s.GraceSeconds, s.DirectoryTTLSeconds
	fixed.QuotaWindowSeconds, fixed.QuotaExcessRatio, fixed.QuotaSlack = s.QuotaWindowSeconds, s.QuotaExcessRatio, s.QuotaSlack
	if reflect.DeepEqual(*old, s) {
		_ = level.Info(n.logger).Log("msg", "Settings loaded, nothing has changed.")
		return
	}
	n.current.Store(&fixed)
	n.quotas.SetBounds(quotaBounds(&s))
	_ = level.Info(n.logger).Log("msg", "Settings loaded.", "grace", s.GracePeriod(), "directory-keep", s.DirectoryTTL(),
		"quota-window", s.Window(), "needs-restart", !reflect.DeepEqual(fixed, s))
}

func quotaBounds(s *setup.Settings) share.Bounds {
	return share.Bounds{
		Window:    s.Window(),
		MaxExcess: s.QuotaExcessRatio,
		Slack:     s.QuotaSlack,
	}
}

// Shutdown stops the host without cutting requests. It leaves the directory, continues to serve until callers have learned of
// that, then refuses new requests and waits for those in flight. It ends within the grace period.
func (n *Node) Shutdown(ctx context.Context) error {
	startedAt := time.Now()
	grace := n.current.Load().GracePeriod()
	stopsAt := startedAt.Add(grace - shutdownMargin)
	n.stopsAt.Store(&stopsAt)
	n.stopping.Store(true)
	_ = level.Info(n.logger).Log("msg", "Host is stopping.", "grace", grace)
	ctx, cancel := context.WithDeadline(ctx, stopsAt)
	defer cancel()
	n.server.DisableKeepAlives()
	n.member.Leave(ctx)
	timer := time.NewTimer(time.Until(startedAt.Add(time.Duration(drainServeFraction * float64(grace)))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	n.draining.Store(true)
	err := n.server.Close(ctx)
	n.cancel()
	gossiper := n.gossiper.Load()
	gossiper.Leave()
	time.Sleep(leaveFlushTime)
	gossiper.Stop()
	n.recorder.Stop()
	n.follower.Stop()
	n.targets.Stop()
	for _, s := range n.auxServers {
		_ = s.Close() // Requests in flight on these may be cut.
	}
	n.wait.Wait()
	_ = level.Info(n.logger).Log("msg", "Host stopped.", "took", time.Since(startedAt), "err", err)
	return err
}
