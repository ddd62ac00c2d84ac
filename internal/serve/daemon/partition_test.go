package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/kvhttp"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/daemon"
)

// node is an endpoint of a connection: a host, or the store, which has no data centre.
type node struct{ host, dataCentre string }

// network relays all connections between hosts and from hosts to the store. Between partitioned nodes, it holds back bytes
// and the closing of connections, and dials hang, until the partition heals.
type network struct {
	*fleet
	store string // Address of the store.

	mu        sync.Mutex
	nodes     map[string]node      // By address.
	separates func(a, b node) bool // Reports whether the partition separates two nodes; nil for no partition.
	changed   chan struct{}        // Closed and replaced when separates changes.
	relays    sync.WaitGroup       // Goroutines that relay connections.
	blocked   atomic.Int64         // Transfers and dials that had to wait.
}

func newNetwork(f *fleet) *network {
	n := &network{
		fleet:   f,
		store:   f.listen(kvhttp.Handler(f.store)).Addr,
		nodes:   map[string]node{},
		changed: make(chan struct{}),
	}
	n.register(n.store, node{})
	f.Cleanup(n.relays.Wait)
	return n
}

func (n *network) register(address string, at node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = at
}

// partition replaces the current partition. Nil heals the network.
func (n *network) partition(separates func(a, b node) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.separates = separates
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitWhilePartitioned waits while the partition separates the node and the address. It returns the error of ctx if that
// ends first.
func (n *network) waitWhilePartitioned(ctx context.Context, from node, address string) error {
	for {
		n.mu.Lock()
		to, known := n.nodes[address]
		partitioned := known && n.separates != nil && (n.separates(from, to) || n.separates(to, from))
		changed := n.changed
		n.mu.Unlock()
		if !partitioned {
			return ctx.Err()
		}
		n.blocked.Add(1)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dialFrom returns the dialer of a host. Connections to targets are direct.
func (n *network) dialFrom(from node) steer.Dial {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		if err := n.waitWhilePartitioned(ctx, from, address); err != nil {
			return nil, err
		}
		remote, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil || strings.Contains(n.serviceFile, address+"\n") {
			return remote, err
		}
		l, err := net.Listen(kind, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		local, err := net.Dial(kind, l.Addr().String())
		if err != nil {
			return nil, err
		}
		relayEnd, err := l.Accept()
		if err != nil {
			return nil, err
		}
		n.relay(from, address, relayEnd, remote)
		return local, nil
	}
}

// storeFrom returns a client of the store whose connections pass through the network.
func (n *network) storeFrom(from node) steer.Store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(n, err)
	n.Cleanup(func() { _ = l.Close() })
	n.relays.Go(func() {
		for in, err := l.Accept(); err == nil; in, err = l.Accept() {
			out, failed := net.Dial("tcp", n.store)
			if failed != nil {
				_ = in.Close()
				continue
			}
			n.relay(from, n.store, in, out)
		}
	})
	client := kvhttp.New(kvhttp.Config{
		Address: l.Addr().(*net.TCPAddr).AddrPort(),
	})
	n.Cleanup(client.Stop)
	return client
}

// relay copies bytes between two connections in both directions until one of them fails.
func (n *network) relay(from node, address string, a, b net.Conn) {
	for _, ends := range [][2]net.Conn{{a, b}, {b, a}} {
		n.relays.Go(func() {
			in, out := ends[0], ends[1]
			defer func() { _ = out.Close() }()
			data := make([]byte, 16<<10)
			for {
				count, err := in.Read(data)
				_ = n.waitWhilePartitioned(context.Background(), from, address)
				if _, failed := out.Write(data[:count]); failed != nil || err != nil {
					return
				}
			}
		})
	}
}

// Bounds of docs/design.md, sections 7 and 13.
const (
	gracePeriod        = 3 * time.Second // Age of evidence beyond which keyed requests are refused.
	maxRefusedFraction = 0.02            // Of the requests within rate while one data centre is cut off.
)

// partitionCase is a test case of TestDataCentreCutOff.
type partitionCase struct {
	name            string
	separates       func(a, b node) bool
	isolated        bool // No evidence of the newest version reaches the data centre.
	duration        time.Duration
	leavingByFile   string // Target that its steering file announces as leaving, at the hosts that get the file.
	leavingBySignal string // Target that announces by its own signal that it is leaving; empty for none.
}

const (
	cutOffDC = "pacifico-1"            // Data centre that is cut off, with the targets t4 and t5.
	leadTime = 1500 * time.Millisecond // Duration of the load before the partition.
)

func isStore(p node) bool { return p.dataCentre == "" }

var partitionCases = []partitionCase{
	{
		name:          "from the others",
		separates:     func(a, b node) bool { return a.dataCentre == cutOffDC && b.dataCentre != cutOffDC && !isStore(b) },
		duration:      4 * time.Second,
		leavingByFile: "t4",
	},
	{
		name:          "from the store",
		separates:     func(a, b node) bool { return a.dataCentre == cutOffDC && isStore(b) },
		duration:      4 * time.Second,
		leavingByFile: "t4",
	},
	{
		name:            "from both",
		separates:       func(a, b node) bool { return a.dataCentre == cutOffDC && b.dataCentre != cutOffDC },
		isolated:        true,
		duration:        outage,
		leavingByFile:   "t0",
		leavingBySignal: "t5",
	},
}

// While a data centre is cut off from the others, from the store or from both, no customer may get more than its rate, no
// POST may run twice, and no request that was refused as not run may have run. A withdrawn key must be refused everywhere,
// leaving targets must get no new requests, and the shares of the quotas on both sides must stay usable.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	f := prepareFleet(t)
	f.network = newNetwork(f)
	f.writeCustomers("")
	f.start()
	stopWatch := f.watchVersions()
	for _, v := range partitionCases {
		f.subtest(v.name, func() { f.testCutOff(v) })
	}
	assert.Equal(f, stopWatch(), "")
}

// writeCustomers writes a customer for each test case. The keys of the cases up to the one named last are withdrawn; an
// empty name withdraws none.
func (f *fleet) writeCustomers(last string) {
	text := ""
	for _, v := range partitionCases {
		withdrawn := last != "" && !strings.Contains(text, keyOf(last))
		text += customer(keyOf(v.name), 100, 50, withdrawn)
	}
	// The customer gama is served during isolation too, so that its requests depend on the quotas only.
	f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 100, 50, false)+text+
		customer("gama", 100, 50, false)+"    when-isolated: 1m\n")
}

