package lease

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

const (
	// maxAsked bounds the peers that are asked for one quota at once. A large fleet would otherwise be flooded by a
	// customer that is over its rate at every host.
	maxAsked = 8

	// missesBeforePause is the number of answers without a grant in a row after which asking is slowed down.
	missesBeforePause = 16

	// Asking without success is bounded for all quotas of a host together, to keep control traffic small when many
	// customers are over their rate at once.
	hopelessRate  = 20  // Requests for quotas that nobody had to lend, per second.
	hopelessBurst = 128 // The same at once.

	planInterval    = 10 * time.Millisecond // Shortest time between two looks at one quota.
	tickInterval    = 50 * time.Millisecond // For renewals, early returns and the version check.
	versionPeers    = 3                     // Peers that are asked for the versions in use at once.
	versionInterval = 250 * time.Millisecond
	callTimeout     = 300 * time.Millisecond // Four round trips between regions.
	firstDelay      = 50 * time.Millisecond  // Before a peer that gave nothing is asked again; doubles.
	longestDelay    = time.Second
	renewInterval   = 100 * time.Millisecond // Between two renewals at one lender.
	returnTimeout   = 500 * time.Millisecond // For returning all loans on Stop.
	returnAge       = 250 * time.Millisecond // A younger loan is not returned.
	returnsAtOnce   = 16

	headroom   = 1.3  // Multiple of the demand up to which rate is borrowed.
	surplus    = 1.5  // Multiple of the demand above which loans are returned.
	enough     = 1.05 // The same while the level is full, so that the levels of other hosts fill up too.
	mostRise   = 3.0  // Largest multiple of the demand that is asked for while the estimate rises.
	leastCap   = 2.0  // Tokens. A part with a cap below one token can spend nothing.
	idleDemand = 0.1  // Requests per second below which nothing borrowed is kept.

	// fill is the time for which tokens are borrowed. It is longer than the time at which asking starts, so that one
	// round of requests lasts for a while.
	fill = 400 * time.Millisecond

	// urgency is the time that a level must last for a request not to be urgent: a round trip between regions.
	urgency = 100 * time.Millisecond
)

// kick lets the borrower look at a quota.
func (m *Manager) kick(e *entry) {
	if !e.kicked.CompareAndSwap(false, true) {
		return
	}
	select {
	case m.kicks <- e:
	default:
		e.kicked.Store(false)
	}
}

// run is the borrower. It ends with ctx, after the requests in flight.
func (m *Manager) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	b := &borrower{
		Manager: m,
		early:   map[*entry]struct{}{},
	}
	soon := time.NewTimer(planInterval)
	defer soon.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.kicks:
			if !b.look(ctx, time.Now(), e) {
				if len(b.early) == 0 {
					soon.Reset(planInterval)
				}
				b.early[e] = struct{}{}
			}
		case <-soon.C:
			for e := range b.early {
				if b.look(ctx, time.Now(), e) {
					delete(b.early, e)
				}
			}
			if len(b.early) > 0 {
				soon.Reset(planInterval)
			}
		case <-tick.C:
			b.tick(ctx, time.Now())
		}
	}
}

// borrower is the state of the goroutine that asks for loans.
type borrower struct {
	*Manager
	early   map[*entry]struct{} // Quotas that were looked at too recently.
	members []steer.Member
	fetched time.Time
	checked time.Time // Last version check.
}

func (b *borrower) peers(now time.Time) []steer.Member {
	if b.members == nil || now.Sub(b.fetched) >= 2*tickInterval {
		b.members = b.config.Peers.Members()
		b.fetched = now
	}
	return b.members
}

// look asks peers for what a quota lacks. It reports false when the last look was too recent.
func (b *borrower) look(ctx context.Context, now time.Time, e *entry) bool {
	if now.Sub(e.planned) < planInterval {
		return false
	}
	e.planned = now
	if want, ok := wanted(now, e); ok && now.Before(b.config.Slots.UsableUntil(now)) {
		lenders := b.lenders(now, e, want.urgent)
		share := min(1, 2/float64(max(1, len(lenders))))
		for _, p := range lenders {
			b.ask(ctx, e, p, want.times(share))
		}
	}
	e.kicked.Store(false)
	if e.flying.Load() == 0 {
		e.arrived.notify()
	}
	return true
}

