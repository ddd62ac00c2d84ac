package relay_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/ports"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/keys"
	"monsoonhub.example/steer/internal/serve/relay"
	"monsoonhub.example/steer/internal/serve/ticket"
)

const (
	alfaKey     = "alfa-key-0123456789"
	fleetSecret = "fleet secret"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a set of hosts and targets on loopback sockets. It implements steer.Source and steer.Limiter.
type fleet struct {
	t           testing.TB
	config      atomic.Pointer[steer.Config]
	evidenceAge atomic.Int64
	hosts       map[string]*host
	takenTokens sync.Map // steer.QuotaName to *atomic.Int64.
	exhausted   sync.Map // Names of the quotas that have no tokens.
}

func (f *fleet) Current() *steer.Config              { return f.config.Load() }
func (f *fleet) Changed() <-chan struct{}            { return nil }
func (f *fleet) EvidenceAge(time.Time) time.Duration { return time.Duration(f.evidenceAge.Load()) }

func (f *fleet) TryTake(_ time.Time, name steer.QuotaName) bool {
	if _, ok := f.exhausted.Load(name); ok {
		return false
	}
	n, _ := f.takenTokens.LoadOrStore(name, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	return true
}

func (f *fleet) Take(_ context.Context, name steer.QuotaName) error {
	if f.TryTake(time.Time{}, name) {
		return nil
	}
	return refusal(steer.ReasonRate, http.StatusTooManyRequests)
}

func (f *fleet) tokensTaken(name steer.QuotaName) int64 {
	n, _ := f.takenTokens.LoadOrStore(name, new(atomic.Int64))
	return n.(*atomic.Int64).Load()
}

func refusal(reason steer.Reason, status int) error {
	return &steer.Refusal{
		Verdict: steer.NotRun,
		Reason:  reason,
		Status:  status,
	}
}

// host is a host of the fleet. It implements steer.Capacity, steer.Chooser and steer.Peers.
type host struct {
	*relay.Handler
	f             *fleet
	member        steer.Member
	tickets       *ticket.Table
	url           string
	servers       []*http.Server
	clockOffset   atomic.Int64 // Added to the clock, in nanoseconds.
	onChoose      atomic.Pointer[func()]
	noCapacity    atomic.Bool // Makes Acquire fail.
	unitsInUse    atomic.Int64
	retries       atomic.Int64 // Remaining retry budget.
	nextTarget    atomic.Uint64
	outcomes      chan steer.Outcome
	hiddenMembers sync.Map // IDs of the hosts that Members omits.
}

func (h *host) now() time.Time { return time.Now().Add(time.Duration(h.clockOffset.Load())) }

func (h *host) Acquire(context.Context, steer.Work) (func(), error) {
	if h.noCapacity.Load() {
		return nil, refusal(steer.ReasonCapacity, http.StatusServiceUnavailable)
	}
	h.unitsInUse.Add(1)
	return func() { h.unitsInUse.Add(-1) }, nil
}

// Await calls Choose without waiting, because the fake has no in-flight bound.
func (h *host) Await(_ context.Context, service string, tried []string) (steer.Choice, error) {
	return h.Choose(time.Now(), service, tried)
}

func (h *host) Choose(_ time.Time, service string, tried []string) (steer.Choice, error) {
	if f := h.onChoose.Load(); f != nil {
		(*f)()
	}
	var list []steer.Target
	for _, t := range h.f.Current().Services[service].Targets {
		if t.DataCentre == h.member.DataCentre && !t.Leaving && !slices.Contains(tried, t.ID) {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return steer.Choice{}, refusal(steer.ReasonNoTarget, http.StatusServiceUnavailable)
	}
	return steer.Choice{
		Target: list[h.nextTarget.Add(1)%uint64(len(list))],
		Done: func(o steer.Outcome) {
			select {
			case h.outcomes <- o:
			default:
			}
		},
	}, nil
}

func (h *host) Ready(time.Time, string) int { return 2 }
func (h *host) Retry(string) bool           { return h.retries.Add(-1) >= 0 }

func (h *host) Members() []steer.Member {
	var list []steer.Member
	for _, o := range h.f.hosts {
		if _, ok := h.hiddenMembers.Load(o.member.ID); !ok && o != h {
			list = append(list, o.member)
		}
	}
	return list
}

func (h *host) Call(context.Context, string, steer.MessageKind, []byte) ([]byte, error) {
	return nil, steer.ErrDown
}
func (h *host) Handle(steer.MessageKind, steer.PeerHandler) {}

// newFleet returns a fleet without hosts in two regions, with data centres a1 and a2 in region a and b1 in region b. The
// service reservas has a keyed route for all paths and an open route for paths below /open.
func newFleet(t testing.TB, targets ...steer.Target) *fleet {
	f := &fleet{
		t:     t,
		hosts: make(map[string]*host),
	}
	dc := func(name, region string) steer.DataCentre {
		return steer.DataCentre{
			Name:   name,
			Region: region,
		}
	}
	f.config.Store(&steer.Config{
		Version: 1,
		Fleet: steer.Fleet{
			DataCentres: []steer.DataCentre{dc("a1", "a"), dc("a2", "a"), dc("b1", "b")},
		},
		Customers: map[string]*steer.Customer{
			"alfa": {
				Name: "alfa",
				Rate: 100,
				Keys: []steer.Key{{
					Digest: sha256.Sum256([]byte(alfaKey)),
				}},
			},
		},
		Services: map[string]*steer.Service{
			"reservas": {
				Name:       "reservas",
				Timeout:    5 * time.Second,
				QueueLimit: 100 * time.Millisecond,
				Routes: []steer.Route{
					{Prefix: "/"},
					{Prefix: "/open", Open: true},
				},
				Targets: targets,
			},
		},
	})
	return f
}

// edit replaces the configuration with a modified copy that has the next version.
func (f *fleet) edit(change func(c *steer.Config, s *steer.Service)) {
	c := *f.Current()
	s := *c.Services["reservas"]
	c.Version++
	c.Services = map[string]*steer.Service{
		"reservas": &s,
	}
	change(&c, &s)
	f.config.Store(&c)
}

// addHost starts a host with listeners on loopback sockets. A non-nil change modifies its configuration.
func (f *fleet) addHost(id, dc, region string, change func(*relay.Config)) *host {
	h := &host{
		f:        f,
		outcomes: make(chan steer.Outcome, 1000),
	}
	h.member = steer.Member{
		ID:          id,
		DataCentre:  dc,
		Region:      region,
		Incarnation: 1,
	}
	table, err := ticket.New(ticket.Config{
		HostID:      id,
		Incarnation: 1,
		FleetSecret: []byte(fleetSecret),
	})
	assert.NilError(f.t, err)
	h.tickets = table
	c := relay.Config{
		Source: f,
		Auth: keys.New(keys.Config{
			Source: f,
		}),
		Tickets:     table,
		Limiter:     f,
		Capacity:    h,
		Chooser:     h,
		Peers:       h,
		HostID:      id,
		DataCentre:  dc,
		Region:      region,
		FleetSecret: []byte(fleetSecret),
		Now:         h.now,
		Random:      func() float64 { return 0.5 },
	}
	if change != nil {
		change(&c)
	}
	h.Handler, err = relay.New(c)
	assert.NilError(f.t, err)
	h.url = "http://" + h.listen(c.Bounds, h.Handler).String()
	h.member.PeerAddress = h.listen(c.Bounds, h.PeerHandler())
	f.hosts[id] = h
	f.t.Cleanup(h.stop)
	return h
}

// listen serves at a port that refuses connections once the host has stopped.
func (h *host) listen(b relay.Bounds, handler http.Handler) netip.AddrPort {
	l := ports.Listen(h.f.t)
	s := b.Server(handler)
	h.servers = append(h.servers, s)
	go func() { _ = s.Serve(b.Listener(l)) }()
	return addressOf(l)
}

func addressOf(l net.Listener) netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

// stop closes the servers of the host and checks that all units of capacity are released.
func (h *host) stop() {
	for _, s := range h.servers {
		_ = s.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.Check(h.f.t, h.Shutdown(ctx))
	assert.Check(h.f.t, h.unitsInUse.Load() == 0, "units of capacity were not released")
}

// serveTarget starts a server for a target with the given handler.
func serveTarget(t testing.TB, id, dc string, handler http.Handler) steer.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{
		Handler: handler,
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return steer.Target{
		ID:         id,
		DataCentre: dc,
		Address:    addressOf(l),
	}
}

func newTarget(t testing.TB, id, dc string) (*target.Target, steer.Target) {
	fake := target.New(target.Config{
		ID:    id,
		Slots: 64,
	})
	return fake, serveTarget(t, id, dc, fake)
}

// response is the response that a caller gets.
type response struct {
	status  int
	head    http.Header
	body    []byte
	verdict steer.Verdict
	reason  steer.Reason
	err     error // Set if the connection was broken.
}

// call sends one request with the key of alfa. The header arguments are names and values, which replace the key too; an
// empty value removes a header.
func call(t testing.TB, c *http.Client, method, url string, body io.Reader, header ...string) response {
	r, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	r.Header.Set("Steering-Key", alfaKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
		if header[i+1] == "" {
			r.Header.Del(header[i])
		}
	}
	return send(t, c, r)
}

func send(t testing.TB, c *http.Client, r *http.Request) response {
	resp, err := c.Do(r)
	if err != nil {
		return response{
			err: err,
		}
	}
	defer resp.Body.Close()
	a := response{
		status:  resp.StatusCode,
		head:    resp.Header,
		verdict: steer.ParseVerdict(resp.Header.Get("Steering-Verdict")),
		reason:  steer.Reason(resp.Header.Get("Steering-Reason")),
	}
	a.body, a.err = io.ReadAll(resp.Body)
	if a.err == nil && a.reason != "" {
		var text struct{ Verdict, Reason, Detail string }
		assert.Check(t, json.Unmarshal(a.body, &text))
		assert.Check(t, text.Verdict == a.verdict.String() && text.Reason == string(a.reason) && text.Detail != "")
	}
	return a
}

func (a response) check(t testing.TB, verdict steer.Verdict, reason steer.Reason) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.Equal(t, a.reason, reason, "status %d, body %q", a.status, a.body)
	assert.Equal(t, a.verdict, verdict)
}

// checkBody checks that the response is a target's complete response to this request.
func (a response) checkBody(t testing.TB, size int) {
	t.Helper()
	a.check(t, steer.Ran, "")
	assert.Assert(t, bytes.Equal(a.body, target.Body(a.head.Get("Steering-Request-Id"), size)))
}

func newClient(t testing.TB) *http.Client {
	c := &http.Client{
		Transport: &http.Transport{
			DisableCompression: true,
		},
	}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// withTracer returns a configuration change that sets the tracer.
func withTracer(tr trace.Tracer) func(*relay.Config) {
	return func(c *relay.Config) { c.Tracer = tr }
}
