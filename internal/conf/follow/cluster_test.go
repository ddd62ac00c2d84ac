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

// regions are the regions of the data centres.
var regions = map[string]string{"golfo": "mar", "pacifico": "mar", "altiplano": "altiplano"}

// store is the platform's store with faults.
type store struct {
	mu       sync.Mutex
	entries  map[string]steer.Entry
	revision uint64
	reads    atomic.Int64
	parts    atomic.Int64 // Reads of parts.
	down     bool
	hang     chan struct{} // Calls hang until it is closed and ignore their context; nil when they do not hang.
}

func (s *store) enter() error {
	s.mu.Lock()
	hang := s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
	time.Sleep(2 * time.Millisecond)
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return steer.ErrDown
	}
	return nil
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) Get(_ context.Context, key string) (steer.Entry, error) {
	if err := s.enter(); err != nil {
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
	if err := s.enter(); err != nil {
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
	if err := s.enter(); err != nil {
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

// link gives one host its own way to the store.
type link struct {
	*store
	mu  sync.Mutex
	cut bool // Calls hang until their context ends.
}

func (l *link) Get(ctx context.Context, key string) (steer.Entry, error) {
	if l.isCut() {
		<-ctx.Done()
		return steer.Entry{}, ctx.Err()
	}
	return l.store.Get(ctx, key)
}

func (l *link) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (steer.Entry, error) {
	if l.isCut() {
		<-ctx.Done()
		return steer.Entry{}, ctx.Err()
	}
	return l.store.Watch(ctx, key, after, wait)
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// host is one host of the cluster and implements steer.Peers.
type host struct {
	c        *cluster
	id       string
	centre   string
	link     *link
	f        *follow.Follower
	handlers map[steer.MessageKind]steer.PeerHandler
	members  map[string]steer.Member
	stop     context.CancelFunc
	corrupt  bool // Answers with wrong bytes.
	mute     bool // Sends heartbeats and does not answer.
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
		return 2*boolInt(b.DataCentre == h.centre) - 2*boolInt(a.DataCentre == h.centre) + boolInt(a.ID > b.ID)
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
	if peer == nil || peer.mute || h.c.parted(h, peer) {
		h.c.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if kind == steer.KindManifestPart {
		h.c.served[peer.centre]++
	}
	handler, corrupt := peer.handlers[kind], peer.corrupt
	h.c.mu.Unlock()
	answer, err := handler(ctx, steer.Member{}, request)
	if corrupt && kind == steer.KindManifestPart {
		answer = slices.Clone(answer)
		answer[len(answer)-1] ^= 1
	}
	return answer, err
}

func (h *host) Handle(kind steer.MessageKind, handler steer.PeerHandler) { h.handlers[kind] = handler }

// beat sends heartbeats and checks that the version in force never decreases.
func (h *host) beat(ctx context.Context) {
	last := uint64(0)
	for ctx.Err() == nil {
		s := h.f.State(time.Now())
		if s.Version < last {
			h.c.t.Errorf("%s went from version %d to %d", h.id, last, s.Version)
		}
		last = s.Version
		h.c.mu.Lock()
		for _, p := range h.c.hosts {
			if p == h || h.c.parted(h, p) {
				continue
			}
			p.members[h.id] = steer.Member{
				ID:         h.id,
				DataCentre: h.centre,
				Region:     regions[h.centre],
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
	t      *testing.T
	store  *store
	mu     sync.Mutex
	hosts  map[string]*host
	cut    map[string]bool // Data centres cut off from the others.
	served map[string]int  // Parts that the hosts of a data centre gave to others.
	ops    string          // Directory of the operator.
}

func (c *cluster) parted(a, b *host) bool {
	return a.centre != b.centre && (c.cut[a.centre] || c.cut[b.centre])
}

// newCluster starts n hosts in each of three data centres. It ends with the test, within the bubble.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t,
		store: &store{
			entries: map[string]steer.Entry{},
		},
		hosts:  map[string]*host{},
		cut:    map[string]bool{},
		served: map[string]int{},
		ops:    t.TempDir(),
	}
	c.write("fleet.yaml", `kind: fleet
data-centres:
  - {name: golfo, region: golfo}
  - {name: pacifico, region: pacifico}
  - {name: altiplano, region: altiplano}
`)
	for _, centre := range []string{"golfo", "pacifico", "altiplano"} {
		for i := range n {
			c.add(fmt.Sprintf("%s-%d", centre, i), centre)
		}
	}
	t.Cleanup(func() {
		for _, h := range c.all() {
			c.remove(h)
		}
	})
	return c
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// muteAll lets all hosts send heartbeats and answer no more.
func (c *cluster) muteAll() {
	c.set(func() {
		for _, h := range c.hosts {
			h.mute = true
		}
	})
}

func (c *cluster) all() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.hosts))
}

func (c *cluster) add(id, centre string) *host {
	h := &host{
		c:      c,
		id:     id,
		centre: centre,
		link: &link{
			store: c.store,
		},
		handlers: map[steer.MessageKind]steer.PeerHandler{},
		members:  map[string]steer.Member{},
	}
	h.f = follow.New(follow.Config{
		Host:            id,
		DataCentre:      centre,
		Region:          regions[centre],
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
	go h.beat(ctx)
	return h
}

func (c *cluster) remove(h *host) {
	h.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.Check(c.t, h.f.Close(ctx))
	c.mu.Lock()
	delete(c.hosts, h.id)
	c.mu.Unlock()
}

func (c *cluster) write(name, text string) {
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.ops, name), []byte(text), 0o600))
}

// publish publishes a customer with the rate and returns the version.
func (c *cluster) publish(customer string, rate int) uint64 {
	c.t.Helper()
	c.write("customers.yaml", fmt.Sprintf("kind: customers\ncustomers:\n  - {name: %s, rate: %d, burst: 1}\n", customer, rate))
	r, err := publ.Publish(context.Background(), publ.Config{
		Store: c.store,
		Dir:   c.ops,
	})
	assert.NilError(c.t, err)
	assert.Equal(c.t, r.Outcome, publ.Accepted, r.Reason)
	return r.Version
}

// inForce reports whether all the hosts have at least the version.
func inForce(hosts []*host, version uint64) bool {
	for _, h := range hosts {
		if h.f.State(time.Now()).Version < version {
			return false
		}
	}
	return true
}

// await fails unless the condition holds within the limit.
func (c *cluster) await(limit time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			for _, h := range c.all() {
				c.t.Logf("%s %+v age %v", h.id, h.f.State(time.Now()), h.f.EvidenceAge(time.Now()))
			}
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// oldest returns the greatest evidence age of the hosts over the time.
func oldest(hosts []*host, over time.Duration) time.Duration {
	var out time.Duration
	for end := time.Now().Add(over); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range hosts {
			out = max(out, h.f.EvidenceAge(time.Now()))
		}
	}
	return out
}

func (c *cluster) in(centre string) []*host {
	return slices.DeleteFunc(c.all(), func(h *host) bool { return h.centre != centre })
}
