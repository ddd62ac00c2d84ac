package probe

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	goahttp "goa.design/goa/v3/http"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/http/target/client"
	"monsoonhub.example/steer/internal/api/gen/target"
	"monsoonhub.example/steer/internal/edge/answer"
	"monsoonhub.example/steer/internal/edge/meter"
)

// Defaults and bounds.
const (
	defaultInterval = 500 * time.Millisecond
	defaultTimeout  = 400 * time.Millisecond
	// defaultConcurrency is above the 32 targets that a data centre will have in two years, so that hanging targets, which
	// take the whole timeout in each round, do not delay the reports of others.
	defaultConcurrency = 64

	jitter        = 0.1     // Fraction of the interval by which a round may be early or late.
	maxAnswerSize = 1 << 16 // Bytes; a longer answer is cut off and fails.
)

// Platform gives access to the platform's list of live and leaving hosts, which lags behind.
type Platform interface {
	// Leaving reports whether the target is listed as leaving.
	Leaving(target string) bool
}

// Config configures a Prober.
type Config struct {
	DataCentre  string // Only targets of this data centre are polled.
	Source      steer.Source
	Platform    Platform          // Nil means that there is no list.
	Transport   http.RoundTripper // Nil selects a private transport with pooled connections.
	Interval    time.Duration     // Time between two rounds of polls; 0 selects 500 ms.
	Timeout     time.Duration     // Timeout of one poll; 0 selects 400 ms.
	Concurrency int               // Maximum number of concurrent polls; 0 selects 64.
	Logger      log.Logger        // Nil means no logging.
	Metrics     metrics.Registry  // Nil means a private registry.
}

// Prober implements steer.Reports.
type Prober struct {
	config    Config
	logger    log.Logger
	semaphore chan struct{} // Holds one element for each poll in progress.
	current   atomic.Pointer[map[string]*poller]
	cancel    context.CancelFunc
	done      chan struct{}

	polls    metrics.Counter
	failures metrics.Counter
}

// poller polls one target.
type poller struct {
	id      string
	address netip.AddrPort
	report  atomic.Pointer[steer.Report]
	pollDue chan struct{} // Requests a poll.
	client  *target.Client
	failing bool // Whether the last poll failed. Only the polling goroutine uses it.
	cancel  context.CancelFunc
}

// New returns a Prober that polls the targets of the configuration in force and follows its changes until Close.
func New(c Config) *Prober {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Concurrency == 0 {
		c.Concurrency = defaultConcurrency
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	closeIdle := func() {}
	if c.Transport == nil {
		own := &http.Transport{
			DialContext:         answer.Dial((&net.Dialer{}).DialContext),
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     10 * c.Interval,

			MaxResponseHeaderBytes: maxAnswerSize,
		}
		c.Transport, closeIdle = own, own.CloseIdleConnections
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{
		config:    c,
		logger:    log.With(c.Logger, "part", "probe"),
		semaphore: make(chan struct{}, c.Concurrency),
		cancel:    cancel,
		done:      make(chan struct{}),
		polls:     metrics.GetOrRegisterCounter("probe-polls", c.Metrics),
		failures:  metrics.GetOrRegisterCounter("probe-failures", c.Metrics),
	}
	p.current.Store(&map[string]*poller{})
	go func() {
		defer close(p.done)
		defer closeIdle()
		var group sync.WaitGroup
		defer group.Wait()
		// The first round is spread over the interval.
		timer := time.NewTimer(time.Duration(rand.Float64() * float64(c.Interval)))
		defer timer.Stop()
		// The channel is loaded before the configuration is read, so that no version is missed.
		changed := c.Source.Changed()
		p.applyConfig(ctx, &group)
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				changed = c.Source.Changed()
				p.applyConfig(ctx, &group)
			case <-timer.C:
				p.startRound()
				timer.Reset(time.Duration((1 + jitter*(2*rand.Float64()-1)) * float64(c.Interval)))
			}
		}
	}()
	return p
}

