package lookup

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	goahttp "goa.design/goa/v3/http"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/http/lookup/server"
	"monsoonhub.example/steer/internal/api/gen/lookup"
	"monsoonhub.example/steer/internal/api/gen/operator"
)

// Limits of an answer.
const (
	MaxHosts = 4               // Maximum number of hosts in an answer.
	TTL      = 5 * time.Second // Default time for which a caller may use an answer.

	maxPlanAge = 50 * time.Millisecond // Time for which a computed order of hosts is used.
)

// Blocks maps clients to data centres.
type Blocks interface {
	// Find returns the data centre nearest to the client; ok is false if no block holds the client.
	Find(client netip.Addr) (dataCentre string, ok bool)
}

// Tickets issues tickets that are bound to this process.
type Tickets interface {
	// Issue returns a new ticket for the service.
	Issue(now time.Time, service string) (string, error)
}

// Config configures a Finder.
type Config struct {
	Self    func() steer.Member   // Returns this host as its peers see it; called at most every 50 ms.
	Members func() []steer.Member // Returns the other hosts; called at most every 50 ms.
	Source  steer.Source
	Blocks  Blocks
	Tickets Tickets          // Nil means that no tickets are issued.
	TTL     time.Duration    // Time for which a caller may use an answer; 0 selects 5 s.
	Seed    uint64           // Seeds the random rotation of hosts.
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
	Tracer  trace.Tracer     // Nil means no traces.
}

// Finder implements lookup.Service.
type Finder struct {
	config      Config
	logger      log.Logger
	randomState atomic.Uint64
	mu          sync.Mutex // Held while a plan is computed.
	current     atomic.Pointer[plan]

	answers  metrics.Counter
	refusals metrics.Counter
}

// New returns a Finder. It starts no goroutine.
func New(c Config) *Finder {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("lookup")
	}
	if c.TTL <= 0 {
		c.TTL = TTL
	}
	f := &Finder{
		config:   c,
		logger:   log.With(c.Logger, "part", "lookup"),
		answers:  metrics.GetOrRegisterCounter("lookup-answers", c.Metrics),
		refusals: metrics.GetOrRegisterCounter("lookup-refusals", c.Metrics),
	}
	f.randomState.Store(c.Seed)
	f.current.Store(&plan{})
	return f
}

// Find implements lookup.Service. Its errors are the ones declared in the API design: unavailable and bad-request.
func (f *Finder) Find(ctx context.Context, payload *lookup.FindPayload) (*lookup.LookupAnswer, error) {
	_, span := f.config.Tracer.Start(ctx, "look-up")
	defer span.End()
	client, err := clientAddress(ctx, payload.Client)
	if err == nil {
		var answer *lookup.LookupAnswer
		if answer, err = f.find(time.Now(), payload.Service, client, payload.Ticket); err == nil {
			f.answers.Inc(1)
			return answer, nil
		}
	}
	f.refusals.Inc(1)
	_ = level.Debug(f.logger).Log("msg", "Look-up refused.", "service", payload.Service, "err", err)
	return nil, err
}

func (f *Finder) find(now time.Time, service string, client netip.Addr, ticket bool) (*lookup.LookupAnswer, error) {
	p, err := f.planFor(now, service)
	if err != nil {
		return nil, err
	}
	o, _ := p.nearest(f.config.Blocks, client)
	answer := &lookup.LookupAnswer{
		Service: service,
		Version: p.config.Version,
		Hosts:   make([]*lookup.LookupHost, 0, MaxHosts),
		TTLMs:   f.config.TTL.Milliseconds(),
	}
	if ticket {
		if err := f.addTicket(now, service, p, answer); err != nil {
			return nil, err
		}
	}
	answer.Hosts = o.pick(answer.Hosts, f.randomBits())
	if len(answer.Hosts) == 0 {
		return nil, lookup.MakeUnavailable(errNoHost)
	}
	return answer, nil
}

