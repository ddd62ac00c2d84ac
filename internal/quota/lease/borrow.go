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
	// maxPeersAsked bounds the loan requests in flight for one quota. Otherwise a customer that is over its rate at every
	// host would flood a large fleet with messages.
	maxPeersAsked = 8

	// missesBeforePause is the number of consecutive answers without a grant after which loan requests are slowed down.
	missesBeforePause = 16

	// Loan requests after repeated answers without a grant are limited for all quotas of a host together, to keep control
	// traffic small when many customers are over their rate at once.
	retryRate  = 20  // Requests per second.
	retryBurst = 128 // Requests at once.

	planInterval         = 10 * time.Millisecond // Minimum time between two plans for one quota.
	tickInterval         = 50 * time.Millisecond // For renewals, early returns and version checks.
	maxVersionPeers      = 3                     // Peers that are asked for the versions in use per check.
	versionCheckInterval = 250 * time.Millisecond
	callTimeout          = 300 * time.Millisecond // Four round trips between regions.
	initialBackoff       = 50 * time.Millisecond  // Delay before a peer that granted nothing is asked again; doubles.
	maxBackoff           = time.Second
	renewInterval        = 100 * time.Millisecond // Minimum time between two renewals at one lender.
	returnAllTimeout     = 500 * time.Millisecond // Bounds the return of all loans in Stop.
	minReturnAge         = 250 * time.Millisecond // Younger loans are not returned.
	maxConcurrentReturns = 16

	headroom        = 1.3  // Multiple of the demand up to which rate is borrowed.
	returnFactor    = 1.5  // Multiple of the demand above which loans are returned.
	fullLevelFactor = 1.05 // Replaces returnFactor while the level is full, so that other hosts fill up too.
	maxRise         = 3.0  // Maximum multiple of the demand that is requested while the estimate rises.
	minCap          = 2.0  // Minimum cap, in tokens. With a cap below one token nothing can be spent.
	idleDemand      = 0.1  // Requests per second below which all borrowed loans are returned.

	// fillTime is the time for which the borrowed tokens should last. It is longer than the horizon at which borrowing
	// starts, so that one round of loan requests lasts for a while.
	fillTime = 400 * time.Millisecond

	// urgentHorizon is the time for which a level must last, or the loan request is urgent: a round trip between regions.
	urgentHorizon = 100 * time.Millisecond
)

// enqueue queues a quota for the borrower, unless it is queued already or the queue is full.
func (m *Manager) enqueue(e *entry) {
	if !e.queued.CompareAndSwap(false, true) {
		return
	}
	select {
	case m.borrowQueue <- e:
	default:
		e.queued.Store(false)
	}
}

// run plans, renews and returns loans until ctx ends.
func (m *Manager) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	b := &borrower{
		Manager:  m,
		deferred: map[*entry]struct{}{},
	}
	deferTimer := time.NewTimer(planInterval)
	defer deferTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.borrowQueue:
			if !b.plan(ctx, time.Now(), e) {
				if len(b.deferred) == 0 {
					deferTimer.Reset(planInterval)
				}
				b.deferred[e] = struct{}{}
			}
		case <-deferTimer.C:
			for e := range b.deferred {
				if b.plan(ctx, time.Now(), e) {
					delete(b.deferred, e)
				}
			}
			if len(b.deferred) > 0 {
				deferTimer.Reset(planInterval)
			}
		case <-tick.C:
			b.tick(ctx, time.Now())
		}
	}
}

// borrower holds the state of the goroutine that requests loans.
type borrower struct {
	*Manager
	deferred        map[*entry]struct{} // Queued quotas that were planned too recently.
	members         []steer.Member
	membersFetched  time.Time // When members was read.
	versionsChecked time.Time // Last version check.
}

// peers returns the members of the fleet, read at most two ticks ago.
func (b *borrower) peers(now time.Time) []steer.Member {
	if b.members == nil || now.Sub(b.membersFetched) >= 2*tickInterval {
		b.members = b.config.Peers.Members()
		b.membersFetched = now
	}
	return b.members
}

