package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/target"
)

const (
	answerSize     = 512 // Bytes.
	requestTimeout = 4 * time.Second
	maxInProgress  = 64 // Requests of one caller; more are counted as not sent.
	loudFactor     = 5  // The last customer sends this multiple of its rate.
)

var errNoHost = errors.New("look-up gave no host")

// caller is one customer's client in one data centre. It behaves as the client libraries do: it caches look-ups, tries
// the hosts in order, and uses a ticket for requests that are not idempotent.
type caller struct {
	customer *steer.Customer
	client   netip.Addr // Sent with look-ups, in place of the address of the connection.
	rate     float64    // Requests per second.
	fleet    *fleet
	report   *report
	http     *http.Client
	random   *rand.Rand

	mu     sync.Mutex
	cached map[string]answer // By service.
}

// answer is the part of a look-up answer that callers use.
type answer struct {
	Hosts []struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	} `json:"hosts"`
	TTL     int64  `json:"ttl-ms"`
	Ticket  string `json:"ticket"`
	expires time.Time
}

// request is one request to send.
type request struct {
	service string
	method  string
	path    string
	keyed   bool
	once    bool // Not idempotent.
}

// result is what became of a request.
type result struct {
	request  request
	customer string
	host     string
	id       string // Request id given by the host, empty without an answer.
	status   int
	verdict  steer.Verdict
	reason   string
	latency  time.Duration
	whole    bool // The body belongs to the request id and is complete.
	err      error
}

// startLoad starts callers for every customer in every data centre that has client blocks.
func startLoad(ctx context.Context, f *fleet, r *report) *sync.WaitGroup {
	homes := homeAddresses(f.steering)
	names := sortedKeys(f.steering.Customers)
	slices.SortFunc(names, func(a, b string) int {
		return int(f.steering.Customers[b].Rate - f.steering.Customers[a].Rate)
	})
	var group sync.WaitGroup
	for i, name := range names {
		load := f.config.LoadFraction
		if i == len(names)-1 {
			load = loudFactor
			r.loud = name
		}
		for j, home := range homes {
			c := newCaller(f, r, f.steering.Customers[name], home, load/float64(len(homes)))
			c.random = rand.New(rand.NewPCG(f.config.Seed, uint64(i*1000+j)))
			group.Go(func() { c.run(ctx) })
		}
	}
	return &group
}

func newCaller(f *fleet, r *report, customer *steer.Customer, home netip.Addr, part float64) *caller {
	return &caller{
		customer: customer,
		client:   home,
		rate:     customer.Rate * part,
		fleet:    f,
		report:   r,
		cached:   map[string]answer{},
		http: &http.Client{
			Timeout: requestTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxInProgress,
				IdleConnTimeout:     lookupTTL / 2,
			},
		},
	}
}

// homeAddresses returns one client address for each data centre.
func homeAddresses(c *steer.Config) []netip.Addr {
	seen := map[string]bool{}
	var homes []netip.Addr
	for _, b := range c.Blocks {
		if !seen[b.DataCentre] {
			seen[b.DataCentre] = true
			homes = append(homes, b.Prefix.Addr())
		}
	}
	if len(homes) == 0 {
		homes = append(homes, netip.AddrFrom4([4]byte{127, 0, 0, 1}))
	}
	return homes
}

// run sends requests at exponential intervals until the context ends, and waits for the answers.
func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	var group sync.WaitGroup
	defer group.Wait()
	free := make(chan struct{}, maxInProgress)
	for {
		wait := time.Duration(c.random.ExpFloat64() / c.rate * float64(time.Second))
		if pause(ctx, wait) != nil {
			return
		}
		next := c.pick()
		select {
		case free <- struct{}{}:
		default:
			c.report.addUnsent()
			continue
		}
		group.Go(func() {
			c.report.add(c.send(next))
			<-free
		})
	}
}

