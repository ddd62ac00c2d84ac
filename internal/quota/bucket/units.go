package bucket

import (
	"sync"
	"time"
)

// Units is one host's share of one quota of concurrent work. It is safe for concurrent use.
type Units struct {
	mu            sync.Mutex
	settledAt     time.Time // Latest time that a caller passed.
	capacity      int       // Own units that are usable or lent.
	pending       int       // Own units that become usable at pendingUntil, when their previous holder's work has ended.
	pendingUntil  time.Time // Zero without pending units.
	used          int       // Own units in use.
	lent          map[LoanID]*unitLoan
	borrowed      map[LoanID]*unitLoan
	peak          float64   // Highest use in the last windows.
	peakDecayedAt time.Time // When the peak was last halved.
	shortfall     int       // See Shortfall.
	gained        bool      // Whether a unit may have become free other than by Release.
}

// unitLoan is a loan of units, as the lender or the borrower records it.
type unitLoan struct {
	granted  int // As granted; a repeated request gets the same answer.
	units    int // Still outstanding; less than granted after a renewal or a return.
	used     int // Borrower only.
	term     time.Duration
	end      time.Time
	returned bool
}

// UnitState is a snapshot of Units.
type UnitState struct {
	Capacity int // Own units that are usable or lent.
	Pending  int // Own units that are not usable yet.
	Used     int // Own and borrowed units in use.
	Lent     int
	Borrowed int
	Free     int     // Own units that are neither used nor lent.
	Peak     float64 // Highest use in the last windows.
}

// BorrowedUnits is a loan of units that this host has borrowed.
type BorrowedUnits struct {
	ID    LoanID
	Units int
	Used  int
	End   time.Time
}

// HeldUnit is one unit in use. Acquire returns it and Release ends it.
type HeldUnit struct {
	loan *unitLoan // Nil for an own unit.
}

// NewUnits returns a Units that holds no units.
func NewUnits() *Units {
	return &Units{
		lent:     map[LoanID]*unitLoan{},
		borrowed: map[LoanID]*unitLoan{},
	}
}

// Set replaces the own units. Pending units become usable at pendingUntil. Work that runs on units beyond a smaller
// capacity is not interrupted; no own unit is given out until enough of it has ended.
func (u *Units) Set(now time.Time, capacity, pending int, pendingUntil time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	u.gained = u.gained || capacity > u.capacity
	u.capacity = capacity
	u.pending = pending
	u.pendingUntil = pendingUntil
	u.settle(now)
}

// Acquire takes one unit for work that ends by deadline, if there is one and now is before usableUntil. A borrowed unit
// is taken first if its loan ends after the deadline, which keeps own units for work with a later deadline.
func (u *Units) Acquire(now, usableUntil, deadline time.Time) (HeldUnit, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if !u.settledAt.Before(usableUntil) {
		return HeldUnit{}, false
	}
	for _, l := range u.borrowed {
		if l.used < l.units && l.end.After(deadline) {
			l.used++
			u.recordPeak()
			return HeldUnit{
				loan: l,
			}, true
		}
	}
	if u.free() > 0 {
		u.used++
		u.recordPeak()
		return HeldUnit{}, true
	}
	// A loan lasts for Term at most, so it cannot serve work with a later deadline.
	if deadline.Sub(u.settledAt) < Term {
		u.shortfall++
	}
	return HeldUnit{}, false
}

// Release gives a unit back. It must be called exactly once for each HeldUnit.
func (u *Units) Release(l HeldUnit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.loan != nil {
		l.loan.used--
		return
	}
	u.used--
}

// Lend lends up to want free own units for the term and returns the units and the term granted, both zero if nothing is
// granted. The hold of the loan must end by usableUntil. A repeated request gets the grant of the first, or nothing once
// the loan was returned. A renewal moves units of the replaced loan into the new one.
func (u *Units) Lend(now, usableUntil time.Time, id, replaces LoanID, want int, term time.Duration) (int, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if existing := u.lent[id]; existing != nil {
		if existing.returned {
			return 0, 0
		}
		return existing.granted, existing.term
	}
	replaced := u.lent[replaces]
	end := u.settledAt.Add(Hold(term))
	if replaced != nil && replaced.end.After(end) {
		// The borrower keeps the replaced loan until its end if the answer is lost.
		end = replaced.end
	}
	if term <= 0 || end.After(usableUntil) || len(u.lent) >= maxLentLoans {
		return 0, 0
	}
	spare := u.free()
	if replaced != nil {
		spare += replaced.units
	}
	units := min(want, spare)
	if units <= 0 {
		return 0, 0
	}
	if replaced != nil {
		replaced.units = max(0, replaced.units-units)
	}
	u.lent[id] = &unitLoan{
		granted: units,
		units:   units,
		term:    term,
		end:     end,
	}
	return units, term
}

