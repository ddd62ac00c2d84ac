package daemon_test

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/publ"
	"monsoonhub.example/steer/internal/ops/config"
	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/daemon"
)

const (
	seed      = 20261204
	lookupTTL = 500 * time.Millisecond
	customers = "kind: customers\ncustomers:\n"
)

var dataCentres = []string{"golfo-1", "golfo-2", "pacifico-1", "pacifico-2", "altiplano-1", "altiplano-2"}

// fleet runs, in this process, 12 hosts in six data centres, with two targets in each data centre.
type fleet struct {
	*testing.T                  // That of the running subtest. Goroutines must not use it.
	ctx         context.Context // Ends with the test.
	dir         string
	store       *kvmem.Store
	targets     map[string]*target.Target // By target ID.
	serviceFile string                    // Text of the service file in which no target is leaving.
	client      *http.Client
	network     *network // Connects the hosts with each other and with the store; nil for direct connections.

	mu                  sync.Mutex
	hosts               []*daemon.Host
	loadCount           int    // Loads started so far. The number is part of the paths of operations.
	lastUnexpected      string // Last response that answersWith did not expect.
	preferredDataCentre string // Data centre whose hosts callers try first; empty for none. Set it before the load.
}

// subtest runs a subtest with f.T replaced by that of the subtest, so that failures are reported there.
func (f *fleet) subtest(name string, run func()) {
	parent := f.T
	parent.Run(name, func(t *testing.T) {
		f.T = t
		defer func() { f.T = parent }()
		run()
	})
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := prepareFleet(t)
	f.start()
	return f
}

// prepareFleet starts the store and the targets, and writes the steering files, which may be changed before start.
func prepareFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		T:       t,
		ctx:     t.Context(),
		dir:     t.TempDir(),
		targets: map[string]*target.Target{},
		store: kvmem.New(kvmem.Config{
			Seed: seed,
		}),
		client: &http.Client{
			Timeout: 4 * time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
				IdleConnTimeout:     lookupTTL / 2,
			},
		},
	}
	f.writeFleet()
	f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 100, 50, false))
	return f
}

// start publishes the steering files, starts the hosts and waits until all of them serve.
func (f *fleet) start() {
	f.Helper()
	version := f.publish()
	for i := range 2 * len(dataCentres) {
		f.addHost(i)
	}
	f.Cleanup(f.close)
	f.waitFor("all hosts serve", 20*time.Second, func() bool {
		return f.allHosts(func(s steer.HostState) bool { return s.Version >= version && len(s.Slots) > 0 && !s.OutOfQuota })
	})
}

func (f *fleet) writeFleet() {
	f.Helper()
	text := "kind: fleet\ndata-centres:\n"
	f.serviceFile = "kind: service\nname: reservas\ntimeout: 2s\nqueue-limit: 500ms\nroutes:\n  - prefix: /\ntargets:\n"
	for i, d := range dataCentres {
		text += fmt.Sprintf("  - {name: %s, region: %s, weight: 1, slots: 2}\n", d, region(d))
		for n := range 2 {
			id := fmt.Sprintf("t%d", 2*i+n)
			f.targets[id] = target.New(target.Config{
				ID:          id,
				Slots:       16,
				ServiceTime: 5 * time.Millisecond,
				Seed:        seed,
			})
			f.serviceFile += fmt.Sprintf("  - id: %s\n    data-centre: %s\n    address: %s\n    slots: 16\n", id, d,
				f.listen(f.targets[id]).Addr)
		}
	}
	text += "links:\n"
	for _, from := range []string{"golfo", "pacifico", "altiplano"} {
		for _, to := range []string{"golfo", "pacifico", "altiplano"} {
			if from != to {
				text += fmt.Sprintf("  - {from: %s, to: %s, rate: 400, burst: 200}\n", from, to)
			}
		}
	}
	f.write("fleet", text)
	f.write("reservas", f.serviceFile)
}

func region(dataCentre string) string { return strings.TrimRight(dataCentre, "-12") }

func customer(name string, rate, burst int, withdrawn bool) string {
	return fmt.Sprintf("  - name: %s\n    rate: %d\n    burst: %d\n    keys:\n      - {id: k, digest: %x, withdrawn: %v}\n",
		name, rate, burst, sha256.Sum256([]byte("key-of-"+name)), withdrawn)
}

func (f *fleet) listen(h http.Handler) *http.Server {
	f.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	s := &http.Server{
		Addr:              l.Addr().String(),
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = s.Serve(l) }()
	f.Cleanup(func() { _ = s.Close() })
	return s
}

