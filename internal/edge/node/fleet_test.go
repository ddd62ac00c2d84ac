package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/node"
)

const (
	// changeLimit is the time within which a change is in force at hosts that reach the platform (goal of docs/design.md,
	// section 1).
	changeLimit = 2 * time.Second

	// contactLimit is the same for hosts that have just lost or regained the platform. It is contact-s of the platform's pages.
	contactLimit = 3 * time.Second
)

// separableCatalog is the catalog as one host reaches it.
type separableCatalog struct {
	*catalog
	separated *atomic.Bool // All calls of the host fail.
}

func (c separableCatalog) List(ctx context.Context) ([]steer.Fact, steer.Position, error) {
	if c.separated.Load() {
		return nil, steer.Position{}, steer.ErrDown
	}
	return c.catalog.List(ctx)
}

func (c separableCatalog) Changes(ctx context.Context, after steer.Position, wait time.Duration) ([]steer.Fact, steer.Position, error) {
	if c.separated.Load() {
		return nil, steer.Position{}, steer.ErrDown
	}
	facts, position, err := c.catalog.Changes(ctx, after, wait)
	if c.separated.Load() {
		return nil, steer.Position{}, steer.ErrDown
	}
	return facts, position, err
}

func (c separableCatalog) Renew(ctx context.Context, lease steer.Lease) error {
	if c.separated.Load() {
		return steer.ErrDown
	}
	return c.catalog.Renew(ctx, lease)
}

// fleetHost is one host of a nodeFleet, with a caller that keeps its connection open.
type fleetHost struct {
	address    netip.AddrPort
	dataCentre string
	client     *http.Client
	node       *node.Node
	funcs      *platformFuncs
	separated  *atomic.Bool
}

// nodeFleet runs two hosts in each of three data centres.
type nodeFleet struct {
	catalog *catalog
	hosts   []*fleetHost
}

func newNodeFleet(t *testing.T) *nodeFleet {
	t.Helper()
	f := &nodeFleet{
		catalog: newCatalog(t, 0),
	}
	t.Cleanup(f.shutDown)
	for i, dataCentre := range []string{"golfo-a", "golfo-a", "golfo-b", "golfo-b", "pacifico-a", "pacifico-a"} {
		f.hosts = append(f.hosts, f.startHost(t, fmt.Sprint("host-", i), dataCentre))
	}
	waitUntil(t, "all hosts serve", func() bool {
		for _, h := range f.hosts {
			if !h.funcs.ready() || h.request() != "200 done naviera" {
				return false
			}
		}
		return true
	})
	return f
}

func (f *nodeFleet) startHost(t *testing.T, id, dataCentre string) *fleetHost {
	t.Helper()
	h := &fleetHost{
		dataCentre: dataCentre,
		client: &http.Client{
			Transport: &http.Transport{},
			Timeout:   2 * time.Second,
		},
		separated: &atomic.Bool{},
	}
	region := map[string]string{"golfo-a": "golfo", "golfo-b": "golfo", "pacifico-a": "pacifico"}[dataCentre]
	n, funcs, settings := newHost(t, id, dataCentre, region, separableCatalog{
		catalog:   f.catalog,
		separated: h.separated,
	})
	h.address, h.node, h.funcs = settings.Listen, n, funcs
	return h
}

func (f *nodeFleet) shutDown() {
	var wait sync.WaitGroup
	for _, h := range f.hosts {
		h.client.CloseIdleConnections()
		wait.Go(func() { _ = h.node.Shutdown(context.Background()) }) // Other tests check how hosts stop.
	}
	wait.Wait()
}

// request returns the status and the body of the response to a request at the host, or the error.
func (h *fleetHost) request() string {
	status, body, err := book(h.client, h.address)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(status, " ", body)
}

// checkAll checks the responses of all hosts for one second. Each must begin with the given text.
func (f *nodeFleet) checkAll(t *testing.T, want string) {
	t.Helper()
	var wait sync.WaitGroup
	for _, h := range f.hosts {
		wait.Go(func() {
			failed, all, last := 0, 0, ""
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				all++
				if got := h.request(); !strings.HasPrefix(got, want) {
					failed++
					last = got
				}
			}
			assert.Check(t, failed == 0, "%s in %s: %d of %d responses, such as %q", h.address, h.dataCentre, failed, all, last)
		})
	}
	wait.Wait()
}

// separation is a way in which hosts cannot reach the platform when a change is made.
type separation struct {
	name      string
	separates func(i int, h *fleetHost) bool
	returns   bool // The hosts reach the platform again after the change.
	limit     time.Duration
}

// separations are the ways in which all hosts reach the platform in the end.
var separations = []separation{
	{
		name:      "all hosts reach the platform",
		separates: func(int, *fleetHost) bool { return false },
		limit:     changeLimit,
	},
	{
		name:      "a data centre is back",
		separates: func(_ int, h *fleetHost) bool { return h.dataCentre == "golfo-b" },
		returns:   true,
		limit:     contactLimit,
	},
}

// relayed is the separation in which one host of each data centre depends on the changes that the other one relays.
var relayed = separation{
	separates: func(i int, _ *fleetHost) bool { return i%2 == 0 },
	limit:     contactLimit,
}

// change makes a change while hosts are separated, and waits for the time within which it must be in force.
func (f *nodeFleet) change(s separation, fact steer.Fact) {
	for i, h := range f.hosts {
		h.separated.Store(s.separates(i, h))
	}
	time.Sleep(time.Second) // The other hosts of the data centres take over.
	f.catalog.put(fact)
	if s.returns {
		time.Sleep(500 * time.Millisecond)
		for _, h := range f.hosts {
			h.separated.Store(false)
		}
	}
	time.Sleep(s.limit)
}

