package lease

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

// signal is a broadcast: wait returns a channel that the next call of notify closes.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// entry is one quota of this host with the state of its borrowing.
type entry struct {
	name      steer.QuotaName
	rate      *bucket.Rate  // Nil for concurrent work.
	units     *bucket.Units // Nil for a rate.
	kicked    atomic.Bool   // Whether the borrower has yet to look at this quota.
	flying    atomic.Int32  // Requests for a loan without an answer.
	gathering atomic.Bool   // Whether single tokens are being gathered.
	small     atomic.Bool   // Whether the own part is so small that single tokens are gathered.
	waiting   atomic.Int32  // Requests that wait for a token.
	line      chan struct{} // Held by the waiting request that is first in line.
	arrived   signal        // Notified when an answer has been handled.
	planned   time.Time     // Last look of the borrower, which alone uses it.

	mu      sync.Mutex // Guards the fields below. Requests do not take it.
	pause   time.Time  // No new loans are asked for until then.
	misses  int        // Answers without a grant since the last grant.
	peers   map[string]*peerState
	lenders map[bucket.LoanID]string // Hosts of the loans in hand.
	singles []bucket.LoanID          // Loans of single tokens in hand.
	fails   int                      // Searches for single tokens in vain since the last one with some.
	ungiven time.Time                // No single tokens are gathered until then.
	holder  string                   // Host said to hold much of this quota.
}

// peerState is what is known of one peer as a lender of one quota.
type peerState struct {
	flying bool
	calm   bool          // Whether the last request was not urgent.
	until  time.Time     // Not asked for a new loan until then.
	renew  time.Time     // Not asked to renew a loan until then.
	delay  time.Duration // Last delay after an answer without a grant.
}

func newEntry(now time.Time, name steer.QuotaName, work bool) *entry {
	e := &entry{
		name:    name,
		line:    make(chan struct{}, 1),
		peers:   map[string]*peerState{},
		lenders: map[bucket.LoanID]string{},
	}
	if work {
		e.units = bucket.NewUnits()
		return e
	}
	e.rate = bucket.NewRate(now)
	return e
}

// expecting reports whether a loan is being asked for, or is about to be.
func (e *entry) expecting() bool { return e.flying.Load() > 0 || e.kicked.Load() || e.gathering.Load() }

func (e *entry) lentUntil(now time.Time) time.Time {
	if e.rate != nil {
		return e.rate.LentUntil(now)
	}
	return e.units.LentUntil(now)
}

func (e *entry) quota(now time.Time) Quota {
	if e.rate != nil {
		s := e.rate.State(now)
		return Quota{
			Name:     e.name,
			Level:    s.Level,
			Cap:      s.Net.Cap,
			Rate:     s.Net.Rate,
			Lent:     s.Lent.Rate,
			Borrowed: s.Borrowed.Rate,
		}
	}
	s := e.units.State(now)
	return Quota{
		Name:     e.name,
		Level:    float64(s.Free),
		Cap:      float64(s.Capacity - s.Lent + s.Borrowed),
		Lent:     float64(s.Lent),
		Borrowed: float64(s.Borrowed),
	}
}

// held returns the ids of the loans in hand.
func (e *entry) held(now time.Time) map[bucket.LoanID]bool {
	ids := map[bucket.LoanID]bool{}
	if e.units != nil {
		for _, l := range e.units.BorrowedLoans(now) {
			ids[l.ID] = true
		}
		return ids
	}
	for _, l := range e.rate.BorrowedLoans(now) {
		ids[l.ID] = true
	}
	return ids
}