func (f *fleet) write(name, text string) {
	f.Helper()
	assert.NilError(f, os.WriteFile(filepath.Join(f.dir, name+".yaml"), []byte(text), 0o600))
}

// publish publishes the steering files, again until they are accepted, and returns the version.
func (f *fleet) publish() uint64 {
	f.Helper()
	var version uint64
	f.waitFor("accepted", 20*time.Second, func() bool {
		version = f.tryPublish()
		return version > 0
	})
	return version
}

// tryPublish publishes the steering files once and returns the version, or 0 if they were refused or the outcome is unknown.
func (f *fleet) tryPublish() uint64 {
	f.Helper()
	result, err := publ.Publish(f.Context(), publ.Config{
		Store: f.store,
		Dir:   f.dir,
	})
	assert.NilError(f, err)
	if result.Outcome != publ.Accepted && result.Outcome != publ.Unchanged {
		f.Logf("publication %s: %s %v", result.Outcome, result.Reason, result.Problems)
		return 0
	}
	return result.Version
}

// addHost starts a host in data centre number/2.
func (f *fleet) addHost(number int) *daemon.Host {
	f.Helper()
	dataCentre := dataCentres[number/2%len(dataCentres)]
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	var seeds []netip.AddrPort
	for _, h := range f.running() {
		seeds = append(seeds, h.PeerAddress())
	}
	c := daemon.Config{
		Settings: config.Settings{
			HostID:         fmt.Sprintf("host-%d", number),
			DataCentre:     dataCentre,
			Region:         region(dataCentre),
			Listen:         loopback,
			PeerListen:     loopback,
			AdminListen:    loopback,
			Peers:          seeds[:min(2, len(seeds))],
			ShutdownLimit:  20 * time.Second,
			LookupTTL:      lookupTTL,
			MaxHeaderBytes: 32 << 10,
			MaxBodyBytes:   1 << 20,
			MaxConnections: 4096,
			MaxInProgress:  1024,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    5 * time.Second,
		},
		Secret: []byte("secret-of-the-test-fleet"),
		Store:  f.store,
		Seed:   seed + uint64(number),
	}
	from := node{
		host:       c.Settings.HostID,
		dataCentre: dataCentre,
	}
	if f.network != nil {
		c.Store = f.network.storeFrom(from)
		c.Dial = f.network.dialFrom(from)
	}
	h, err := daemon.New(c)
	assert.NilError(f, err)
	if f.network != nil {
		f.network.register(h.PeerAddress().String(), from)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
	return h
}

// running returns the hosts that are not stopping.
func (f *fleet) running() []*daemon.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*daemon.Host
	for _, h := range f.hosts {
		if !h.Self().State.Stopping {
			list = append(list, h)
		}
	}
	return list
}

func (f *fleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for _, h := range f.running() {
		group.Go(func() { _ = h.Abort(ctx) })
	}
	group.Wait()
	f.client.CloseIdleConnections()
}

func (f *fleet) allHosts(ok func(steer.HostState) bool) bool {
	for _, h := range f.running() {
		if !ok(h.Self().State) {
			return false
		}
	}
	return true
}

// waitFor waits until done returns true, and returns the time that took. It fails the test after the limit.
func (f *fleet) waitFor(what string, limit time.Duration, done func() bool) time.Duration {
	f.Helper()
	start := time.Now()
	for !done() {
		assert.Assert(f, time.Since(start) <= limit, "%s: not within %v", what, limit)
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// result is the last response to one operation. Each operation has its own path, so that the records of the targets show
// how often it ran.
type result struct {
	path     string
	method   string
	sent     time.Time
	status   int // 0 without a response.
	verdict  steer.Verdict
	reason   string
	complete bool // The body is the expected one.
	reused   bool // The connection was open before the request.
	err      error
}

// send sends one request to the service reservas, without retries.
func (f *fleet) send(address, method, path, customer, ticket string) result {
	return f.sendTo("reservas", address, method, path, customer, ticket)
}

func (f *fleet) sendTo(service, address, method, path, customer, ticket string) result {
	out := result{
		path:   path,
		method: method,
		sent:   time.Now(),
	}
	r, err := http.NewRequest(method, "http://"+address+"/s/"+service+path, nil)
	if err != nil {
		out.err = err
		return out
	}
	r = r.WithContext(httptrace.WithClientTrace(f.ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { out.reused = c.Reused },
	}))
	r.Header.Set("Steering-Key", "key-of-"+customer)
	if ticket != "" {
		r.Header.Set("Steering-Ticket", ticket)
	}
	response, err := f.client.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	out.err = err
	out.status = response.StatusCode
	out.verdict = steer.ParseVerdict(response.Header.Get("Steering-Verdict"))
	out.reason = response.Header.Get("Steering-Reason")
	id := response.Header.Get("Steering-Request-Id")
	if first := response.Header.Get("Steering-Repeat-Of"); first != "" {
		id = first
	}
	out.complete = string(body) == string(target.Body(id, 64))
	return out
}

type lookupResponse struct {
	Hosts []struct {
		Address string `json:"address"`
	} `json:"hosts"`
	Ticket string `json:"ticket"`
}

// lookup asks the hosts in random order, those of the preferred data centre first, until one responds. A host lists itself
// first, since it owns the ticket that it returns.
func (f *fleet) lookup() lookupResponse {
	list := f.running()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *daemon.Host) int {
		return cmp.Compare(f.distance(a), f.distance(b))
	})
	for _, h := range list {
		if answer := f.lookupAt(h); len(answer.Hosts) > 0 {
			return answer
		}
	}
	return lookupResponse{}
}

