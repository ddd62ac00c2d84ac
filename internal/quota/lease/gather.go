package lease

import (
	"context"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

const (
	// smallCap is the own cap in tokens below which a host gathers single tokens. A larger one evens out a Poisson demand
	// by itself: with 25 tokens for each slot, no request within rate was refused without them at 80 % load, and up to 0.75 %
	// at 95 % load with one data centre cut off.
	smallCap = 60.0

	// gatherTerm is the term of a loan of single tokens. It covers a round trip between regions and the wait of the
	// request; the loan is returned as soon as its tokens are spent.
	gatherTerm = bucket.Term / 8

	// gatherPause is the time after which tokens are gathered again when no peer had any. It doubles up to a second, so
	// that a customer that is over its rate causes few messages.
	gatherPause = 20 * time.Millisecond

	// manyFails is the number of times in a row that nothing was gathered, after which the messages of all quotas of a
	// host are bounded together.
	manyFails = 3

	// aheadAsked is the number of peers of a round that are asked while no request waits.
	aheadAsked = 2

	// aheadRate is the number of requests per second that a host sends for all quotas while no request waits. One takes 285
	// bytes with its answer and the return, so they take at most a third of the 20 KB/s that control may take at a host.
	aheadRate  = 20
	aheadBurst = 20

	// keptLevel is the fraction of its own cap that a lender keeps while no request waits at the borrower. Above it the
	// lender would soon be full, and a full bucket earns nothing.
	keptLevel = 0.6

	// leastGift is the least part of a token that a peer gives. Hosts without demand hold a few hundredths each.
	leastGift = 0.01
)

// Peers are asked for single tokens in rounds, because a request waits for little more than two round trips between
// regions: the data centre first, then the region, then the others.
const (
	sameCentre = iota
	sameRegion
	anywhere
	rounds
)

// startGather starts to gather single tokens if requests wait for them, or the next one would have to. It does nothing
// while this is under way, when it was in vain lately, and for a large part.
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
	// The search outlives the request that waits, because tokens that arrive unseen are lost to everyone.
	if !m.start(func() { m.gather(context.WithoutCancel(ctx), e) }) {
		e.gathering.Store(false)
	}
}

// start runs a function that Stop waits for. It reports false once Stop has begun.
func (m *Manager) start(run func()) bool {
	m.starting.Lock()
	defer m.starting.Unlock()
	if m.stopping.Load() {
		return false
	}
	m.running.Go(run)
	return true
}

// hopeful reports whether a request that waits for the duration may find a token.
func (e *entry) hopeful(now time.Time, wait time.Duration) bool {
	if e.expecting() || e.small.Load() && e.gatherDelay(now) < wait {
		return true
	}
	next, fills := e.rate.NextTokenIn(now)
	return fills && next < wait
}

// gatherDelay returns the time until single tokens may be gathered.
func (e *entry) gatherDelay(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.ungiven.Sub(now))
}

// lack returns the tokens that are missing for the requests that wait, or for the next one.
func (e *entry) lack(now time.Time) float64 {
	return max(0, float64(max(1, e.waiting.Load()))-e.rate.State(now).Level)
}

// gathered records the end of a search for single tokens.
func (e *entry) gathered(now time.Time, got bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if got {
		e.fails = 0
		return
	}
	e.ungiven = now.Add(min(gatherPause<<min(e.fails, 6), longestDelay))
	e.fails++
}

// gather asks peers for the tokens that waiting requests lack, round by round until they are served. One runs at a time
// for each quota.
func (m *Manager) gather(ctx context.Context, e *entry) {
	got := false
	for round := range rounds {
		now := time.Now()
		lack := e.lack(now)
		urgent := e.waiting.Load() > 0
		if lack <= 0 || m.stopping.Load() || !urgent && round == anywhere {
			break
		}
		peers := m.gatherFrom(now, e, round, urgent)
		answers := make(chan bool, len(peers))
		for _, p := range peers {
			go func() { answers <- m.gatherOne(ctx, e, p, lack, urgent) }()
		}
		for range peers {
			got = <-answers || got
		}
	}
	e.gathered(time.Now(), got || e.waiting.Load() == 0)
	e.gathering.Store(false)
	e.arrived.notify()
	m.finishGathered(ctx, e)
}

// gatherFrom returns the peers of one round that may have tokens, the nearest first.
func (m *Manager) gatherFrom(now time.Time, e *entry, round int, urgent bool) []steer.Member {
	t := m.current(now)
	most := aheadAsked
	if urgent {
		most = maxAsked
	}
	var chosen []steer.Member
	for _, p := range m.config.Peers.Members() {
		near := anywhere
		if p.DataCentre == m.config.DataCentre {
			near = sameCentre
		} else if p.Region == m.config.Region {
			near = sameRegion
		}
		if near == round && len(chosen) < most && m.mayLend(t, e, &p) {
			chosen = append(chosen, p)
		}
	}
	e.mu.Lock()
	fails := e.fails
	e.mu.Unlock()
	if !urgent && !m.ahead.AllowN(now, len(chosen)) {
		return nil
	}
	if fails >= manyFails && !m.hopeless.AllowN(now, len(chosen)) {
		return nil
	}
	return chosen
}

// gatherOne asks one peer for tokens and reports whether it gave any.
func (m *Manager) gatherOne(ctx context.Context, e *entry, p steer.Member, lack float64, urgent bool) bool {
	n := need{
		cap:    lack,
		tokens: lack,
		single: true,
		urgent: urgent,
	}
	id := m.loan()
	m.counts.gathered.Inc(1)
	answer, got, unsure := m.obtain(ctx, e, p.ID, id, n)
	if unsure {
		m.cancel(ctx, e, p.ID, id, answer.Tokens)
	}
	if !got {
		return false
	}
	e.mu.Lock()
	e.singles = append(e.singles, id)
	e.mu.Unlock()
	e.arrived.notify()
	return true
}

// endWait is called when a request waits no more. The last one lets the loans of single tokens be returned.
func (m *Manager) endWait(ctx context.Context, e *entry) {
	if e.waiting.Add(-1) > 0 {
		return
	}
	e.mu.Lock()
	held := len(e.singles) > 0
	e.mu.Unlock()
	if held {
		m.start(func() { m.finishGathered(context.WithoutCancel(ctx), e) })
	}
}

// finishGathered returns the loans of single tokens unless requests wait for them. Stop returns those that are left.
func (m *Manager) finishGathered(ctx context.Context, e *entry) {
	if e.waiting.Load() > 0 {
		return
	}
	e.mu.Lock()
	singles := e.singles
	e.singles = nil
	e.mu.Unlock()
	now := time.Now()
	for _, id := range singles {
		if tokens, ok := e.rate.DropKeepingTokens(now, id); ok {
			m.giveBack(ctx, e, id, tokens)
		}
	}
}

// lendTokens gives single tokens. A request that waits at another host gets all that it lacks if this host has them,
// because requests here would gather theirs in the same way.
func (m *Manager) lendTokens(now, usable time.Time, e *entry, from steer.Member, q BorrowRequest, answer *BorrowAnswer) {
	state := e.rate.State(now)
	tokens := min(q.Tokens, state.Level)
	if !q.Urgent {
		tokens = min(tokens, state.Level-keptLevel*state.Own.Cap)
	}
	if tokens < min(leastGift, q.Tokens) {
		return
	}
	grant := e.rate.Lend(now, usable, loanID(from, q.Number), bucket.LoanID{}, bucket.Grant{
		RateShare: bucket.RateShare{
			Cap: tokens,
		},
		Tokens: tokens,
		Term:   gatherTerm,
	})
	answer.set(grant)
}