// Report implements steer.Reports. While polls of a target fail, it keeps returning the last successful report, whose age
// grows.
func (p *Prober) Report(target string) steer.Report {
	s := (*p.current.Load())[target]
	if s == nil {
		return steer.Report{}
	}
	return *s.report.Load()
}

// Close stops polling and waits for polls in progress. It returns the error of the context if that ends first.
func (p *Prober) Close(ctx context.Context) error {
	p.cancel()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyConfig starts and stops pollers to match the configuration in force.
func (p *Prober) applyConfig(ctx context.Context, group *sync.WaitGroup) {
	config := p.config.Source.Current()
	if config == nil {
		return
	}
	old := *p.current.Load()
	next := map[string]*poller{}
	for _, service := range config.Services {
		for _, t := range service.Targets {
			if t.DataCentre != p.config.DataCentre {
				continue
			}
			s := old[t.ID]
			if s == nil || s.address != t.Address {
				s = p.poller(t)
				pollCtx, cancel := context.WithCancel(ctx)
				s.cancel = cancel
				group.Go(func() { p.poll(pollCtx, s) })
			}
			next[t.ID] = s
		}
	}
	p.current.Store(&next)
	for id, s := range old {
		if next[id] != s {
			s.cancel()
		}
	}
}

// poller returns a poller for the target, with an empty report.
func (p *Prober) poller(t steer.Target) *poller {
	doer := &http.Client{
		Transport: answer.Transport{
			Base: p.config.Transport,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	c := client.NewClient("http", t.Address.String(), meter.LimitBodies(doer, maxAnswerSize), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	s := &poller{
		id:      t.ID,
		address: t.Address,
		pollDue: make(chan struct{}, 1),
		client:  target.NewClient(c.Health(), c.Load(), c.Runs(), c.Control()),
	}
	s.report.Store(&steer.Report{})
	return s
}

// poll polls one target once a round until the context ends.
func (p *Prober) poll(ctx context.Context, s *poller) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pollDue:
		}
		select {
		case <-ctx.Done():
			return
		case p.semaphore <- struct{}{}:
		}
		p.pollOnce(ctx, s)
		<-p.semaphore
	}
}

// startRound requests a poll of each target. All targets are polled together because the wake-ups of an idle process cost
// more than the polls. A target whose last poll is still in progress is polled again as soon as that poll ends.
func (p *Prober) startRound() {
	for _, s := range *p.current.Load() {
		select {
		case s.pollDue <- struct{}{}:
		default:
		}
	}
}

// pollOnce polls a target once and stores the report. After a failed poll the last report stays, apart from Draining.
func (p *Prober) pollOnce(ctx context.Context, s *poller) {
	report := steer.Report{At: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	p.polls.Inc(1)
	err := s.fetchReport(ctx, &report)
	if err != nil {
		p.failures.Inc(1)
		report = *s.report.Load()
	}
	if failing := err != nil; failing != s.failing {
		s.failing = failing
		_ = level.Info(p.logger).Log("msg", "Target started or stopped failing polls.", "target", s.id,
			"failing", failing, "err", err)
	}
	if p.config.Platform != nil {
		// The platform may list the target as leaving while the target itself no longer answers.
		report.Draining = report.Draining || p.config.Platform.Leaving(s.id)
	}
	s.report.Store(&report)
}

// fetchReport fills the report from the target's health and load endpoints.
func (s *poller) fetchReport(ctx context.Context, report *steer.Report) error {
	health, err := s.client.Health(ctx)
	if err != nil {
		return err
	}
	load, err := s.client.Load(ctx)
	if err != nil {
		return err
	}
	report.Draining = health.State == "draining"
	report.Healthy = health.State == "ready" || report.Draining
	report.Busy = max(load.Busy, 0) + max(load.Queued, 0)
	report.Slots = max(load.Slots, 0)
	return nil
}
