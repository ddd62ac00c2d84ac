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

// recorder records what a host receives from others.
type recorder struct {
	mu      sync.Mutex
	demand  map[string]float64 // Of the customer naviera, by peer id.
	leaving map[string]bool
	changes []steer.Changes
}

func (r *recorder) recordStatus(_ time.Time, status gossip.PeerStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand[status.PeerID] = status.Usage["naviera"].Requested
	r.leaving[status.PeerID] = status.Leaving
}

func (r *recorder) recordChanges(_ time.Time, _ string, c steer.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, c)
}

func (r *recorder) get(host string) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand[host], r.leaving[host]
}

func (r *recorder) reset(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.demand, host)
}

func newHost(t *testing.T, id, dataCentre string, demand float64) (*gossip.Gossiper, *recorder, steer.HostEntry) {
	t.Helper()
	report := share.Report{"naviera": {
		Requested: demand,
		Admitted:  demand / 2,
	}}
	r := &recorder{
		demand:  map[string]float64{},
		leaving: map[string]bool{},
	}
	gossiper := gossip.New(gossip.Config{
		Host:         id,
		DataCentre:   dataCentre,
		Usage:        func(time.Time) share.Report { return report },
		Sum:          func(peers []string) (share.Report, int) { return report, len(peers) + 1 },
		OnPeerStatus: r.recordStatus,
		Changes:      r.recordChanges,
	})
	t.Cleanup(gossiper.Stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		Handler: gossiper.Handler(),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return gossiper, r, steer.HostEntry{
		ID:          id,
		DataCentre:  dataCentre,
		PeerAddress: netip.MustParseAddrPort(listener.Addr().String()),
	}
}

// newNotingHost returns a host that observes a failure of one target in each round, and calls onNotes with the notes that it
// receives.
func newNotingHost(t *testing.T, id string, onNotes func([]steer.TargetObservation)) (*gossip.Gossiper, steer.HostEntry) {
	t.Helper()
	gossiper := gossip.New(gossip.Config{
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
		OnNotes: func(_ time.Time, notes []steer.TargetObservation) { onNotes(notes) },
	})
	t.Cleanup(gossiper.Stop)
	server := httptest.NewServer(gossiper.Handler())
	t.Cleanup(server.Close)
	return gossiper, steer.HostEntry{
		ID:          id,
		DataCentre:  "golfo-a",
		PeerAddress: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against hosts that do not learn each other's demand, or do not learn that a host leaves.
func TestHostsExchangeUsage(t *testing.T) {
	a, recorderA, hostA := newHost(t, "a", "golfo-a", 10)
	b, recorderB, hostB := newHost(t, "b", "golfo-a", 20)
	hosts := []steer.HostEntry{hostA, hostB}
	a.SetHosts(time.Now(), hosts)
	b.SetHosts(time.Now(), hosts)
	waitUntil(t, func() bool {
		fromB, _ := recorderA.get("b")
		fromA, _ := recorderB.get("a")
		return fromA == 10 && fromB == 20
	})
	// Messages go on to a host whose registration ended, since it may only be cut off from the platform.
	recorderB.reset("a")
	a.SetHosts(time.Now(), []steer.HostEntry{hostA})
	waitUntil(t, func() bool {
		fromA, _ := recorderB.get("a")
		return fromA == 10
	})
	a.SetHosts(time.Now().Add(time.Minute), []steer.HostEntry{hostA})
	time.Sleep(300 * time.Millisecond)
	recorderB.reset("a")
	time.Sleep(600 * time.Millisecond)
	fromA, _ := recorderB.get("a")
	assert.Equal(t, fromA, 0.0)

	a.SetHosts(time.Now(), hosts)
	waitUntil(t, func() bool {
		fromA, _ := recorderB.get("a")
		return fromA == 10
	})
	a.Leave()
	waitUntil(t, func() bool {
		_, leaving := recorderB.get("a")
		return leaving
	})
}

// Guards against a link that stays broken after the other host has started again at the same address.
func TestReopensLink(t *testing.T) {
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

// Guards against a data centre that does not learn the usage of another one, or gets messages for each pair of hosts.
func TestDataCentresExchangeUsage(t *testing.T) {
	gossipers, recorders, hosts := map[string]*gossip.Gossiper{}, map[string]*recorder{}, []steer.HostEntry{}
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		gossiper, r, host := newHost(t, id, "golfo-"+id[:1], 10)
		gossipers[id], recorders[id] = gossiper, r
		hosts = append(hosts, host)
	}
	for _, gossiper := range gossipers {
		gossiper.SetHosts(time.Now(), hosts)
	}
	waitUntil(t, func() bool {
		for id, r := range recorders {
			other := map[string]string{"a": "golfo-b", "b": "golfo-a"}[id[:1]]
			if demand, _ := r.get(gossip.DataCentrePeerID(other)); demand != 10 {
				return false
			}
		}
		return true
	})
	for id, r := range recorders {
		for other := range recorders {
			demand, _ := r.get(other)
			assert.Equal(t, demand != 0, id != other && id[:1] == other[:1], "%s heard %s", id, other)
		}
	}
	// The next host becomes the speaker when the first one has stopped.
	gossipers["a1"].Stop()
	for _, id := range []string{"b1", "b2", "b3"} {
		recorders[id].reset(gossip.DataCentrePeerID("golfo-a"))
	}
	waitUntil(t, func() bool {
		demand, _ := recorders["b3"].get(gossip.DataCentrePeerID("golfo-a"))
		return demand == 10
	})
}

// Guards against changes of entries that lose fields on the way to other hosts.
func TestRelaysChanges(t *testing.T) {
	a, _, hostA := newHost(t, "a", "golfo-a", 10)
	b, recorderB, hostB := newHost(t, "b", "golfo-a", 20)
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
	heard := func() []steer.Changes {
		recorderB.mu.Lock()
		defer recorderB.mu.Unlock()
		return slices.Clone(recorderB.changes)
	}
	sent := steer.Changes{
		From: 2,
		To: steer.Position{
			Era:      3,
			Revision: 7,
		},
		Listing: true,
		Facts:   facts,
	}
	waitUntil(t, func() bool {
		a.Relay(sent)
		return len(heard()) > 0
	})
	got := heard()[0]
	assert.Equal(t, got.Facts[4].Problem.Error(), facts[4].Problem.Error())
	got.Facts[4].Problem = facts[4].Problem
	assert.DeepEqual(t, got, sent, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
		cmp.Comparer(func(a, b error) bool { return (a == nil) == (b == nil) }))
}

// Guards against a process that ends, or receives no further messages, because the handling of one message panics.
func TestPanicAffectsOneMessage(t *testing.T) {
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
	waitUntil(t, func() bool { return heard.Load() > 2 })
}

// Guards against malformed messages that end the process or are taken for other messages.
func FuzzMessage(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x64, 'h', 'o', 's', 't', 0x61, 'a'})
	gossiper := gossip.New(gossip.Config{
		Host:         "b",
		DataCentre:   "golfo-a",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
	})
	f.Cleanup(gossiper.Stop)
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := gossiper.Receive(data); err != nil {
			t.Skip()
		}
	})
}
