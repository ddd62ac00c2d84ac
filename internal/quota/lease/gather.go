package lease

import (
	"context"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

const (
	// smallCap is the own cap, in tokens, below which a host gathers single tokens. A larger cap absorbs the variation of a
	// Poisson demand by itself: with 25 tokens for each slot and no gathering, no request within rate was refused at 80 %
	// load, and up to 0.75 % at 95 % load with one data centre cut off.
	smallCap = 60.0

	// gatherTerm is the term of a loan of single tokens. It covers a round trip between regions and the wait of the
	// request; the loan is returned as soon as its tokens are spent.
	gatherTerm = bucket.Term / 8

	// initialGatherBackoff is the delay before tokens are gathered again after no peer had any. It doubles up to a second,
	// so that a customer that is over its rate causes few messages.
	initialGatherBackoff = 20 * time.Millisecond

	// gatherFailuresBeforeLimit is the number of consecutive searches without a token after which the messages of a quota
	// count against the limit for all quotas of the host.
	gatherFailuresBeforeLimit = 3

	// maxPrefetchPeers bounds the peers that are asked in one round while no request waits.
	maxPrefetchPeers = 2

	// prefetchRate is the maximum number of token requests per second that a host sends for all quotas while no request
	// waits. One takes 285 bytes with its answer and the return, so that they use at most a third of the 20 KB/s allowed
	// for control traffic at a host.
	prefetchRate  = 20
	prefetchBurst = 20

	// keptLevelFraction is the fraction of its own cap that a lender keeps while no request waits at the borrower. With a
	// higher level the lender's bucket would soon be full, and a full bucket earns nothing.
	keptLevelFraction = 0.6

	// minTokenGrant is the minimum amount of tokens that a peer grants. Hosts without demand hold a few hundredths each.
	minTokenGrant = 0.01
)

// Peers are asked for single tokens in rounds, because a request waits for little more than two round trips between
// regions: first those of the own data centre, then those of the region, then the others.
const (
	sameDataCentre = iota
	sameRegion
	anywhere
	rounds
)

// startGather starts to gather single tokens if requests wait for them, or if the next request would have to wait. It does
// nothing while tokens are being gathered, during the backoff after a search without tokens, or if the share is not
// small.
func (m *Manager) startGather(ctx context.Context, now time.Time, e *entry) {
	if !e.small.Load() {
		return
	}
	if next, fills := e.rate.NextTokenIn(now); e.waiting.Load() == 0 && (next == 0 || !fills) {
		return
	}
	if e.gatherDelay(now) > 0 || !e.gathering.CompareAndSwap(false, true) {
		return
	}
	// The search outlives the waiting request, because granted tokens would be lost if their answer were not handled.
	if !m.startGoroutine(func() { m.gather(context.WithoutCancel(ctx), e) }) {
		e.gathering.Store(false)
	}
}

// startGoroutine runs a function in a goroutine that Stop waits for. It does nothing and returns false once Stop has
// begun.
func (m *Manager) startGoroutine(run func()) bool {
	m.startMu.Lock()
	defer m.startMu.Unlock()
	if m.stopping.Load() {
		return false
	}
	m.running.Go(run)
	return true
}

// mayGetToken reports whether a request may get a token within the duration wait.
func (e *entry) mayGetToken(now time.Time, wait time.Duration) bool {
	if e.pending() || e.small.Load() && e.gatherDelay(now) < wait {
		return true
	}
	next, fills := e.rate.NextTokenIn(now)
	return fills && next < wait
}

// gatherDelay returns the time until single tokens may be gathered, zero if at once.
func (e *entry) gatherDelay(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.nextGather.Sub(now))
}

// missingTokens returns the number of tokens that the waiting requests lack, or the next request if none waits.
func (e *entry) missingTokens(now time.Time) float64 {
	return max(0, float64(max(1, e.waiting.Load()))-e.rate.State(now).Level)
}

// recordGather updates the backoff after a search for single tokens.
func (e *entry) recordGather(now time.Time, granted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if granted {
		e.gatherFailures = 0
		return
	}
	e.nextGather = now.Add(min(initialGatherBackoff<<min(e.gatherFailures, 6), maxBackoff))
	e.gatherFailures++
}

