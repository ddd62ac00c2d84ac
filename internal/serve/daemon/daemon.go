package daemon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	goahttp "goa.design/goa/v3/http"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/follow"
	"monsoonhub.example/steer/internal/ops/admin"
	"monsoonhub.example/steer/internal/ops/config"
	"monsoonhub.example/steer/internal/peer/links"
	"monsoonhub.example/steer/internal/quota/fair"
	"monsoonhub.example/steer/internal/quota/lease"
	"monsoonhub.example/steer/internal/quota/slots"
	"monsoonhub.example/steer/internal/route/block"
	"monsoonhub.example/steer/internal/route/choose"
	"monsoonhub.example/steer/internal/route/lookup"
	"monsoonhub.example/steer/internal/route/probe"
	"monsoonhub.example/steer/internal/serve/keys"
	"monsoonhub.example/steer/internal/serve/relay"
	"monsoonhub.example/steer/internal/serve/ticket"
)

// forwardPath is the path prefix of forwarded requests at the peer listener.
const forwardPath = "/f/"

// startupPeerWait is how long a starting host waits for a peer to send the configuration. Together with the poll interval of
// the follower, it delays the start of a host that reaches no peer by less than 1 s.
const startupPeerWait = 800 * time.Millisecond

// Config configures a Host.
type Config struct {
	Settings config.Settings
	Secret   []byte           // Secret shared by the hosts of the fleet.
	Store    steer.Store      // Key-value store of the platform.
	Dial     steer.Dial       // Opens connections to peers and targets. Nil selects a net.Dialer.
	Seed     uint64           // Of the pseudo-random choices of all parts.
	Logger   log.Logger       // Nil disables logging.
	Metrics  metrics.Registry // Nil selects a private registry.
	Tracer   trace.Tracer     // Nil disables tracing.
}

// Host is one running entry host.
type Host struct {
	settings    config.Settings
	incarnation uint64 // Start time in Unix nanoseconds.
	logger      log.Logger

	caller listener
	peer   listener
	admin  listener

	mesh         *links.Mesh
	follower     *follow.Follower
	slotKeeper   *slots.Keeper
	leaseManager *lease.Manager
	requestQueue *fair.Queue
	blocks       *block.Blocks
	prober       *probe.Prober
	relay        *relay.Handler

	wired    atomic.Bool // All parts are set.
	stopping atomic.Bool // Shutdown or Abort was called.
}

// listener is a TCP listener with the server that accepts its connections.
type listener struct {
	net.Listener
	server *http.Server
}

