package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/join"
	"monsoonhub.example/steer/internal/edge/pass"
	"monsoonhub.example/steer/internal/edge/place"
	"monsoonhub.example/steer/internal/edge/setup"
	"monsoonhub.example/steer/internal/ops/guard"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

const (
	// headerLimit bounds the header of a request to the small listeners.
	headerLimit = 2 * time.Second

	// serveAfter is the part of the time to stop for which requests on open and new connections are still taken: callers
	// keep answers of the directory for some seconds.
	serveAfter = 0.5

	// startTime is the time after which a started host knows the others that started with it.
	startTime = 2 * time.Second

	// startSharers is the number of hosts that a started host counts with until then, where more than it knows would do harm:
	// the fleet of two years has 470.
	startSharers = 500

	// leaveTime lets the last message to the other hosts go out.
	leaveTime = 50 * time.Millisecond

	// stopMargin is left of the time to stop when the process ends.
	stopMargin = 300 * time.Millisecond
)

// PlatformAPI builds the handlers that the platform calls.
type PlatformAPI struct {
	Directory func(lookup func(name, region, dataCentre string) ([]netip.AddrPort, time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Config is what a Node needs.
type Config struct {
	Settings    setup.Settings
	Catalog     steer.Catalog
	Headers     steer.HeaderNames
	PlatformAPI PlatformAPI
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
}

// Node is one running host.
type Node struct {
	settings setup.Settings                 // As at the start.
	current  atomic.Pointer[setup.Settings] // As last loaded; only what Reload takes over differs.
	logger   log.Logger
	guard    *guard.Guard

	follower *belief.Follower
	member   *join.Member
	placer   *place.Placer
	quotas   *share.Table
	teller   atomic.Pointer[gossip.Gossiper] // Nil until the follower exists, which may have changes to relay.
	targets  *back.Pool
	server   *front.Server
	small    []*http.Server

	begun    chan struct{} // Closed when all parts have the first plan and the targets.
	began    sync.Once
	grouped  bool // The hosts of the data centre report together. Used by one goroutine only.
	stopping atomic.Bool
	refusing atomic.Bool
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// New opens the listeners and starts all parts. On error nothing stays open.
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
		begun:    make(chan struct{}),
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

// ports are the listeners of a host.
type ports struct {
	callers, ready, directory, peers, metrics net.Listener
}

func listen(s *setup.Settings) (ports, error) {
	var p ports
	var open []net.Listener
	for _, l := range []struct {
		address netip.AddrPort
		into    *net.Listener
	}{
		{address: s.Listen, into: &p.callers},
		{address: s.ReadyListen, into: &p.ready},
		{address: s.DirectoryListen, into: &p.directory},
		{address: s.PeerListen, into: &p.peers},
		{address: s.MetricsListen, into: &p.metrics},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			for _, o := range open {
				_ = o.Close() // The first error is the one that matters.
			}
			return ports{}, fmt.Errorf("listen on %s: %w", l.address, err)
		}
		open = append(open, listener)
		*l.into = listener
	}
	return p, nil
}

func (n *Node) start(c Config, p ports) {
	s := &n.settings
	incarnation := uint64(time.Now().UnixNano())
	n.placer = place.New(place.Config{
		DataCentre: s.DataCentre,
		Region:     s.Region,
		Regions:    s.Regions,
		Ejection:   n.alone,
	})
	n.quotas = share.New(share.Config{
		Host:     s.HostID,
		Bounds:   boundsOf(s),
		MinHosts: len(s.Regions), // Every data centre has a host.
	})
	n.targets = back.New(back.Config{
		Headers: c.Headers,
		Memory:  int64(s.MemoryMB) << 20,
		Metrics: c.Metrics,
	})
	n.follower = belief.New(belief.Config{
		Catalog:         c.Catalog,
		Host:            s.HostID,
		LocalDataCentre: s.DataCentre,
		History:         s.History(),
		Regions:         s.Regions,
		Relay:           n.relay,
		Logger:          c.Logger,
		Metrics:         c.Metrics,
	})
	n.teller.Store(gossip.New(gossip.Config{
		Host:         s.HostID,
		DataCentre:   s.DataCentre,
		Region:       s.Region,
		Usage:        n.quotas.Publish,
		Sum:          n.quotas.Sum,
		Hint:         n.hint,
		Notes:        n.placer.Notes,
		OnNotes:      n.placer.MergeNotes,
		OnPeerStatus: n.heard,
		Changes:      n.changes,
		Logger:       c.Logger,
		Metrics:      c.Metrics,
	}))
	n.member = join.New(join.Config{
		Catalog: c.Catalog,
		Host: steer.HostEntry{
			ID:          s.HostID,
			DataCentre:  s.DataCentre,
			Region:      s.Region,
			Incarnation: incarnation,
			Address:     s.Listen,
			PeerAddress: s.PeerListen,
		},
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		n.follow(ctx)
	}()
	handler := pass.New(pass.Config{
		Headers: c.Headers,
		View:    n.follower.View,
		Placer:  n.placer,
		Quotas:  n.quotas,
		Targets: n.targets,
		RetryBudget: pass.RetryBudgetConfig{
			Ratio: s.RetryRatio,
			Slack: s.RetrySlack,
			Hosts: n.quotas.Hosts,
		},
		Synced:   n.begun,
		Draining: n.refusing.Load,
		Logger:   c.Logger,
		Metrics:  c.Metrics,
	})
	n.server = front.New(front.Config{
		Listener: p.callers,
		Handler:  handler.Serve,
		Limits:   n.limits,
		Logger:   c.Logger,
		Metrics:  c.Metrics,
	})
	peers := http.NewServeMux()
	peers.Handle(gossip.Path, n.teller.Load().Handler())
	n.serve(p.peers, peers)
	n.serve(p.ready, c.PlatformAPI.Readiness(n.Ready))
	n.serve(p.directory, c.PlatformAPI.Directory(n.lookup))
	scrape := http.NewServeMux()
	scrape.Handle("GET /metrics", telem.MetricsHandler(c.Metrics))
	n.serve(p.metrics, scrape)
}

func (n *Node) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerLimit,
	}
	n.small = append(n.small, server)
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(n.logger).Log("msg", "Listener failed.", "address", listener.Addr(), "err", err)
		}
	}()
}