// plan requests loans from peers if the quota needs them. It returns false if the quota was planned less than planInterval
// ago.
func (b *borrower) plan(ctx context.Context, now time.Time, e *entry) bool {
	if now.Sub(e.lastPlanned) < planInterval {
		return false
	}
	e.lastPlanned = now
	if want, ok := currentNeed(now, e); ok && now.Before(b.config.Slots.UsableUntil(now)) {
		lenders := b.chooseLenders(now, e, want.urgent)
		fraction := min(1, 2/float64(max(1, len(lenders))))
		for _, p := range lenders {
			b.requestLoan(ctx, e, p, want.scaled(fraction))
		}
	}
	e.queued.Store(false)
	if e.inFlight.Load() == 0 {
		e.answered.notify()
	}
	return true
}

// need is the amount that a quota lacks, and the loan to renew, if any.
type need struct {
	replaces bucket.LoanID
	rate     float64
	cap      float64
	tokens   float64
	units    int
	urgent   bool
	single   bool // Tokens for waiting requests; the loan is returned as soon as they are spent.
}

// scaled returns the part of a need that is requested from one of several lenders.
func (n need) scaled(fraction float64) need {
	n.rate *= fraction
	n.cap = max(n.cap*fraction, min(n.cap, minCap))
	n.tokens = max(n.tokens*fraction, min(n.tokens, 1))
	n.units = int(float64(n.units)*fraction + 1)
	return n
}

// currentNeed returns what to borrow now, and false if the quota has enough. Loans that end within BorrowHorizon count as
// ended. While the demand is above its average, it is assumed to rise further, because an answer from another region
// takes longer than the estimate needs to follow.
func currentNeed(now time.Time, e *entry) (need, bool) {
	if e.units != nil {
		short := e.units.Shortfall()
		return need{
			units: short,
		}, short > 0
	}
	state := e.rate.State(now)
	netRate := e.rate.NetRateAt(now, now.Add(bucket.BorrowHorizon))
	lasts := state.Level >= 1 && (state.Demand <= netRate || state.Level >= bucket.Tokens(state.Demand, bucket.BorrowHorizon))
	// For a small share, the estimate covers so few requests that a single one looks like a rise. Single tokens are
	// gathered for them instead.
	lasts = lasts || e.small.Load() && state.Demand <= bucket.UpperDemand(state.Own.Rate)
	if lasts || state.Demand <= 0 {
		return need{}, false
	}
	demand := state.Demand * min(maxRise, max(1, state.Demand/state.Average))
	full := max(minCap, bucket.Tokens(demand, fillTime))
	tokens := max(0, full-state.Level)
	return need{
		rate: max(0, headroom*demand-netRate),
		// A loan of tokens must include at least as much cap.
		cap:    max(full-state.Net.Cap, tokens),
		tokens: tokens,
		urgent: state.Level < max(1, bucket.Tokens(state.Demand, urgentHorizon), reserveFraction*state.Own.Cap),
	}, true
}

// chooseLenders returns the peers to ask: first the host that a lender named as its largest borrower, then the nearest. An
// urgent need ignores the backoff of a peer whose last request was not urgent.
func (b *borrower) chooseLenders(now time.Time, e *entry, urgent bool) []steer.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := maxPeersAsked - int(e.inFlight.Load())
	if now.Before(e.pausedUntil) || limit <= 0 {
		return nil
	}
	if e.misses >= missesBeforePause && b.retryLimiter.TokensAt(now) < 1 {
		e.pausedUntil = now.Add(maxBackoff / 4)
		return nil
	}
	free := func(p *steer.Member) bool {
		state := e.peers[p.ID]
		ready := state == nil || !state.inFlight && (!now.Before(state.nextRequest) || urgent && state.lastNotUrgent)
		return ready && b.eligible(e, p)
	}
	peers := b.peers(now)
	var chosen []steer.Member
	at := -1
	if e.topBorrower != "" {
		at = slices.IndexFunc(peers, func(p steer.Member) bool { return p.ID == e.topBorrower })
	}
	if at >= 0 && free(&peers[at]) {
		chosen = append(chosen, peers[at])
	}
	for i := 0; i < len(peers) && len(chosen) < limit; i++ {
		if i != at && free(&peers[i]) {
			chosen = append(chosen, peers[i])
		}
	}
	if e.misses >= missesBeforePause && !b.retryLimiter.AllowN(now, len(chosen)) {
		e.pausedUntil = now.Add(maxBackoff / 4)
		return nil
	}
	return chosen
}

