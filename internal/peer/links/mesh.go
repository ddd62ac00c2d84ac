package links

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"monsoonhub.example/steer"
)

// Path is the path of the peer listener at which Handler is mounted.
const Path = "/v1/link"

const (
	// maxHandshakes bounds the accepted connections whose peers have not yet proved that they hold the fleet secret.
	maxHandshakes = 256

	// duplicateLinkWindow is the age of a link up to which another link of the same two hosts counts as opened at the same
	// time.
	duplicateLinkWindow = handshakeTimeout

	// closeTimeout bounds the time for which Close waits until the peers have closed the links.
	closeTimeout = time.Second

	// minPublishInterval is the minimum time between two copies of the member table if only ages have changed. A copy for
	// 470 hosts takes 0.1 ms and 98 KB.
	minPublishInterval = 100 * time.Millisecond

	// pauseThreshold is the time between two iterations of the loop above which the process counts as paused.
	pauseThreshold = 500 * time.Millisecond

	// dialPlanInterval is the interval at which the mesh checks which links to open or close.
	dialPlanInterval = 200 * time.Millisecond
)

var (
	errNoMember = errors.New("no member with this host id")
	errClosed   = errors.New("links are closed")
)

// Config configures a Mesh.
type Config struct {
	HostID      string
	DataCentre  string
	Region      string
	Incarnation uint64
	Address     netip.AddrPort                      // Caller listener, announced to members.
	PeerAddress netip.AddrPort                      // Peer listener, announced to members.
	Secret      []byte                              // Fleet secret.
	Seeds       []netip.AddrPort                    // Peer listeners from the settings.
	RemoteLinks int                                 // Links to each other data centre; 0 means one to every host there.
	State       func(now time.Time) steer.HostState // Called every 50 ms once New has been called. Nil means the zero state.
	Delay       func(region string) time.Duration   // One-way delay from the own region; nil or 0 means unknown.
	Dial        steer.Dial                          // Opens connections. Nil means a net.Dialer.
	Tracer      trace.Tracer                        // Nil means no traces.
	Logger      log.Logger                          // Nil means no logging.
	Metrics     metrics.Registry                    // Nil means a private registry.
	Random      *rand.Rand                          // For the jitter of dials; not shared. Nil means a random seed.
}

// Mesh connects this host to the other hosts of the fleet. It implements steer.Peers.
type Mesh struct {
	config            Config
	own               identity
	key               []byte
	logger            log.Logger
	tracer            trace.Tracer
	metrics           *meshMetrics
	client            *http.Client
	start             time.Time
	ctx               context.Context
	cancel            context.CancelFunc
	goroutines        sync.WaitGroup
	lastRequestNumber atomic.Uint64
	members           atomic.Pointer[[]steer.Member]
	handshakes        chan struct{} // Semaphore of the accepted handshakes in progress.

	handlers sync.Map // From steer.MessageKind to steer.PeerHandler.

	mu            sync.Mutex
	table         *table
	links         map[string]*link // By host id.
	contacts      map[netip.AddrPort]*contact
	ownState      ownState
	staleMembers  []string  // Members whose states peers are asked for, sorted.
	queriesChosen time.Time // When the peers to ask were last selected.
	nextPlan      time.Time // When the links to open or close are checked next.

	lastPublished time.Time     // When members was last replaced.
	lastTick      time.Time     // When the loop last called tick.
	resumed       time.Time     // When the loop first ran after the last pause of the process.
	linkAdded     chan struct{} // Closed and replaced when a link is added.
	closing       bool
}

var _ steer.Peers = (*Mesh)(nil)

// New starts a mesh and dials the seeds. It fails without a host id, a data centre or a secret.
func New(c Config) (*Mesh, error) {
	m, err := newMesh(c)
	if err != nil {
		return nil, err
	}
	m.goroutines.Go(m.loop)
	return m, nil
}

