package bucket

import (
	"math"
	"sync"
	"time"
)

// Rate is this host's part of one rate quota. All methods may be called concurrently. The sum of the levels of all
// hosts stays within the burst because every level stays within its cap, and caps only move by loans.
type Rate struct {
	mu       sync.Mutex
	at       time.Time // The level is as of this time.
	own      RateShare // By configuration and slots.
	net      RateShare // Own less lent plus borrowed.
	level    float64
	next     time.Time // Earliest end of a loan; zero without one.
	lent     map[LoanID]*rateLoan
	borrowed map[LoanID]*rateLoan
	demand   Demand
}

// token is what a request needs. It is less than one by the rounding errors of parts that add up to one.
const token = 1 - 1e-9

// RateState is a view of a Rate at one time.
type RateState struct {
	Level       float64
	Own         RateShare // Without loans.
	Net         RateShare // With loans.
	Lent        RateShare
	LentCapOnly float64 // Cap lent without rate.
	Borrowed    RateShare
	Demand      float64 // Tokens per second.
	Average     float64 // Demand over the longest window, tokens per second.
}

// BorrowedLoan is a loan held by this host.
type BorrowedLoan struct {
	ID LoanID
	RateShare
	End  time.Time
	Term time.Duration
}

// NewRate returns a part of zero with level 0.
func NewRate(now time.Time) *Rate {
	return &Rate{
		at:       now,
		lent:     map[LoanID]*rateLoan{},
		borrowed: map[LoanID]*rateLoan{},
	}
}

// Set puts the part by configuration and slots in force. A smaller part cuts cap and level at once; a larger one adds
// no tokens.
func (r *Rate) Set(now time.Time, part RateShare) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	r.own = part
	r.reckon()
}

// Take spends one token if there is one and now is before usable. It counts as demand in either case. Low tells that
// demand exceeds the rate and the level lasts for less than BorrowHorizon.
func (r *Rate) Take(now, usable time.Time) (ok, low bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	r.demand.Add(r.at, 1)
	ok = r.spend(usable)
	demand := r.demand.Rate(r.at)
	low = !ok || demand > r.net.Rate && r.level < Tokens(demand, BorrowHorizon)
	return ok, low
}

// TakeUncounted is Take for a request that was already counted as demand.
func (r *Rate) TakeUncounted(now, usable time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	return r.spend(usable)
}

func (r *Rate) spend(usable time.Time) bool {
	// The settled time is used instead of the caller's, which may be older than a change seen by another caller.
	if !r.at.Before(usable) || r.level < token {
		return false
	}
	r.level--
	return true
}

// NextTokenIn returns the time until the level reaches one token at the present rate, and false if it never does.
func (r *Rate) NextTokenIn(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if r.level >= token {
		return 0, true
	}
	if r.net.Rate <= 0 || r.net.Cap < token {
		return 0, false
	}
	seconds := (1 - r.level) / r.net.Rate
	return time.Duration(min(seconds*float64(time.Second), float64(time.Hour))), true
}

// State returns the part with its loans at now.
func (r *Rate) State(now time.Time) RateState {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	single := 0.0
	for _, l := range r.lent {
		if l.part.Rate <= 0 {
			single += l.part.Cap
		}
	}
	return RateState{
		Level:       r.level,
		Own:         r.own,
		Net:         r.net,
		Lent:        total(r.lent),
		LentCapOnly: single,
		Borrowed:    total(r.borrowed),
		Demand:      r.demand.Rate(r.at),
		Average:     r.demand.Average(r.at),
	}
}

// Spare returns what could be lent for the term. Loans that this host holds count only if they
// end after the hold of the new loan.
func (r *Rate) Spare(now time.Time, term time.Duration, replaces LoanID) RateShare {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	return r.spare(r.at.Add(Hold(term)), replaces)
}

// NetRateAt returns the rate in tokens per second that is left at the time at, if no loan is made or renewed until then.
func (r *Rate) NetRateAt(now, at time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	return max(0, r.netAt(at, LoanID{}).Rate)
}

