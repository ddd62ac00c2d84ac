package bucket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/quota/bucket"
)

var start = time.Unix(1000, 0)

// after returns the time some milliseconds after the start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func id(number uint64) bucket.LoanID {
	return bucket.LoanID{
		Borrower: "borrower",
		Number:   number,
	}
}

func part(rate, most float64) bucket.RateShare {
	return bucket.RateShare{
		Rate: rate,
		Cap:  most,
	}
}

func grant(rate, most, tokens float64) bucket.Grant {
	return bucket.Grant{
		RateShare: part(rate, most),
		Tokens:    tokens,
		Term:      bucket.Term,
	}
}

// full returns a part of 10 tokens/s and 10 tokens, with a full level at start.
func full() *bucket.Rate {
	r := bucket.NewRate(start.Add(-time.Hour))
	r.Set(start.Add(-time.Hour), part(10, 10))
	return r
}

func state(t *testing.T, r *bucket.Rate, now time.Time, rate, most, level float64) {
	t.Helper()
	s := r.State(now)
	near := func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
	assert.Check(t, near(s.Net.Rate, rate) && near(s.Net.Cap, most) && near(s.Level, level),
		"have %v tokens/s, cap %v, level %v; want %v, %v, %v", s.Net.Rate, s.Net.Cap, s.Level, rate, most, level)
}

// A slot that is taken brings no tokens, and a smaller part cuts cap and level at once.
func TestSetNeverAddsTokens(t *testing.T) {
	r := bucket.NewRate(start)
	// Each case is the time in ms, the new rate and cap, and the level that is left.
	for _, c := range [][3]float64{
		{0, 10, 0}, {500, 10, 5}, {500, 20, 5}, {1000, 20, 15}, {1000, 4, 4}, {1000, 0, 0}, {1000, 10, 0},
	} {
		now := after(int(c[0]))
		r.Set(now, part(c[1], c[1]))
		state(t, r, now, c[1], c[1], c[2])
	}
}

// A host whose slots are not usable spends nothing, also when the caller's time is from before a pause.
func TestTakeNeedsUsableSlots(t *testing.T) {
	r := full()
	ok, _ := r.Take(after(0), after(0))
	assert.Assert(t, !ok)
	ok, _ = r.Take(after(0), after(1))
	assert.Assert(t, ok)
	r.State(after(10))
	assert.Assert(t, !r.TakeUncounted(after(0), after(1)))
}

// A lender must subtract rate, cap and tokens until the hold has passed, and must never add the tokens back.
func TestLoanEndsAtLender(t *testing.T) {
	r := full()
	g := r.Lend(start, after(5000), id(1), id(0), grant(4, 4, 9))
	assert.Equal(t, g, grant(4, 4, 4))
	state(t, r, start, 6, 6, 6)
	state(t, r, after(2119), 6, 6, 6)
	state(t, r, after(2120), 10, 10, 6)
	assert.Assert(t, !r.Reclaim(after(2121), id(1), 4), "tokens of an ended loan are not covered")
}

// A repeated request must give the same grant without subtracting again, and nothing after the loan was returned.
func TestRepeatedRequestGetsTheSameGrant(t *testing.T) {
	r := full()
	first := r.Lend(start, after(5000), id(1), id(0), grant(4, 4, 4))
	assert.Equal(t, r.Lend(after(1), after(5000), id(1), id(0), grant(4, 4, 4)), first)
	assert.Assert(t, r.Reclaim(after(1), id(1), 3))
	assert.Assert(t, !r.Reclaim(after(1), id(1), 3))
	assert.Equal(t, r.Lend(after(1), after(5000), id(1), id(0), grant(4, 4, 4)), bucket.Grant{})
	assert.Assert(t, r.LentUntil(after(1)).IsZero())
}