// newMesh returns a mesh without starting its goroutines.
func newMesh(c Config) (*Mesh, error) {
	m := &Mesh{
		config: c,
		own: identity{
			HostID:      c.HostID,
			DataCentre:  c.DataCentre,
			Region:      c.Region,
			Incarnation: c.Incarnation,
			Address:     c.Address,
			PeerAddress: c.PeerAddress,
		},
		logger:     c.Logger,
		tracer:     c.Tracer,
		start:      time.Now(),
		handshakes: make(chan struct{}, maxHandshakes),
		links:      map[string]*link{},
		contacts:   map[netip.AddrPort]*contact{},
		linkAdded:  make(chan struct{}),
		lastTick:   time.Now(),
		resumed:    time.Now(),
	}
	if !m.own.valid() || len(c.Secret) == 0 {
		return nil, eris.New("links need a host id, a data centre and the fleet secret")
	}
	var err error
	if m.key, err = deriveLinkKey(c.Secret); err != nil {
		return nil, err
	}
	if m.logger == nil {
		m.logger = log.NewNopLogger()
	}
	m.logger = log.With(m.logger, "part", "links")
	if m.tracer == nil {
		m.tracer = noop.NewTracerProvider().Tracer("links")
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	m.metrics = newMeshMetrics(c.Metrics)
	m.table = newTable(m.own, c.Delay)
	m.members.Store(&[]steer.Member{})
	m.client = &http.Client{
		Transport: &http.Transport{
			DialContext:       c.Dial,
			DisableKeepAlives: true,

			MaxResponseHeaderBytes: maxHandshakeMessage,
		},
	}
	for _, address := range c.Seeds {
		if address != c.PeerAddress {
			m.contacts[address] = newContact(address)
			m.contacts[address].seed = true
		}
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// clock returns the own clock in microseconds since the start of the mesh. It starts at 1, because 0 means that there is no
// time.
func (m *Mesh) clock(now time.Time) int64 { return now.Sub(m.start).Microseconds() + 1 }

// loop reads the state of this host and checks the members and the links at a fixed interval, until the mesh is closed.
func (m *Mesh) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextHeartbeat := time.Now()
	var seenChanges uint64
	for {
		now := time.Now()
		due := !now.Before(nextHeartbeat)
		changed := m.refreshOwnState(now)
		switch {
		case changed || now.Sub(nextHeartbeat) > heartbeatInterval:
			nextHeartbeat = now.Add(heartbeatInterval)
		case due:
			nextHeartbeat = nextHeartbeat.Add(heartbeatInterval)
		}
		m.tick(now, due || changed, &seenChanges)
		select {
		case <-ticker.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// tick requests heartbeats, removes silent members, closes silent links and starts dials. It updates seenChanges, the number
// of local changes at the last call.
func (m *Mesh) tick(now time.Time, heartbeatDue bool, seenChanges *uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return
	}
	removed, suspects := m.table.expire(now)
	m.metrics.suspects.Update(int64(m.table.suspectCount))
	for _, e := range suspects {
		level.Warn(m.logger).Log("msg", "Member is suspect.", "member", e.identity.HostID, "heard", now.Sub(e.lastHeard))
	}
	for _, e := range removed {
		level.Info(m.logger).Log("msg", "Member removed.", "member", e.identity.HostID, "left", e.left)
	}
	relayDue := m.config.RemoteLinks > 0 && m.table.localChanges != *seenChanges
	*seenChanges = m.table.localChanges
	m.chooseQueryPeers(now)
	if now.Sub(m.lastTick) > pauseThreshold {
		// This process was paused or got no CPU time. Its links may first read what has arrived in the meantime.
		m.resumed = now
	}
	m.lastTick = now
	for _, l := range m.links {
		switch {
		case m.clock(now)-max(l.lastHeard.Load(), m.clock(m.resumed)) > suspectAfter.Microseconds():
			level.Warn(m.logger).Log("msg", "Closing a silent link.", "member", l.peer.HostID)
			m.metrics.silentLinks.Inc(1)
			m.dropLink(l)
		case l.writeTimedOut(m.clock(now), m.clock(m.resumed)):
			level.Warn(m.logger).Log("msg", "Closing a link whose write timed out.", "member", l.peer.HostID)
			m.dropLink(l)
		case heartbeatDue, relayDue && l.peer.DataCentre != m.own.DataCentre:
			l.requestHeartbeat()
		}
	}
	m.publish()
	if !now.Before(m.nextPlan) {
		m.nextPlan = now.Add(dialPlanInterval)
		m.closeIdleLinks(now)
		m.startDials(now)
	}
}

// closeIdleLinks closes links to other data centres that this host dialled and that had no recent call, as long as more than
// RemoteLinks links to the data centre remain open. The caller holds the lock.
func (m *Mesh) closeIdleLinks(now time.Time) {
	if m.config.RemoteLinks == 0 {
		return
	}
	linkCounts := m.linkCounts()
	for _, l := range m.links {
		d := l.peer.DataCentre
		if d == m.own.DataCentre || !l.dialled || linkCounts[d] <= m.config.RemoteLinks {
			continue
		}
		if now.Sub(l.openedAt) > idleLinkLifetime && now.Sub(l.lastCall) > idleLinkLifetime {
			linkCounts[d]--
			m.dropLink(l)
		}
	}
}

// linkCounts returns the number of links by data centre. The caller holds the lock.
func (m *Mesh) linkCounts() map[string]int {
	linkCounts := map[string]int{}
	for _, l := range m.links {
		linkCounts[l.peer.DataCentre]++
	}
	return linkCounts
}

// publish replaces the list that Members returns if it is out of date. The caller holds the lock.
func (m *Mesh) publish() {
	now := time.Now()
	if !m.table.dirty || (!m.table.urgent && now.Sub(m.lastPublished) < minPublishInterval) {
		return
	}
	m.lastPublished = now
	list := m.table.snapshot()
	m.members.Store(&list)
	m.metrics.members.Update(int64(len(list)))
}

// dropLink closes a link and removes it from the mesh. The caller holds the lock.
func (m *Mesh) dropLink(l *link) {
	l.close()
	if m.links[l.peer.HostID] == l {
		delete(m.links, l.peer.HostID)
		m.metrics.links.Update(int64(len(m.links)))
	}
}

// Handler returns the handler that accepts the links of other hosts. It is mounted at Path.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case m.handshakes <- struct{}{}:
		default:
			http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
			return
		}
		m.mu.Lock()
		if m.closing {
			m.mu.Unlock()
			<-m.handshakes
			http.Error(w, "host is stopping", http.StatusServiceUnavailable)
			return
		}
		m.goroutines.Add(1)
		m.mu.Unlock()
		defer m.goroutines.Done()
		s, err := m.accept(w, r)
		<-m.handshakes
		if err != nil {
			m.metrics.handshakesRefused.Inc(1)
			level.Warn(m.logger).Log("msg", "Handshake refused.", "address", r.RemoteAddr, "err", err)
			return
		}
		l, err := m.addLink(s)
		if err != nil {
			level.Debug(m.logger).Log("msg", "Link refused.", "member", s.peer.HostID, "err", err)
			_ = s.conn.CloseNow()
			return
		}
		m.serveLink(l)
	})
}