// Lend takes a loan off this part before it is granted, as much of want as is spare for its term. The hold of the loan
// must end by usable. A repeated request gives the grant of the first. A renewal moves what the replaced loan still
// has out into the new loan, and its tokens are bounded by the cap that is new to the borrower.
func (r *Rate) Lend(now, usable time.Time, id, replaces LoanID, want Grant) Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if known := r.lent[id]; known != nil {
		if known.returned {
			return Grant{}
		}
		return known.grant
	}
	end := holdUntil(r.at, want.Term, r.lent[replaces])
	if want.Term <= 0 || end.After(usable) || len(r.lent) >= maxLent {
		return Grant{}
	}
	spare := r.spare(end, replaces)
	part := RateShare{
		Rate: min(max(0, want.Rate), spare.Rate),
		Cap:  min(max(0, want.Cap), spare.Cap),
	}
	if want.Cap > 0 {
		// Another loan may have taken the cap since the caller looked. Rate without cap earns nothing at either side.
		part.Rate = min(part.Rate, want.Rate*part.Cap/want.Cap)
	}
	if part.Rate <= 0 && part.Cap <= 0 {
		return Grant{}
	}
	fresh := part.Cap
	if old := r.lent[replaces]; old != nil {
		fresh = max(0, part.Cap-old.part.Cap)
		old.part.Rate = max(0, old.part.Rate-part.Rate)
		old.part.Cap = max(0, old.part.Cap-part.Cap)
	}
	grant := Grant{
		RateShare: part,
		Tokens:    max(0, min(want.Tokens, r.level, fresh)),
		Term:      want.Term,
	}
	r.level -= grant.Tokens
	r.lent[id] = &rateLoan{
		grant: grant,
		part:  part,
		end:   end,
	}
	r.reckon()
	return grant
}

// holdUntil returns when the lender counts a loan as ended. A renewal is held at least as long as the loan it replaces,
// because the borrower spends on that one to its end if the answer is lost.
func holdUntil(now time.Time, term time.Duration, replaced *rateLoan) time.Time {
	end := now.Add(Hold(term))
	if replaced != nil && replaced.end.After(end) {
		return replaced.end
	}
	return end
}

// Reclaim takes back a loan before its end, with the tokens that the borrower did not spend. It does nothing for a
// loan that ended or was returned before, because its tokens are no longer covered.
func (r *Rate) Reclaim(now time.Time, id LoanID, tokens float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loan := r.lent[id]
	if loan == nil || loan.returned {
		return false
	}
	// The record stays until its end, so that a late duplicate of the request is not granted again.
	loan.returned = true
	tokens = max(0, min(tokens, loan.grant.Cap))
	loan.part = RateShare{}
	r.level += tokens
	r.reckon()
	return true
}

// Borrow adds a granted loan that ends at end. It fails for a loan that is known or has ended. The loan takes the
// place of the replaced one.
func (r *Rate) Borrow(now time.Time, id, replaces LoanID, grant Grant, end time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if !r.at.Before(end) || r.borrowed[id] != nil {
		return false
	}
	delete(r.borrowed, replaces)
	r.borrowed[id] = &rateLoan{
		grant: grant,
		part:  grant.RateShare,
		end:   end,
	}
	r.level += min(grant.Tokens, grant.Cap)
	r.reckon()
	return true
}

// Drop ends a borrowed loan early and returns the tokens to send back with it. It fails when the loan is not held, or
// when part of it is lent on.
func (r *Rate) Drop(now time.Time, id LoanID) (tokens float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loan := r.borrowed[id]
	if loan == nil {
		return 0, false
	}
	spare := r.spare(loan.end, LoanID{})
	if spare.Rate < loan.part.Rate || spare.Cap < loan.part.Cap {
		return 0, false
	}
	if r.net.Cap > 0 {
		tokens = min(r.level*loan.part.Cap/r.net.Cap, loan.part.Cap)
	}
	delete(r.borrowed, id)
	r.level = max(0, r.level-tokens)
	r.reckon()
	return tokens, true
}

// DropKeepingTokens ends a borrowed loan of which only the tokens were needed, and returns those that no longer fit to
// send back with it. It fails as Drop does.
func (r *Rate) DropKeepingTokens(now time.Time, id LoanID) (tokens float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	loan := r.borrowed[id]
	if loan == nil || r.spare(loan.end, LoanID{}).Cap < loan.part.Cap {
		return 0, false
	}
	level := r.level
	delete(r.borrowed, id)
	r.reckon()
	return min(level-r.level, loan.part.Cap), true
}

