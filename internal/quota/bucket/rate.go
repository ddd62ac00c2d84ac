package bucket

import (
	"math"
	"sync"
	"time"
)

// Rate is the token bucket for one host's share of one rate quota. It is safe for concurrent use. The levels of all hosts
// add up to at most the burst of the quota, because each level stays within its cap and only loans move cap between hosts.
type Rate struct {
	mu        sync.Mutex
	settledAt time.Time // The level and the loans are as of this time.
	own       RateShare // From the configuration and the host's slots.
	net       RateShare // Own share minus lent plus borrowed.
	level     float64
	nextEnd   time.Time // Earliest end of a loan; zero without loans.
	lent      map[LoanID]*rateLoan
	borrowed  map[LoanID]*rateLoan
	demand    Demand
}

// oneToken is the level that a request needs. It is below one to allow for rounding errors in shares that add up to one.
const oneToken = 1 - 1e-9

// RateState is a snapshot of a Rate.
type RateState struct {
	Level       float64
	Own         RateShare // Without loans.
	Net         RateShare // With loans.
	Lent        RateShare
	LentCapOnly float64 // Cap of outstanding loans that carry no rate.
	Borrowed    RateShare
	Demand      float64 // Tokens per second.
	Average     float64 // Average demand over the longest window, in tokens per second.
}

// BorrowedLoan is a loan of a rate quota that this host has borrowed.
type BorrowedLoan struct {
	ID LoanID
	RateShare
	End  time.Time
	Term time.Duration
}

// NewRate returns a Rate with no share and no tokens.
func NewRate(now time.Time) *Rate {
	return &Rate{
		settledAt: now,
		lent:      map[LoanID]*rateLoan{},
		borrowed:  map[LoanID]*rateLoan{},
	}
}

// Set replaces the own share, which follows from the configuration and the slots. A smaller share reduces cap and level
// at once; a larger one adds no tokens.
func (r *Rate) Set(now time.Time, share RateShare) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	r.own = share
	r.updateNet()
}

// Take takes one token if there is one and now is before usableUntil. The request counts as demand in either case. The
// result low reports that no token was taken, or that the demand exceeds the net rate and the level lasts for less than
// BorrowHorizon.
func (r *Rate) Take(now, usableUntil time.Time) (ok, low bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	r.demand.Add(r.settledAt, 1)
	ok = r.spend(usableUntil)
	demand := r.demand.Rate(r.settledAt)
	low = !ok || demand > r.net.Rate && r.level < Tokens(demand, BorrowHorizon)
	return ok, low
}

// TakeUncounted is like Take for a request that was already counted as demand.
func (r *Rate) TakeUncounted(now, usableUntil time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	return r.spend(usableUntil)
}

func (r *Rate) spend(usableUntil time.Time) bool {
	// settledAt is compared instead of the caller's time, which may be older than a change seen by another caller.
	if !r.settledAt.Before(usableUntil) || r.level < oneToken {
		return false
	}
	r.level--
	return true
}

// NextTokenIn returns the time until the level reaches one token at the present net rate, at most an hour, and false if
// it never does.
func (r *Rate) NextTokenIn(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if r.level >= oneToken {
		return 0, true
	}
	if r.net.Rate <= 0 || r.net.Cap < oneToken {
		return 0, false
	}
	seconds := (1 - r.level) / r.net.Rate
	return time.Duration(min(seconds*float64(time.Second), float64(time.Hour))), true
}

// State returns a snapshot at now.
func (r *Rate) State(now time.Time) RateState {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	capOnly := 0.0
	for _, l := range r.lent {
		if l.share.Rate <= 0 {
			capOnly += l.share.Cap
		}
	}
	return RateState{
		Level:       r.level,
		Own:         r.own,
		Net:         r.net,
		Lent:        sumShares(r.lent),
		LentCapOnly: capOnly,
		Borrowed:    sumShares(r.borrowed),
		Demand:      r.demand.Rate(r.settledAt),
		Average:     r.demand.Average(r.settledAt),
	}
}

// Spare returns the share that can be lent for the term, including what is outstanding of the loan that is replaced.
// Borrowed loans count only if they do not end before the hold of the new loan.
func (r *Rate) Spare(now time.Time, term time.Duration, replaces LoanID) RateShare {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	return r.spare(r.settledAt.Add(Hold(term)), replaces)
}

// NetRateAt returns the net rate in tokens per second at the time at, if no loan is made or renewed until then.
func (r *Rate) NetRateAt(now, at time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	return max(0, r.netAt(at, LoanID{}).Rate)
}

