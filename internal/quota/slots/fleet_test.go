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

// fault is a failure injected into one store call of a host.
type fault string

const (
	answerLost  fault = "answer lost after the effect"
	requestLost fault = "request lost before the effect"
	lateEffect  fault = "effect after the timeout"
	slowCall    fault = "slow"
	storeOutage fault = "store down for 20 s"
	hostFrozen  fault = "host frozen for 20 s"
)

var faults = []fault{answerLost, requestLost, lateEffect, slowCall, storeOutage, hostFrozen}

// fleet simulates the hosts of one data centre with a shared store, and checks which of them may spend.
type fleet struct {
	t          *testing.T
	store      *kvmem.Store
	random     *rand.Rand
	slotCount  int
	mu         sync.Mutex
	hosts      []*host
	done       chan struct{}
	goroutines sync.WaitGroup
}

// host simulates one host process. It implements steer.Store, steer.Peers and steer.Source for its keeper.
type host struct {
	*kvmem.Store
	fleet       *fleet
	id          string
	incarnation uint64
	keeper      *slots.Keeper
	handler     steer.PeerHandler

	evidenceAge       time.Duration // Set before the start.
	mu                sync.Mutex
	thaw              chan struct{} // Closed unless the host is frozen.
	storeCut          bool          // The host cannot reach the store.
	isolated          bool          // The host cannot reach its peers, nor they the host.
	killed            bool
	released          bool
	callCount         int
	faultyCall        int // Index of the store call that gets the fault; -1 for none.
	fault             fault
	heartbeats        map[string]steer.Member
	loans             time.Duration
	otherCallsSucceed atomic.Bool // Store calls outside the keeper succeeded at the last heartbeat; sent with the next one.
}

// runFleet runs a scenario in a synctest bubble. The test fails if two hosts may spend on one slot at the same time.
func runFleet(t *testing.T, count int, seed uint64, scenario func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t,
			store: kvmem.New(kvmem.Config{
				Seed: seed,
			}),
			random:    rand.New(rand.NewPCG(seed, 1)),
			slotCount: count,
			done:      make(chan struct{}),
		}
		f.goroutines.Go(func() { f.runEvery(50*time.Millisecond, f.checkSingleSpender) })
		f.goroutines.Go(func() { f.runEvery(100*time.Millisecond, f.sendHeartbeats) })
		defer f.shutDown()
		scenario(t, f)
	})
}

func (f *fleet) shutDown() {
	close(f.done)
	f.goroutines.Wait()
	for _, h := range f.hosts {
		h.unfreeze()
		assert.Check(f.t, h.keeper.Close(context.Background()))
	}
}

func (f *fleet) runEvery(d time.Duration, do func()) {
	for {
		select {
		case <-time.After(d):
			do()
		case <-f.done:
			return
		}
	}
}

func (f *fleet) start(id string, incarnation uint64, prepare ...func(*host)) *host {
	h := &host{
		Store:       f.store,
		fleet:       f,
		id:          id,
		incarnation: incarnation,
		faultyCall:  -1,
		thaw:        make(chan struct{}),
		heartbeats:  map[string]steer.Member{},
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
		Incarnation:       incarnation,
		DataCentre:        "golfo-1",
		OtherCallsSucceed: h.otherCallsSucceed.Load,
		RemainingLoanTime: func(time.Time) time.Duration { return h.loans },
		Random:            rand.New(rand.NewPCG(f.random.Uint64(), incarnation)),
	})
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	return h
}

// checkSingleSpender checks that at most one running host may spend on a slot. Before it reports two hosts, it reads the
// first one again, since a slot may pass from one to the other between the two reads.
func (f *fleet) checkSingleSpender() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	spenders := make([]*host, f.slotCount)
	for _, h := range f.hosts {
		for _, c := range h.spendable(now) {
			other := spenders[c.Slot]
			if other != nil && slices.ContainsFunc(other.spendable(now), func(o steer.SlotClaim) bool { return o.Slot == c.Slot }) {
				f.t.Errorf("at %v %s/%d and %s/%d may both spend on slot %d", now, other.id, other.incarnation, h.id,
					h.incarnation, c.Slot)
			}
			spenders[c.Slot] = h
		}
	}
}

// spendable returns the slots on which the host may spend. There are none unless it is running.
func (h *host) spendable(now time.Time) []steer.SlotClaim {
	if h.keeper.UsableUntil(now).IsZero() || h.isStopped() || h.isFrozen() {
		return nil
	}
	return h.keeper.Held(now)
}

// usableSlots returns the number of slots on which some host may spend.
func (f *fleet) usableSlots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, h := range f.hosts {
		count += len(h.spendable(time.Now()))
	}
	return count
}

// sendHeartbeats runs every 100 ms and delivers the heartbeats of each host at every fifth run, at staggered times.
func (f *fleet) sendHeartbeats() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i, from := range f.hosts {
		if (now.UnixMilli()/100+int64(i))%5 != 0 || from.isFrozen() || from.isStopped() || from.isolated {
			continue
		}
		for _, to := range f.hosts {
			if to != from && !to.isFrozen() && !to.isolated {
				to.receiveHeartbeat(from.member(now))
			}
		}
		from.mu.Lock()
		from.otherCallsSucceed.Store(!from.storeCut && !f.store.Faults().Down)
		from.mu.Unlock()
	}
}