// need is what a quota lacks.
type need struct {
	replaces bucket.LoanID
	rate     float64
	cap      float64
	tokens   float64
	units    int
	urgent   bool
	single   bool // Tokens for requests that wait, to be returned as soon as they are spent.
}

// times scales a need for one of several lenders.
func (n need) times(share float64) need {
	n.rate *= share
	n.cap = max(n.cap*share, min(n.cap, leastCap))
	n.tokens = max(n.tokens*share, min(n.tokens, 1))
	n.units = int(float64(n.units)*share + 1)
	return n
}

// wanted returns what to borrow now, false when the quota has enough. Loans that end soon are counted as ended. While
// the demand is above its average, it is taken to rise further, because an answer from another region takes longer than
// the estimate needs to follow.
func wanted(now time.Time, e *entry) (need, bool) {
	if e.units != nil {
		short := e.units.Shortfall()
		return need{
			units: short,
		}, short > 0
	}
	state := e.rate.State(now)
	left := e.rate.NetRateAt(now, now.Add(bucket.BorrowHorizon))
	lasts := state.Level >= 1 && (state.Demand <= left || state.Level >= bucket.Tokens(state.Demand, bucket.BorrowHorizon))
	// Single requests look like a rise to an estimate over so few. Tokens for them are gathered instead.
	lasts = lasts || e.small.Load() && state.Demand <= bucket.UpperDemand(state.Own.Rate)
	if lasts || state.Demand <= 0 {
		return need{}, false
	}
	demand := state.Demand * min(mostRise, max(1, state.Demand/state.Average))
	full := max(leastCap, bucket.Tokens(demand, fill))
	tokens := max(0, full-state.Level)
	return need{
		rate: max(0, headroom*demand-left),
		// Tokens only travel with as much cap.
		cap:    max(full-state.Net.Cap, tokens),
		tokens: tokens,
		urgent: state.Level < max(1, bucket.Tokens(state.Demand, urgency), reserve*state.Own.Cap),
	}, true
}

// lenders chooses the peers to ask: a host that is said to hold much, then the nearest. An urgent need does not wait for
// the delay of a peer that refused one that was not.
func (b *borrower) lenders(now time.Time, e *entry, urgent bool) []steer.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	room := maxAsked - int(e.flying.Load())
	if now.Before(e.pause) || room <= 0 {
		return nil
	}
	if e.misses >= missesBeforePause && b.hopeless.TokensAt(now) < 1 {
		e.pause = now.Add(longestDelay / 4)
		return nil
	}
	free := func(p *steer.Member) bool {
		state := e.peers[p.ID]
		ready := state == nil || !state.flying && (!now.Before(state.until) || urgent && state.calm)
		return ready && b.eligible(e, p)
	}
	peers := b.peers(now)
	var chosen []steer.Member
	at := -1
	if e.holder != "" {
		at = slices.IndexFunc(peers, func(p steer.Member) bool { return p.ID == e.holder })
	}
	if at >= 0 && free(&peers[at]) {
		chosen = append(chosen, peers[at])
	}
	for i := 0; i < len(peers) && len(chosen) < room; i++ {
		if i != at && free(&peers[i]) {
			chosen = append(chosen, peers[i])
		}
	}
	if e.misses >= missesBeforePause && !b.hopeless.AllowN(now, len(chosen)) {
		e.pause = now.Add(longestDelay / 4)
		return nil
	}
	return chosen
}

// eligible reports whether a peer may have a part of the quota to lend: by the configuration, or because it is said to
// have borrowed one. Small quotas are divided among few slots, and asking the others would be in vain.
func (b *borrower) eligible(e *entry, p *steer.Member) bool {
	if p.Suspect || p.State.Stopping || len(p.State.Slots) == 0 {
		return false
	}
	if e.units != nil {
		return p.DataCentre == b.config.DataCentre
	}
	if p.ID == e.holder {
		return true
	}
	return b.mayLend(b.table.Load(), e, p)
}

// mayLend reports whether a peer has a part of a rate quota of its own, by the configuration.
func (m *Manager) mayLend(t *table, e *entry, p *steer.Member) bool {
	if p.Suspect || p.State.Stopping {
		return false
	}
	share := t.shares[p.DataCentre][e.name]
	return slices.ContainsFunc(p.State.Slots, func(c steer.SlotClaim) bool { return share.Of(c.Slot).Cap > 0 })
}