// alone logs that a target is left alone.
func (n *Node) alone(a place.Ejection) {
	_ = level.Info(n.logger).Log("msg", "Target is left alone.", "target", a.Target, "for", a.Period, "fails", a.Failures,
		"told", a.FromPeers, "gentle", a.SlowStart)
}

// follow hands each new view to the parts that keep state of their own.
func (n *Node) follow(ctx context.Context) {
	started := time.Now()
	for {
		changed := n.follower.Changed()
		n.guard.Do("view", func() { n.adopt(time.Now(), started, n.follower.View()) })
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// adopt hands one view to the parts that keep state of their own.
func (n *Node) adopt(now, started time.Time, view *belief.View) {
	n.setPeers(now, view)
	if view.Index != nil {
		n.quotas.SetQuotas(now, view.Index.Plan.Customers)
	}
	n.teller.Load().SetHosts(now, view.Hosts)
	fleet := place.Fleet{
		Hosts: n.quotas.Hosts(),
	}
	fleet.MaxHosts = fleet.Hosts
	if now.Sub(started) < startTime {
		fleet.MaxHosts = max(fleet.Hosts, startSharers)
	}
	n.placer.Update(now, view, fleet)
	if view.Listed && view.Index != nil {
		n.began.Do(func() { close(n.begun) })
	}
}

func (n *Node) limits() steer.RequestLimits {
	if x := n.follower.View().Index; x != nil {
		return x.Plan.Limits
	}
	return steer.RequestLimits{}
}

// Ready reports whether this host can serve callers: it has a plan and a list of targets, and is not stopping.
func (n *Node) Ready() bool {
	view := n.follower.View()
	return !n.stopping.Load() && view.Listed && view.Index != nil
}

// Reload takes over changed settings: the bounds of quotas, the time to stop and the time for which callers keep answers of
// the directory. It reports the fields that need a new start.
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
	n.quotas.SetBounds(boundsOf(&s))
	_ = level.Info(n.logger).Log("msg", "Settings loaded.", "grace", s.GracePeriod(), "directory-keep", s.DirectoryTTL(),
		"quota-window", s.Window(), "needs-restart", !reflect.DeepEqual(fixed, s))
}

func boundsOf(s *setup.Settings) share.Bounds {
	return share.Bounds{
		Window:    s.Window(),
		MaxExcess: s.QuotaExcessRatio,
		Slack:     s.QuotaSlack,
	}
}

// Shutdown stops the host without cutting requests: it leaves the directory, serves on while callers learn of it, then
// refuses what is new and waits for what is in progress. It ends within the time to stop.
func (n *Node) Shutdown(ctx context.Context) error {
	begun := time.Now()
	grace := n.current.Load().GracePeriod()
	n.stopping.Store(true)
	_ = level.Info(n.logger).Log("msg", "Host is stopping.", "grace", grace)
	ctx, cancel := context.WithDeadline(ctx, begun.Add(grace-stopMargin))
	defer cancel()
	n.server.DisableKeepAlives()
	n.member.Leave(ctx)
	timer := time.NewTimer(time.Until(begun.Add(time.Duration(serveAfter * float64(grace)))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	n.refusing.Store(true)
	err := n.server.Close(ctx)
	n.cancel()
	teller := n.teller.Load()
	teller.Leave()
	time.Sleep(leaveTime)
	teller.Stop()
	n.follower.Stop()
	n.targets.Stop()
	for _, s := range n.small {
		_ = s.Close() // Nothing of value is in progress there.
	}
	n.wait.Wait()
	_ = level.Info(n.logger).Log("msg", "Host stopped.", "took", time.Since(begun), "err", err)
	return err
}
