package lease

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

// signal broadcasts an event: wait returns a channel that the next call of notify closes.
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

// entry holds this host's share of one quota and the state of its borrowing.
type entry struct {
	name        steer.QuotaName
	rate        *bucket.Rate  // Nil for concurrent work.
	units       *bucket.Units // Nil for a rate.
	queued      atomic.Bool   // Whether the quota is queued for the borrower.
	inFlight    atomic.Int32  // Loan requests without an answer yet.
	gathering   atomic.Bool   // Whether single tokens are being gathered.
	small       atomic.Bool   // Whether the own share is so small that single tokens are gathered.
	waiting     atomic.Int32  // Requests that wait for a token.
	headOfLine  chan struct{} // Semaphore held by the first waiting request.
	answered    signal        // Notified when an answer has been handled.
	lastPlanned time.Time     // When the borrower last planned requests; only the borrower uses it.

	mu               sync.Mutex // Guards the fields below. Requests do not take it.
	pausedUntil      time.Time  // No new loans are requested before.
	misses           int        // Consecutive answers without a grant.
	peers            map[string]*peerState
	lenders          map[bucket.LoanID]string // Lender of each borrowed loan.
	singleTokenLoans []bucket.LoanID          // Borrowed loans of single tokens.
	gatherFailures   int                      // Consecutive searches for single tokens that got none.
	nextGather       time.Time                // No single tokens are gathered before.
	topBorrower      string                   // Host that a lender named as its largest borrower.
}

// peerState holds what is known about one peer as a lender of one quota.
type peerState struct {
	inFlight      bool
	lastNotUrgent bool          // Whether the last request was not urgent.
	nextRequest   time.Time     // No new loan is requested from the peer before.
	nextRenewal   time.Time     // No renewal is requested from the peer before.
	backoff       time.Duration // Delay after the last answer without a grant; zero after a grant.
}

func newEntry(now time.Time, name steer.QuotaName, work bool) *entry {
	e := &entry{
		name:       name,
		headOfLine: make(chan struct{}, 1),
		peers:      map[string]*peerState{},
		lenders:    map[bucket.LoanID]string{},
	}
	if work {
		e.units = bucket.NewUnits()
		return e
	}
	e.rate = bucket.NewRate(now)
	return e
}

// pending reports whether a loan request is in flight or about to be sent.
func (e *entry) pending() bool { return e.inFlight.Load() > 0 || e.queued.Load() || e.gathering.Load() }

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

// heldLoans returns the IDs of the loans that this host has borrowed.
func (e *entry) heldLoans(now time.Time) map[bucket.LoanID]bool {
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