// accept upgrades a request to a WebSocket connection and does the handshake of the accepting host.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) (*session, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, eris.Wrap(err, "accept link")
	}
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	return handshake(ctx, conn, m.acceptHandshake)
}

// serveLink serves a link until it ends.
func (m *Mesh) serveLink(l *link) {
	level.Debug(m.logger).Log("msg", "Link opened.", "member", l.peer.HostID, "dialled", l.dialled)
	l.conn.SetReadLimit(maxMessage)
	var err error
	if !l.dialled {
		err = l.writeMessage([]byte{frameAccept})
	}
	if err == nil {
		l.requestHeartbeat()
		m.goroutines.Go(func() {
			if err := l.writeLoop(); err != nil {
				l.close()
			}
		})
		err = l.readLoop(m.ctx)
	}
	m.mu.Lock()
	m.dropLink(l)
	m.mu.Unlock()
	if m.ctx.Err() == nil {
		level.Debug(m.logger).Log("msg", "Link closed.", "member", l.peer.HostID, "err", err)
	}
}

// addLink adds a link to the mesh or refuses it. Of two links that two hosts open to each other at the same time, both hosts
// keep the link that was dialled by the host with the lesser id.
func (m *Mesh) addLink(s *session) (*link, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return nil, errClosed
	}
	if e := m.table.members[s.peer.HostID]; e != nil && e.identity.Incarnation > s.peer.Incarnation {
		return nil, errOldIncarnation
	}
	if old := m.links[s.peer.HostID]; old != nil {
		ownIDLess := m.own.HostID < s.peer.HostID
		if old.peer.Incarnation == s.peer.Incarnation && now.Sub(old.openedAt) < duplicateLinkWindow &&
			old.dialled != s.dialled && old.dialled == ownIDLess {
			return nil, errDuplicateLink
		}
		m.dropLink(old)
	}
	l := newLink(m, s, now)
	m.links[s.peer.HostID] = l
	m.metrics.links.Update(int64(len(m.links)))
	close(m.linkAdded)
	m.linkAdded = make(chan struct{})
	return l, nil
}