// gather asks peers for the missing tokens, round by round until none are missing. For each quota, only one call runs at
// a time.
func (m *Manager) gather(ctx context.Context, e *entry) {
	granted := false
	for round := range rounds {
		now := time.Now()
		missing := e.missingTokens(now)
		urgent := e.waiting.Load() > 0
		if missing <= 0 || m.stopping.Load() || !urgent && round == anywhere {
			break
		}
		peers := m.gatherPeers(now, e, round, urgent)
		answers := make(chan bool, len(peers))
		for _, p := range peers {
			go func() { answers <- m.requestTokens(ctx, e, p, missing, urgent) }()
		}
		for range peers {
			granted = <-answers || granted
		}
	}
	e.recordGather(time.Now(), granted || e.waiting.Load() == 0)
	e.gathering.Store(false)
	e.answered.notify()
	m.returnSingleTokens(ctx, e)
}

// gatherPeers returns the peers of one round that may have tokens, the nearest first. It returns none if a limit on token
// requests is reached.
func (m *Manager) gatherPeers(now time.Time, e *entry, round int, urgent bool) []steer.Member {
	t := m.current(now)
	limit := maxPrefetchPeers
	if urgent {
		limit = maxPeersAsked
	}
	var chosen []steer.Member
	for _, p := range m.config.Peers.Members() {
		distance := anywhere
		if p.DataCentre == m.config.DataCentre {
			distance = sameDataCentre
		} else if p.Region == m.config.Region {
			distance = sameRegion
		}
		if distance == round && len(chosen) < limit && m.hasOwnShare(t, e, &p) {
			chosen = append(chosen, p)
		}
	}
	e.mu.Lock()
	gatherFailures := e.gatherFailures
	e.mu.Unlock()
	if !urgent && !m.prefetchLimiter.AllowN(now, len(chosen)) {
		return nil
	}
	if gatherFailures >= gatherFailuresBeforeLimit && !m.retryLimiter.AllowN(now, len(chosen)) {
		return nil
	}
	return chosen
}

// requestTokens asks one peer for tokens and reports whether it granted any.
func (m *Manager) requestTokens(ctx context.Context, e *entry, p steer.Member, missing float64, urgent bool) bool {
	n := need{
		cap:    missing,
		tokens: missing,
		single: true,
		urgent: urgent,
	}
	id := m.newLoanID()
	m.counts.tokenRequests.Inc(1)
	answer, granted, maybeGranted := m.obtain(ctx, e, p.ID, id, n)
	if maybeGranted {
		m.cancel(ctx, e, p.ID, id, answer.Tokens)
	}
	if !granted {
		return false
	}
	e.mu.Lock()
	e.singleTokenLoans = append(e.singleTokenLoans, id)
	e.mu.Unlock()
	e.answered.notify()
	return true
}

// endWait records that a request no longer waits. After the last one, the loans of single tokens are returned.
func (m *Manager) endWait(ctx context.Context, e *entry) {
	if e.waiting.Add(-1) > 0 {
		return
	}
	e.mu.Lock()
	held := len(e.singleTokenLoans) > 0
	e.mu.Unlock()
	if held {
		m.startGoroutine(func() { m.returnSingleTokens(context.WithoutCancel(ctx), e) })
	}
}

// returnSingleTokens returns the loans of single tokens unless requests wait for them. Stop returns the remaining ones.
func (m *Manager) returnSingleTokens(ctx context.Context, e *entry) {
	if e.waiting.Load() > 0 {
		return
	}
	e.mu.Lock()
	singleTokenLoans := e.singleTokenLoans
	e.singleTokenLoans = nil
	e.mu.Unlock()
	now := time.Now()
	for _, id := range singleTokenLoans {
		if tokens, ok := e.rate.DropKeepingTokens(now, id); ok {
			m.startReturn(ctx, e, id, tokens)
		}
	}
}

// lendTokens lends single tokens. A request that waits at another host gets all missing tokens that this host has, because
// requests here can gather tokens in the same way.
func (m *Manager) lendTokens(now, usable time.Time, e *entry, from steer.Member, q BorrowRequest, answer *BorrowAnswer) {
	state := e.rate.State(now)
	tokens := min(q.Tokens, state.Level)
	if !q.Urgent {
		tokens = min(tokens, state.Level-keptLevelFraction*state.Own.Cap)
	}
	if tokens < min(minTokenGrant, q.Tokens) {
		return
	}
	grant := e.rate.Lend(now, usable, loanID(from, q.Number), bucket.LoanID{}, bucket.Grant{
		RateShare: bucket.RateShare{
			Cap: tokens,
		},
		Tokens: tokens,
		Term:   gatherTerm,
	})
	answer.setGrant(grant)
}
