package slots_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/quota/slots"
)

// fault is what happens to one store call of a host.
type fault string

const (
	answerLost  fault = "answer lost after the effect"
	requestLost fault = "request lost before the effect"
	late        fault = "effect after the timeout"
	slow        fault = "slow"
	refused     fault = "store down for 20 s"
	frozen      fault = "host frozen for 20 s"
)

var faults = []fault{answerLost, requestLost, late, slow, refused, frozen}

// fleet is the hosts of one data centre around a store, with a record of who may spend.
type fleet struct {
	t      *testing.T
	store  *kvmem.Store
	random *rand.Rand
	slots  int
	mu     sync.Mutex
	hosts  []*host
	ended  chan struct{}
	all    sync.WaitGroup
}

// host is one host process. It implements steer.Store, steer.Peers and steer.Source for its keeper.
type host struct {
	*kvmem.Store
	fleet   *fleet
	id      string
	number  uint64
	keeper  *slots.Keeper
	handler steer.PeerHandler

	evidenceAge time.Duration // Set before the start.
	mu          sync.Mutex
	thaw        chan struct{} // Closed unless the host is frozen.
	cut         bool          // The store is out of reach.
	alone       bool          // Peers are out of reach.
	dead        bool
	left        bool
	calls       int
	at          int // Store call at which the fault strikes.
	fault       fault
	heard       map[string]steer.Member
	loans       time.Duration
	other       atomic.Bool // Other store calls succeed, as of the heartbeat before the last.
}

// inFleet runs a scenario in a bubble and fails when two hosts ever may spend on one slot at the same time.
func inFleet(t *testing.T, count int, seed uint64, scenario func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t,
			store: kvmem.New(kvmem.Config{
				Seed: seed,
			}),
			random: rand.New(rand.NewPCG(seed, 1)),
			slots:  count,
			ended:  make(chan struct{}),
		}
		f.all.Go(func() { f.every(50*time.Millisecond, f.check) })
		f.all.Go(func() { f.every(100*time.Millisecond, f.beat) })
		defer f.end()
		scenario(t, f)
	})
}

func (f *fleet) end() {
	close(f.ended)
	f.all.Wait()
	for _, h := range f.hosts {
		h.unfreeze()
		assert.Check(f.t, h.keeper.Close(context.Background()))
	}
}

func (f *fleet) every(d time.Duration, do func()) {
	for {
		select {
		case <-time.After(d):
			do()
		case <-f.ended:
			return
		}
	}
}

func (f *fleet) start(id string, number uint64, prepare ...func(*host)) *host {
	h := &host{
		Store:  f.store,
		fleet:  f,
		id:     id,
		number: number,
		at:     -1,
		thaw:   make(chan struct{}),
		heard:  map[string]steer.Member{},
	}
	close(h.thaw)
	for _, p := range prepare {
		p(h)
	}
	h.keeper = slots.New(slots.Config{
		Store:             h,
		Peers:             h,
		Source:            h,
		HostID:            id,
		Incarnation:       number,
		DataCentre:        "golfo-1",
		OtherCallsSucceed: h.other.Load,
		RemainingLoanTime: func(time.Time) time.Duration { return h.loans },
		Random:            rand.New(rand.NewPCG(f.random.Uint64(), number)),
	})
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	return h
}

// check is the invariant: at most one host that is running may spend on a slot. A host is looked at again after the
// second one, since a slot may pass from one to the other between the two looks.
func (f *fleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	spenders := make([]*host, f.slots)
	for _, h := range f.hosts {
		for _, c := range h.spendable(now) {
			other := spenders[c.Slot]
			if other != nil && slices.ContainsFunc(other.spendable(now), func(o steer.SlotClaim) bool { return o.Slot == c.Slot }) {
				f.t.Errorf("at %v %s/%d and %s/%d may both spend on slot %d", now, other.id, other.number, h.id, h.number, c.Slot)
			}
			spenders[c.Slot] = h
		}
	}
}

// spendable returns the slots on which a host that is running may spend.
func (h *host) spendable(now time.Time) []steer.SlotClaim {
	if h.keeper.UsableUntil(now).IsZero() || h.isDead() || h.isFrozen() {
		return nil
	}
	return h.keeper.Held(now)
}

// usable returns the number of slots on which some host may spend.
func (f *fleet) usable() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, h := range f.hosts {
		count += len(h.spendable(time.Now()))
	}
	return count
}

// beat delivers the heartbeats of all hosts, each fifth time for a given pair.
func (f *fleet) beat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i, from := range f.hosts {
		if (now.UnixMilli()/100+int64(i))%5 != 0 || from.isFrozen() || from.isDead() || from.alone {
			continue
		}
		for _, to := range f.hosts {
			if to != from && !to.isFrozen() && !to.alone {
				to.hear(from.member(now))
			}
		}
		from.mu.Lock()
		from.other.Store(!from.cut && !f.store.Faults().Down)
		from.mu.Unlock()
	}
}

func (h *host) member(now time.Time) steer.Member {
	return steer.Member{
		ID:          h.id,
		DataCentre:  "golfo-1",
		Incarnation: h.number,
		LastHeard:   now,
		State: steer.HostState{
			StoreReachable: h.keeper.StoreReachable() || h.other.Load(),
			Slots:          h.keeper.Claims(),
		},
	}
}

func (h *host) hear(m steer.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heard[m.ID].Incarnation <= m.Incarnation {
		h.heard[m.ID] = m
	}
}