// A loan must not outlive the slot lease of its lender, and what is lent on must not outlive the loan it comes from.
func TestLoanIsBoundedByItsSource(t *testing.T) {
	r := full()
	assert.Equal(t, r.Lend(start, after(2119), id(1), id(0), grant(4, 4, 4)), bucket.Grant{})
	b := bucket.NewRate(start)
	assert.Assert(t, b.Borrow(start, id(2), id(0), grant(4, 4, 4), after(2000)))
	assert.Equal(t, b.Lend(start, after(9000), id(3), id(0), grant(4, 4, 4)), bucket.Grant{})
	short := grant(4, 4, 4)
	short.Term = bucket.Term / 2
	assert.Equal(t, b.Lend(start, after(9000), id(3), id(0), short), short)
	_, ok := b.Drop(after(1), id(2))
	assert.Assert(t, !ok, "a loan that is lent on must not be returned")
}

// The level of a borrower must be cut to its remaining cap at the end of a loan, and a late answer must do nothing.
func TestLoanEndsAtBorrower(t *testing.T) {
	r := full()
	assert.Assert(t, r.Borrow(start, id(1), id(0), grant(5, 5, 5), after(2000)))
	assert.Assert(t, !r.Borrow(start, id(1), id(0), grant(5, 5, 5), after(2000)))
	state(t, r, after(1999), 15, 15, 15)
	state(t, r, after(2000), 10, 10, 10)
	assert.Assert(t, !r.Borrow(after(2000), id(2), id(0), grant(5, 5, 5), after(2000)))
}

// A renewal must not move tokens beyond the cap that is new to the borrower, because the lender could refill them.
func TestRenewalMovesTheOldLoan(t *testing.T) {
	r := full()
	r.Lend(start, after(9000), id(1), id(0), grant(4, 4, 4))
	assert.Equal(t, r.Lend(after(1000), after(9000), id(2), id(1), grant(4, 4, 4)), grant(4, 4, 0))
	state(t, r, after(1000), 6, 6, 6)
	assert.Equal(t, r.Lend(after(1000), after(9000), id(3), id(2), grant(3, 3, 0)), grant(3, 3, 0))
	state(t, r, after(3119), 6, 6, 6)
	state(t, r, after(3120), 10, 10, 6)
}

// Units must never be used twice: lent ones until the hold has passed, pending ones before the previous holder's work
// has ended, borrowed ones for work that ends after the loan.
func TestUnitsAreUsedOnce(t *testing.T) {
	u := bucket.NewUnits()
	u.Set(start, 2, 1, after(3000))
	usable := after(9000)
	n, _ := u.Lend(start, usable, id(1), id(0), 5, bucket.Term)
	assert.Equal(t, n, 2)
	_, ok := u.Acquire(after(1), usable, after(100))
	assert.Assert(t, !ok)
	assert.Equal(t, u.Shortfall(), 1)
	assert.Assert(t, u.Borrow(after(1), id(2), id(0), 1, after(2000)))
	_, ok = u.Acquire(after(1), usable, after(2000))
	assert.Assert(t, !ok, "work that ends after the loan")
	l, ok := u.Acquire(after(1), usable, after(1999))
	assert.Assert(t, ok)
	assert.Assert(t, !u.Drop(after(1), id(2)), "work runs on the loan")
	assert.Assert(t, u.Borrow(after(2), id(3), id(2), 1, after(2500)))
	_, ok = u.Acquire(after(2), usable, after(10))
	assert.Assert(t, !ok, "a renewal must keep the work that runs on the loan")
	u.Release(l)
	for at, want := range map[int]int{2119: 0, 2120: 2, 3000: 3} {
		fresh := bucket.NewUnits()
		fresh.Set(start, 2, 1, after(3000))
		fresh.Lend(start, usable, id(1), id(0), 2, bucket.Term)
		assert.Equal(t, fresh.State(after(at)).Free, want, at)
	}
}

// The demand must follow a sudden rise and fall within 200 ms and not react to single requests.
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
