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
	keepFactor = 1.2 // Multiple of its own demand that a lender keeps.
	giveShare  = 0.5 // Most of the rest that one new loan may take.
	idleShare  = 0.9 // The same for a lender without demand. What it keeps beyond its cap is lost to everyone.

	// reserve is the fraction of its own cap that a lender gives only to a borrower in urgent need. Without it a steady
	// borrower would drain all hosts, and the host to which the demand moves next would start from nothing.
	reserve = 1.0 / 3
)

// terms are the terms tried for a loan, longest first. Shorter ones make use of loans in hand that end soon.
var terms = []time.Duration{bucket.Term, bucket.Term / 2, bucket.Term / 4, bucket.Term / 8}

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
	if q.Versions != "" {
		m.mu.Lock()
		answer.Versions, _ = m.versions.old(q.Versions)
		m.mu.Unlock()
		return cbor.Marshal(answer)
	}
	e := m.current(now).entries[q.Quota]
	if e != nil && !m.stopping.Load() {
		usable := m.config.Slots.UsableUntil(now)
		if e.rate != nil && q.Single {
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

// lendRate lends what this host does not need. The part that moves from a replaced loan is given again in full while
// this host does not need it itself; of the rest at most a share is given, so that others find something too.
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
	whole := m.table.Load().shares[m.config.DataCentre][e.name].Burst
	var best bucket.Grant
	for _, term := range terms {
		if now.Add(bucket.Hold(term)).After(usable) {
			continue
		}
		spare := e.rate.Spare(now, term, replaces)
		offer := offered(state, spare, e.rate.Outstanding(now, replaces), want, q.Urgent, whole)
		offer.Term = term
		if offer.Rate > best.Rate*1.5 || best.Term == 0 {
			best = offer
		}
	}
	answer.Holder = e.rate.Holder(now)
	grant := e.rate.Lend(now, usable, id, replaces, best)
	answer.set(grant)
}

func (a *BorrowAnswer) set(g bucket.Grant) {
	a.Rate = g.Rate
	a.Cap = g.Cap
	a.Tokens = g.Tokens
	a.Term = g.Term
}

// offered is the policy of a lender: it keeps a multiple of its demand, renews old in full from what is left, and gives
// a share of the remainder. Cap and tokens are in proportion, or a share of the tokens that it does not need for a while.
// Without demand, a lender with a small part, or with half of the whole burst or more, gives everything: what it kept
// would fill its bucket and earn nothing more, and a smaller part of a burst of one or two tokens cannot be spent.
func offered(state bucket.RateState, spare, old bucket.RateShare, want bucket.Grant, urgent bool, whole float64) bucket.Grant {
	net := state.Net.Rate + old.Rate
	// Rate without cap earns nothing at either side. While most of the cap is out with single tokens, for a round trip,
	// no rate is lent.
	if net <= 0 || spare.Cap < state.LentCapOnly {
		return bucket.Grant{}
	}
	share, demand := giveShare, bucket.UpperDemand(state.Demand)
	if state.Demand < idleDemand {
		share, demand = idleShare, 0
		if 2*state.Net.Cap >= whole || state.Own.Cap < smallCap {
			share = 1
		}
	}
	rest := max(0, min(spare.Rate, net-max(demand, keepFactor*state.Demand)))
	renewed := min(old.Rate, rest)
	rate := renewed + share*(rest-renewed)
	part := rate / net
	needed := bucket.Tokens(demand, fill)
	tokens := max(0, share*(state.Level-needed))
	kept := min(old.Cap, spare.Cap-needed)
	limit := min(spare.Cap, max(tokens, kept, min(part*(state.Net.Cap+old.Cap), spare.Cap-needed)))
	if withheld := reserve * state.Own.Cap; !urgent {
		limit = min(limit, max(old.Cap, state.Net.Cap+old.Cap-withheld))
		tokens = min(tokens, max(0, state.Level-withheld))
	}
	if limit <= 0 && want.Cap > 0 {
		return bucket.Grant{} // Single tokens were lent since the state was taken.
	}
	return bucket.Grant{
		RateShare: bucket.RateShare{
			Rate: min(want.Rate, rate),
			Cap:  min(want.Cap, limit),
		},
		Tokens: min(want.Tokens, tokens),
	}
}

// lendUnits lends free units of concurrent work beyond what this host needs for itself.
func (m *Manager) lendUnits(
	now, usable time.Time, e *entry, from steer.Member, q BorrowRequest, answer *BorrowAnswer,
) {
	state := e.units.State(now)
	replaces := loanID(from, q.Replaces)
	old := e.units.Outstanding(now, replaces)
	keep := max(0, int(math.Ceil(keepFactor*state.Peak))-state.Used)
	rest := max(0, state.Free+old-keep)
	renewed := min(old, rest)
	give := min(q.Units, renewed+int(giveShare*float64(rest-renewed)))
	for _, term := range terms {
		if !now.Add(bucket.Hold(term)).After(usable) {
			answer.Units, answer.Term = e.units.Lend(now, usable, loanID(from, q.Number), replaces, give, term)
			return
		}
	}
}

// handleReturn answers a `return` message.
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
