package slots

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

const (
	tick        = 250 * time.Millisecond // Longest interval between observations of the members.
	callTimeout = 3 * time.Second        // Timeout of one store call.
)

// Config configures a Keeper.
type Config struct {
	Store             steer.Store
	Peers             steer.Peers
	Source            steer.Source // Provides the slot count and the age of the configuration.
	HostID            string
	Incarnation       uint64
	DataCentre        string
	OtherCallsSucceed func() bool                       // Whether store calls outside the keeper succeed; nil means yes.
	RemainingLoanTime func(now time.Time) time.Duration // Time until the last loan lent ends; nil means none.
	Logger            log.Logger                        // Nil means no logging.
	Metrics           metrics.Registry                  // Nil means a private registry.
	Random            *rand.Rand                        // For jitter; used by the keeper only. Nil means a random seed.
}

// Keeper acquires, holds and releases the host slots of one host. Its methods are safe for concurrent use.
type Keeper struct {
	config      Config
	logger      log.Logger
	heldGauge   metrics.Gauge
	failedCalls metrics.Counter
	mu          sync.Mutex
	machine     *machine
	ownedBuffer []ownedSlot // Reused by publish to save allocations.
	snapshot    atomic.Pointer[snapshot]
	wake        chan struct{}
	cancel      context.CancelFunc
	done        chan struct{} // Closed when the last goroutine has ended.
	released    chan struct{} // Closed when a planned stop has released all slots and the lease.
}

// snapshot is the state that readers see. It is immutable; publish replaces it.
type snapshot struct {
	owned          []ownedSlot
	held           []steer.SlotClaim
	claims         []steer.SlotClaim
	stopping       bool
	until          time.Time
	usable         bool // Whether until was in the future when this was published.
	storeReachable bool // The last store call of the keeper was answered.
	changed        chan struct{}
}

// New starts a keeper and installs its handler for slot-taken messages. The keeper runs until Close.
func New(c Config) *Keeper {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.OtherCallsSucceed == nil {
		c.OtherCallsSucceed = func() bool { return true } // Rule (b) never holds if this is unknown.
	}
	if c.RemainingLoanTime == nil {
		c.RemainingLoanTime = func(time.Time) time.Duration { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	self := owner{
		Holder:      c.HostID,
		Incarnation: c.Incarnation,
	}
	k := &Keeper{
		config:      c,
		logger:      log.With(c.Logger, "part", "slots"),
		heldGauge:   metrics.GetOrRegisterGauge("slots-held", c.Metrics),
		failedCalls: metrics.GetOrRegisterCounter("slots-store-call-failed", c.Metrics),
		machine:     newMachine(self, c.DataCentre, c.Random, time.Now()),
		wake:        make(chan struct{}, 1),
		cancel:      cancel,
		done:        make(chan struct{}),
		released:    make(chan struct{}),
	}
	k.snapshot.Store(&snapshot{
		changed: make(chan struct{}),
	})
	c.Peers.Handle(steer.KindSlotTaken, k.handleSlotTaken)
	go k.run(ctx)
	return k
}

// Held returns the settled claims. Quota may be spent on them only before UsableUntil.
func (k *Keeper) Held(time.Time) []steer.SlotClaim { return k.snapshot.Load().held }

// Claims returns the settled claims and those that still wait for members or the previous holder. Heartbeats carry them.
func (k *Keeper) Claims() []steer.SlotClaim { return k.snapshot.Load().claims }

// UsableUntil returns the time until which the host may spend the quota of its slots, or the zero time if it may not.
func (k *Keeper) UsableUntil(now time.Time) time.Time {
	until := k.snapshot.Load().until
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// UnplannedTakeover returns the time at which a held slot was taken over without a planned release. It returns the zero time
// for a slot that is not held or was released as planned.
func (k *Keeper) UnplannedTakeover(slot int) time.Time {
	for _, o := range k.snapshot.Load().owned {
		if o.Slot == slot && o.settled {
			return o.takeoverTime
		}
	}
	return time.Time{}
}

// StoreReachable reports whether the keeper's last store call was answered.
func (k *Keeper) StoreReachable() bool { return k.snapshot.Load().storeReachable }

// Changed returns a channel that is closed when Held changes, or when UsableUntil becomes or ceases to be zero.
func (k *Keeper) Changed() <-chan struct{} { return k.snapshot.Load().changed }

// Release ends all spending at once and releases the slots. It is meant for a planned stop after all work has ended. If
// it fails, the slots lapse with the lease.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.machine.startStop()
	k.publish(time.Now())
	k.mu.Unlock()
	k.wakeLoop()
	select {
	case <-k.released:
		level.Info(k.logger).Log("msg", "Slots released.")
		return nil
	case <-k.done:
		return eris.New("keeper closed before its slots were released")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "slots not released; they lapse with the lease")
	}
}

// Close stops the keeper without releasing its slots, which lapse with the lease. No quota may be spent afterwards.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	k.machine.startStop()
	k.publish(time.Now())
	k.mu.Unlock()
	k.cancel()
	select {
	case <-k.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "close keeper")
	}
}