// ask sends one request for a loan and applies the answer.
func (b *borrower) ask(ctx context.Context, e *entry, p steer.Member, n need) {
	e.mu.Lock()
	state := e.peers[p.ID]
	if state == nil {
		state = &peerState{}
		e.peers[p.ID] = state
	}
	if state.flying {
		e.mu.Unlock()
		return
	}
	state.flying = true
	state.calm = !n.urgent
	e.mu.Unlock()
	e.flying.Add(1)
	b.counts.asked.Inc(1)
	id := b.loan()
	m := b.Manager
	m.running.Go(func() {
		answer, got, unsure := m.obtain(ctx, e, p.ID, id, n)
		now := time.Now()
		e.mu.Lock()
		e.settle(now, state, got, n.replaces.Number != 0)
		if answer.Holder != "" && answer.Holder != m.config.ID {
			e.holder = answer.Holder
		}
		if got && n.replaces.Number != 0 {
			delete(e.lenders, n.replaces)
		}
		e.mu.Unlock()
		e.flying.Add(-1)
		e.arrived.notify()
		if _, more := wanted(now, e); more && e.rate != nil {
			m.kick(e)
		}
		// A renewal is not cancelled: its lender would count the replaced loan, which is still held here, as ended too.
		if unsure && n.replaces.Number == 0 {
			m.cancel(ctx, e, p.ID, id, answer.Tokens)
		}
	})
}

// obtain asks a peer for a loan and applies the answer. Unsure tells that the loan was not applied and may have been
// granted.
func (m *Manager) obtain(
	ctx context.Context, e *entry, lender string, id bucket.LoanID, n need,
) (answer BorrowAnswer, got, unsure bool) {
	sent := time.Now()
	answer, err := m.borrow(ctx, e, lender, id, n)
	got = err == nil && m.apply(time.Now(), sent, e, lender, id, n, answer)
	return answer, got, !got && (err != nil || answer.Term > 0)
}

// loan returns a new id.
func (m *Manager) loan() bucket.LoanID {
	return bucket.LoanID{
		Borrower:    m.config.ID,
		Incarnation: m.config.Incarnation,
		Number:      m.number.Add(1),
	}
}

// cancel returns a loan that may have been granted but was not applied, with the tokens if they are known. It is sent
// during Stop too, when requests in flight are cut off.
func (m *Manager) cancel(ctx context.Context, e *entry, lender string, id bucket.LoanID, tokens float64) {
	e.mu.Lock()
	e.lenders[id] = lender
	e.mu.Unlock()
	m.sendReturn(context.WithoutCancel(ctx), e, id, tokens)
}