// keyOf returns the name of the customer, and of the key, of a test case.
func keyOf(caseName string) string { return "key-" + strings.ReplaceAll(caseName, " ", "-") }

func (f *fleet) testCutOff(v partitionCase) {
	defer f.network.partition(nil)
	hosts := f.running()
	cutOffHosts := slices.DeleteFunc(slices.Clone(hosts), func(h *daemon.Host) bool { return h.Self().DataCentre != cutOffDC })
	reachedHosts := hosts
	if v.isolated {
		reachedHosts = slices.DeleteFunc(slices.Clone(hosts), func(h *daemon.Host) bool { return slices.Contains(cutOffHosts, h) })
	}
	key := keyOf(v.name)
	f.waitFor("key accepted", 10*time.Second, f.answersWith(hosts, key, http.StatusOK))
	stop := f.load(8)
	defer stop()
	var (
		group                           sync.WaitGroup
		withinRate, overRate, sentTwice []result
	)
	defer group.Wait()
	group.Go(func() { sentTwice = f.sendTwice(cutOffHosts[0], hosts[0], "/twice/"+key, v.duration+leadTime) })
	group.Go(func() { withinRate = f.sendAtRate(hosts, "/gama/"+key, "gama", 80, v.duration+leadTime) })
	// Demand in one data centre makes it borrow from the others, so that loans are outstanding when it is cut off.
	before := f.sendAtRate(cutOffHosts, "/before/"+key, "beta", 250, leadTime)
	f.network.partition(v.separates)
	cutOffAt := time.Now()
	blocked := f.network.blocked.Load()
	group.Go(func() { overRate = f.sendAtRate(hosts, "/over/"+key, "beta", 200, v.duration+time.Second) })
	f.writeCustomers(v.name)
	f.write("reservas", strings.Replace(f.serviceFile, "- id: "+v.leavingByFile+"\n",
		"- id: "+v.leavingByFile+"\n    leaving: true\n", 1))
	if v.leavingBySignal != "" {
		f.targets[v.leavingBySignal].SetMode(target.Drain)
		defer f.targets[v.leavingBySignal].SetMode(target.Normal)
	}
	version := f.publish()
	announced := time.Now()
	took := f.waitFor("key refused where the change arrives", withdrawLimit,
		f.answersWith(reachedHosts, key, http.StatusUnauthorized))
	f.Logf("the withdrawn key was refused at %d hosts %v after acceptance", len(reachedHosts), took)
	keyRefused := f.answersWith(hosts, key, http.StatusUnauthorized, http.StatusServiceUnavailable)
	time.Sleep(time.Until(cutOffAt.Add(gracePeriod)))
	for time.Since(cutOffAt) < v.duration {
		assert.Assert(f, keyRefused(), "a withdrawn key was accepted: %s", f.lastUnexpected)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(f, f.network.blocked.Load() > blocked, "the partition blocked nothing")
	keyRefusedInside := f.answersWith(cutOffHosts, key, http.StatusUnauthorized, http.StatusServiceUnavailable)
	f.network.partition(nil)
	took = f.waitFor("change in force after healing", faultInForceLimit, func() bool {
		assert.Assert(f, keyRefusedInside(), "a withdrawn key was accepted after healing: %s", f.lastUnexpected)
		return f.allHosts(func(s steer.HostState) bool { return s.Version >= version }) &&
			f.answersWith(hosts, key, http.StatusUnauthorized)()
	})
	f.Logf("the change was in force everywhere %v after healing", took)
	group.Wait()
	results, _ := stop()
	f.checkCutOffResults(v, results, withinRate, append(before, overRate...))
	answered, notRun, uncertain, ran := f.checkResults(sentTwice)
	assert.Assert(f, answered > 0, "no POST was sent on both sides")
	f.Logf("%d results of POSTs sent on both sides: %d answered, %d refused as not run, %d of unknown outcome, %d runs",
		len(sentTwice), answered, notRun, uncertain, ran)
	f.checkNoNewWork(v.leavingByFile, announced)
	f.checkNoNewWork(v.leavingBySignal, announced)
	f.write("reservas", f.serviceFile)
	f.publish()
}

// sendTwice sends POST requests both to the owner of their ticket and to a host on the other side of the partition, as
// callers do that lost the first response. It leaves out a first result that was refused as not run, because the second
// request may then run.
func (f *fleet) sendTwice(owner, other *daemon.Host, path string, length time.Duration) (results []result) {
	limit := time.Now().Add(length)
	for n := 0; time.Now().Before(limit); n++ {
		time.Sleep(10 * time.Millisecond)
		ticket := f.lookupAt(owner).Ticket
		if ticket == "" {
			continue // Without a ticket, both requests would run.
		}
		pair := []string{owner.Address().String(), other.Address().String()}
		if n%2 == 1 {
			slices.Reverse(pair)
		}
		first := f.send(pair[0], http.MethodPost, fmt.Sprintf("%s/%d", path, n), "alfa", ticket)
		second := f.send(pair[1], http.MethodPost, first.path, "alfa", ticket)
		if first.verdict != steer.NotRun || first.err != nil {
			results = append(results, first)
		}
		results = append(results, second)
	}
	return results
}

// answersWith returns a function that reports whether all hosts answer requests with the key with one of the status codes.
func (f *fleet) answersWith(hosts []*daemon.Host, key string, codes ...int) func() bool {
	return func() bool {
		for _, h := range hosts {
			r := f.send(h.Address().String(), http.MethodGet, "/withdrawn", key, "")
			if !slices.Contains(codes, r.status) {
				f.lastUnexpected = fmt.Sprintf("%s: %d %s %v", h.Self().ID, r.status, r.reason, r.err)
				return false
			}
		}
		return true
	}
}

// checkCutOffResults checks the results of the mixed load, of the customer within its rate and of the one over its rate.
func (f *fleet) checkCutOffResults(v partitionCase, mixed, withinRate, overRate []result) {
	f.Helper()
	answered, notRun, uncertain, _ := f.checkResults(mixed)
	f.Logf("%d requests: %d answered, %d refused as not run, %d of unknown outcome", len(mixed), answered, notRun, uncertain)
	// Isolated hosts refuse the customer of the mixed load, and no other host may run a request with a ticket of theirs.
	assert.Assert(f, v.isolated || float64(notRun+uncertain) < maxRefusedFraction*float64(len(mixed)),
		"too many requests of the mixed load were refused")
	refused := 0
	for _, r := range withinRate {
		if r.status != http.StatusOK {
			refused++
		}
	}
	f.Logf("%d of %d requests within rate refused", refused, len(withinRate))
	assert.Assert(f, float64(refused) < maxRefusedFraction*float64(len(withinRate)),
		"too many requests within rate were refused")
	worst, ran := f.maxWindowUsage(overRate, 100, 50)
	f.Logf("%d requests ran over rate, worst window used %.2f of rate * W + burst", ran, worst)
	assert.Assert(f, worst <= 1, "a window held %.2f times rate * W + burst", worst)
}

// checkNoNewWork checks that a target got no new request later than 2 s after the announcement, while the other target of
// its data centre did.
func (f *fleet) checkNoNewWork(id string, announced time.Time) {
	f.Helper()
	if id == "" {
		return
	}
	last := func(id string) time.Duration {
		runs := f.targets[id].Record()
		return runs[len(runs)-1].Started.Sub(announced)
	}
	other := string([]byte{id[0], id[1] ^ 1}) // The targets of a data centre are t0 and t1, t2 and t3 and so on.
	f.Logf("%s got its last new request %v after the announcement that it leaves, %s %v", id, last(id), other, last(other))
	assert.Assert(f, last(id) <= leaveLimit, "%s got a new request %v after the announcement", id, last(id))
	assert.Assert(f, last(other) > leaveLimit, "no request at %s after the announcement", other)
}