// BorrowedLoans returns the loans that this host holds.
func (r *Rate) BorrowedLoans(now time.Time) []BorrowedLoan {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	all := make([]BorrowedLoan, 0, len(r.borrowed))
	for id, l := range r.borrowed {
		all = append(all, BorrowedLoan{
			ID:        id,
			RateShare: l.part,
			End:       l.end,
			Term:      l.grant.Term,
		})
	}
	return all
}

// Outstanding returns what is still out of a loan to another host, zero for an unknown one.
func (r *Rate) Outstanding(now time.Time, id LoanID) RateShare {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	if loan := r.lent[id]; loan != nil {
		return loan.part
	}
	return RateShare{}
}

// Holder returns the borrower to which the largest rate is lent, empty without one.
func (r *Rate) Holder(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	holder, most := "", 0.0
	for id, l := range r.lent {
		if l.part.Rate > most {
			holder = id.Borrower
			most = l.part.Rate
		}
	}
	return holder
}

// LentUntil returns the end of the last loan that is out, zero without one.
func (r *Rate) LentUntil(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	var last time.Time
	for _, l := range r.lent {
		if !l.returned && l.part != (RateShare{}) && l.end.After(last) {
			last = l.end
		}
	}
	return last
}

// settle brings the level and the loans to now, one loan end after the other.
func (r *Rate) settle(now time.Time) {
	if !now.After(r.at) {
		return
	}
	for !r.next.IsZero() && !r.next.After(now) {
		r.accrue(r.next)
		r.expire()
	}
	r.accrue(now)
}

func (r *Rate) accrue(to time.Time) {
	gap := to.Sub(r.at)
	if gap <= 0 {
		return
	}
	r.level = min(r.net.Cap, r.level+r.net.Rate*gap.Seconds())
	r.at = to
}

func (r *Rate) expire() {
	for id, l := range r.lent {
		if !l.end.After(r.next) {
			delete(r.lent, id)
		}
	}
	for id, l := range r.borrowed {
		if !l.end.After(r.next) {
			delete(r.borrowed, id)
		}
	}
	r.reckon()
}

// reckon computes the net part anew after a change of the own part or the loans. Sums are not kept incrementally,
// because rounding errors would build up.
func (r *Rate) reckon() {
	net := r.netAt(r.at, LoanID{})
	r.net = RateShare{
		Rate: max(0, net.Rate),
		Cap:  max(0, net.Cap),
	}
	r.level = min(r.level, r.net.Cap)
	r.next = time.Time{}
	for _, loans := range []map[LoanID]*rateLoan{r.lent, r.borrowed} {
		for _, l := range loans {
			if r.next.IsZero() || l.end.Before(r.next) {
				r.next = l.end
			}
		}
	}
}

// netAt returns the own part with the loans that have not ended at the time at, without the loan except.
func (r *Rate) netAt(at time.Time, except LoanID) RateShare {
	net := r.own
	for id, l := range r.lent {
		if id != except && l.end.After(at) {
			net.Rate -= l.part.Rate
			net.Cap -= l.part.Cap
		}
	}
	for _, l := range r.borrowed {
		if l.end.After(at) {
			net.Rate += l.part.Rate
			net.Cap += l.part.Cap
		}
	}
	return net
}

// spare returns the smallest net part from now to end. Loans in hand that end earlier reduce it at their end.
func (r *Rate) spare(end time.Time, replaces LoanID) RateShare {
	least := r.netAt(r.at, replaces)
	for _, l := range r.borrowed {
		if l.end.Before(end) {
			net := r.netAt(l.end, replaces)
			least.Rate = math.Min(least.Rate, net.Rate)
			least.Cap = math.Min(least.Cap, net.Cap)
		}
	}
	return RateShare{
		Rate: max(0, least.Rate),
		Cap:  max(0, least.Cap),
	}
}

func total(loans map[LoanID]*rateLoan) RateShare {
	var sum RateShare
	for _, l := range loans {
		sum.Rate += l.part.Rate
		sum.Cap += l.part.Cap
	}
	return sum
}
