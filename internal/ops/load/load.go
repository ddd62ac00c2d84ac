package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// requestTimeout bounds one exchange, which is a request and its whole answer.
	requestTimeout = 10 * time.Second

	// Range and precision of the latency histograms.
	maxLatency        = int64(time.Minute) // Nanoseconds; longer ones are recorded as this.
	significantDigits = 3                  // Significant decimal digits.

	// arrivalQueueCapacity bounds the arrivals that wait for a free connection at one address. When the queue is full, the
	// schedule waits. Latency is measured from the scheduled time, so it includes a wait of any length.
	arrivalQueueCapacity = 1 << 16
)

// Mode selects the kind of request that is sent.
type Mode string

// Modes.
const (
	ModeLookup  Mode = "lookup"  // GET /v1/lookup.
	ModeRequest Mode = "request" // A request to a path of a service.
)

// errNotLoopback is returned for other addresses, so that no load leaves the machine.
var errNotLoopback = errors.New("address is not a loopback address")

// Config describes one run.
type Config struct {
	Mode         Mode
	Address      netip.AddrPort
	Baseline     netip.AddrPort // Address to compare with; gets every other request. The zero value means none.
	Service      string
	Method       string       // For ModeRequest.
	Path         string       // Path and query below the service, for ModeRequest.
	Key          string       // For ModeRequest; empty sends none.
	ClientPrefix netip.Prefix // For ModeLookup: client addresses are drawn from it.
	Duration     time.Duration
	Warmup       time.Duration // Time before Duration; requests due in it are not recorded.
	Rate         float64       // Requests per second to each address, sent at exponential intervals; 0 means a closed loop.
	Connections  int           // Open connections to each address.
	Seed         uint64        // Of the intervals and the client addresses.
}

// check returns an error that joins one error for each invalid field.
func (c Config) check() error {
	var problems []error
	add := func(invalid bool, text string) {
		if invalid {
			problems = append(problems, errors.New(text))
		}
	}
	for _, a := range c.addresses() {
		if !a.Addr().IsLoopback() {
			problems = append(problems, fmt.Errorf("%v: %w", a, errNotLoopback))
		}
	}
	add(c.Mode != ModeLookup && c.Mode != ModeRequest, "mode is neither lookup nor request")
	add(c.Service == "", "service is required")
	add(c.Mode == ModeRequest && !strings.HasPrefix(c.Path, "/"), "path does not start with a slash")
	add(c.Mode == ModeRequest && c.Method != http.MethodGet && c.Method != http.MethodPost, "method is neither GET nor POST")
	add(c.Mode == ModeLookup && !c.ClientPrefix.IsValid(), "clients is not an IP prefix")
	add(c.Duration <= 0 || c.Warmup < 0, "duration is not positive or warm-up is negative")
	add(!(c.Rate >= 0 && c.Rate <= 1e6), "rate is not between 0 and 1,000,000")
	add(c.Connections < 1 || c.Connections > 1<<14, "number of connections is not between 1 and 16384")
	return errors.Join(problems...)
}

func (c Config) addresses() []netip.AddrPort {
	if c.Baseline == (netip.AddrPort{}) {
		return []netip.AddrPort{c.Address}
	}
	return []netip.AddrPort{c.Address, c.Baseline}
}

// endpoint sends requests to one address and holds their records.
type endpoint struct {
	config     Config
	address    netip.AddrPort
	client     *http.Client
	recordFrom time.Time // Requests due earlier are not recorded.

	mu           sync.Mutex
	latency      *hdrhistogram.Histogram // Nanoseconds of answers with a status below 400.
	statusCounts map[string]int64        // By status; "error" counts exchanges without an answer.
	lastEnd      time.Time               // End of the last recorded exchange.
	firstError   error                   // Of the first exchange without an answer.
}

// Run sends the load until Duration has passed or the context ends, and waits for the answers. It fails if the Config is
// invalid, for example if an address is not a loopback address.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.check(); err != nil {
		return Report{}, err
	}
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(c.Warmup+c.Duration))
	defer cancel()
	var endpoints []*endpoint
	for _, a := range c.addresses() {
		endpoints = append(endpoints, newEndpoint(c, a, start.Add(c.Warmup)))
	}
	var group sync.WaitGroup
	if c.Rate > 0 {
		runOpenLoop(ctx, &group, endpoints)
	} else {
		runClosedLoop(ctx, &group, endpoints)
	}
	group.Wait()
	report := Report{
		Mode: c.Mode,
		Seed: c.Seed,
	}
	for _, e := range endpoints {
		e.client.CloseIdleConnections()
		report.Results = append(report.Results, e.result())
	}
	return report, nil
}

func newEndpoint(c Config, address netip.AddrPort, recordFrom time.Time) *endpoint {
	return &endpoint{
		config:     c,
		address:    address,
		recordFrom: recordFrom,
		client: &http.Client{
			Timeout: requestTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: c.Connections,
				DisableCompression:  true,
			},
			// A redirect could lead to an address that is not a loopback address.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		latency:      hdrhistogram.New(1, maxLatency, significantDigits),
		statusCounts: map[string]int64{},
	}
}

// runClosedLoop sends on every connection as soon as the previous answer has been read.
func runClosedLoop(ctx context.Context, group *sync.WaitGroup, endpoints []*endpoint) {
	for _, e := range endpoints {
		for n := range e.config.Connections {
			s := e.newSender(n)
			group.Go(func() {
				defer s.merge()
				for ctx.Err() == nil {
					s.send(time.Now())
				}
			})
		}
	}
}

// runOpenLoop sends at exponential intervals to the addresses in turn, without waiting for earlier answers.
func runOpenLoop(ctx context.Context, group *sync.WaitGroup, endpoints []*endpoint) {
	var queues []chan time.Time
	for _, e := range endpoints {
		queue := make(chan time.Time, arrivalQueueCapacity)
		queues = append(queues, queue)
		for n := range e.config.Connections {
			s := e.newSender(n)
			group.Go(func() {
				defer s.merge()
				for due := range queue {
					s.send(due)
				}
			})
		}
	}
	group.Go(func() {
		scheduleArrivals(ctx, endpoints[0].config, queues)
		for _, queue := range queues {
			close(queue)
		}
	})
}

// scheduleArrivals puts the due times of a Poisson process into the queues in turn until the context ends.
func scheduleArrivals(ctx context.Context, c Config, queues []chan time.Time) {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	interval := float64(time.Second) / c.Rate / float64(len(queues))
	for i := 0; ; i++ {
		due = due.Add(time.Duration(random.ExpFloat64() * interval))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		select {
		case <-ctx.Done():
			return
		case queues[i%len(queues)] <- due:
		}
	}
}
