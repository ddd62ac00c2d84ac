package lease_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/lease"
)

// forever is longer than any test runs.
const forever = 1000 * time.Hour

// testFleet is a fleet of managers, connected by a transport with delays and faults.
type testFleet struct {
	mu                sync.Mutex
	hosts             []*host
	delay             func(a, b *host) time.Duration // One-way delay.
	lossProbability   float64                        // Probability of losing a request, and of losing an answer.
	repeatProbability float64                        // Probability of delivering a request again, up to 3 s later.
	random            *rand.Rand
	config            *steer.Config
	inFlight          sync.WaitGroup

	dropAnswers atomic.Bool // Loses all answers.
	isolated    string      // Data centre that reaches no other one; empty for none.
	isolatedAt  time.Time
}

// host runs one manager and simulates its configuration, slots and transport.
type host struct {
	fleet       *testFleet
	id          string
	dataCentre  string
	region      string
	incarnation uint64
	manager     *lease.Manager
	handlers    map[steer.MessageKind]steer.PeerHandler

	// Guarded by testFleet.mu.
	alive       bool
	lagging     bool // Whether it keeps its configuration when a new one is published.
	silent      bool // Whether its reports are lost.
	config      *steer.Config
	slots       []steer.SlotClaim
	usableUntil time.Time
	takenOver   time.Time
	changed     chan struct{}
	slotChanged chan struct{}
}

func (w *testFleet) start(id, dataCentre, region string, slots ...steer.SlotClaim) *host {
	w.mu.Lock()
	h := &host{
		fleet:       w,
		id:          id,
		dataCentre:  dataCentre,
		region:      region,
		incarnation: uint64(len(w.hosts) + 1),
		handlers:    map[steer.MessageKind]steer.PeerHandler{},
		alive:       true,
		config:      w.config,
		slots:       slots,
		usableUntil: time.Now().Add(forever),
		changed:     make(chan struct{}),
		slotChanged: make(chan struct{}),
	}
	w.mu.Unlock()
	h.manager = lease.New(lease.Config{
		ID:          id,
		DataCentre:  dataCentre,
		Region:      region,
		Incarnation: h.incarnation,
		Source:      source{h},
		Peers:       peers{h},
		Slots:       claims{h},
	})
	// Peers must not see the host before its handlers are installed.
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h
}

// stop stops all managers and waits for messages in flight.
func (w *testFleet) stop() {
	for _, h := range w.hosts {
		_ = h.manager.Stop(context.Background())
	}
	w.inFlight.Wait()
}

// kill disconnects a host and ends the use of its slots. Its manager runs on until the end of the test.
func (h *host) kill() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.alive = false
	h.usableUntil = time.Time{}
}

func (h *host) setSlots(usableUntil time.Time, slots ...steer.SlotClaim) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.slots = slots
	h.usableUntil = usableUntil
	close(h.slotChanged)
	h.slotChanged = make(chan struct{})
}

// publish applies a configuration at all hosts that are not lagging.
func (w *testFleet) publish(c *steer.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = c
	for _, h := range w.hosts {
		if !h.lagging && h.config != c {
			h.config = c
			close(h.changed)
			h.changed = make(chan struct{})
		}
	}
}

func (w *testFleet) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p > 0 && w.random.Float64() < p
}

func (w *testFleet) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// readLocked reads a field of a host under the lock of the fleet.
func readLocked[T any](h *host, field *T) T {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return *field
}

type source struct{ *host }

func (s source) Current() *steer.Config { return readLocked(s.host, &s.config) }

func (s source) Changed() <-chan struct{} { return readLocked(s.host, &s.changed) }

func (source) EvidenceAge(time.Time) time.Duration { return 0 }

type claims struct{ *host }

func (c claims) Held(time.Time) []steer.SlotClaim { return readLocked(c.host, &c.slots) }

func (c claims) UsableUntil(time.Time) time.Time { return readLocked(c.host, &c.usableUntil) }

func (c claims) UnplannedTakeover(int) time.Time { return readLocked(c.host, &c.takenOver) }

func (c claims) Changed() <-chan struct{} { return readLocked(c.host, &c.slotChanged) }

type peers struct{ *host }

func (p peers) member() steer.Member {
	m := steer.Member{
		ID:          p.id,
		DataCentre:  p.dataCentre,
		Region:      p.region,
		Incarnation: p.incarnation,
		LastHeard:   time.Now(),
		State: steer.HostState{
			Slots: slices.Clone(p.slots),
		},
	}
	if p.silent {
		m.State = steer.HostState{}
	} else if p.config != nil {
		m.State.Version = p.config.Version
		m.State.NewestVersion = p.config.Version
	}
	return m
}

func (p peers) Members() []steer.Member {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	others := slices.Clone(p.fleet.hosts)
	others = slices.DeleteFunc(others, func(o *host) bool { return o == p.host || !o.alive })
	slices.SortStableFunc(others, func(a, b *host) int {
		return int(p.fleet.delay(p.host, a) - p.fleet.delay(p.host, b))
	})
	var all []steer.Member
	for _, o := range others {
		m := peers{o}.member()
		if p.fleet.separated(o, p.host) {
			m.LastHeard = p.fleet.isolatedAt
			m.Suspect = time.Since(m.LastHeard) > 2*time.Second
		}
		all = append(all, m)
	}
	return all
}

func (p peers) Handle(kind steer.MessageKind, handler steer.PeerHandler) { p.handlers[kind] = handler }

func (p peers) findPeer(to string) (peer *host, from steer.Member) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	from = p.member()
	at := slices.IndexFunc(p.fleet.hosts, func(o *host) bool { return o.id == to && o.alive })
	if at < 0 || !p.alive {
		return nil, from
	}
	peer = p.fleet.hosts[at]
	if p.fleet.separated(peer, p.host) {
		return nil, from
	}
	return peer, from
}

// separated reports whether the isolated data centre holds exactly one of the hosts.
func (w *testFleet) separated(a, b *host) bool {
	return (a.dataCentre == w.isolated) != (b.dataCentre == w.isolated)
}

var errLost = errors.New("message lost")

// Call delivers a message after the delay, and possibly again later. It loses requests and answers at random.
func (p peers) Call(ctx context.Context, to string, kind steer.MessageKind, body []byte) ([]byte, error) {
	peer, from := p.findPeer(to)
	if peer == nil || p.fleet.chance(p.fleet.lossProbability) {
		<-ctx.Done()
		return nil, errLost
	}
	handle := peer.handlers[kind]
	if p.fleet.chance(p.fleet.repeatProbability) {
		p.fleet.inFlight.Go(func() {
			time.Sleep(p.fleet.delay(p.host, peer) + time.Duration(p.fleet.intN(3000))*time.Millisecond)
			_, _ = handle(context.Background(), from, body)
		})
	}
	answer := make(chan []byte, 1)
	p.fleet.inFlight.Go(func() {
		time.Sleep(p.fleet.delay(p.host, peer))
		got, err := handle(context.Background(), from, body)
		time.Sleep(p.fleet.delay(peer, p.host))
		if err == nil && !p.fleet.dropAnswers.Load() && !p.fleet.chance(p.fleet.lossProbability) {
			answer <- got
		}
	})
	select {
	case got := <-answer:
		return got, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("call: %w", ctx.Err())
	}
}