// eligible reports whether a peer may have a share of the quota to lend, either by the configuration or because a lender
// named it as its largest borrower. Small quotas are divided among few slots, and asking other hosts would be useless.
func (b *borrower) eligible(e *entry, p *steer.Member) bool {
	if p.Suspect || p.State.Stopping || len(p.State.Slots) == 0 {
		return false
	}
	if e.units != nil {
		return p.DataCentre == b.config.DataCentre
	}
	if p.ID == e.topBorrower {
		return true
	}
	return b.hasOwnShare(b.table.Load(), e, p)
}

// hasOwnShare reports whether a peer has its own share of a rate quota by the configuration and is not suspect or
// stopping.
func (m *Manager) hasOwnShare(t *table, e *entry, p *steer.Member) bool {
	if p.Suspect || p.State.Stopping {
		return false
	}
	share := t.shares[p.DataCentre][e.name]
	return slices.ContainsFunc(p.State.Slots, func(c steer.SlotClaim) bool { return share.RateOf(c.Slot).Cap > 0 })
}

// requestLoan sends one loan request in the background and applies the answer. It does nothing while a request to the same
// peer is in flight.
func (b *borrower) requestLoan(ctx context.Context, e *entry, p steer.Member, n need) {
	e.mu.Lock()
	state := e.peers[p.ID]
	if state == nil {
		state = &peerState{}
		e.peers[p.ID] = state
	}
	if state.inFlight {
		e.mu.Unlock()
		return
	}
	state.inFlight = true
	state.lastNotUrgent = !n.urgent
	e.mu.Unlock()
	e.inFlight.Add(1)
	b.counts.loanRequests.Inc(1)
	id := b.newLoanID()
	m := b.Manager
	m.running.Go(func() {
		answer, granted, maybeGranted := m.obtain(ctx, e, p.ID, id, n)
		now := time.Now()
		e.mu.Lock()
		e.recordAnswer(now, state, granted, n.replaces.Number != 0)
		if answer.TopBorrower != "" && answer.TopBorrower != m.config.ID {
			e.topBorrower = answer.TopBorrower
		}
		if granted && n.replaces.Number != 0 {
			delete(e.lenders, n.replaces)
		}
		e.mu.Unlock()
		e.inFlight.Add(-1)
		e.answered.notify()
		if _, more := currentNeed(now, e); more && e.rate != nil {
			m.enqueue(e)
		}
		// A renewal is not cancelled: the lender would count the replaced loan as ended too, but this host still uses it.
		if maybeGranted && n.replaces.Number == 0 {
			m.cancel(ctx, e, p.ID, id, answer.Tokens)
		}
	})
}

// obtain requests a loan from a peer and applies the answer. The result maybeGranted reports that the loan was not applied
// here but may have been granted by the lender.
func (m *Manager) obtain(
	ctx context.Context, e *entry, lender string, id bucket.LoanID, n need,
) (answer BorrowAnswer, granted, maybeGranted bool) {
	sent := time.Now()
	answer, err := m.sendBorrow(ctx, e, lender, id, n)
	granted = err == nil && m.applyGrant(time.Now(), sent, e, lender, id, n, answer)
	return answer, granted, !granted && (err != nil || answer.Term > 0)
}

