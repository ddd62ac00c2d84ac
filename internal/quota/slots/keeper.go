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
	tick        = 250 * time.Millisecond // Between looks at the members.
	callTimeout = 3 * time.Second        // For one store call.
)

// Config configures a Keeper.
type Config struct {
	Store             steer.Store
	Peers             steer.Peers
	Source            steer.Source // Gives the number of slots of the data centre.
	HostID            string
	Incarnation       uint64
	DataCentre        string
	OtherCallsSucceed func() bool                       // Whether the host's other store calls succeed; nil means yes.
	RemainingLoanTime func(now time.Time) time.Duration // Time until the last loan lent ends; nil means none.
	Logger            log.Logger                        // Nil means no logging.
	Metrics           metrics.Registry                  // Nil means a private registry.
	Random            *rand.Rand                        // For jitter; used by the keeper only. Nil means a random seed.
}

// Keeper takes, keeps and gives back the host slots of this host.
type Keeper struct {
	config  Config
	logger  log.Logger
	gauge   metrics.Gauge
	failed  metrics.Counter
	mu      sync.Mutex
	machine *machine
	scratch []owned
	shown   atomic.Pointer[shown]
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{} // Closed when the last goroutine has ended.
	stopped chan struct{} // Closed when a planned stop has given everything back.
}

// shown is what readers see. It is replaced, never changed.
type shown struct {
	owned     []owned
	held      []steer.SlotClaim
	claims    []steer.SlotClaim
	stopping  bool
	until     time.Time
	usable    bool // Until was in the future.
	reachable bool
	changed   chan struct{}
}

// New starts a keeper. It installs the handler for slot-taken.
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
		c.OtherCallsSucceed = func() bool { return true } // Without a report, rule (b) gives no permission.
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
		config:  c,
		logger:  log.With(c.Logger, "part", "slots"),
		gauge:   metrics.GetOrRegisterGauge("slots-held", c.Metrics),
		failed:  metrics.GetOrRegisterCounter("slots-store-call-failed", c.Metrics),
		machine: newMachine(self, c.DataCentre, c.Random, time.Now()),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	k.shown.Store(&shown{
		changed: make(chan struct{}),
	})
	c.Peers.Handle(steer.KindSlotTaken, k.taken)
	go k.run(ctx)
	return k
}

// Held returns the claims that are settled. Quota may be spent on them only before UsableUntil.
func (k *Keeper) Held(time.Time) []steer.SlotClaim { return k.shown.Load().held }

// Claims returns the settled claims and those that still wait for their previous holder. Heartbeats carry them.
func (k *Keeper) Claims() []steer.SlotClaim { return k.shown.Load().claims }

// UsableUntil returns the time until which the host may spend the quota of its slots; zero when it may not.
func (k *Keeper) UsableUntil(now time.Time) time.Time {
	until := k.shown.Load().until
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// UnplannedTakeover returns when a held slot was taken over without a planned release; zero otherwise.
func (k *Keeper) UnplannedTakeover(slot int) time.Time {
	for _, o := range k.shown.Load().owned {
		if o.Slot == slot && o.settled {
			return o.fresh
		}
	}
	return time.Time{}
}

// StoreReachable reports whether the keeper's last store call was answered.
func (k *Keeper) StoreReachable() bool { return k.shown.Load().reachable }

// Changed returns a channel that is closed when Held changes, or when UsableUntil becomes or ceases to be zero.
func (k *Keeper) Changed() <-chan struct{} { return k.shown.Load().changed }

// Release ends all spending at once and gives the slots back, for a planned stop after all work has ended. When it
// fails, the slots lapse with the lease.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.machine.stop()
	k.publish(time.Now())
	k.mu.Unlock()
	k.poke()
	select {
	case <-k.stopped:
		level.Info(k.logger).Log("msg", "Slots released.")
		return nil
	case <-k.done:
		return eris.New("keeper closed before its slots were released")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "slots not released; they lapse with the lease")
	}
}

// Close ends the keeper without giving slots back; nothing may be spent afterwards.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	k.machine.stop()
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