// addTicket adds a ticket to the answer and puts this host first, since only this process executes a request with the
// ticket.
func (f *Finder) addTicket(now time.Time, service string, p *plan, answer *lookup.LookupAnswer) error {
	if p.selfExcludedReason != "" {
		return lookup.MakeUnavailable(fmt.Errorf("no ticket from this host: %s", p.selfExcludedReason))
	}
	if f.config.Tickets == nil {
		return lookup.MakeUnavailable(errNoTickets)
	}
	text, err := f.config.Tickets.Issue(now, service)
	if err != nil {
		return lookup.MakeUnavailable(fmt.Errorf("issue ticket: %w", err))
	}
	answer.Ticket = &text
	answer.Hosts = append(answer.Hosts, p.self)
	return nil
}

var (
	errNoConfig  = errors.New("no configuration is in force")
	errNoHost    = errors.New("no host can serve")
	errNoTickets = errors.New("this host issues no tickets")
)

// planFor returns the current plan. It fails without a configuration or if the service is unknown.
func (f *Finder) planFor(now time.Time, service string) (*plan, error) {
	p := f.plan(now)
	if p.config == nil {
		return nil, lookup.MakeUnavailable(errNoConfig)
	}
	if p.config.Services[service] == nil {
		return nil, lookup.MakeBadRequest(fmt.Errorf("unknown service %q", service))
	}
	return p, nil
}

// plan returns a plan for the configuration in force that is at most maxPlanAge old. While one look-up computes a new
// plan, concurrent look-ups use the old one.
func (f *Finder) plan(now time.Time) *plan {
	p := f.current.Load()
	config := f.config.Source.Current()
	if p.isCurrent(config, now) {
		return p
	}
	if p.config == nil {
		f.mu.Lock()
	} else if !f.mu.TryLock() {
		return p
	}
	defer f.mu.Unlock()
	if p = f.current.Load(); p.isCurrent(config, now) {
		return p
	}
	p = newPlan(f.config.Source.Current(), f.config.Self(), f.config.Members(), now)
	f.current.Store(p)
	return p
}

// Explain returns the steps by which a look-up of the client would be answered now.
func (f *Finder) Explain(now time.Time, service string, client netip.Addr) []*operator.ExplainStep {
	p, err := f.planFor(now, service)
	if err != nil {
		return []*operator.ExplainStep{newStep("refused", err.Error())}
	}
	o, found := p.nearest(f.config.Blocks, client)
	reason := "the client's block"
	if !found {
		reason = "no block of a known data centre holds the client; own data centre"
	}
	steps := []*operator.ExplainStep{newStep("nearest data centre "+o.dataCentre, reason)}
	hosts := o.pick(nil, f.randomBits())
	for i, h := range hosts {
		steps = append(steps, newStep(fmt.Sprintf("place %d: host %s in %s", i+1, h.ID, h.DataCentre), o.reason(h)))
	}
	if len(hosts) == 0 {
		steps = append(steps, newStep("refused", errNoHost.Error()))
	}
	for _, l := range p.excluded {
		steps = append(steps, newStep("left out: host "+l.id, l.reason))
	}
	return steps
}

func newStep(outcome, reason string) *operator.ExplainStep {
	return &operator.ExplainStep{
		Step:    "look-up",
		Outcome: outcome,
		Reason:  reason,
	}
}

// randomBits returns 64 random bits from a splitmix64 generator, whose state advances by one atomic addition.
func (f *Finder) randomBits() uint64 {
	z := f.randomState.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Mount installs the look-up endpoint on a goa mux.
func (f *Finder) Mount(mux goahttp.Muxer) {
	failed := func(_ context.Context, _ http.ResponseWriter, err error) {
		_ = level.Debug(f.logger).Log("msg", "Answer not written.", "err", err)
	}
	endpoints := lookup.NewEndpoints(f)
	server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, failed, nil).Mount(mux)
}

type peerAddressKey struct{}

// ConnContext stores the peer address of a connection in the context, for look-ups without a client address. It is meant
// for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, peerAddressKey{}, tcp.AddrPort().Addr())
}

// clientAddress returns the client's address: the explicit one if there is one, else that of the connection. It is invalid
// if neither is known.
func clientAddress(ctx context.Context, explicit *string) (netip.Addr, error) {
	if explicit == nil || *explicit == "" {
		client, _ := ctx.Value(peerAddressKey{}).(netip.Addr)
		return client, nil
	}
	client, err := netip.ParseAddr(*explicit)
	if err != nil {
		return client, lookup.MakeBadRequest(fmt.Errorf("client: %w", err))
	}
	return client, nil
}
