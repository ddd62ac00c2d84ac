package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/node"
	"monsoonhub.example/steer/internal/edge/setup"
)

var headerNames = steer.HeaderNames{
	RequestID:         "Id",
	Deadline:          "Deadline",
	Affinity:          "Object",
	Key:               "Key",
	Customer:          "Customer",
	ExpectedTarget:    "Expected",
	Signature:         "Signature",
	NotRun:            "Not-Run",
	Load:              "Load",
	TargetID:          "Target",
	RetryAfter:        "Retry-After",
	MisdirectedStatus: http.StatusMisdirectedRequest,
}

// catalog is a steer.Catalog in memory, shared by all hosts of a test.
type catalog struct {
	mu       sync.Mutex
	facts    map[string]steer.Fact
	log      []steer.Fact
	revision uint64
	leases   map[steer.Lease]string // Key of the entry that a lease keeps.
	snapshot []byte
}

func (c *catalog) put(f steer.Fact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	f.Revision = c.revision
	c.log = append(c.log, f)
	if f.Removed {
		delete(c.facts, f.Key)
	} else {
		c.facts[f.Key] = f
	}
}

func (c *catalog) fact(key string) steer.Fact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.facts[key]
}

func (c *catalog) List(context.Context) ([]steer.Fact, steer.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []steer.Fact
	for _, f := range c.facts {
		list = append(list, f)
	}
	return list, steer.Position{
		Revision: c.revision,
	}, nil
}

func (c *catalog) Changes(ctx context.Context, after steer.Position, wait time.Duration) ([]steer.Fact, steer.Position, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		list := append([]steer.Fact(nil), c.log[min(int(after.Revision), len(c.log)):]...)
		revision := c.revision
		c.mu.Unlock()
		if len(list) > 0 {
			return list, steer.Position{
				Revision: revision,
			}, nil
		}
	}
	return nil, after, ctx.Err()
}

func (c *catalog) Snapshot(context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot, nil
}

func (c *catalog) SaveSnapshot(_ context.Context, data []byte) error {
	c.mu.Lock()
	c.snapshot = data
	c.mu.Unlock()
	c.put(steer.Fact{
		Key: "snapshot",
	})
	return nil
}

func (c *catalog) Grant(context.Context, time.Duration) (steer.Lease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := steer.Lease{
		ID: steer.LeaseID(fmt.Sprint(len(c.leases) + 1)),
	}
	c.leases[id] = ""
	return id, nil
}

func (c *catalog) Renew(context.Context, steer.Lease) error { return nil }

func (c *catalog) Revoke(_ context.Context, lease steer.Lease) error {
	c.mu.Lock()
	key := c.leases[lease]
	c.mu.Unlock()
	c.put(steer.Fact{
		Key:     key,
		Removed: true,
	})
	return nil
}

func (c *catalog) Announce(_ context.Context, host steer.HostEntry, lease steer.Lease) error {
	key := "hosts/" + host.ID
	c.mu.Lock()
	c.leases[lease] = key
	c.mu.Unlock()
	c.put(steer.Fact{
		Key:  key,
		Host: &host,
	})
	return nil
}

func (c *catalog) Reject(_ context.Context, request uint64, lease steer.Lease) error {
	key := fmt.Sprint("rejected/", request)
	c.mu.Lock()
	c.leases[lease] = key
	c.mu.Unlock()
	c.put(steer.Fact{
		Key:      key,
		Rejected: request,
	})
	return nil
}

// platformFuncs holds the functions of a host that the platform calls.
type platformFuncs struct {
	lookup func(name, region, dataCentre string) ([]netip.AddrPort, time.Duration)
	ready  func() bool
}

// lastAddress numbers the loopback addresses that freePort has returned.
var lastAddress atomic.Uint32

// freePort returns a port of a loopback address of its own, which no other host and no outgoing connection takes meanwhile.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	n := lastAddress.Add(1)
	address := netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(address, 0).String())
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func newHost(t *testing.T, id, dataCentre, region string, c steer.Catalog) (*node.Node, *platformFuncs, setup.Settings) {
	t.Helper()
	return newHostWith(t, id, dataCentre, region, c, func(*node.Config) {})
}

// newHostWith returns a host with a changed configuration.
func newHostWith(
	t *testing.T, id, dataCentre, region string, c steer.Catalog, change func(*node.Config),
) (*node.Node, *platformFuncs, setup.Settings) {
	t.Helper()
	s := setup.Settings{
		HostID:              id,
		DataCentre:          dataCentre,
		Region:              region,
		Regions:             map[string]string{"golfo-a": "golfo", "golfo-b": "golfo", "pacifico-a": "pacifico"},
		Listen:              freePort(t),
		ReadyListen:         freePort(t),
		DirectoryListen:     freePort(t),
		PeerListen:          freePort(t),
		MetricsListen:       freePort(t),
		Store:               freePort(t),
		MemoryMB:            256,
		GraceSeconds:        2,
		DirectoryTTLSeconds: 5,
		RetryRatio:          0.2,
		QuotaWindowSeconds:  5,
	}
	var funcs platformFuncs
	config := node.Config{
		Settings: s,
		Catalog:  c,
		Headers:  headerNames,
		PlatformAPI: node.PlatformAPI{
			Directory: func(lookup func(_, _, _ string) ([]netip.AddrPort, time.Duration)) http.Handler {
				funcs.lookup = lookup
				return http.NotFoundHandler()
			},
			Readiness: func(ready func() bool) http.Handler {
				funcs.ready = ready
				return http.NotFoundHandler()
			},
		},
	}
	change(&config)
	n, err := node.New(config)
	assert.NilError(t, err)
	return n, &funcs, s
}