// Reclaim takes back a lent loan before its end. The borrower has dropped it and runs no work on it. Reclaim returns false
// for a loan that has ended or was already returned.
func (u *Units) Reclaim(now time.Time, id LoanID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	loan := u.lent[id]
	if loan == nil || loan.returned {
		return false
	}
	loan.returned = true
	loan.units = 0
	u.gained = true
	return true
}

// Borrow adds granted units that end at end. It returns false for a loan without units and for one that is already
// recorded or has ended. A renewal keeps the work that runs on the replaced loan, because the deadlines of that work lie
// before the end of either loan.
func (u *Units) Borrow(now time.Time, id, replaces LoanID, units int, end time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if units <= 0 || !u.settledAt.Before(end) || u.borrowed[id] != nil {
		return false
	}
	loan := u.borrowed[replaces]
	if loan == nil {
		loan = &unitLoan{}
	}
	delete(u.borrowed, replaces)
	loan.units = units
	loan.end = end
	u.borrowed[id] = loan
	u.gained = true
	return true
}

// Drop ends a borrowed loan early. It fails if the loan is not held or while work runs on it.
func (u *Units) Drop(now time.Time, id LoanID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	loan := u.borrowed[id]
	if loan == nil || loan.used > 0 {
		return false
	}
	loan.units = 0
	delete(u.borrowed, id)
	return true
}

// Outstanding returns the units still lent to another host under a loan, zero for an unknown loan.
func (u *Units) Outstanding(now time.Time, id LoanID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if loan := u.lent[id]; loan != nil {
		return loan.units
	}
	return 0
}

// BorrowedLoans returns the loans that this host has borrowed.
func (u *Units) BorrowedLoans(now time.Time) []BorrowedUnits {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	loans := make([]BorrowedUnits, 0, len(u.borrowed))
	for id, l := range u.borrowed {
		loans = append(loans, BorrowedUnits{
			ID:    id,
			Units: l.units,
			Used:  l.used,
			End:   l.end,
		})
	}
	return loans
}

// Shortfall returns the number of failed calls of Acquire that a loan could have served, since the last call of
// Shortfall.
func (u *Units) Shortfall() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.shortfall
	u.shortfall = 0
	return n
}

// Gained reports whether units may have become free other than by Release since the last call of Gained.
func (u *Units) Gained(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	gained := u.gained
	u.gained = false
	return gained
}

// State returns a snapshot at now.
func (u *Units) State(now time.Time) UnitState {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	state := UnitState{
		Capacity: u.capacity,
		Pending:  u.pending,
		Used:     u.used,
		Free:     max(0, u.free()),
		Peak:     u.peak,
	}
	for _, l := range u.lent {
		state.Lent += l.units
	}
	for _, l := range u.borrowed {
		state.Borrowed += l.units
		state.Used += l.used
	}
	return state
}

// LentUntil returns the latest end of the outstanding loans to other hosts, zero without one.
func (u *Units) LentUntil(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	var last time.Time
	for _, l := range u.lent {
		if l.units > 0 && l.end.After(last) {
			last = l.end
		}
	}
	return last
}

func (u *Units) free() int {
	free := u.capacity - u.used
	for _, l := range u.lent {
		free -= l.units
	}
	return free
}

// recordPeak raises the peak to the present use. The lender keeps units back according to the peak.
func (u *Units) recordPeak() {
	used := u.used
	for _, l := range u.borrowed {
		used += l.used
	}
	u.peak = max(u.peak, float64(used))
}

// settle advances to now: it ends loans, makes pending units usable and decays the peak.
func (u *Units) settle(now time.Time) {
	if now.Before(u.settledAt) {
		now = u.settledAt
	}
	u.settledAt = now
	if u.pending > 0 && !now.Before(u.pendingUntil) {
		u.capacity += u.pending
		u.pending = 0
		u.gained = true
	}
	for id, l := range u.lent {
		if !now.Before(l.end) {
			delete(u.lent, id)
			u.gained = true
		}
	}
	for id, l := range u.borrowed {
		if !now.Before(l.end) {
			l.units = 0
			delete(u.borrowed, id)
		}
	}
	// The peak is halved every window, but stays at least the present use.
	if now.Sub(u.peakDecayedAt) >= window {
		u.peakDecayedAt = now
		u.peak /= 2
		u.recordPeak()
	}
}