// Lend subtracts a loan from this host's share before it is granted: as much of want as can be spared for its term. The
// hold of the loan must end by usableUntil. A repeated request gets the grant of the first, or nothing once the loan was
// returned. A renewal moves the outstanding share of the replaced loan into the new one, and its tokens are bounded by
// the cap that it adds for the borrower.
func (r *Rate) Lend(now, usableUntil time.Time, id, replaces LoanID, want Grant) Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if existing := r.lent[id]; existing != nil {
		if existing.returned {
			return Grant{}
		}
		return existing.grant
	}
	end := holdUntil(r.settledAt, want.Term, r.lent[replaces])
	if want.Term <= 0 || end.After(usableUntil) || len(r.lent) >= maxLentLoans {
		return Grant{}
	}
	spare := r.spare(end, replaces)
	share := RateShare{
		Rate: min(max(0, want.Rate), spare.Rate),
		Cap:  min(max(0, want.Cap), spare.Cap),
	}
	if want.Cap > 0 {
		// Another loan may have taken the cap since the caller looked. Rate without cap earns no tokens on either side.
		share.Rate = min(share.Rate, want.Rate*share.Cap/want.Cap)
	}
	if share.Rate <= 0 && share.Cap <= 0 {
		return Grant{}
	}
	addedCap := share.Cap
	if replaced := r.lent[replaces]; replaced != nil {
		addedCap = max(0, share.Cap-replaced.share.Cap)
		replaced.share.Rate = max(0, replaced.share.Rate-share.Rate)
		replaced.share.Cap = max(0, replaced.share.Cap-share.Cap)
	}
	grant := Grant{
		RateShare: share,
		Tokens:    max(0, min(want.Tokens, r.level, addedCap)),
		Term:      want.Term,
	}
	r.level -= grant.Tokens
	r.lent[id] = &rateLoan{
		grant: grant,
		share: share,
		end:   end,
	}
	r.updateNet()
	return grant
}

// holdUntil returns the time at which the lender counts a loan as ended. A renewal is held at least as long as the loan
// it replaces, because the borrower goes on using the replaced loan until its end if the answer is lost.
func holdUntil(now time.Time, term time.Duration, replaced *rateLoan) time.Time {
	end := now.Add(Hold(term))
	if replaced != nil && replaced.end.After(end) {
		return replaced.end
	}
	return end
}

// Reclaim takes back a lent loan before its end, with the tokens that the borrower did not spend. It does nothing and
// returns false for a loan that has ended or was already returned, because its tokens are no longer covered.
func (r *Rate) Reclaim(now time.Time, id LoanID, tokens float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loan := r.lent[id]
	if loan == nil || loan.returned {
		return false
	}
	// The loan stays recorded until its end, so that a late duplicate of the request is not granted again.
	loan.returned = true
	tokens = max(0, min(tokens, loan.grant.Cap))
	loan.share = RateShare{}
	r.level += tokens
	r.updateNet()
	return true
}

// Borrow adds a granted loan that ends at end and removes the loan that it replaces. It returns false for a loan that is
// already recorded or has ended.
func (r *Rate) Borrow(now time.Time, id, replaces LoanID, grant Grant, end time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if !r.settledAt.Before(end) || r.borrowed[id] != nil {
		return false
	}
	delete(r.borrowed, replaces)
	r.borrowed[id] = &rateLoan{
		grant: grant,
		share: grant.RateShare,
		end:   end,
	}
	r.level += min(grant.Tokens, grant.Cap)
	r.updateNet()
	return true
}

// Drop ends a borrowed loan early and returns the tokens to send back with it. It fails if the loan is not held, or if
// some of its share is lent on.
func (r *Rate) Drop(now time.Time, id LoanID) (tokens float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loan := r.borrowed[id]
	if loan == nil {
		return 0, false
	}
	spare := r.spare(loan.end, LoanID{})
	if spare.Rate < loan.share.Rate || spare.Cap < loan.share.Cap {
		return 0, false
	}
	if r.net.Cap > 0 {
		tokens = min(r.level*loan.share.Cap/r.net.Cap, loan.share.Cap)
	}
	delete(r.borrowed, id)
	r.level = max(0, r.level-tokens)
	r.updateNet()
	return tokens, true
}

// DropKeepingTokens ends a borrowed loan of which only the tokens were needed, and returns the tokens beyond the
// remaining cap, to send back with the loan. It fails if the loan is not held, or if some of its cap is lent on.
func (r *Rate) DropKeepingTokens(now time.Time, id LoanID) (tokens float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loan := r.borrowed[id]
	if loan == nil || r.spare(loan.end, LoanID{}).Cap < loan.share.Cap {
		return 0, false
	}
	level := r.level
	delete(r.borrowed, id)
	r.updateNet()
	return min(level-r.level, loan.share.Cap), true
}