// Members implements steer.Peers.
func (m *Mesh) Members() []steer.Member { return *m.members.Load() }

// Handle implements steer.Peers.
func (m *Mesh) Handle(kind steer.MessageKind, handler steer.PeerHandler) {
	m.handlers.Store(kind, handler)
}

// Call implements steer.Peers.
func (m *Mesh) Call(ctx context.Context, to string, kind steer.MessageKind, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTimeout)
	defer cancel()
	ctx, span := m.tracer.Start(ctx, "peer call", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("kind", string(kind)),
		attribute.String("peer", to),
	))
	defer span.End()
	m.metrics.calls.Inc(1)
	body, err := m.call(ctx, to, kind, request)
	if err != nil {
		m.metrics.callFailures.Inc(1)
		span.SetStatus(codes.Error, err.Error())
		return nil, eris.Wrap(err, "call "+to)
	}
	return body, nil
}

func (m *Mesh) call(ctx context.Context, to string, kind steer.MessageKind, request []byte) ([]byte, error) {
	if len(request) > maxMessage-maxFrameOverhead {
		return nil, eris.Errorf("request of %d bytes is too large", len(request))
	}
	l, err := m.linkTo(ctx, to)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, kind, request)
}

// linkTo returns the link to a member. If there is none, it has a link opened and waits for it.
func (m *Mesh) linkTo(ctx context.Context, to string) (*link, error) {
	for {
		now := time.Now()
		m.mu.Lock()
		l, e, linkAdded := m.links[to], m.table.members[to], m.linkAdded
		switch {
		case m.closing:
			m.mu.Unlock()
			return nil, errClosed
		case l != nil:
			l.lastCall = now
			m.mu.Unlock()
			return l, nil
		case e == nil:
			m.mu.Unlock()
			return nil, errNoMember
		}
		if c := m.contactOf(e, now); c != nil && now.Sub(c.lastDemand) > maxBackoff {
			c.lastDemand = now
			c.nextDial = now
			m.startDials(now)
		}
		m.mu.Unlock()
		select {
		case <-linkAdded:
		case <-ctx.Done():
			return nil, eris.Wrap(ctx.Err(), "wait for a link")
		case <-m.ctx.Done():
			return nil, errClosed
		}
	}
}

// serveRequest runs the handler of a request.
func (m *Mesh) serveRequest(ctx context.Context, from identity, q request) ([]byte, error) {
	ctx, span := m.tracer.Start(withRemoteTrace(ctx, q.Trace), "peer request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("kind", string(q.Kind)),
			attribute.String("peer", from.HostID),
		))
	defer span.End()
	handler, ok := m.handlers.Load(q.Kind)
	if !ok {
		return nil, errNoHandler
	}
	e := &entry{
		identity: from,
	}
	m.mu.Lock()
	if known := m.table.members[from.HostID]; known != nil && known.identity.Incarnation == from.Incarnation {
		copied := *known
		e = &copied
	}
	m.mu.Unlock()
	return handler.(steer.PeerHandler)(ctx, e.member(), q.Body)
}

// Close announces in a last heartbeat that the host leaves, closes all links and waits for the goroutines to end.
func (m *Mesh) Close(ctx context.Context) error {
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		m.goroutines.Wait()
		return nil
	}
	m.closing = true
	m.mu.Unlock()
	m.refreshOwnState(time.Now())
	m.mu.Lock()
	list := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		list = append(list, l)
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	var leave sync.WaitGroup
	for _, l := range list {
		leave.Go(func() { l.leave(ctx) })
	}
	leave.Wait()
	m.cancel()
	m.goroutines.Wait()
	m.client.CloseIdleConnections()
	return nil
}

// leave sends the last heartbeat and waits until the peer has read it and closed the link, or until ctx is done.
func (l *link) leave(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	l.requestHeartbeat()
	<-l.closed
}
