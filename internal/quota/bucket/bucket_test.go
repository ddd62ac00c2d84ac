package bucket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/quota/bucket"
)

var start = time.Unix(1000, 0)

// after returns the time ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func loanID(number uint64) bucket.LoanID {
	return bucket.LoanID{
		Borrower: "borrower",
		Number:   number,
	}
}

func share(rate, maxTokens float64) bucket.RateShare {
	return bucket.RateShare{
		Rate: rate,
		Cap:  maxTokens,
	}
}

func grant(rate, maxTokens, tokens float64) bucket.Grant {
	return bucket.Grant{
		RateShare: share(rate, maxTokens),
		Tokens:    tokens,
		Term:      bucket.Term,
	}
}

// fullRate returns a Rate with 10 tokens/s and a cap of 10 tokens, whose level is full at start.
func fullRate() *bucket.Rate {
	r := bucket.NewRate(start.Add(-time.Hour))
	r.Set(start.Add(-time.Hour), share(10, 10))
	return r
}

func checkState(t *testing.T, r *bucket.Rate, now time.Time, rate, maxTokens, level float64) {
	t.Helper()
	s := r.State(now)
	almostEqual := func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
	assert.Check(t, almostEqual(s.Net.Rate, rate) && almostEqual(s.Net.Cap, maxTokens) && almostEqual(s.Level, level),
		"have %v tokens/s, cap %v, level %v; want %v, %v, %v", s.Net.Rate, s.Net.Cap, s.Level, rate, maxTokens, level)
}

// Taking a slot must add no tokens, and a smaller share must reduce cap and level at once.
func TestSetNeverAddsTokens(t *testing.T) {
	r := bucket.NewRate(start)
	// Each case is the time in ms, the new rate and cap, and the level that remains.
	for _, c := range [][3]float64{
		{0, 10, 0}, {500, 10, 5}, {500, 20, 5}, {1000, 20, 15}, {1000, 4, 4}, {1000, 0, 0}, {1000, 10, 0},
	} {
		now := after(int(c[0]))
		r.Set(now, share(c[1], c[1]))
		checkState(t, r, now, c[1], c[1], c[2])
	}
}

// A host whose slots are not usable must take no token, even if the caller's time was read before a pause.
func TestTakeNeedsUsableSlots(t *testing.T) {
	r := fullRate()
	ok, _ := r.Take(after(0), after(0))
	assert.Assert(t, !ok)
	ok, _ = r.Take(after(0), after(1))
	assert.Assert(t, ok)
	r.State(after(10))
	assert.Assert(t, !r.TakeUncounted(after(0), after(1)))
}

// A lender must subtract rate, cap and tokens until the hold has passed, and must never add the tokens back.
func TestLoanEndsAtLender(t *testing.T) {
	r := fullRate()
	g := r.Lend(start, after(5000), loanID(1), loanID(0), grant(4, 4, 9))
	assert.Equal(t, g, grant(4, 4, 4))
	checkState(t, r, start, 6, 6, 6)
	checkState(t, r, after(2119), 6, 6, 6)
	checkState(t, r, after(2120), 10, 10, 6)
	assert.Assert(t, !r.Reclaim(after(2121), loanID(1), 4), "tokens of an ended loan are not covered")
}

// A repeated request must get the same grant without a second subtraction, and nothing after the loan was returned.
func TestRepeatedRequestGetsTheSameGrant(t *testing.T) {
	r := fullRate()
	first := r.Lend(start, after(5000), loanID(1), loanID(0), grant(4, 4, 4))
	assert.Equal(t, r.Lend(after(1), after(5000), loanID(1), loanID(0), grant(4, 4, 4)), first)
	assert.Assert(t, r.Reclaim(after(1), loanID(1), 3))
	assert.Assert(t, !r.Reclaim(after(1), loanID(1), 3))
	assert.Equal(t, r.Lend(after(1), after(5000), loanID(1), loanID(0), grant(4, 4, 4)), bucket.Grant{})
	assert.Assert(t, r.LentUntil(after(1)).IsZero())
}