func (k *Keeper) poke() {
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
		tells, c, released := k.turn(time.Now())
		if released && !stopped {
			stopped = true
			close(k.stopped)
		}
		for _, t := range tells {
			calls.Go(func() { k.tell(ctx, t) })
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

// turn lets the machine look around and decide.
func (k *Keeper) turn(now time.Time) ([]tell, call, bool) {
	v := view{
		members:   k.config.Peers.Members(),
		reachable: k.config.OtherCallsSucceed(),
		loans:     k.config.RemainingLoanTime(now),
		evidence:  now.Add(-k.config.Source.EvidenceAge(now)),
	}
	if config := k.config.Source.Current(); config != nil {
		at := slices.IndexFunc(config.Fleet.DataCentres, func(d steer.DataCentre) bool {
			return d.Name == k.config.DataCentre
		})
		if at >= 0 {
			v.slots = config.Fleet.DataCentres[at].Slots
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	tells := k.machine.observe(now, v)
	c := k.machine.next(now)
	k.publish(now)
	return tells, c, k.machine.stopped()
}

// publish replaces what readers see, if it has changed. The caller holds mu.
func (k *Keeper) publish(now time.Time) {
	old := k.shown.Load()
	k.scratch = k.machine.owned(k.scratch[:0])
	until, reachable, stopping := k.machine.usable(), k.machine.reachable, k.machine.stopping
	usable := now.Before(until)
	sameSlots := stopping == old.stopping && slices.Equal(k.scratch, old.owned)
	if sameSlots && usable == old.usable && until.Equal(old.until) && reachable == old.reachable {
		return
	}
	next := &shown{
		owned:     old.owned,
		held:      old.held,
		claims:    old.claims,
		until:     until,
		usable:    usable,
		reachable: reachable,
		stopping:  stopping,
		changed:   old.changed,
	}
	if !sameSlots {
		next.fill(k.scratch)
	}
	notify := usable != old.usable || !slices.Equal(next.held, old.held)
	if notify {
		next.changed = make(chan struct{})
		level.Info(k.logger).Log("msg", "Slots changed.", "held", len(next.held), "usable", usable)
	}
	k.gauge.Update(int64(len(next.held)))
	k.shown.Store(next)
	if notify {
		close(old.changed)
	}
}

// fill sets the claims from the slots that the machine owns.
func (s *shown) fill(all []owned) {
	s.owned = slices.Clone(all)
	s.held, s.claims = nil, nil
	for _, o := range all {
		s.claims = append(s.claims, o.SlotClaim)
		if o.settled && !s.stopping {
			s.held = append(s.held, o.SlotClaim)
		}
	}
}

// perform makes one store call and hands its outcome to the machine.
func (k *Keeper) perform(ctx context.Context, c call) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result{
		sent: time.Now(),
	}
	switch c.kind {
	case callGrant:
		r.lease, r.err = k.config.Store.Grant(limited, LeaseTerm)
	case callRenew:
		r.err = k.config.Store.Renew(limited, c.lease)
	case callCheck, callRead:
		r.entry, r.err = k.config.Store.Get(limited, c.key)
	case callMark, callRaise, callFinish:
		r.revision, r.err = k.config.Store.Swap(limited, c.key, c.revision, c.value, c.lease)
	case callUnmark:
		r.err = k.config.Store.Remove(limited, c.key, c.revision)
	case callRevoke:
		r.err = k.config.Store.Revoke(limited, c.lease)
	case callNone:
	}
	if r.err != nil {
		k.failed.Inc(1)
		level.Debug(k.logger).Log("msg", "Store call failed.", "slot", c.slot, "err", r.err)
	}
	k.mu.Lock()
	now := time.Now()
	k.machine.done(now, c, r)
	k.publish(now)
	k.mu.Unlock()
	k.poke()
}

// tell sends slot-taken to one member and hands its answer to the machine.
func (k *Keeper) tell(ctx context.Context, t tell) {
	limited, cancel := context.WithTimeout(ctx, takeoverWait)
	defer cancel()
	a, err := k.ask(limited, t)
	k.mu.Lock()
	now := time.Now()
	from := owner{
		Holder:      t.to,
		Incarnation: a.Incarnation,
	}
	k.machine.answered(now, t, from, a, err)
	k.publish(now)
	k.mu.Unlock()
	if err != nil {
		level.Debug(k.logger).Log("msg", "No answer to slot-taken.", "slot", t.slot, "member", t.to, "err", err)
		return
	}
	k.poke()
}

func (k *Keeper) ask(ctx context.Context, t tell) (takenAnswer, error) {
	request, err := cbor.Marshal(takenRequest{
		Slot:       t.slot,
		Generation: t.generation,
	})
	if err != nil {
		return takenAnswer{}, eris.Wrap(err, "slot-taken")
	}
	answer, err := k.config.Peers.Call(ctx, t.to, steer.KindSlotTaken, request)
	if err != nil {
		return takenAnswer{}, err
	}
	return decodeAnswer(answer)
}

// taken handles slot-taken from a member.
func (k *Keeper) taken(_ context.Context, from steer.Member, request []byte) ([]byte, error) {
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
	// The loans are asked for after the machine has yielded: a loan lent in between would be missed otherwise.
	a := k.machine.taken(now, by, t)
	k.publish(now)
	k.mu.Unlock()
	if a.heldHere {
		a.answer.Remaining = k.config.RemainingLoanTime(now)
	}
	a.answer.Incarnation = k.config.Incarnation
	k.poke()
	return cbor.Marshal(a.answer)
}