// newLoanID returns an ID that no other loan has.
func (m *Manager) newLoanID() bucket.LoanID {
	return bucket.LoanID{
		Borrower:    m.config.ID,
		Incarnation: m.config.Incarnation,
		Number:      m.loanNumber.Add(1),
	}
}

// cancel returns a loan that may have been granted but was not applied, with its tokens if they are known. The return is
// also sent during Stop, which cancels requests in flight.
func (m *Manager) cancel(ctx context.Context, e *entry, lender string, id bucket.LoanID, tokens float64) {
	e.mu.Lock()
	e.lenders[id] = lender
	e.mu.Unlock()
	m.sendReturn(context.WithoutCancel(ctx), e, id, tokens)
}

// sendBorrow sends a `borrow` message and returns the decoded answer.
func (m *Manager) sendBorrow(
	ctx context.Context, e *entry, to string, id bucket.LoanID, n need,
) (BorrowAnswer, error) {
	body, err := cbor.Marshal(BorrowRequest{
		Quota:        e.name,
		Number:       id.Number,
		Replaces:     n.replaces.Number,
		Rate:         n.rate,
		Cap:          n.cap,
		Tokens:       n.tokens,
		Units:        n.units,
		Urgent:       n.urgent,
		SingleTokens: n.single,
	})
	if err != nil {
		return BorrowAnswer{}, eris.Wrap(err, "cannot encode borrow request")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err = m.config.Peers.Call(ctx, to, steer.KindBorrow, body)
	if err != nil {
		return BorrowAnswer{}, err
	}
	return DecodeBorrowAnswer(body)
}

// applyGrant adds a granted loan and reports whether it did. The term counts from the time at which the request was sent,
// so the loan ends here before the lender counts it as ended. A grant with the wrong number, or of more than was
// requested, belongs to another request and is dropped.
func (m *Manager) applyGrant(
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

// recordAnswer updates the backoff of a peer and of the quota after an answer. The caller must hold e.mu.
func (e *entry) recordAnswer(now time.Time, p *peerState, granted, renewal bool) {
	p.inFlight = false
	if renewal && !granted {
		return
	}
	if granted {
		p.backoff = 0
		p.nextRequest = now.Add(planInterval)
		e.misses = 0
		return
	}
	p.backoff = min(max(2*p.backoff, initialBackoff), maxBackoff)
	p.nextRequest = now.Add(p.backoff)
	e.misses++
	if over := e.misses - missesBeforePause; over >= 0 {
		e.pausedUntil = now.Add(min(initialBackoff<<min(over/maxPeersAsked, 5), maxBackoff))
	}
}

// tick renews and returns loans, and checks which versions have been confirmed.
func (b *borrower) tick(ctx context.Context, now time.Time) {
	t := b.current(now)
	if now.Sub(b.versionsChecked) >= versionCheckInterval {
		b.versionsChecked = now
		b.checkVersions(ctx, now)
	}
	gained := false
	for _, e := range t.entries {
		if e.rate != nil {
			b.maintainRateLoans(ctx, now, e)
		} else {
			b.maintainUnitLoans(ctx, now, e)
			gained = e.units.Gained(now) || gained
		}
	}
	if gained {
		b.freed.notify()
	}
}

// checkVersions updates the versions in use, and recomputes the shares while more than one may be in use.
func (b *borrower) checkVersions(ctx context.Context, now time.Time) {
	b.mu.Lock()
	b.versions.observe(now, b.config.Peers.Members())
	b.prune(now)
	pending := len(b.versions.known) > 1 || !b.versions.settled
	b.versions.settled = len(b.versions.known) == 1 && b.versions.ready
	ready := b.versions.ready || len(b.versions.known) == 0
	b.mu.Unlock()
	if !ready {
		b.requestVersions(ctx, now)
	}
	if pending {
		b.refresh(now, true)
	}
}

// requestVersions asks the nearest peers which versions may be in use, after the start of this process.
func (b *borrower) requestVersions(ctx context.Context, now time.Time) {
	body, err := cbor.Marshal(BorrowRequest{
		VersionsOf: b.config.DataCentre,
	})
	if err != nil {
		return
	}
	m := b.Manager
	peers := b.peers(now)
	for _, p := range peers[:min(len(peers), maxVersionPeers)] {
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
			m.versions.addOlder(answer.Versions)
			m.mu.Unlock()
			m.refresh(time.Now(), true)
		})
	}
}

