package bucket_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonhub.example/steer/internal/quota/bucket"
)

// The fixed seed makes CI runs reproducible. The flag -rapid.seed selects another.
func init() { _ = flag.Set("rapid.seed", "1") }

// violation is one way to break the rules of the design. A fleet can be made to commit it.
type violation string

const (
	noViolation        violation = ""
	lenderKeepsCap     violation = "the lender does not subtract the cap"
	lenderKeepsRate    violation = "the lender does not subtract the rate"
	lenderRefills      violation = "the lender adds tokens back at the end of a loan"
	termFromAnswer     violation = "the borrower counts the term from the answer"
	answerAppliedTwice violation = "a repeated answer is applied again"
	loanKeptOnReturn   violation = "the borrower keeps a loan that it returns"
	startsFull         violation = "a new holder starts with a full level"
	loanOutlivesLease  violation = "a loan outlives the lease of the lender's slot"
	cancelledRenewal   violation = "a renewal without an answer is cancelled"
	growsBeforeShrink  violation = "a part grows before the other one has shrunk"
)

const (
	fleetRate  = 100.0
	fleetBurst = 60.0
	fleetHosts = 4
	leaseTerm  = 3 * time.Second // Of a slot; shorter than in production, so that takeovers happen often.
	tolerance  = 1e-6            // In tokens, for rounding errors.
)

// fleet simulates the buckets of four slots in virtual time, with messages that are delayed, reordered, repeated and
// lost. It checks every admission against one token bucket for the whole fleet, which is equivalent to checking the bound
// over every window.
type fleet struct {
	choose         func(n int) int
	broken         violation
	faults         bool // Messages are repeated and lost, and hosts die and pause.
	moves          bool // Shares move between slots, and slots between processes.
	greedy         bool // All hosts take tokens all the time, so that no token is lost at a full level.
	now            time.Time
	holders        [fleetHosts]*holder
	messages       []message
	lastLoanNumber uint64
	level          float64 // Of the bucket for the whole fleet, at lastSpend.
	lastSpend      time.Time
	admitted       int
	loans          int
	failure        string // First violation of the bound; empty without one.
}

// holder is the process that holds a slot.
type holder struct {
	rate        *bucket.Rate
	own         bucket.RateShare
	leaseEnd    time.Time
	pausedUntil time.Time // Does nothing before this time.
	dead        bool
	pending     map[bucket.LoanID]time.Time // When each loan request without an answer was sent.
	held        map[bucket.LoanID]int       // Lender's slot of each borrowed loan.
}

type message struct {
	at     time.Time
	to     int
	handle func(h *holder)
}

func newFleet(choose func(n int) int, broken violation) *fleet {
	start := time.Unix(0, 0)
	f := &fleet{
		choose:    choose,
		broken:    broken,
		now:       start,
		lastSpend: start,
		level:     fleetBurst,
		faults:    choose(2) == 0,
		moves:     choose(2) == 0,
	}
	for i := range f.holders {
		f.startHolder(i, share(fleetRate/fleetHosts, fleetBurst/fleetHosts))
	}
	return f
}

// startHolder lets a new process take a slot.
func (f *fleet) startHolder(slot int, own bucket.RateShare) {
	h := &holder{
		rate:     bucket.NewRate(f.now),
		own:      own,
		leaseEnd: f.now.Add(leaseTerm),
		pending:  map[bucket.LoanID]time.Time{},
		held:     map[bucket.LoanID]int{},
	}
	h.rate.Set(f.now, own)
	if f.broken == startsFull {
		h.rate = bucket.NewRate(f.now.Add(-time.Hour))
		h.rate.Set(f.now.Add(-time.Hour), own)
	}
	f.holders[slot] = h
}

func (f *fleet) delay() time.Duration { return time.Duration(f.choose(30)) * 10 * time.Millisecond }

// send delivers a message after a delay to the process that holds the slot then. With faults, the message may be repeated
// or lost.
func (f *fleet) send(to int, handle func(h *holder)) {
	copies := 1
	if f.faults {
		copies = []int{1, 1, 1, 1, 2, 2, 2, 0}[f.choose(8)]
	}
	for range copies {
		f.schedule(f.now.Add(f.delay()), to, handle)
	}
}

// schedule delivers a message at a given time.
func (f *fleet) schedule(at time.Time, to int, handle func(h *holder)) {
	f.messages = append(f.messages, message{
		at:     at,
		to:     to,
		handle: handle,
	})
}

// advance moves the time forward and delivers messages. Greedy hosts take all tokens at every step.
func (f *fleet) advance(d time.Duration) {
	const step = 20 * time.Millisecond
	for ; f.greedy && d > step; d -= step {
		f.deliver(step)
		for i := range f.holders {
			f.spend(i, fleetBurst)
		}
	}
	f.deliver(d)
}

