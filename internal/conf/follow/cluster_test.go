package follow_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/follow"
	"monsoonhub.example/steer/internal/conf/manif"
	"monsoonhub.example/steer/internal/conf/publ"
)

const heartbeat = 500 * time.Millisecond

// regions maps data centres to their regions.
var regions = map[string]string{"golfo": "mar", "pacifico": "mar", "altiplano": "altiplano"}

// store is an in-memory store with faults. Get, Swap and Watch take at least 2 ms.
type store struct {
	mu       sync.Mutex
	entries  map[string]steer.Entry
	revision uint64
	calls    atomic.Int64 // Calls in all.
	parts    atomic.Int64 // Get calls for parts.
	down     bool
	hang     chan struct{} // If not nil, calls block until it is closed and ignore their context.
}

// startCall applies the faults to a call and counts it.
func (s *store) startCall() error {
	s.mu.Lock()
	hang := s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
	time.Sleep(2 * time.Millisecond)
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return steer.ErrDown
	}
	return nil
}

func (s *store) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) Get(_ context.Context, key string) (steer.Entry, error) {
	if err := s.startCall(); err != nil {
		return steer.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(key, manif.PartKey("")) {
		s.parts.Add(1)
	}
	e, ok := s.entries[key]
	if !ok {
		return e, steer.ErrNotFound
	}
	return e, nil
}

func (s *store) Swap(_ context.Context, key string, revision uint64, value []byte, _ steer.LeaseID) (uint64, error) {
	if err := s.startCall(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return 0, steer.ErrConflict
	}
	s.revision++
	s.entries[key] = steer.Entry{
		Key:      key,
		Value:    value,
		Revision: s.revision,
	}
	return s.revision, nil
}

func (s *store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (steer.Entry, error) {
	if err := s.startCall(); err != nil {
		return steer.Entry{}, err
	}
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		e := s.entries[key]
		down := s.down
		s.mu.Unlock()
		switch {
		case down:
			return e, steer.ErrDown
		case e.Revision > after:
			return e, nil
		case !time.Now().Before(end) || ctx.Err() != nil:
			return e, steer.ErrUnchanged
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (*store) Remove(context.Context, string, uint64) error { return steer.ErrDown }

func (*store) Grant(context.Context, time.Duration) (steer.LeaseID, error) { return "", steer.ErrDown }

func (*store) Renew(context.Context, steer.LeaseID) error { return steer.ErrDown }

func (*store) Revoke(context.Context, steer.LeaseID) error { return steer.ErrDown }

func (s *store) manifest() *manif.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := manif.Decode(s.entries[manif.Key].Value)
	if err != nil {
		return &manif.Manifest{}
	}
	return m
}

// link is the connection of one host to the store.
type link struct {
	*store
	mu     sync.Mutex
	cutOff bool // Calls block until their context ends.
}

func (l *link) Get(ctx context.Context, key string) (steer.Entry, error) {
	if l.isCutOff() {
		<-ctx.Done()
		return steer.Entry{}, ctx.Err()
	}
	return l.store.Get(ctx, key)
}

func (l *link) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (steer.Entry, error) {
	if l.isCutOff() {
		<-ctx.Done()
		return steer.Entry{}, ctx.Err()
	}
	return l.store.Watch(ctx, key, after, wait)
}

func (l *link) isCutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff
}

// host is one host of the cluster and implements steer.Peers.
type host struct {
	c             *cluster
	id            string
	dataCentre    string
	link          *link
	follower      *follow.Follower
	handlers      map[steer.MessageKind]steer.PeerHandler
	members       map[string]steer.Member
	stop          context.CancelFunc // Stops the heartbeats.
	corruptsParts bool               // Answers part requests with wrong content.
	unresponsive  bool               // Sends heartbeats, but does not answer calls.
}

func (h *host) Members() []steer.Member {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	var out []steer.Member
	for id, m := range h.members {
		age := time.Since(m.LastHeard)
		if age > 10*time.Second {
			delete(h.members, id)
			continue
		}
		m.Suspect = age > 2*time.Second
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b steer.Member) int {
		return 2*boolInt(b.DataCentre == h.dataCentre) - 2*boolInt(a.DataCentre == h.dataCentre) + boolInt(a.ID > b.ID)
	})
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (h *host) Call(ctx context.Context, to string, kind steer.MessageKind, request []byte) ([]byte, error) {
	time.Sleep(4 * time.Millisecond)
	h.c.mu.Lock()
	peer := h.c.hosts[to]
	if peer == nil || peer.unresponsive || h.c.partitioned(h, peer) {
		h.c.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if kind == steer.KindManifestPart {
		h.c.servedParts[peer.dataCentre]++
	}
	handler, corruptsParts := peer.handlers[kind], peer.corruptsParts
	h.c.mu.Unlock()
	answer, err := handler(ctx, steer.Member{}, request)
	if corruptsParts && kind == steer.KindManifestPart {
		answer = slices.Clone(answer)
		answer[len(answer)-1] ^= 1
	}
	return answer, err
}

func (h *host) Handle(kind steer.MessageKind, handler steer.PeerHandler) { h.handlers[kind] = handler }

// sendHeartbeats sends heartbeats to all reachable hosts and checks that the version in force never decreases.
func (h *host) sendHeartbeats(ctx context.Context) {
	last := uint64(0)
	for ctx.Err() == nil {
		s := h.follower.State(time.Now())
		if s.Version < last {
			h.c.t.Errorf("%s went from version %d to %d", h.id, last, s.Version)
		}
		last = s.Version
		h.c.mu.Lock()
		for _, p := range h.c.hosts {
			if p == h || h.c.partitioned(h, p) {
				continue
			}
			p.members[h.id] = steer.Member{
				ID:         h.id,
				DataCentre: h.dataCentre,
				Region:     regions[h.dataCentre],
				LastHeard:  time.Now(),
				State: steer.HostState{
					Version:        s.Version,
					NewestVersion:  s.NewestVersion,
					EvidenceAge:    s.EvidenceAge,
					StoreReachable: s.StoreReachable,
				},
			}
		}
		h.c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// cluster is a set of hosts with one store.
type cluster struct {
	t           *testing.T
	store       *store
	mu          sync.Mutex
	hosts       map[string]*host
	cutOff      map[string]bool // Data centres that are cut off from the others.
	servedParts map[string]int  // Part requests that the hosts of a data centre received.
	operatorDir string          // Directory of the steering files.
}

// partitioned reports whether the hosts cannot reach each other.
func (c *cluster) partitioned(a, b *host) bool {
	return a.dataCentre != b.dataCentre && (c.cutOff[a.dataCentre] || c.cutOff[b.dataCentre])
}

// newCluster starts n hosts in each of three data centres. They are stopped at the end of the test, inside its synctest
// bubble.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t,
		store: &store{
			entries: map[string]steer.Entry{},
		},
		hosts:       map[string]*host{},
		cutOff:      map[string]bool{},
		servedParts: map[string]int{},
		operatorDir: t.TempDir(),
	}
	c.writeFile("fleet.yaml", `kind: fleet
data-centres:
  - {name: golfo, region: golfo}
  - {name: pacifico, region: pacifico}
  - {name: altiplano, region: altiplano}
`)
	for _, dataCentre := range []string{"golfo", "pacifico", "altiplano"} {
		for i := range n {
			c.addHost(fmt.Sprintf("%s-%d", dataCentre, i), dataCentre)
		}
	}
	t.Cleanup(func() {
		for _, h := range c.allHosts() {
			c.removeHost(h)
		}
	})
	return c
}

func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// makeAllUnresponsive lets all present hosts send heartbeats, but no longer answer calls.
func (c *cluster) makeAllUnresponsive() {
	c.withLock(func() {
		for _, h := range c.hosts {
			h.unresponsive = true
		}
	})
}

func (c *cluster) allHosts() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.hosts))
}