// A loan must not outlive the lender's slot lease, and a share that is lent on must not outlive the loan it comes from.
func TestLoanIsBoundedByItsSource(t *testing.T) {
	r := fullRate()
	assert.Equal(t, r.Lend(start, after(2119), loanID(1), loanID(0), grant(4, 4, 4)), bucket.Grant{})
	b := bucket.NewRate(start)
	assert.Assert(t, b.Borrow(start, loanID(2), loanID(0), grant(4, 4, 4), after(2000)))
	assert.Equal(t, b.Lend(start, after(9000), loanID(3), loanID(0), grant(4, 4, 4)), bucket.Grant{})
	short := grant(4, 4, 4)
	short.Term = bucket.Term / 2
	assert.Equal(t, b.Lend(start, after(9000), loanID(3), loanID(0), short), short)
	_, ok := b.Drop(after(1), loanID(2))
	assert.Assert(t, !ok, "a loan that is lent on must not be returned")
}

// At the end of a loan, the borrower's level must be reduced to the remaining cap. A late answer must have no effect.
func TestLoanEndsAtBorrower(t *testing.T) {
	r := fullRate()
	assert.Assert(t, r.Borrow(start, loanID(1), loanID(0), grant(5, 5, 5), after(2000)))
	assert.Assert(t, !r.Borrow(start, loanID(1), loanID(0), grant(5, 5, 5), after(2000)))
	checkState(t, r, after(1999), 15, 15, 15)
	checkState(t, r, after(2000), 10, 10, 10)
	assert.Assert(t, !r.Borrow(after(2000), loanID(2), loanID(0), grant(5, 5, 5), after(2000)))
}

// A renewal must move no more tokens than the cap that it adds for the borrower, because the lender could refill them.
func TestRenewalReplacesLoan(t *testing.T) {
	r := fullRate()
	r.Lend(start, after(9000), loanID(1), loanID(0), grant(4, 4, 4))
	assert.Equal(t, r.Lend(after(1000), after(9000), loanID(2), loanID(1), grant(4, 4, 4)), grant(4, 4, 0))
	checkState(t, r, after(1000), 6, 6, 6)
	assert.Equal(t, r.Lend(after(1000), after(9000), loanID(3), loanID(2), grant(3, 3, 0)), grant(3, 3, 0))
	checkState(t, r, after(3119), 6, 6, 6)
	checkState(t, r, after(3120), 10, 10, 6)
}

// No unit may be used twice: the lender must not use a lent unit before the hold has passed, nor a new holder a pending
// unit before the previous holder's work has ended, nor a borrower a unit for work that ends after the loan.
func TestUnitsAreUsedOnce(t *testing.T) {
	u := bucket.NewUnits()
	u.Set(start, 2, 1, after(3000))
	usable := after(9000)
	n, _ := u.Lend(start, usable, loanID(1), loanID(0), 5, bucket.Term)
	assert.Equal(t, n, 2)
	_, ok := u.Acquire(after(1), usable, after(100))
	assert.Assert(t, !ok)
	assert.Equal(t, u.Shortfall(), 1)
	assert.Assert(t, u.Borrow(after(1), loanID(2), loanID(0), 1, after(2000)))
	_, ok = u.Acquire(after(1), usable, after(2000))
	assert.Assert(t, !ok, "work that ends after the loan")
	l, ok := u.Acquire(after(1), usable, after(1999))
	assert.Assert(t, ok)
	assert.Assert(t, !u.Drop(after(1), loanID(2)), "work runs on the loan")
	assert.Assert(t, u.Borrow(after(2), loanID(3), loanID(2), 1, after(2500)))
	_, ok = u.Acquire(after(2), usable, after(10))
	assert.Assert(t, !ok, "a renewal must keep the work that runs on the loan")
	u.Release(l)
	for at, want := range map[int]int{2119: 0, 2120: 2, 3000: 3} {
		fresh := bucket.NewUnits()
		fresh.Set(start, 2, 1, after(3000))
		fresh.Lend(start, usable, loanID(1), loanID(0), 2, bucket.Term)
		assert.Equal(t, fresh.State(after(at)).Free, want, at)
	}
}

// The estimate must follow a sudden rise or fall within 200 ms and must not react to single requests.
func TestDemandFollowsChanges(t *testing.T) {
	var d bucket.Demand
	for ms := range 2000 {
		d.Add(after(2*ms), 1)
	}
	rate := d.Rate(after(4000))
	assert.Check(t, rate > 450 && rate < 550, rate)
	assert.Check(t, d.Rate(after(4200)) < 0.5*rate)
	for ms := range 100 {
		d.Add(after(9000+2*ms), 1)
	}
	rise := d.Rate(after(9200))
	assert.Check(t, rise > 250, rise)
	var single bucket.Demand
	single.Add(start, 1)
	assert.Check(t, single.Rate(start) <= 2.0, single.Rate(start))
}