func (h *host) isFrozen() bool {
	select {
	case <-h.thawed():
		return false
	default:
		return true
	}
}

func (h *host) thawed() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.thaw
}

func (h *host) freeze() {
	if h.isFrozen() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.thaw = make(chan struct{})
}

func (h *host) unfreeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.thaw:
	default:
		close(h.thaw)
	}
}

func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead || h.left
}

// die ends the process without a word. Store calls under way may still take effect.
func (h *host) die() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.unfreeze()
	h.fleet.all.Go(func() { assert.Check(h.fleet.t, h.keeper.Close(context.Background())) })
}

func (h *host) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = cut
}

func (h *host) setAlone() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.alone = true
}

// leave is a planned stop.
func (h *host) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := h.keeper.Release(ctx)
	h.mu.Lock()
	h.left = true
	h.mu.Unlock()
	return err
}

// Members implements steer.Peers. A frozen host stops here.
func (h *host) Members() []steer.Member {
	<-h.thawed()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []steer.Member
	for id, m := range h.heard {
		if now.Sub(m.LastHeard) > 10*time.Second {
			delete(h.heard, id)
			continue
		}
		m.Suspect = now.Sub(m.LastHeard) > 2*time.Second
		members = append(members, m)
	}
	return members
}

// Call implements steer.Peers.
func (h *host) Call(ctx context.Context, id string, _ steer.MessageKind, request []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	h.fleet.mu.Lock()
	var to *host
	for _, o := range h.fleet.hosts {
		if o.id == id && !o.isDead() && !o.alone && !h.alone {
			to = o
		}
	}
	h.fleet.mu.Unlock()
	if to == nil || h.isDead() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-to.thawed():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return to.handler(ctx, h.member(time.Now()), request)
}

// Handle implements steer.Peers.
func (h *host) Handle(_ steer.MessageKind, handler steer.PeerHandler) { h.handler = handler }

// Current implements steer.Source.
func (h *host) Current() *steer.Config {
	return &steer.Config{
		Fleet: steer.Fleet{
			DataCentres: []steer.DataCentre{{
				Name:  "golfo-1",
				Slots: h.fleet.slots,
			}},
		},
	}
}

// Changed implements steer.Source.
func (h *host) Changed() <-chan struct{} { return nil }

// EvidenceAge implements steer.Source.
func (h *host) EvidenceAge(time.Time) time.Duration { return h.evidenceAge }

// strike makes one store call under the faults of the host.
func (h *host) strike(lost error, do func() error) error {
	<-h.thawed()
	h.mu.Lock()
	number := h.calls
	h.calls++
	down := h.cut || h.dead
	h.mu.Unlock()
	if down {
		return steer.ErrDown
	}
	if number != h.at {
		return do()
	}
	switch h.fault {
	case answerLost:
		_ = do()
		return lost
	case requestLost:
		return lost
	case late:
		h.fleet.all.Go(func() {
			time.Sleep(4 * time.Second)
			_ = do()
		})
		time.Sleep(3 * time.Second)
		return lost
	case slow:
		time.Sleep(2900 * time.Millisecond)
		return do()
	case refused:
		h.fleet.after(20*time.Second, func() { h.setCut(false) })
		h.setCut(true)
		return steer.ErrDown
	case frozen:
		h.fleet.after(20*time.Second, h.unfreeze)
		h.freeze()
		err := do()
		<-h.thawed()
		return err
	}
	return nil
}

func (f *fleet) after(d time.Duration, do func()) {
	f.all.Go(func() {
		time.Sleep(d)
		do()
	})
}

// through makes one store call under the faults of a host. The result of a late call is dropped.
func through[T any](h *host, lost error, do func() (T, error)) (T, error) {
	result := make(chan T, 1)
	err := h.strike(lost, func() error {
		v, err := do()
		result <- v
		return err
	})
	var v T
	select {
	case v = <-result:
	default:
	}
	return v, err
}

// Get implements steer.Store.
func (h *host) Get(ctx context.Context, key string) (steer.Entry, error) {
	return through(h, steer.ErrDown, func() (steer.Entry, error) { return h.Store.Get(context.WithoutCancel(ctx), key) })
}

// Swap implements steer.Store.
func (h *host) Swap(ctx context.Context, key string, rev uint64, value []byte, l steer.LeaseID) (uint64, error) {
	return through(h, steer.ErrUnknown, func() (uint64, error) {
		return h.Store.Swap(context.WithoutCancel(ctx), key, rev, value, l)
	})
}

// Remove implements steer.Store.
func (h *host) Remove(ctx context.Context, key string, rev uint64) error {
	return h.strike(steer.ErrUnknown, func() error { return h.Store.Remove(context.WithoutCancel(ctx), key, rev) })
}

// Grant implements steer.Store.
func (h *host) Grant(ctx context.Context, term time.Duration) (steer.LeaseID, error) {
	return through(h, steer.ErrUnknown, func() (steer.LeaseID, error) {
		return h.Store.Grant(context.WithoutCancel(ctx), term)
	})
}

// Renew implements steer.Store.
func (h *host) Renew(ctx context.Context, lease steer.LeaseID) error {
	return h.strike(steer.ErrUnknown, func() error { return h.Store.Renew(context.WithoutCancel(ctx), lease) })
}

// Revoke implements steer.Store.
func (h *host) Revoke(ctx context.Context, lease steer.LeaseID) error {
	return h.strike(steer.ErrUnknown, func() error { return h.Store.Revoke(context.WithoutCancel(ctx), lease) })
}