// borrow sends a `borrow` message.
func (m *Manager) borrow(
	ctx context.Context, e *entry, to string, id bucket.LoanID, n need,
) (BorrowAnswer, error) {
	body, err := cbor.Marshal(BorrowRequest{
		Quota:    e.name,
		Number:   id.Number,
		Replaces: n.replaces.Number,
		Rate:     n.rate,
		Cap:      n.cap,
		Tokens:   n.tokens,
		Units:    n.units,
		Urgent:   n.urgent,
		Single:   n.single,
	})
	if err != nil {
		return BorrowAnswer{}, eris.Wrap(err, "borrow request not encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err = m.config.Peers.Call(ctx, to, steer.KindBorrow, body)
	if err != nil {
		return BorrowAnswer{}, err
	}
	return DecodeBorrowAnswer(body)
}

// apply adds a granted loan. The term counts from the sending of the request, so the loan ends here before the lender
// counts it as ended. A grant with the wrong number, or of more than was asked for, belongs to another request and is
// dropped.
func (m *Manager) apply(
	now, sent time.Time, e *entry, lender string, id bucket.LoanID, n need, a BorrowAnswer,
) bool {
	excess := a.Rate > n.rate || a.Cap > n.cap || a.Tokens > n.tokens || a.Units > n.units
	if a.Number != id.Number || a.Term <= 0 || excess || m.stopping.Load() {
		return false
	}
	end := sent.Add(a.Term)
	applied := false
	if e.rate != nil {
		applied = e.rate.Borrow(now, id, n.replaces, bucket.Grant{
			RateShare: bucket.RateShare{
				Rate: a.Rate,
				Cap:  a.Cap,
			},
			Tokens: a.Tokens,
			Term:   a.Term,
		}, end)
	} else {
		applied = e.units.Borrow(now, id, n.replaces, a.Units, end)
		m.freed.notify()
	}
	if !applied {
		return false
	}
	e.mu.Lock()
	e.lenders[id] = lender
	e.mu.Unlock()
	m.counts.borrowed.Inc(1)
	level.Debug(m.logger).Log("msg", "Loan received.", "quota", e.name, "from", lender, "number", id.Number)
	return true
}

// settle records the answer of a peer. The caller holds e.mu.
func (e *entry) settle(now time.Time, p *peerState, got, renewal bool) {
	p.flying = false
	if renewal && !got {
		return
	}
	if got {
		p.delay = 0
		p.until = now.Add(planInterval)
		e.misses = 0
		return
	}
	p.delay = min(max(2*p.delay, firstDelay), longestDelay)
	p.until = now.Add(p.delay)
	e.misses++
	if over := e.misses - missesBeforePause; over >= 0 {
		e.pause = now.Add(min(firstDelay<<min(over/maxAsked, 5), longestDelay))
	}
}

// tick renews and returns loans, and looks whether versions were confirmed.
func (b *borrower) tick(ctx context.Context, now time.Time) {
	t := b.current(now)
	if now.Sub(b.checked) >= versionInterval {
		b.checked = now
		b.check(ctx, now)
	}
	gained := false
	for _, e := range t.entries {
		if e.rate != nil {
			b.tendRate(ctx, now, e)
		} else {
			b.tendUnits(ctx, now, e)
			gained = e.units.Gained(now) || gained
		}
	}
	if gained {
		b.freed.notify()
	}
}

// check derives the parts anew while more than one version may be in use.
func (b *borrower) check(ctx context.Context, now time.Time) {
	b.mu.Lock()
	b.versions.observe(now, b.config.Peers.Members())
	b.prune(now)
	pending := len(b.versions.known) > 1 || !b.versions.settled
	b.versions.settled = len(b.versions.known) == 1 && b.versions.ready
	ready := b.versions.ready || len(b.versions.known) == 0
	b.mu.Unlock()
	if !ready {
		b.askVersions(ctx, now)
	}
	if pending {
		b.refresh(now, true)
	}
}

// askVersions asks the nearest peers which versions may be in use, after the start of this process.
func (b *borrower) askVersions(ctx context.Context, now time.Time) {
	body, err := cbor.Marshal(BorrowRequest{
		Versions: b.config.DataCentre,
	})
	if err != nil {
		return
	}
	m := b.Manager
	peers := b.peers(now)
	for _, p := range peers[:min(len(peers), versionPeers)] {
		m.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			body, err := m.config.Peers.Call(ctx, p.ID, steer.KindBorrow, body)
			if err != nil {
				return
			}
			answer, err := DecodeBorrowAnswer(body)
			if err != nil || len(answer.Versions) == 0 {
				return
			}
			m.mu.Lock()
			m.versions.learn(answer.Versions)
			m.mu.Unlock()
			m.refresh(time.Now(), true)
		})
	}
}

// prune forgets the lenders of loans that have ended, and peers that are gone.
func (b *borrower) prune(now time.Time) {
	members := map[string]bool{}
	for _, p := range b.peers(now) {
		members[p.ID] = true
	}
	for _, e := range b.table.Load().entries {
		e.mu.Lock()
		if len(e.lenders) > 0 {
			held := e.held(now)
			maps.DeleteFunc(e.lenders, func(id bucket.LoanID, _ string) bool { return !held[id] })
		}
		maps.DeleteFunc(e.peers, func(id string, p *peerState) bool { return !p.flying && !members[id] })
		e.mu.Unlock()
	}
}