// BorrowedLoans returns the loans that this host has borrowed.
func (r *Rate) BorrowedLoans(now time.Time) []BorrowedLoan {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loans := make([]BorrowedLoan, 0, len(r.borrowed))
	for id, l := range r.borrowed {
		loans = append(loans, BorrowedLoan{
			ID:        id,
			RateShare: l.share,
			End:       l.end,
			Term:      l.grant.Term,
		})
	}
	return loans
}

// Outstanding returns the share still lent to another host under a loan, zero for an unknown loan.
func (r *Rate) Outstanding(now time.Time, id LoanID) RateShare {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if loan := r.lent[id]; loan != nil {
		return loan.share
	}
	return RateShare{}
}

// Holder returns the borrower of the loan with the largest outstanding rate, empty if no rate is lent.
func (r *Rate) Holder(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	holder, maxRate := "", 0.0
	for id, l := range r.lent {
		if l.share.Rate > maxRate {
			holder = id.Borrower
			maxRate = l.share.Rate
		}
	}
	return holder
}

// LentUntil returns the latest end of the outstanding loans to other hosts, zero without one.
func (r *Rate) LentUntil(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	var last time.Time
	for _, l := range r.lent {
		if !l.returned && l.share != (RateShare{}) && l.end.After(last) {
			last = l.end
		}
	}
	return last
}

// settle advances the level and the loans to now, in the order in which the loans end.
func (r *Rate) settle(now time.Time) {
	if !now.After(r.settledAt) {
		return
	}
	for !r.nextEnd.IsZero() && !r.nextEnd.After(now) {
		r.accrue(r.nextEnd)
		r.expireLoans()
	}
	r.accrue(now)
}

func (r *Rate) accrue(to time.Time) {
	elapsed := to.Sub(r.settledAt)
	if elapsed <= 0 {
		return
	}
	r.level = min(r.net.Cap, r.level+r.net.Rate*elapsed.Seconds())
	r.settledAt = to
}

func (r *Rate) expireLoans() {
	for id, l := range r.lent {
		if !l.end.After(r.nextEnd) {
			delete(r.lent, id)
		}
	}
	for id, l := range r.borrowed {
		if !l.end.After(r.nextEnd) {
			delete(r.borrowed, id)
		}
	}
	r.updateNet()
}

// updateNet recomputes the net share after a change of the own share or the loans. It adds up all loans, because rounding
// errors would accumulate in an incremental sum.
func (r *Rate) updateNet() {
	net := r.netAt(r.settledAt, LoanID{})
	r.net = RateShare{
		Rate: max(0, net.Rate),
		Cap:  max(0, net.Cap),
	}
	r.level = min(r.level, r.net.Cap)
	r.nextEnd = time.Time{}
	for _, loans := range []map[LoanID]*rateLoan{r.lent, r.borrowed} {
		for _, l := range loans {
			if r.nextEnd.IsZero() || l.end.Before(r.nextEnd) {
				r.nextEnd = l.end
			}
		}
	}
}

// netAt returns the own share minus lent plus borrowed loans that have not ended at the time at. The lent loan except is
// left out.
func (r *Rate) netAt(at time.Time, except LoanID) RateShare {
	net := r.own
	for id, l := range r.lent {
		if id != except && l.end.After(at) {
			net.Rate -= l.share.Rate
			net.Cap -= l.share.Cap
		}
	}
	for _, l := range r.borrowed {
		if l.end.After(at) {
			net.Rate += l.share.Rate
			net.Cap += l.share.Cap
		}
	}
	return net
}

// spare returns the smallest net share from now to end, with the loan replaces left out. Borrowed loans that end before
// then reduce it.
func (r *Rate) spare(end time.Time, replaces LoanID) RateShare {
	minNet := r.netAt(r.settledAt, replaces)
	for _, l := range r.borrowed {
		if l.end.Before(end) {
			net := r.netAt(l.end, replaces)
			minNet.Rate = math.Min(minNet.Rate, net.Rate)
			minNet.Cap = math.Min(minNet.Cap, net.Cap)
		}
	}
	return RateShare{
		Rate: max(0, minNet.Rate),
		Cap:  max(0, minNet.Cap),
	}
}

func sumShares(loans map[LoanID]*rateLoan) RateShare {
	var sum RateShare
	for _, l := range loans {
		sum.Rate += l.share.Rate
		sum.Cap += l.share.Cap
	}
	return sum
}