// deliver moves the time forward, delivers the messages that are due, renews slot leases and replaces the holders of
// expired ones. A paused process handles its messages when it resumes.
func (f *fleet) deliver(d time.Duration) {
	until := f.now.Add(d)
	for {
		next := until
		due := -1
		for i, m := range f.messages {
			at := m.at
			if p := f.holders[m.to].pausedUntil; p.After(at) {
				at = p
			}
			if at.Before(next) {
				next = at
				due = i
			}
		}
		if next.After(f.now) {
			f.now = next
		}
		if due < 0 {
			break
		}
		m := f.messages[due]
		f.messages = slices.Delete(f.messages, due, due+1)
		if h := f.holders[m.to]; !h.dead {
			m.handle(h)
		}
	}
	for i, h := range f.holders {
		if !h.dead && !f.now.Before(h.pausedUntil) && f.now.Before(h.leaseEnd) {
			h.leaseEnd = f.now.Add(leaseTerm)
		}
		if !f.now.Before(h.leaseEnd) {
			f.startHolder(i, h.own)
		}
	}
}

// spend takes up to n tokens at a slot and checks each against the bound.
func (f *fleet) spend(slot, n int) {
	h := f.holders[slot]
	for range n {
		if h.dead || f.now.Before(h.pausedUntil) {
			return
		}
		if ok, _ := h.rate.Take(f.now, h.leaseEnd); !ok {
			return
		}
		f.admitted++
		f.level = min(fleetBurst, f.level+fleetRate*f.now.Sub(f.lastSpend).Seconds()) - 1
		f.lastSpend = f.now
		if f.level < -tolerance && f.failure == "" {
			f.failure = fmt.Sprintf("admission %d at %v is over the bound by %.3f tokens", f.admitted,
				f.now.Sub(time.Unix(0, 0)), -f.level)
		}
	}
}

// borrow sends a loan request from one slot to another, sometimes to renew a borrowed loan.
func (f *fleet) borrow(from, to int) {
	h := f.holders[from]
	if from == to || h.dead || f.now.Before(h.pausedUntil) {
		return
	}
	f.lastLoanNumber++
	id := bucket.LoanID{
		Borrower: "host",
		Number:   f.lastLoanNumber,
	}
	var replaces bucket.LoanID
	for held, lender := range h.held {
		if lender == to && held.Number > replaces.Number {
			replaces = held
		}
	}
	if f.choose(2) == 0 {
		replaces = bucket.LoanID{}
	}
	want := bucket.Grant{
		RateShare: share(float64(5*f.choose(6)), float64(5*f.choose(6))),
		Tokens:    float64(5 * f.choose(6)),
		Term:      time.Duration(1+f.choose(4)) * bucket.Term / 4,
	}
	h.pending[id] = f.now
	cancelled := f.choose(4) == 0 && replaces.Number == 0
	if cancelled || f.broken == cancelledRenewal && replaces.Number != 0 {
		f.schedule(f.now.Add(f.delay()), from, func(b *holder) { f.cancel(b, to, id) })
	}
	f.send(to, func(lender *holder) {
		grant := f.lend(to, lender, id, replaces, want)
		f.send(from, func(b *holder) { f.apply(b, to, id, replaces, grant) })
	})
}

func (f *fleet) lend(slot int, h *holder, id, replaces bucket.LoanID, want bucket.Grant) bucket.Grant {
	usable := h.leaseEnd
	if f.broken == loanOutlivesLease {
		usable = f.now.Add(time.Hour)
	}
	grant := h.rate.Lend(f.now, usable, id, replaces, want)
	own := h.own
	switch f.broken {
	case lenderKeepsCap:
		own.Cap += grant.Cap
		h.rate.Set(f.now, own)
	case lenderKeepsRate:
		own.Rate += grant.Rate
		h.rate.Set(f.now, own)
	case lenderRefills:
		end := f.now.Add(bucket.Hold(grant.Term) - time.Millisecond)
		f.schedule(end, slot, func(h *holder) { h.rate.Reclaim(f.now, id, grant.Tokens) })
	}
	return grant
}

func (f *fleet) apply(b *holder, lender int, id, replaces bucket.LoanID, grant bucket.Grant) {
	sent, ok := b.pending[id]
	if !ok || grant.Term == 0 {
		return
	}
	if f.broken == answerAppliedTwice {
		id.Incarnation = uint64(f.choose(1 << 20))
	} else {
		delete(b.pending, id)
	}
	end := sent.Add(grant.Term)
	if f.broken == termFromAnswer {
		end = f.now.Add(grant.Term)
	}
	if b.rate.Borrow(f.now, id, replaces, grant, end) {
		f.loans++
		delete(b.held, replaces)
		b.held[id] = lender
	}
}