func (c *caller) pick() request {
	names := serviceNames(c.fleet.steering)
	service := c.fleet.steering.Services[names[c.random.IntN(len(names))]]
	route := service.Routes[c.random.IntN(len(service.Routes))]
	method := http.MethodPost
	if len(route.Methods) > 0 {
		method = route.Methods[0]
	}
	once := method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions
	if route.Idempotent != nil {
		once = !*route.Idempotent
	}
	return request{
		service: service.Name,
		method:  method,
		path:    route.Prefix + "?size=" + strconv.Itoa(answerSize),
		keyed:   !route.Open,
		once:    once,
	}
}

// send looks up hosts and sends the request to the first one that does not refuse it as not run.
func (c *caller) send(q request) result {
	start := time.Now()
	found, err := c.lookup(q)
	last := result{
		request:  q,
		customer: c.customer.Name,
		err:      err,
	}
	for _, h := range found.Hosts {
		last = c.try(q, h.Address, found.Ticket)
		last.host = h.ID
		if !c.mayTryAgain(q, last) {
			break
		}
	}
	last.latency = time.Since(start)
	return last
}

// mayTryAgain reports whether the next host may get the request: after a proof that it did not run, or without any
// answer when a second run does no harm or the ticket prevents it. A refusal for the customer's rate or key holds
// everywhere.
func (c *caller) mayTryAgain(q request, r result) bool {
	if r.err != nil {
		return !q.once || r.verdict == steer.NotRun
	}
	final := r.reason == string(steer.ReasonRate) || r.reason == string(steer.ReasonKey)
	return r.verdict == steer.NotRun && r.status >= 400 && !final
}

func (c *caller) lookup(q request) (answer, error) {
	c.mu.Lock()
	cached, ok := c.cached[q.service]
	c.mu.Unlock()
	if ok && !q.once && time.Now().Before(cached.expires) {
		return cached, nil
	}
	err := errNoHost
	for _, i := range rand.Perm(len(c.fleet.hosts)) {
		var found answer
		found, err = c.ask(c.fleet.hosts[i].Address(), q)
		if err != nil || len(found.Hosts) == 0 {
			continue
		}
		found.expires = time.Now().Add(time.Duration(found.TTL) * time.Millisecond)
		if !q.once {
			c.mu.Lock()
			c.cached[q.service] = found
			c.mu.Unlock()
		}
		return found, nil
	}
	return answer{}, err
}

func (c *caller) ask(host netip.AddrPort, q request) (answer, error) {
	query := url.Values{
		"service": {q.service},
		"client":  {c.client.String()},
		"ticket":  {strconv.FormatBool(q.once)},
	}
	start := time.Now()
	response, err := c.http.Get("http://" + host.String() + "/v1/lookup?" + query.Encode())
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	c.report.addLookup(time.Since(start))
	if response.StatusCode != http.StatusOK {
		return answer{}, fmt.Errorf("look-up: status %d", response.StatusCode)
	}
	var found answer
	err = json.NewDecoder(response.Body).Decode(&found)
	return found, err
}

func (c *caller) try(q request, address, ticket string) result {
	out := result{
		request:  q,
		customer: c.customer.Name,
	}
	r, err := http.NewRequest(q.method, "http://"+address+"/s/"+q.service+q.path, nil)
	if err != nil {
		out.err = err
		return out
	}
	if q.keyed {
		r.Header.Set("Steering-Key", "demo-key-"+c.customer.Name)
	}
	if q.once {
		r.Header.Set("Steering-Ticket", ticket)
	}
	response, err := c.http.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	out.err = err
	out.status = response.StatusCode
	out.id = response.Header.Get("Steering-Request-Id")
	if first := response.Header.Get("Steering-Repeat-Of"); first != "" {
		out.id = first
	}
	out.verdict = steer.ParseVerdict(response.Header.Get("Steering-Verdict"))
	out.whole = q.method == http.MethodHead || bytes.Equal(body, target.Body(out.id, answerSize))
	if out.status >= 400 {
		out.reason = refusalReason(body)
	}
	return out
}

func refusalReason(body []byte) string {
	var refusal struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		return "unreadable refusal"
	}
	return refusal.Reason
}