func checkWithdrawnKey(t *testing.T, s separation) {
	t.Helper()
	f := newNodeFleet(t)
	plan := *f.catalog.fact("plan").Plan
	plan.Version++
	plan.Customers = []steer.PlanCustomer{{
		Name: "naviera",
	}}
	f.change(s, steer.Fact{
		Key:  "plan",
		Plan: &plan,
	})
	f.checkAll(t, "401")
}

func checkTargetThatLeaves(t *testing.T, s separation) {
	t.Helper()
	f := newNodeFleet(t)
	f.catalog.put(startTarget(t, "target-2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") }))
	waitUntil(t, "some requests go to the second target", func() bool { return f.hosts[0].request() == "200 other" })
	f.change(s, steer.Fact{
		Key:     "target-1",
		Removed: true,
	})
	f.checkAll(t, "200 other")
}

// Guards against a withdrawn key that is accepted on open connections after other hosts have learned of it.
func TestWithdrawnKeyIsRefusedByAllHosts(t *testing.T) {
	for _, s := range separations {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			checkWithdrawnKey(t, s)
		})
	}
}

// Guards against a target that has left and gets new requests from hosts that learn of it late.
func TestTargetThatLeavesGetsNoNewWork(t *testing.T) {
	for _, s := range separations {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			checkTargetThatLeaves(t, s)
		})
	}
}

// Guards against hosts without the platform that miss all changes after one relayed message was lost.
func TestRelayedChangesBindHostsWithoutPlatform(t *testing.T) {
	t.Run("withdrawn key", func(t *testing.T) { checkWithdrawnKey(t, relayed) })
	t.Run("target that leaves", func(t *testing.T) { checkTargetThatLeaves(t, relayed) })
}

// Guards against a request that crashes target after target, because each host judges every attempt by itself.
func TestDeadlyRequestIsRejectedByAllHosts(t *testing.T) {
	const allowed = 3 // Sends later than contactLimit after the third crash, as the platform's pages allow.
	t.Parallel()
	f := newNodeFleet(t)
	var mu sync.Mutex // Guards crashes.
	var crashes []time.Time
	crashCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	for i := range 8 {
		f.catalog.put(startTarget(t, fmt.Sprint("fragile-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/b/deadly" {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "other")
		}))
	}
	f.catalog.put(steer.Fact{
		Key:     "target-1",
		Removed: true,
	})
	time.Sleep(changeLimit)
	last := 0
	for n, end := 0, time.Now().Add(2*contactLimit); time.Now().Before(end); n++ {
		h := f.hosts[n%len(f.hosts)]
		status, _, err := post(h.client, h.address, "/b/deadly")
		assert.NilError(t, err)
		last = status
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, crashCount() >= 3, "%d crashes", crashCount())
	late := 0
	mu.Lock()
	for _, at := range crashes[3:] {
		if at.Sub(crashes[2]) > contactLimit {
			late++
		}
	}
	mu.Unlock()
	t.Logf("%d crashes, %d of them late", crashCount(), late)
	assert.Check(t, late <= allowed, "%d late sends", late)
	assert.Check(t, last == http.StatusServiceUnavailable, "status %d", last)
	f.checkAll(t, "200 other")
	f.shutDown()
	started := f.startHost(t, "started", "golfo-a")
	f.hosts = []*fleetHost{started}
	waitUntil(t, "the host is ready", started.funcs.ready)
	before := crashCount()
	for range 20 {
		status, _, err := post(started.client, started.address, "/b/deadly")
		assert.NilError(t, err)
		assert.Check(t, status == http.StatusServiceUnavailable, "status %d after the restart of all hosts", status)
	}
	assert.Check(t, crashCount() == before, "%d crashes after the restart of all hosts", crashCount()-before)
}

// Guards against requests that are cut while all hosts are replaced one after the other under load.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := newNodeFleet(t)
	var mu sync.Mutex // Guards f.hosts while the load runs.
	pick := func(n int) *fleetHost {
		mu.Lock()
		defer mu.Unlock()
		return f.hosts[n%len(f.hosts)]
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var answered atomic.Int64
	for worker := range 8 {
		client := &http.Client{
			Transport: &http.Transport{},
			Timeout:   3 * time.Second,
		}
		t.Cleanup(client.CloseIdleConnections)
		wait.Go(func() {
			for n := worker; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				list, _ := pick(n).funcs.lookup("h.example", "golfo", dataCentreOf(n))
				for _, address := range list {
					status, _, err := book(client, address)
					if errors.Is(err, syscall.ECONNREFUSED) {
						continue // The host has stopped, and no request was sent.
					}
					if err != nil {
						t.Errorf("request was cut: %v", err)
						return
					}
					if status == http.StatusOK {
						answered.Add(1)
					}
					break
				}
			}
		})
	}
	for i := range f.hosts {
		old := pick(i)
		replacement := f.startHost(t, fmt.Sprint("replacement-", i), old.dataCentre)
		waitUntil(t, "the replacement is ready", replacement.funcs.ready)
		mu.Lock()
		f.hosts[i] = replacement
		mu.Unlock()
		assert.NilError(t, old.node.Shutdown(context.Background()))
	}
	close(stop)
	wait.Wait()
	t.Logf("%d requests answered", answered.Load())
	assert.Assert(t, answered.Load() > 0)
}

// dataCentreOf spreads callers over the data centres.
func dataCentreOf(n int) string { return []string{"golfo-a", "golfo-b", "pacifico-a"}[n%3] }