func (l listener) address() netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// New opens the listeners and starts all parts. On error, it closes the listeners.
func New(c Config) (*Host, error) {
	c = withDefaults(c)
	h := &Host{
		settings:    c.Settings,
		incarnation: uint64(time.Now().UnixNano()),
		logger:      log.With(c.Logger, "part", "daemon"),
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	if err := h.wire(c); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.serve()
	_ = level.Info(h.logger).Log("msg", "Host started.", "host", c.Settings.HostID, "listen", h.Address(),
		"peer-listen", h.PeerAddress(), "admin-listen", h.AdminAddress(), "incarnation", h.incarnation)
	return h, nil
}

func withDefaults(c Config) Config {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return c
}

func (h *Host) listen() error {
	for _, l := range []struct {
		field   string
		address netip.AddrPort
		dest    *listener
	}{
		{
			field:   "listen",
			address: h.settings.Listen,
			dest:    &h.caller,
		},
		{
			field:   "peer-listen",
			address: h.settings.PeerListen,
			dest:    &h.peer,
		},
		{
			field:   "admin-listen",
			address: h.settings.AdminListen,
			dest:    &h.admin,
		},
	} {
		opened, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return fmt.Errorf("open %s: %w", l.field, err)
		}
		l.dest.Listener = opened
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []listener{h.caller, h.peer, h.admin} {
		if l.Listener != nil {
			_ = l.Close()
		}
	}
}

// wire builds the parts in the order of their dependencies. A part that depends on a later one gets a function that returns
// a zero value until wired is set.
func (h *Host) wire(c Config) error {
	if err := h.wireState(c); err != nil {
		return err
	}
	h.wireQuotas(c)
	return h.wireServing(c)
}

func (h *Host) wireState(c Config) error {
	s := h.settings
	mesh, err := links.New(links.Config{
		HostID:      s.HostID,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		Incarnation: h.incarnation,
		Address:     h.Address(),
		PeerAddress: h.PeerAddress(),
		Secret:      c.Secret,
		Seeds:       s.Peers,
		RemoteLinks: s.PeerLinks,
		State:       h.state,
		Delay:       h.linkDelay,
		Dial:        c.Dial,
		Tracer:      c.Tracer,
		Logger:      c.Logger,
		Metrics:     c.Metrics,
		Random:      rand.New(rand.NewPCG(c.Seed, 1)),
	})
	if err != nil {
		return fmt.Errorf("start peer links: %w", err)
	}
	h.mesh = mesh
	wait := time.Duration(0)
	if len(s.Peers) > 0 {
		wait = startupPeerWait
	}
	h.follower = follow.New(follow.Config{
		Host:            s.HostID,
		DataCentre:      s.DataCentre,
		Region:          s.Region,
		StartupPeerWait: wait,
		Store:           c.Store,
		Peers:           h.mesh,
		Seed:            c.Seed,
		Logger:          c.Logger,
		Metrics:         c.Metrics,
	})
	return nil
}

func (h *Host) wireQuotas(c Config) {
	s := h.settings
	h.slotKeeper = slots.New(slots.Config{
		Store:             c.Store,
		Peers:             h.mesh,
		Source:            h.follower,
		HostID:            s.HostID,
		Incarnation:       h.incarnation,
		DataCentre:        s.DataCentre,
		OtherCallsSucceed: func() bool { return h.follower.State(time.Now()).StoreReachable },
		RemainingLoanTime: h.remainingLoanTime,
		Logger:            c.Logger,
		Metrics:           c.Metrics,
		Random:            rand.New(rand.NewPCG(c.Seed, 2)),
	})
	h.leaseManager = lease.New(lease.Config{
		ID:          s.HostID,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		Incarnation: h.incarnation,
		Source:      h.follower,
		Peers:       h.mesh,
		Slots:       h.slotKeeper,
		Logger:      c.Logger,
		Metrics:     c.Metrics,
		Tracer:      c.Tracer,
	})
	h.requestQueue = fair.New(fair.Config{
		Units:   h.leaseManager,
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
}

func (h *Host) wireServing(c Config) error {
	s := h.settings
	h.blocks = block.New(block.Config{
		Source:  h.follower,
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	h.prober = probe.New(probe.Config{
		DataCentre: s.DataCentre,
		Source:     h.follower,
		Logger:     c.Logger,
		Metrics:    c.Metrics,
	})
	picker := choose.New(choose.Config{
		DataCentre: s.DataCentre,
		Source:     h.follower,
		Reports:    h.prober,
		HostCount:  h.countLocalHosts,
		Seed:       c.Seed,
		Logger:     c.Logger,
		Metrics:    c.Metrics,
	})
	tickets, err := ticket.New(ticket.Config{
		HostID:      s.HostID,
		Incarnation: h.incarnation,
		FleetSecret: c.Secret,
		Metrics:     c.Metrics,
	})
	if err != nil {
		return fmt.Errorf("create ticket table: %w", err)
	}
	h.relay, err = relay.New(relay.Config{
		Source: h.follower,
		Auth: keys.New(keys.Config{
			Source:  h.follower,
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		Tickets:     tickets,
		Limiter:     h.leaseManager,
		Capacity:    h.requestQueue,
		Chooser:     picker,
		Peers:       h.mesh,
		HostID:      s.HostID,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		FleetSecret: c.Secret,
		Bounds:      requestBounds(s),
		Dial:        c.Dial,
		Logger:      c.Logger,
		Metrics:     c.Metrics,
		Tracer:      c.Tracer,
	})
	if err != nil {
		return fmt.Errorf("create request handler: %w", err)
	}
	finder := lookup.New(lookup.Config{
		Self:    h.Self,
		Members: h.mesh.Members,
		Source:  h.follower,
		Blocks:  h.blocks,
		Tickets: tickets,
		TTL:     s.LookupTTL,
		Seed:    c.Seed,
		Logger:  c.Logger,
		Metrics: c.Metrics,
		Tracer:  c.Tracer,
	})
	h.createServers(c, picker, finder)
	h.wired.Store(true)
	return nil
}

func requestBounds(s config.Settings) relay.Bounds {
	return relay.Bounds{
		MaxHeaderSize:      s.MaxHeaderBytes,
		HeaderReadTimeout:  s.HeaderTimeout,
		MaxBodySize:        s.MaxBodyBytes,
		BodyIdleTimeout:    s.BodyTimeout,
		MaxOpenConnections: s.MaxConnections,
		MaxInFlight:        s.MaxInProgress,
	}
}

// createServers creates the HTTP servers of the listeners.
func (h *Host) createServers(c Config, picker *choose.Picker, finder *lookup.Finder) {
	mux := goahttp.NewMuxer()
	finder.Mount(mux)
	callerMux := http.NewServeMux()
	callerMux.Handle("/s/", h.closeWhenStopping(h.relay))
	callerMux.Handle("/", h.closeWhenStopping(mux))
	peerMux := http.NewServeMux()
	peerMux.Handle(links.Path, h.mesh.Handler())
	peerMux.Handle(forwardPath, h.relay.PeerHandler())
	adminServer := admin.New(admin.Config{
		Self:     h.Self,
		Follower: h.follower,
		Manager:  h.leaseManager,
		Picker:   picker,
		Finder:   finder,
		Relay:    h.relay,
		Peers:    h.mesh,
		Metrics:  c.Metrics,
	})
	limits := requestBounds(h.settings)
	h.caller.server = limits.Server(callerMux)
	h.caller.server.ConnContext = lookup.ConnContext
	h.peer.server = limits.Server(peerMux)
	h.admin.server = limits.Server(adminServer.Handler())
}

// closeWhenStopping wraps a handler. Once the host is stopping, it tells callers to close the connection after the response,
// so that no request is written to a connection that the host is about to close.
func (h *Host) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Host) serve() {
	limits := requestBounds(h.settings)
	for _, l := range []listener{h.caller, h.peer, h.admin} {
		go func() {
			err := l.server.Serve(limits.Listener(l.Listener))
			if !errors.Is(err, http.ErrServerClosed) {
				_ = level.Error(h.logger).Log("msg", "Listener failed.", "err", err)
			}
		}()
	}
}

// Address returns the address of the caller listener.
func (h *Host) Address() netip.AddrPort { return h.caller.address() }

// PeerAddress returns the address of the peer listener.
func (h *Host) PeerAddress() netip.AddrPort { return h.peer.address() }

// AdminAddress returns the address of the admin listener.
func (h *Host) AdminAddress() netip.AddrPort { return h.admin.address() }

// Self returns the membership entry of this host, with its current state.
func (h *Host) Self() steer.Member {
	now := time.Now()
	return steer.Member{
		ID:          h.settings.HostID,
		DataCentre:  h.settings.DataCentre,
		Region:      h.settings.Region,
		Incarnation: h.incarnation,
		Address:     h.Address(),
		PeerAddress: h.PeerAddress(),
		State:       h.state(now),
		LastHeard:   now,
	}
}

// state returns the state that the host reports to its peers. It is the zero value until all parts are set.
func (h *Host) state(now time.Time) steer.HostState {
	if !h.wired.Load() {
		return steer.HostState{}
	}
	f := h.follower.State(now)
	return steer.HostState{
		Version:        f.Version,
		NewestVersion:  f.NewestVersion,
		EvidenceAge:    f.EvidenceAge,
		StoreReachable: f.StoreReachable,
		Stopping:       h.stopping.Load(),
		OutOfQuota:     h.leaseManager.OutOfQuota(now),
		Slots:          h.slotKeeper.Claims(),
	}
}

// linkDelay returns the configured delay of the link to a region, or 0 if it is not known.
func (h *Host) linkDelay(region string) time.Duration {
	if !h.wired.Load() {
		return 0
	}
	current := h.follower.Current()
	if current == nil {
		return 0
	}
	for _, l := range current.Fleet.Links {
		if l.From == h.settings.Region && l.To == region {
			return l.Delay
		}
	}
	return 0
}

// remainingLoanTime returns the time until the last loan to another host ends, or 0 if there is none.
func (h *Host) remainingLoanTime(now time.Time) time.Duration {
	if !h.wired.Load() {
		return 0
	}
	return max(0, h.leaseManager.LentUntil(now).Sub(now))
}

// countLocalHosts returns the number of hosts, including this one, in its data centre that may send requests to the targets
// there. Suspect hosts do not count.
func (h *Host) countLocalHosts() int {
	count := 1
	for _, m := range h.mesh.Members() {
		if m.DataCentre == h.settings.DataCentre && !m.Suspect {
			count++
		}
	}
	return count
}