// newCatalog returns a catalog with a plan and a running target that answers after the given latency.
func newCatalog(t *testing.T, latency time.Duration) *catalog {
	t.Helper()
	c := &catalog{
		facts:  map[string]steer.Fact{},
		leases: map[steer.Lease]string{},
	}
	target := startTarget(t, "target-1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		_, _ = io.WriteString(w, "done "+r.Header.Get("Customer"))
	})
	c.put(steer.Fact{
		Key: "plan",
		Plan: &steer.Plan{
			Version: 1,
			Routes: []steer.PlanRoute{{
				Name:        "booking",
				Host:        "h.example",
				Prefix:      "/b/",
				Kind:        steer.KindUnsafe,
				Timeout:     time.Second,
				MaxAttempts: 2,
				WeightedServices: []steer.WeightedService{{
					Service: "reservas",
					Weight:  1,
				}},
			}},
			Services: map[string]steer.PlanService{"reservas": {
				Name: "reservas",
			}},
			Customers: []steer.PlanCustomer{{
				Name: "naviera",
				Keys: []string{"secret"},
			}},
		},
	})
	c.put(target)
	return c
}

// startTarget starts a target and returns its registration, whose key is the ID.
func startTarget(t *testing.T, id string, respond http.HandlerFunc) steer.Fact {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Signature", "s")
			w.Header().Set("Id", r.Header.Get("Id"))
			respond(w, r)
		}),
	}
	go func() { _ = target.Serve(listener) }()
	t.Cleanup(func() { _ = target.Close() })
	return steer.Fact{
		Key: id,
		Endpoint: &steer.Endpoint{
			ID:         id,
			Service:    "reservas",
			Address:    netip.MustParseAddrPort(listener.Addr().String()),
			DataCentre: "golfo-a",
			Slots:      9,
		},
	}
}

func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func book(client *http.Client, address netip.AddrPort) (int, string, error) {
	return post(client, address, "/b/1")
}

func post(client *http.Client, address netip.AddrPort, path string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set("Key", "secret")
	request.Header.Set("Id", "1")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Guards against a part of the request path that is not connected, and a directory that returns the wrong hosts.
func TestServesCallersAndDirectory(t *testing.T) {
	platform := newCatalog(t, 0)
	a, funcsA, settingsA := newHost(t, "host-a", "golfo-a", "golfo", platform)
	b, funcsB, settingsB := newHost(t, "host-b", "pacifico-a", "pacifico", platform)
	defer func() { assert.NilError(t, b.Shutdown(context.Background())) }()
	waitUntil(t, "hosts are ready", func() bool { return funcsA.ready() && funcsB.ready() })
	status, body, err := book(http.DefaultClient, settingsA.Listen)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "done naviera")

	waitUntil(t, "the directory returns the host of the data centre", func() bool {
		list, _ := funcsB.lookup("h.example", "golfo", "golfo-a")
		return len(list) == 1 && list[0] == settingsA.Listen
	})
	list, ttl := funcsB.lookup("h.example", "golfo", "golfo-b")
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0], settingsA.Listen, "a host of the region should come next")
	assert.Assert(t, ttl > 0 && ttl <= settingsB.DirectoryTTL())

	assert.NilError(t, a.Shutdown(context.Background()))
	waitUntil(t, "the directory returns no host that has stopped", func() bool {
		list, _ := funcsB.lookup("h.example", "golfo", "golfo-a")
		return len(list) == 1 && list[0] == settingsB.Listen
	})
}

// putLargeRoute adds a route with large responses to the plan.
func putLargeRoute(platform *catalog) {
	plan := *platform.fact("plan").Plan
	plan.Version++
	plan.Routes = append(slices.Clone(plan.Routes), steer.PlanRoute{
		Name:             "download",
		Host:             "h.example",
		Prefix:           "/d/",
		Kind:             steer.KindLarge,
		MaxAttempts:      1,
		WeightedServices: plan.Routes[0].WeightedServices,
	})
	platform.put(steer.Fact{
		Key:  "plan",
		Plan: &plan,
	})
}

