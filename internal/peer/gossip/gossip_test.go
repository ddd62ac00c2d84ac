package gossip_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

// ear records what a host hears.
type ear struct {
	mu     sync.Mutex
	demand map[string]float64 // Of the customer naviera, by host.
	left   map[string]bool
	facts  []steer.Fact
}

func (e *ear) heard(_ time.Time, news gossip.PeerStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand[news.PeerID] = news.Usage["naviera"].Requested
	e.left[news.PeerID] = news.Leaving
}

func (e *ear) changes(_ time.Time, _ string, c steer.Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.facts = append(e.facts, c.Facts...)
}

func (e *ear) get(host string) (float64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand[host], e.left[host]
}

func (e *ear) forget(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.demand, host)
}

func newHost(t *testing.T, id, dataCentre string, demand float64) (*gossip.Gossiper, *ear, steer.HostEntry) {
	t.Helper()
	report := share.Report{"naviera": {
		Requested: demand,
		Admitted:  demand / 2,
	}}
	e := &ear{
		demand: map[string]float64{},
		left:   map[string]bool{},
	}
	teller := gossip.New(gossip.Config{
		Host:         id,
		DataCentre:   dataCentre,
		Usage:        func(time.Time) share.Report { return report },
		Sum:          func(mates []string) (share.Report, int) { return report, len(mates) + 1 },
		OnPeerStatus: e.heard,
		Changes:      e.changes,
	})
	t.Cleanup(teller.Stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		Handler: teller.Handler(),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return teller, e, steer.HostEntry{
		ID:          id,
		DataCentre:  dataCentre,
		PeerAddress: netip.MustParseAddrPort(listener.Addr().String()),
	}
}

// newNoter is a host that sees a failure of one target in each round and passes on what it hears of targets.
func newNoter(t *testing.T, id string, noted func([]steer.TargetObservation)) (*gossip.Gossiper, steer.HostEntry) {
	t.Helper()
	teller := gossip.New(gossip.Config{
		Host:         id,
		DataCentre:   "golfo-a",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
		Notes: func(time.Time) []steer.TargetObservation {
			return []steer.TargetObservation{{
				Target: "target-of-" + id,
				Failed: 1,
			}}
		},
		OnNotes: func(_ time.Time, notes []steer.TargetObservation) { noted(notes) },
	})
	t.Cleanup(teller.Stop)
	server := httptest.NewServer(teller.Handler())
	t.Cleanup(server.Close)
	return teller, steer.HostEntry{
		ID:          id,
		DataCentre:  "golfo-a",
		PeerAddress: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against hosts that do not learn each other's demand, or that a host leaves.
func TestHostsHearEachOther(t *testing.T) {
	a, earA, hostA := newHost(t, "a", "golfo-a", 10)
	b, earB, hostB := newHost(t, "b", "golfo-a", 20)
	hosts := []steer.HostEntry{hostA, hostB}
	a.SetHosts(time.Now(), hosts)
	b.SetHosts(time.Now(), hosts)
	until(t, func() bool {
		fromB, _ := earA.get("b")
		fromA, _ := earB.get("a")
		return fromA == 10 && fromB == 20
	})
	// A host whose registration ended may be cut off from the platform only.
	earB.forget("a")
	a.SetHosts(time.Now(), []steer.HostEntry{hostA})
	until(t, func() bool {
		fromA, _ := earB.get("a")
		return fromA == 10
	})
	a.SetHosts(time.Now().Add(time.Minute), []steer.HostEntry{hostA})
	time.Sleep(300 * time.Millisecond)
	earB.forget("a")
	time.Sleep(600 * time.Millisecond)
	fromA, _ := earB.get("a")
	assert.Equal(t, fromA, 0.0)

	a.SetHosts(time.Now(), hosts)
	until(t, func() bool {
		fromA, _ := earB.get("a")
		return fromA == 10
	})
	a.Leave()
	until(t, func() bool {
		_, left := earB.get("a")
		return left
	})
}

// Guards against a link that stays broken after the other host has started again at the same address.
func TestOpensLinkAgain(t *testing.T) {
	a, _, _ := newHost(t, "a", "golfo-a", 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	accepted := make(chan struct{}, 100)
	serve := func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_ = c.Close()
		}
	}
	go serve(listener)
	a.SetHosts(time.Now(), []steer.HostEntry{{
		ID:          "b",
		DataCentre:  "golfo-a",
		PeerAddress: netip.MustParseAddrPort(address),
	}})
	for range 2 {
		select {
		case <-accepted:
		case <-time.After(10 * time.Second):
			t.Fatal("the link was not opened again")
		}
	}
	assert.NilError(t, listener.Close())
}

// Guards against a data centre that does not learn what another one uses, or that is told once for each pair of hosts.
func TestDataCentresHearEachOther(t *testing.T) {
	tellers, ears, hosts := map[string]*gossip.Gossiper{}, map[string]*ear{}, []steer.HostEntry{}
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		teller, e, host := newHost(t, id, "golfo-"+id[:1], 10)
		tellers[id], ears[id] = teller, e
		hosts = append(hosts, host)
	}
	for _, teller := range tellers {
		teller.SetHosts(time.Now(), hosts)
	}
	until(t, func() bool {
		for id, e := range ears {
			other := map[string]string{"a": "golfo-b", "b": "golfo-a"}[id[:1]]
			if demand, _ := e.get(gossip.DataCentrePeerID(other)); demand != 10 {
				return false
			}
		}
		return true
	})
	for id, e := range ears {
		for other := range ears {
			demand, _ := e.get(other)
			assert.Equal(t, demand != 0, id != other && id[:1] == other[:1], "%s heard %s", id, other)
		}
	}
	// The next host speaks when the first one is gone.
	tellers["a1"].Stop()
	for _, id := range []string{"b1", "b2", "b3"} {
		ears[id].forget(gossip.DataCentrePeerID("golfo-a"))
	}
	until(t, func() bool {
		demand, _ := ears["b3"].get(gossip.DataCentrePeerID("golfo-a"))
		return demand == 10
	})
}

// Guards against changes of entries that other hosts get mutilated.
func TestRelaysChanges(t *testing.T) {
	a, _, hostA := newHost(t, "a", "golfo-a", 10)
	b, earB, hostB := newHost(t, "b", "golfo-a", 20)
	a.SetHosts(time.Now(), []steer.HostEntry{hostA, hostB})
	b.SetHosts(time.Now(), []steer.HostEntry{hostA, hostB})
	priority := 1
	facts := []steer.Fact{
		{
			Key:      "plan",
			Revision: 3,
			Plan: &steer.Plan{
				Version: 7,
				Routes: []steer.PlanRoute{{
					Name:    "r",
					Kind:    steer.KindSafe,
					Timeout: time.Second,
					WeightedServices: []steer.WeightedService{{
						Service: "reservas",
						Weight:  1,
					}},
				}},
				Services: map[string]steer.PlanService{"reservas": {
					Name:       "reservas",
					WarmupRate: 4.7,
				}},
				Customers: []steer.PlanCustomer{{
					Name:     "naviera",
					Keys:     []string{"k"},
					Priority: &priority,
				}},
			},
		},
		{
			Key:      "target",
			Revision: 4,
			Endpoint: &steer.Endpoint{
				ID:         "i-1",
				Address:    netip.MustParseAddrPort("10.0.0.1:80"),
				WarmupLeft: time.Second,
			},
		},
		{
			Key:      "host",
			Revision: 5,
			Host:     &hostB,
		},
		{
			Key:      "gone",
			Revision: 6,
			Removed:  true,
		},
		{
			Key:      "bad",
			Revision: 7,
			Problem:  errors.New("entry lacks a field"),
		},
	}
	heard := func() []steer.Fact {
		earB.mu.Lock()
		defer earB.mu.Unlock()
		return slices.Clone(earB.facts)
	}
	until(t, func() bool {
		a.Relay(steer.Changes{
			From:  2,
			To:    7,
			Facts: facts,
		})
		return len(heard()) > 0
	})
	got := heard()[:len(facts)]
	assert.Equal(t, got[4].Problem.Error(), facts[4].Problem.Error())
	got[4].Problem = facts[4].Problem
	assert.DeepEqual(t, got, facts, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
		cmp.Comparer(func(a, b error) bool { return (a == nil) == (b == nil) }))
}

// Guards against a process that ends, or hears nobody any more, because one message cannot be handled.
func TestPanicEndsOneMessageOnly(t *testing.T) {
	a, _, hostA := newHost(t, "a", "golfo-a", 10)
	var panics, heard atomic.Int64
	b := gossip.New(gossip.Config{
		Host:       "b",
		DataCentre: "golfo-a",
		Usage:      func(time.Time) share.Report { return nil },
		Sum:        func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {
			if panics.Add(1) == 1 {
				panic("unexpected")
			}
			heard.Add(1)
		},
	})
	t.Cleanup(b.Stop)
	server := httptest.NewServer(b.Handler())
	t.Cleanup(server.Close)
	hostB := steer.HostEntry{
		ID:          "b",
		DataCentre:  "golfo-a",
		PeerAddress: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
	a.SetHosts(time.Now(), []steer.HostEntry{hostA, hostB})
	until(t, func() bool { return heard.Load() > 2 })
}

// Guards against a message of any content that ends the process or is taken for another one.
func FuzzMessage(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x64, 'h', 'o', 's', 't', 0x61, 'a'})
	teller := gossip.New(gossip.Config{
		Host:         "b",
		DataCentre:   "golfo-a",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
	})
	f.Cleanup(teller.Stop)
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := teller.Receive(data); err != nil {
			t.Skip()
		}
	})
}