// tendRate renews the loans that are needed, and returns those that are not.
func (b *borrower) tendRate(ctx context.Context, now time.Time, e *entry) {
	loans := e.rate.BorrowedLoans(now)
	if len(loans) == 0 {
		return
	}
	slices.SortFunc(loans, func(a, c bucket.BorrowedLoan) int { return cmp.Compare(a.ID.Number, c.ID.Number) })
	state := e.rate.State(now)
	capNeed := max(leastCap, bucket.Tokens(state.Demand, fill))
	net := state.Net
	keep := surplus * state.Demand
	if e.small.Load() {
		// Gaps between few requests look like a fall of the demand.
		keep = surplus * bucket.UpperDemand(state.Demand)
	}
	if state.Level >= capNeed {
		keep = enough * state.Demand
	}
	if state.Demand < idleDemand {
		keep, capNeed = 0, 0
	}
	for _, l := range loans {
		without := bucket.RateShare{
			Rate: net.Rate - l.Rate,
			Cap:  net.Cap - l.Cap,
		}
		unneeded := without.Rate >= keep && without.Cap >= capNeed
		age := l.Term - l.End.Sub(now)
		if unneeded && age >= returnAge {
			if tokens, ok := e.rate.Drop(now, l.ID); ok {
				net = without
				b.giveBack(ctx, e, l.ID, tokens)
			}
			continue
		}
		if !unneeded && age >= l.Term/2 {
			b.renew(ctx, now, e, l.ID, need{
				replaces: l.ID,
				rate:     l.Rate,
				cap:      l.Cap,
			})
		}
	}
}

// tendUnits renews the loans whose units are used while own units are scarce, and returns idle ones.
func (b *borrower) tendUnits(ctx context.Context, now time.Time, e *entry) {
	loans := e.units.BorrowedLoans(now)
	if len(loans) == 0 {
		return
	}
	state := e.units.State(now)
	for _, l := range loans {
		if l.Used == 0 && state.Free > 0 && e.units.Drop(now, l.ID) {
			b.giveBack(ctx, e, l.ID, 0)
			continue
		}
		if state.Free == 0 && l.End.Sub(now) <= bucket.Term/2 {
			b.renew(ctx, now, e, l.ID, need{
				replaces: l.ID,
				units:    l.Units,
			})
		}
	}
}

// renew asks the lender of a loan for a new one in its place.
func (b *borrower) renew(ctx context.Context, now time.Time, e *entry, id bucket.LoanID, n need) {
	e.mu.Lock()
	lender := e.lenders[id]
	state := e.peers[lender]
	// The delay after answers without a grant does not hold here: the lender gave this loan before.
	wait := state == nil || state.flying || now.Before(state.renew)
	if !wait {
		state.renew = now.Add(renewInterval)
	}
	e.mu.Unlock()
	if wait {
		return
	}
	for _, p := range b.peers(now) {
		if p.ID == lender && !p.State.Stopping {
			b.ask(ctx, e, p, n)
			return
		}
	}
}

// giveBack sends a loan that was dropped here back to its lender. The loan ends there by itself if the message is
// lost.
func (m *Manager) giveBack(ctx context.Context, e *entry, id bucket.LoanID, tokens float64) {
	m.running.Go(func() { m.sendReturn(ctx, e, id, tokens) })
}

func (m *Manager) sendReturn(ctx context.Context, e *entry, id bucket.LoanID, tokens float64) {
	e.mu.Lock()
	lender := e.lenders[id]
	delete(e.lenders, id)
	e.mu.Unlock()
	body, err := cbor.Marshal(ReturnRequest{
		Quota:  e.name,
		Number: id.Number,
		Tokens: tokens,
	})
	if err != nil || lender == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.counts.returned.Inc(1)
	if _, err := m.config.Peers.Call(ctx, lender, steer.KindReturn, body); err != nil {
		level.Debug(m.logger).Log("msg", "Return not answered.", "quota", e.name, "to", lender, "err", err)
	}
}

// returnAll returns all loans in hand.
func (m *Manager) returnAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(returnsAtOnce)
	now := time.Now()
	for _, e := range m.table.Load().entries {
		if e.rate != nil {
			for _, l := range e.rate.BorrowedLoans(now) {
				if tokens, ok := e.rate.Drop(now, l.ID); ok {
					group.Go(func() error { m.sendReturn(ctx, e, l.ID, tokens); return nil })
				}
			}
			continue
		}
		for _, l := range e.units.BorrowedLoans(now) {
			if e.units.Drop(now, l.ID) {
				group.Go(func() error { m.sendReturn(ctx, e, l.ID, 0); return nil })
			}
		}
	}
	// The functions of the group return no error.
	_ = group.Wait()
}