// prune removes the lenders of loans that have ended, and the state of peers that are no longer members.
func (b *borrower) prune(now time.Time) {
	members := map[string]bool{}
	for _, p := range b.peers(now) {
		members[p.ID] = true
	}
	for _, e := range b.table.Load().entries {
		e.mu.Lock()
		if len(e.lenders) > 0 {
			held := e.heldLoans(now)
			maps.DeleteFunc(e.lenders, func(id bucket.LoanID, _ string) bool { return !held[id] })
		}
		maps.DeleteFunc(e.peers, func(id string, p *peerState) bool { return !p.inFlight && !members[id] })
		e.mu.Unlock()
	}
}

// maintainRateLoans renews the loans that are needed and returns the others.
func (b *borrower) maintainRateLoans(ctx context.Context, now time.Time, e *entry) {
	loans := e.rate.BorrowedLoans(now)
	if len(loans) == 0 {
		return
	}
	slices.SortFunc(loans, func(a, c bucket.BorrowedLoan) int { return cmp.Compare(a.ID.Number, c.ID.Number) })
	state := e.rate.State(now)
	capNeed := max(minCap, bucket.Tokens(state.Demand, fillTime))
	net := state.Net
	keep := returnFactor * state.Demand
	if e.small.Load() {
		// With few requests, the gaps between them look like falling demand.
		keep = returnFactor * bucket.UpperDemand(state.Demand)
	}
	if state.Level >= capNeed {
		keep = fullLevelFactor * state.Demand
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
		if unneeded && age >= minReturnAge {
			if tokens, ok := e.rate.Drop(now, l.ID); ok {
				net = without
				b.startReturn(ctx, e, l.ID, tokens)
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

// maintainUnitLoans renews loans while no unit is free, and returns idle loans while one is.
func (b *borrower) maintainUnitLoans(ctx context.Context, now time.Time, e *entry) {
	loans := e.units.BorrowedLoans(now)
	if len(loans) == 0 {
		return
	}
	state := e.units.State(now)
	for _, l := range loans {
		if l.Used == 0 && state.Free > 0 && e.units.Drop(now, l.ID) {
			b.startReturn(ctx, e, l.ID, 0)
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

// renew requests a new loan from the lender of a loan, to replace it.
func (b *borrower) renew(ctx context.Context, now time.Time, e *entry, id bucket.LoanID, n need) {
	e.mu.Lock()
	lender := e.lenders[id]
	state := e.peers[lender]
	// The backoff after answers without a grant does not apply, since the lender granted this loan before.
	wait := state == nil || state.inFlight || now.Before(state.nextRenewal)
	if !wait {
		state.nextRenewal = now.Add(renewInterval)
	}
	e.mu.Unlock()
	if wait {
		return
	}
	for _, p := range b.peers(now) {
		if p.ID == lender && !p.State.Stopping {
			b.requestLoan(ctx, e, p, n)
			return
		}
	}
}

// startReturn returns a loan that was dropped here to its lender, in the background. If the message is lost, the loan ends
// there after its hold.
func (m *Manager) startReturn(ctx context.Context, e *entry, id bucket.LoanID, tokens float64) {
	m.running.Go(func() { m.sendReturn(ctx, e, id, tokens) })
}

// sendReturn sends a `return` message to the lender of a loan. It does nothing if the lender is not known.
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
		level.Debug(m.logger).Log("msg", "Return of a loan was not answered.", "quota", e.name, "to", lender, "err", err)
	}
}

// returnAll returns all borrowed loans.
func (m *Manager) returnAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnAllTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReturns)
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