// lookupAt returns the response of one host, or one without hosts if the look-up failed.
func (f *fleet) lookupAt(h *daemon.Host) (answer lookupResponse) {
	response, err := f.client.Get("http://" + h.Address().String() + "/v1/lookup?service=reservas&ticket=true")
	if err != nil {
		return lookupResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return lookupResponse{}
	}
	return answer
}

// distance orders hosts for look-ups: 0 for those of the preferred data centre, 1 for the others.
func (f *fleet) distance(h *daemon.Host) int {
	if h.Self().DataCentre == f.preferredDataCentre {
		return 0
	}
	return 1
}

// call does what client libraries do. It looks hosts up and tries them in order with one ticket, until the result is not a
// refusal as not run. If a host does not respond, it tries the next one. It returns the last result and the number of
// connections cut.
func (f *fleet) call(method, path, customer string) (out result, cut int) {
	answer := f.lookup()
	out.path = path
	out.method = method
	for _, h := range answer.Hosts {
		out = f.send(h.Address, method, path, customer, answer.Ticket)
		if out.err != nil {
			cut++
			continue
		}
		if out.verdict != steer.NotRun {
			break
		}
	}
	return out, cut
}

// load lets a number of workers call until stop is called, which returns the results and the number of connections cut.
// Every third operation of a worker is a GET.
func (f *fleet) load(workers int) (stop func() ([]result, int)) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.loadCount++
	number := f.loadCount
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		results []result
		cuts    int
	)
	for w := range workers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				method := http.MethodPost
				if n%3 == 0 {
					method = http.MethodGet
				}
				r, cut := f.call(method, fmt.Sprintf("/%d/%d/%d", number, w, n), "alfa")
				mu.Lock()
				results = append(results, r)
				cuts += cut
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() ([]result, int) {
		cancel()
		group.Wait()
		return results, cuts
	}
}

// runs returns the runs of all targets by path.
func (f *fleet) runs() map[string][]target.Run {
	runs := map[string][]target.Run{}
	for _, t := range f.targets {
		for _, r := range t.Record() {
			runs[r.Path] = append(runs[r.Path], r)
		}
	}
	return runs
}

// checkResults compares the results of callers with the records of the targets. It returns the number of successful
// operations, of refusals as not run, of operations of unknown outcome and of runs.
func (f *fleet) checkResults(results []result) (answered, notRun, uncertain, ran int) {
	f.Helper()
	runs := f.runs()
	for _, r := range results {
		count := len(runs[r.path])
		ran += count
		assert.Assert(f, r.method != http.MethodPost || count <= 1, "%s ran %d times", r.path, count)
		switch {
		case r.err != nil || r.status == 0:
			uncertain++
		case r.status < 400:
			answered++
			assert.Assert(f, r.complete, "the response to %s is not complete", r.path)
			assert.Assert(f, count > 0, "%s was answered and did not run", r.path)
		case r.verdict == steer.NotRun:
			notRun++
			assert.Equal(f, count, 0, "%s ran and was refused as not run: %s", r.path, r.reason)
		default:
			uncertain++
		}
		for _, x := range runs[r.path] {
			assert.Equal(f, x.Customer, "alfa")
			assert.Assert(f, !strings.Contains(fmt.Sprint(x.Header), "key-of-"), "a target saw a key")
		}
	}
	return answered, notRun, uncertain, ran
}