// wakeLoop makes run evaluate the state without waiting for the next tick.
func (k *Keeper) wakeLoop() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run drives the machine until ctx ends, and waits for the calls it started.
func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var stopped bool
	for ctx.Err() == nil {
		announcements, c, released := k.evaluate(time.Now())
		if released && !stopped {
			stopped = true
			close(k.released)
		}
		for _, t := range announcements {
			calls.Go(func() { k.announce(ctx, t) })
		}
		if c.kind != callNone {
			calls.Go(func() { k.perform(ctx, c) })
		}
		select {
		case <-ticker.C:
		case <-k.wake:
		case <-ctx.Done():
		}
	}
}

// evaluate passes an observation to the machine. It returns the messages to send, the store call to make, and whether a
// planned stop has released everything.
func (k *Keeper) evaluate(now time.Time) ([]announcement, call, bool) {
	v := observation{
		members:           k.config.Peers.Members(),
		otherCallsSucceed: k.config.OtherCallsSucceed(),
		remainingLoanTime: k.config.RemainingLoanTime(now),
		evidenceTime:      now.Add(-k.config.Source.EvidenceAge(now)),
	}
	if config := k.config.Source.Current(); config != nil {
		index := slices.IndexFunc(config.Fleet.DataCentres, func(d steer.DataCentre) bool {
			return d.Name == k.config.DataCentre
		})
		if index >= 0 {
			v.configuredSlots = config.Fleet.DataCentres[index].Slots
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	announcements := k.machine.observe(now, v)
	c := k.machine.nextCall(now)
	k.publish(now)
	return announcements, c, k.machine.stopDone()
}

// publish replaces the snapshot if the state has changed. The caller holds mu.
func (k *Keeper) publish(now time.Time) {
	old := k.snapshot.Load()
	k.ownedBuffer = k.machine.appendOwned(k.ownedBuffer[:0])
	until, reachable, stopping := k.machine.usableUntil(), k.machine.storeReachable, k.machine.stopping
	usable := now.Before(until)
	sameSlots := stopping == old.stopping && slices.Equal(k.ownedBuffer, old.owned)
	if sameSlots && usable == old.usable && until.Equal(old.until) && reachable == old.storeReachable {
		return
	}
	next := &snapshot{
		owned:          old.owned,
		held:           old.held,
		claims:         old.claims,
		until:          until,
		usable:         usable,
		storeReachable: reachable,
		stopping:       stopping,
		changed:        old.changed,
	}
	if !sameSlots {
		next.fill(k.ownedBuffer)
	}
	notify := usable != old.usable || !slices.Equal(next.held, old.held)
	if notify {
		next.changed = make(chan struct{})
		level.Info(k.logger).Log("msg", "Slots changed.", "held", len(next.held), "usable", usable)
	}
	k.heldGauge.Update(int64(len(next.held)))
	k.snapshot.Store(next)
	if notify {
		close(old.changed)
	}
}

// fill sets the claims from all slots that the machine owns.
func (s *snapshot) fill(all []ownedSlot) {
	s.owned = slices.Clone(all)
	s.held, s.claims = nil, nil
	for _, o := range all {
		s.claims = append(s.claims, o.SlotClaim)
		if o.settled && !s.stopping {
			s.held = append(s.held, o.SlotClaim)
		}
	}
}

// perform makes one store call and passes its outcome to the machine.
func (k *Keeper) perform(ctx context.Context, c call) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result{
		sent: time.Now(),
	}
	switch c.kind {
	case callGrant:
		r.lease, r.err = k.config.Store.Grant(callCtx, LeaseTerm)
	case callRenew:
		r.err = k.config.Store.Renew(callCtx, c.lease)
	case callCheck, callRead:
		r.entry, r.err = k.config.Store.Get(callCtx, c.key)
	case callMark, callRaise, callRelease:
		r.revision, r.err = k.config.Store.Swap(callCtx, c.key, c.revision, c.value, c.lease)
	case callUnmark:
		r.err = k.config.Store.Remove(callCtx, c.key, c.revision)
	case callRevoke:
		r.err = k.config.Store.Revoke(callCtx, c.lease)
	case callNone:
	}
	if r.err != nil {
		k.failedCalls.Inc(1)
		level.Debug(k.logger).Log("msg", "Store call failed.", "slot", c.slot, "err", r.err)
	}
	k.mu.Lock()
	now := time.Now()
	k.machine.handleResult(now, c, r)
	k.publish(now)
	k.mu.Unlock()
	k.wakeLoop()
}

// announce sends slot-taken to one member and passes the answer to the machine.
func (k *Keeper) announce(ctx context.Context, t announcement) {
	callCtx, cancel := context.WithTimeout(ctx, takeoverWait)
	defer cancel()
	a, err := k.callSlotTaken(callCtx, t)
	k.mu.Lock()
	now := time.Now()
	from := owner{
		Holder:      t.to,
		Incarnation: a.Incarnation,
	}
	k.machine.handleAnswer(now, t, from, a, err)
	k.publish(now)
	k.mu.Unlock()
	if err != nil {
		level.Debug(k.logger).Log("msg", "No answer to slot-taken.", "slot", t.slot, "member", t.to, "err", err)
		return
	}
	k.wakeLoop()
}

func (k *Keeper) callSlotTaken(ctx context.Context, t announcement) (slotTakenAnswer, error) {
	request, err := cbor.Marshal(slotTakenRequest{
		Slot:       t.slot,
		Generation: t.generation,
	})
	if err != nil {
		return slotTakenAnswer{}, eris.Wrap(err, "slot-taken")
	}
	answer, err := k.config.Peers.Call(ctx, t.to, steer.KindSlotTaken, request)
	if err != nil {
		return slotTakenAnswer{}, err
	}
	return decodeAnswer(answer)
}

// handleSlotTaken handles slot-taken messages from members of the data centre.
func (k *Keeper) handleSlotTaken(_ context.Context, from steer.Member, request []byte) ([]byte, error) {
	t, err := decodeRequest(request)
	if err != nil {
		return nil, err
	}
	if from.DataCentre != k.config.DataCentre {
		return nil, eris.Errorf("slot-taken from data centre %q", from.DataCentre)
	}
	by := owner{
		Holder:      from.ID,
		Incarnation: from.Incarnation,
	}
	k.mu.Lock()
	now := time.Now()
	// The loan time is read after the machine has yielded. A loan lent in between would be missed otherwise.
	a := k.machine.handleSlotTaken(now, by, t)
	k.publish(now)
	k.mu.Unlock()
	if a.wasHolder {
		a.answer.LoansRemaining = k.config.RemainingLoanTime(now)
	}
	a.answer.Incarnation = k.config.Incarnation
	k.wakeLoop()
	return cbor.Marshal(a.answer)
}