func (c *cluster) addHost(id, dataCentre string) *host {
	h := &host{
		c:          c,
		id:         id,
		dataCentre: dataCentre,
		link: &link{
			store: c.store,
		},
		handlers: map[steer.MessageKind]steer.PeerHandler{},
		members:  map[string]steer.Member{},
	}
	h.follower = follow.New(follow.Config{
		Host:            id,
		DataCentre:      dataCentre,
		Region:          regions[dataCentre],
		StartupPeerWait: 800 * time.Millisecond,
		Store:           h.link,
		Peers:           h,
		Seed:            1,
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	go h.sendHeartbeats(ctx)
	return h
}

func (c *cluster) removeHost(h *host) {
	h.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.Check(c.t, h.follower.Close(ctx))
	c.mu.Lock()
	delete(c.hosts, h.id)
	c.mu.Unlock()
}

// writeFile writes a steering file.
func (c *cluster) writeFile(name, text string) {
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.operatorDir, name), []byte(text), 0o600))
}

// publish publishes a single customer with the given rate and returns the accepted version.
func (c *cluster) publish(customer string, rate int) uint64 {
	c.t.Helper()
	c.writeFile("customers.yaml", fmt.Sprintf("kind: customers\ncustomers:\n  - {name: %s, rate: %d, burst: 1}\n",
		customer, rate))
	r, err := publ.Publish(context.Background(), publ.Config{
		Store: c.store,
		Dir:   c.operatorDir,
	})
	assert.NilError(c.t, err)
	assert.Equal(c.t, r.Outcome, publ.Accepted, r.Reason)
	return r.Version
}

// allHaveVersion reports whether all the hosts have at least the version in force.
func allHaveVersion(hosts []*host, version uint64) bool {
	for _, h := range hosts {
		if h.follower.State(time.Now()).Version < version {
			return false
		}
	}
	return true
}

// waitFor waits until the condition holds and returns the time that this took. The test fails after the timeout.
func (c *cluster) waitFor(timeout time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > timeout {
			for _, h := range c.allHosts() {
				c.t.Logf("%s %+v age %v", h.id, h.follower.State(time.Now()), h.follower.EvidenceAge(time.Now()))
			}
			c.t.Fatalf("not within %v: %s", timeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// maxEvidenceAge returns the greatest evidence age of the hosts during the given time.
func maxEvidenceAge(hosts []*host, over time.Duration) time.Duration {
	var out time.Duration
	for end := time.Now().Add(over); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range hosts {
			out = max(out, h.follower.EvidenceAge(time.Now()))
		}
	}
	return out
}

// hostsIn returns the hosts of the data centre.
func (c *cluster) hostsIn(dataCentre string) []*host {
	return slices.DeleteFunc(c.allHosts(), func(h *host) bool { return h.dataCentre != dataCentre })
}