// cancel stops waiting for an answer and notifies the lender.
func (f *fleet) cancel(b *holder, lender int, id bucket.LoanID) {
	if _, ok := b.pending[id]; !ok {
		return
	}
	delete(b.pending, id)
	f.send(lender, func(l *holder) { l.rate.Reclaim(f.now, id, 0) })
}

// returnOldest returns the oldest borrowed loan early.
func (f *fleet) returnOldest(slot int) {
	h := f.holders[slot]
	if h.dead || f.now.Before(h.pausedUntil) || len(h.held) == 0 {
		return
	}
	var id bucket.LoanID
	for held := range h.held {
		if id.Number == 0 || held.Number < id.Number {
			id = held
		}
	}
	lender := h.held[id]
	delete(h.held, id)
	if f.broken == loanKeptOnReturn {
		f.send(lender, func(l *holder) { l.rate.Reclaim(f.now, id, 0) })
		return
	}
	if tokens, ok := h.rate.Drop(f.now, id); ok {
		f.send(lender, func(l *holder) { l.rate.Reclaim(f.now, id, tokens) })
	}
}

// moveShare is a configuration change that takes a slot's share away and adds it to another slot's share after the loans
// out of the first have ended.
func (f *fleet) moveShare(from, to int) {
	h := f.holders[from]
	if h.dead || from == to || f.now.Before(h.pausedUntil) {
		return
	}
	moved := h.own
	h.own = bucket.RateShare{}
	h.rate.Set(f.now, h.own)
	wait := bucket.MaxHold
	if f.broken == growsBeforeShrink {
		wait = 0
	}
	f.schedule(f.now.Add(wait), to, func(g *holder) {
		g.own.Rate += moved.Rate
		g.own.Cap += moved.Cap
		g.rate.Set(f.now, g.own)
	})
}

// handOver ends the process of a slot. A new one takes the slot when the loans that the slot has lent have ended.
func (f *fleet) handOver(slot int) {
	h := f.holders[slot]
	if h.dead {
		return
	}
	h.dead = true
	h.leaseEnd = f.now
	if end := h.rate.LentUntil(f.now); end.After(f.now) && f.broken != loanOutlivesLease {
		h.leaseEnd = end
	}
}

// step performs one randomly chosen action.
func (f *fleet) step() {
	slot := f.choose(fleetHosts)
	other := f.choose(fleetHosts)
	switch f.choose(20) {
	case 0, 1, 2, 3:
		f.advance(f.delay())
	case 4:
		f.advance(10 * f.delay())
	case 5, 6, 7, 8, 9:
		f.borrow(slot, other)
	case 10, 11, 12, 13, 14, 15:
		f.spend(slot, 1+f.choose(fleetBurst))
	case 16, 17:
		f.returnOldest(slot)
	case 18:
		f.greedy = !f.greedy
	default:
		switch {
		case f.moves && f.choose(2) == 0:
			f.moveShare(slot, other)
		case f.moves:
			f.handOver(slot)
		case f.faults && f.choose(2) == 0:
			f.holders[slot].pausedUntil = f.now.Add(20 * f.delay())
		case f.faults:
			f.holders[slot].dead = true
		}
	}
}

// No sequence of messages, pauses, crashes, takeovers, returns and moves may admit more than rate * W + burst over all
// hosts in any window W.
func TestBoundHoldsOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.IntRange(10, 400).Draw(r, "steps")
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "choice") }, noViolation)
		for range steps {
			f.step()
			if f.failure != "" {
				r.Fatal(f.failure)
			}
		}
	})
}

// The check of the bound must find each violation, or it would prove nothing. The same histories must pass without a
// violation.
func TestBoundCheckFindsBrokenRules(t *testing.T) {
	const (
		histories = 60
		attempts  = 4000
		enough    = 1
	)
	search := func(broken violation, seeds uint64) (found int, tried uint64, admitted, loans int) {
		for ; tried < seeds && found < enough; tried++ {
			f := newFleet(rand.New(rand.NewPCG(tried, 1)).IntN, broken)
			for range 400 {
				f.step()
			}
			if f.failure != "" {
				found++
			}
			admitted += f.admitted
			loans += f.loans
		}
		return found, tried, admitted, loans
	}
	found, tried, admitted, loans := search(noViolation, histories)
	t.Logf("all rules kept: %d of %d histories over the bound, %d admissions, %d loans", found, tried, admitted, loans)
	assert.Equal(t, found, 0)
	for _, broken := range []violation{
		lenderKeepsCap, lenderKeepsRate, lenderRefills, termFromAnswer, answerAppliedTwice, loanKeptOnReturn, startsFull,
		loanOutlivesLease, growsBeforeShrink, cancelledRenewal,
	} {
		found, tried, _, _ := search(broken, attempts)
		t.Logf("%s: %d of %d histories over the bound", broken, found, tried)
		assert.Check(t, found == enough, broken)
	}
}
