package lease

import (
	"context"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

const (
	keepFactor       = 1.2 // Multiple of its own demand that a lender keeps.
	lendFraction     = 0.5 // Maximum fraction of the rest that one new loan gets.
	idleLendFraction = 0.9 // Replaces lendFraction at a lender without demand. Tokens beyond its cap would be lost.

	// reserveFraction is the fraction of its own cap that a lender lends only to a borrower in urgent need. Without it, a
	// steady borrower would drain all hosts, and the host to which the demand moves next would start without tokens.
	reserveFraction = 1.0 / 3
)

// loanTerms lists the terms tried for a loan, longest first. With a shorter term, the lender can lend on loans that it
// has borrowed and that end soon.
var loanTerms = []time.Duration{bucket.Term, bucket.Term / 2, bucket.Term / 4, bucket.Term / 8}

// handleBorrow answers a `borrow` message.
func (m *Manager) handleBorrow(_ context.Context, from steer.Member, body []byte) ([]byte, error) {
	q, err := DecodeBorrow(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	answer := BorrowAnswer{
		Number: q.Number,
	}
	if q.VersionsOf != "" {
		m.mu.Lock()
		answer.Versions, _ = m.versions.sharesOf(q.VersionsOf)
		m.mu.Unlock()
		return cbor.Marshal(answer)
	}
	e := m.current(now).entries[q.Quota]
	if e != nil && !m.stopping.Load() {
		usable := m.config.Slots.UsableUntil(now)
		if e.rate != nil && q.SingleTokens {
			m.lendTokens(now, usable, e, from, q, &answer)
		} else if e.rate != nil {
			m.lendRate(now, usable, e, from, q, &answer)
		} else if from.DataCentre == m.config.DataCentre {
			m.lendUnits(now, usable, e, from, q, &answer)
		}
	}
	if answer.Term > 0 {
		m.counts.lent.Inc(1)
		level.Debug(m.logger).Log("msg", "Loan granted.", "quota", q.Quota, "to", from.ID, "number", q.Number)
	}
	return cbor.Marshal(answer)
}

// loanID returns the ID of a loan to a member, the zero ID for number 0.
func loanID(from steer.Member, number uint64) bucket.LoanID {
	if number == 0 {
		return bucket.LoanID{}
	}
	return bucket.LoanID{
		Borrower:    from.ID,
		Incarnation: from.Incarnation,
		Number:      number,
	}
}

// lendRate lends rate that this host does not need. The share of a replaced loan is granted again in full unless this host
// needs it. Of the rest, at most a fraction is granted, so that other borrowers can get some too.
func (m *Manager) lendRate(
	now, usable time.Time, e *entry, from steer.Member, q BorrowRequest, answer *BorrowAnswer,
) {
	id := loanID(from, q.Number)
	replaces := loanID(from, q.Replaces)
	state := e.rate.State(now)
	want := bucket.Grant{
		RateShare: bucket.RateShare{
			Rate: q.Rate,
			Cap:  q.Cap,
		},
		Tokens: q.Tokens,
	}
	burst := m.table.Load().shares[m.config.DataCentre][e.name].Burst
	var best bucket.Grant
	for _, term := range loanTerms {
		if now.Add(bucket.Hold(term)).After(usable) {
			continue
		}
		spare := e.rate.Spare(now, term, replaces)
		offer := newOffer(state, spare, e.rate.Outstanding(now, replaces), want, q.Urgent, burst)
		offer.Term = term
		if offer.Rate > best.Rate*1.5 || best.Term == 0 {
			best = offer
		}
	}
	answer.TopBorrower = e.rate.Holder(now)
	grant := e.rate.Lend(now, usable, id, replaces, best)
	answer.setGrant(grant)
}

// setGrant copies a grant into the answer.
func (a *BorrowAnswer) setGrant(g bucket.Grant) {
	a.Rate = g.Rate
	a.Cap = g.Cap
	a.Tokens = g.Tokens
	a.Term = g.Term
}

// newOffer returns the largest grant that a lender offers. It keeps a multiple of its demand, renews the share old in
// full from the rest, and offers a fraction of the remainder. Cap and tokens are in proportion to the rate, or a fraction
// of the tokens that the lender does not need for fillTime. Without demand, a lender with a small share, or with at least
// half of the fleet's burst, offers everything: what it kept would fill its bucket and then earn nothing more, and a
// fraction of a burst of one or two tokens could not be spent.
func newOffer(state bucket.RateState, spare, old bucket.RateShare, want bucket.Grant, urgent bool, burst float64) bucket.Grant {
	net := state.Net.Rate + old.Rate
	// Rate without cap earns nothing at either host. While most of the cap is lent with single tokens, which lasts a round
	// trip, no rate is lent.
	if net <= 0 || spare.Cap < state.LentCapOnly {
		return bucket.Grant{}
	}
	fraction, demand := lendFraction, bucket.UpperDemand(state.Demand)
	if state.Demand < idleDemand {
		fraction, demand = idleLendFraction, 0
		if 2*state.Net.Cap >= burst || state.Own.Cap < smallCap {
			fraction = 1
		}
	}
	rest := max(0, min(spare.Rate, net-max(demand, keepFactor*state.Demand)))
	renewed := min(old.Rate, rest)
	rate := renewed + fraction*(rest-renewed)
	rateFraction := rate / net
	needed := bucket.Tokens(demand, fillTime)
	tokens := max(0, fraction*(state.Level-needed))
	kept := min(old.Cap, spare.Cap-needed)
	limit := min(spare.Cap, max(tokens, kept, min(rateFraction*(state.Net.Cap+old.Cap), spare.Cap-needed)))
	if withheld := reserveFraction * state.Own.Cap; !urgent {
		limit = min(limit, max(old.Cap, state.Net.Cap+old.Cap-withheld))
		tokens = min(tokens, max(0, state.Level-withheld))
	}
	if limit <= 0 && want.Cap > 0 {
		return bucket.Grant{} // Single tokens were lent after the state was read.
	}
	return bucket.Grant{
		RateShare: bucket.RateShare{
			Rate: min(want.Rate, rate),
			Cap:  min(want.Cap, limit),
		},
		Tokens: min(want.Tokens, tokens),
	}
}

// lendUnits lends free units of concurrent work that this host does not need.
func (m *Manager) lendUnits(
	now, usable time.Time, e *entry, from steer.Member, q BorrowRequest, answer *BorrowAnswer,
) {
	state := e.units.State(now)
	replaces := loanID(from, q.Replaces)
	old := e.units.Outstanding(now, replaces)
	keep := max(0, int(math.Ceil(keepFactor*state.Peak))-state.Used)
	rest := max(0, state.Free+old-keep)
	renewed := min(old, rest)
	give := min(q.Units, renewed+int(lendFraction*float64(rest-renewed)))
	for _, term := range loanTerms {
		if !now.Add(bucket.Hold(term)).After(usable) {
			answer.Units, answer.Term = e.units.Lend(now, usable, loanID(from, q.Number), replaces, give, term)
			return
		}
	}
}

// handleReturn answers a `return` message. It ignores loans of unknown quotas.
func (m *Manager) handleReturn(_ context.Context, from steer.Member, body []byte) ([]byte, error) {
	q, err := DecodeReturn(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	e := m.current(now).entries[q.Quota]
	if e == nil {
		return nil, nil
	}
	id := loanID(from, q.Number)
	if e.rate != nil {
		e.rate.Reclaim(now, id, q.Tokens)
	} else if e.units.Reclaim(now, id) {
		m.freed.notify()
	}
	return nil, nil
}