// startHosts starts hosts of one data centre with the given links in Mbit/s and cores.
func startHosts(t *testing.T, platform *catalog, links, cores []float64) ([]*node.Node, []*platformFuncs, []netip.AddrPort) {
	t.Helper()
	var nodes []*node.Node
	var directories []*platformFuncs
	var addresses []netip.AddrPort
	for i := range links {
		n, funcs, settings := newHostWith(t, fmt.Sprint("host-", i), "golfo-a", "golfo", platform, func(c *node.Config) {
			s := &c.Settings
			s.DirectoryHosts, s.LinkMbps, s.CPUShare, s.Cores = steer.ModeAuto, links[i], 0.1, 10*cores[i]
		})
		nodes, directories, addresses = append(nodes, n), append(directories, funcs), append(addresses, settings.Listen)
	}
	return nodes, directories, addresses
}

// allName returns a function that reports whether all directories name just these hosts.
func allName(directories []*platformFuncs, want ...netip.AddrPort) func() bool {
	return func() bool {
		for _, funcs := range directories {
			list, _ := funcs.lookup("h.example", "golfo", "golfo-a")
			slices.SortFunc(list, netip.AddrPort.Compare)
			if !slices.Equal(list, want) {
				return false
			}
		}
		return true
	}
}

// Guards against a directory that sends callers to hosts with narrow links, one that depends on the host that is asked, and one that goes
// on naming a wide host that has left.
func TestDirectoryNamesHostsByCapacity(t *testing.T) {
	platform := newCatalog(t, 0)
	putLargeRoute(platform)
	nodes, directories, addresses := startHosts(t, platform, []float64{10, 200, 200, 10}, []float64{4, 8, 8, 4})
	waitUntil(t, "all directories name the wide hosts", allName(directories, addresses[1], addresses[2]))
	assert.Equal(t, platform.fact("hosts/host-1").Host.LinkMbps, 200.0)
	assert.Equal(t, platform.fact("hosts/host-1").Host.CPUCores, 8.0)
	assert.NilError(t, nodes[1].Shutdown(context.Background()))
	directories = slices.Delete(directories, 1, 2)
	waitUntil(t, "the directories name the wide host that is left, and another one", allName(directories, addresses[0], addresses[2]))
	assert.NilError(t, nodes[2].Shutdown(context.Background()))
	directories = slices.Delete(directories, 1, 2)
	waitUntil(t, "the directories name the narrow hosts", allName(directories, addresses[0], addresses[3]))
	assert.NilError(t, nodes[0].Shutdown(context.Background()))
	assert.NilError(t, nodes[3].Shutdown(context.Background()))
}

// Guards against loads of hosts that are not measured, or do not reach the other hosts: the processors of the wide hosts are so small that
// they are loaded without any request.
func TestDirectoryNamesNarrowHostsUnderLoad(t *testing.T) {
	platform := newCatalog(t, 0)
	putLargeRoute(platform)
	nodes, directories, addresses := startHosts(t, platform, []float64{200, 200, 10}, []float64{1e-5, 1e-5, 8})
	waitUntil(t, "all directories name the wide hosts", allName(directories, addresses[:2]...))
	waitUntil(t, "all directories name the narrow host too", allName(directories, addresses...))
	for _, n := range nodes {
		assert.NilError(t, n.Shutdown(context.Background()))
	}
}

// Guards against a stopping host that cuts requests in flight, or does not ask callers on open connections to leave.
func TestShutdownCutsNoRequest(t *testing.T) {
	platform := newCatalog(t, 100*time.Millisecond)
	a, funcsA, settings := newHost(t, "host-a", "golfo-a", "golfo", platform)
	waitUntil(t, "host is ready", funcsA.ready)
	var wait sync.WaitGroup
	stopped := make(chan struct{})
	for range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{
				Transport: &http.Transport{},
			}
			for {
				status, _, err := book(client, settings.Listen)
				select {
				case <-stopped:
					return
				default:
				}
				if err != nil {
					var operation *net.OpError
					assert.Check(t, errors.As(err, &operation) && operation.Op == "dial", "%v", err)
					return
				}
				assert.Check(t, status == 200 || status == 503, "status %d", status)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, a.Shutdown(context.Background()))
	close(stopped)
	wait.Wait()
	assert.Assert(t, !funcsA.ready())
}

// Guards against changed settings that are ignored, and against a reload that moves a listener that callers use.
func TestReload(t *testing.T) {
	platform := newCatalog(t, 0)
	a, funcs, settings := newHost(t, "host-a", "golfo-a", "golfo", platform)
	waitUntil(t, "host is ready", funcs.ready)
	changed := settings
	changed.DirectoryTTLSeconds = 0.5
	changed.GraceSeconds = 1
	changed.Listen = freePort(t)
	a.Reload(changed)
	_, ttl := funcs.lookup("h.example", "golfo", "golfo-a")
	assert.Equal(t, ttl, 500*time.Millisecond)
	status, _, err := book(http.DefaultClient, settings.Listen)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	startedAt := time.Now()
	assert.NilError(t, a.Shutdown(context.Background()))
	assert.Assert(t, time.Since(startedAt) < 1500*time.Millisecond)
}
