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
	// timeLimit bounds one exchange.
	timeLimit = 10 * time.Second

	// Bounds and precision of the latency histograms.
	longestLatency = int64(time.Minute) // Nanoseconds.
	digits         = 3                  // Significant decimal digits.

	// arrivalsAhead is the number of arrivals that may wait for a free connection before the schedule is held up. The
	// latency counts from the scheduled time, so that a wait of any length is part of it.
	arrivalsAhead = 1 << 16
)

// Mode selects what is sent.
type Mode string

// Modes.
const (
	ModeLookup  Mode = "lookup"  // GET /v1/lookup.
	ModeRequest Mode = "request" // A request to a path of a service.
)

// errNotLoopback keeps the load on the machine that generates it.
var errNotLoopback = errors.New("address is not a loopback address")

// Config describes one run.
type Config struct {
	Mode         Mode
	Address      netip.AddrPort
	Baseline     netip.AddrPort // Gets every other request; the zero value means no comparison.
	Service      string
	Method       string // For ModeRequest.
	Path         string // Path and query below the service, for ModeRequest.
	Key          string // For ModeRequest; empty sends none.
	ClientPrefix netip.Prefix
	Duration     time.Duration
	Warmup       time.Duration // Time before Duration whose answers are not recorded.
	Rate         float64       // Requests per second to each address at exponential intervals; 0 means a closed loop.
	Connections  int           // Open connections to each address.
	Seed         uint64
}

// check returns an error that joins all faults.
func (c Config) check() error {
	var faults []error
	add := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.New(text))
		}
	}
	for _, a := range c.addresses() {
		if !a.Addr().IsLoopback() {
			faults = append(faults, fmt.Errorf("%v: %w", a, errNotLoopback))
		}
	}
	add(c.Mode != ModeLookup && c.Mode != ModeRequest, "mode is neither lookup nor request")
	add(c.Service == "", "service is required")
	add(c.Mode == ModeRequest && !strings.HasPrefix(c.Path, "/"), "path does not start with a slash")
	add(c.Mode == ModeRequest && c.Method != http.MethodGet && c.Method != http.MethodPost, "method is neither GET nor POST")
	add(c.Mode == ModeLookup && !c.ClientPrefix.IsValid(), "clients is not a prefix")
	add(c.Duration <= 0 || c.Warmup < 0, "duration and warm-up must be positive")
	add(!(c.Rate >= 0 && c.Rate <= 1e6), "rate is not between 0 and 1,000,000")
	add(c.Connections < 1 || c.Connections > 1<<14, "connections are not between 1 and 16384")
	return errors.Join(faults...)
}

func (c Config) addresses() []netip.AddrPort {
	if c.Baseline == (netip.AddrPort{}) {
		return []netip.AddrPort{c.Address}
	}
	return []netip.AddrPort{c.Address, c.Baseline}
}

// lane is the traffic to one address.
type lane struct {
	config  Config
	address netip.AddrPort
	client  *http.Client
	from    time.Time // Answers to requests due earlier are not recorded.

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // Nanoseconds of answers with a status below 400.
	counts  map[string]int64        // By status, or "error" without an answer.
	last    time.Time               // End of the last recorded exchange.
	failure error                   // The first exchange without an answer.
}

// Run sends the load until Duration is over or the context ends, and waits for the answers. It fails on a Config that
// is not valid, among them addresses off loopback.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.check(); err != nil {
		return Report{}, err
	}
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(c.Warmup+c.Duration))
	defer cancel()
	var lanes []*lane
	for _, a := range c.addresses() {
		lanes = append(lanes, newLane(c, a, start.Add(c.Warmup)))
	}
	var group sync.WaitGroup
	if c.Rate > 0 {
		openLoop(ctx, &group, lanes)
	} else {
		closedLoop(ctx, &group, lanes)
	}
	group.Wait()
	report := Report{
		Mode: c.Mode,
		Seed: c.Seed,
	}
	for _, l := range lanes {
		l.client.CloseIdleConnections()
		report.Results = append(report.Results, l.result())
	}
	return report, nil
}

func newLane(c Config, address netip.AddrPort, from time.Time) *lane {
	return &lane{
		config:  c,
		address: address,
		from:    from,
		client: &http.Client{
			Timeout: timeLimit,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: c.Connections,
				DisableCompression:  true,
			},
			// A redirect could lead off loopback.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		latency: hdrhistogram.New(1, longestLatency, digits),
		counts:  map[string]int64{},
	}
}

// closedLoop sends on every connection as soon as the previous answer is read.
func closedLoop(ctx context.Context, group *sync.WaitGroup, lanes []*lane) {
	for _, l := range lanes {
		for n := range l.config.Connections {
			s := l.newSender(n)
			group.Go(func() {
				defer s.merge()
				for ctx.Err() == nil {
					s.send(time.Now())
				}
			})
		}
	}
}

// openLoop sends at exponential intervals, in turn to each address, whether or not earlier answers have come.
func openLoop(ctx context.Context, group *sync.WaitGroup, lanes []*lane) {
	var arrivals []chan time.Time
	for _, l := range lanes {
		due := make(chan time.Time, arrivalsAhead)
		arrivals = append(arrivals, due)
		for n := range l.config.Connections {
			s := l.newSender(n)
			group.Go(func() {
				defer s.merge()
				for at := range due {
					s.send(at)
				}
			})
		}
	}
	group.Go(func() {
		schedule(ctx, lanes[0].config, arrivals)
		for _, due := range arrivals {
			close(due)
		}
	})
}

// schedule sends the due times of a Poisson process until the context ends.
func schedule(ctx context.Context, c Config, arrivals []chan time.Time) {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	interval := float64(time.Second) / c.Rate / float64(len(arrivals))
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
		case arrivals[i%len(arrivals)] <- due:
		}
	}
}