func (h *host) member(now time.Time) steer.Member {
	return steer.Member{
		ID:          h.id,
		DataCentre:  "golfo-1",
		Incarnation: h.incarnation,
		LastHeard:   now,
		State: steer.HostState{
			StoreReachable: h.keeper.StoreReachable() || h.otherCallsSucceed.Load(),
			Slots:          h.keeper.Claims(),
		},
	}
}

func (h *host) receiveHeartbeat(m steer.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heartbeats[m.ID].Incarnation <= m.Incarnation {
		h.heartbeats[m.ID] = m
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

func (h *host) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed || h.released
}

// kill ends the process without a planned stop. Store calls in flight may still take effect.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.unfreeze()
	h.fleet.goroutines.Go(func() { assert.Check(h.fleet.t, h.keeper.Close(context.Background())) })
}

func (h *host) setStoreCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeCut = cut
}

func (h *host) isolate() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.isolated = true
}

// release performs a planned stop.
func (h *host) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := h.keeper.Release(ctx)
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	return err
}

// Members implements steer.Peers. It blocks while the host is frozen.
func (h *host) Members() []steer.Member {
	<-h.thawed()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []steer.Member
	for id, m := range h.heartbeats {
		if now.Sub(m.LastHeard) > 10*time.Second {
			delete(h.heartbeats, id)
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
		if o.id == id && !o.isStopped() && !o.isolated && !h.isolated {
			to = o
		}
	}
	h.fleet.mu.Unlock()
	if to == nil || h.isStopped() {
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
				Slots: h.fleet.slotCount,
			}},
		},
	}
}

// Changed implements steer.Source.
func (h *host) Changed() <-chan struct{} { return nil }

// EvidenceAge implements steer.Source.
func (h *host) EvidenceAge(time.Time) time.Duration { return h.evidenceAge }

// callWithFault makes one store call and injects the fault of the host if its turn has come. It returns lostErr if the
// outcome of the call is lost.
func (h *host) callWithFault(lostErr error, do func() error) error {
	<-h.thawed()
	h.mu.Lock()
	index := h.callCount
	h.callCount++
	unreachable := h.storeCut || h.killed
	h.mu.Unlock()
	if unreachable {
		return steer.ErrDown
	}
	if index != h.faultyCall {
		return do()
	}
	switch h.fault {
	case answerLost:
		_ = do()
		return lostErr
	case requestLost:
		return lostErr
	case lateEffect:
		h.fleet.goroutines.Go(func() {
			time.Sleep(4 * time.Second)
			_ = do()
		})
		time.Sleep(3 * time.Second)
		return lostErr
	case slowCall:
		time.Sleep(2900 * time.Millisecond)
		return do()
	case storeOutage:
		h.fleet.after(20*time.Second, func() { h.setStoreCut(false) })
		h.setStoreCut(true)
		return steer.ErrDown
	case hostFrozen:
		h.fleet.after(20*time.Second, h.unfreeze)
		h.freeze()
		err := do()
		<-h.thawed()
		return err
	}
	return nil
}

func (f *fleet) after(d time.Duration, do func()) {
	f.goroutines.Go(func() {
		time.Sleep(d)
		do()
	})
}

// callWithResult is callWithFault for calls with a result. The result of a late call is dropped.
func callWithResult[T any](h *host, lostErr error, do func() (T, error)) (T, error) {
	result := make(chan T, 1)
	err := h.callWithFault(lostErr, func() error {
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
	return callWithResult(h, steer.ErrDown, func() (steer.Entry, error) { return h.Store.Get(context.WithoutCancel(ctx), key) })
}

// Swap implements steer.Store.
func (h *host) Swap(ctx context.Context, key string, rev uint64, value []byte, l steer.LeaseID) (uint64, error) {
	return callWithResult(h, steer.ErrUnknown, func() (uint64, error) {
		return h.Store.Swap(context.WithoutCancel(ctx), key, rev, value, l)
	})
}

// Remove implements steer.Store.
func (h *host) Remove(ctx context.Context, key string, rev uint64) error {
	return h.callWithFault(steer.ErrUnknown, func() error { return h.Store.Remove(context.WithoutCancel(ctx), key, rev) })
}

// Grant implements steer.Store.
func (h *host) Grant(ctx context.Context, term time.Duration) (steer.LeaseID, error) {
	return callWithResult(h, steer.ErrUnknown, func() (steer.LeaseID, error) {
		return h.Store.Grant(context.WithoutCancel(ctx), term)
	})
}

// Renew implements steer.Store.
func (h *host) Renew(ctx context.Context, lease steer.LeaseID) error {
	return h.callWithFault(steer.ErrUnknown, func() error { return h.Store.Renew(context.WithoutCancel(ctx), lease) })
}

// Revoke implements steer.Store.
func (h *host) Revoke(ctx context.Context, lease steer.LeaseID) error {
	return h.callWithFault(steer.ErrUnknown, func() error { return h.Store.Revoke(context.WithoutCancel(ctx), lease) })
}
