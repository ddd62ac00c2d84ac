package bucket

import (
	"sync"
	"time"
)

// Units is this host's part of one quota of concurrent work. All methods may be called concurrently.
type Units struct {
	mu       sync.Mutex
	at       time.Time // Latest time seen.
	capacity int       // Own units that are usable or lent.
	pending  int       // Own units that join at after, when the work of their previous holder has ended.
	after    time.Time // Zero without pending units.
	used     int       // Own units in use.
	lent     map[LoanID]*unitLoan
	borrowed map[LoanID]*unitLoan
	peak     float64 // Highest use in the last windows.
	peakAt   time.Time
	short    int  // Failed calls of Acquire since the last call of Shortfall.
	gained   bool // Whether a unit may have become free other than by Release.
}

type unitLoan struct {
	granted  int
	units    int
	used     int // Borrower only.
	term     time.Duration
	end      time.Time
	returned bool
}

// UnitState is a view of Units at one time.
type UnitState struct {
	Capacity int // Own units, with those that are lent.
	Pending  int // Own units that are not usable yet.
	Used     int // Own and borrowed units in use.
	Lent     int
	Borrowed int
	Free     int // Own units that are neither used nor lent.
	Peak     float64
}

// BorrowedUnits is a loan of units held by this host.
type BorrowedUnits struct {
	ID    LoanID
	Units int
	Used  int
	End   time.Time
}

// HeldUnit is one unit in use. It is created by Acquire and ended by Release.
type HeldUnit struct {
	from *unitLoan // Nil for an own unit.
}

// NewUnits returns a part of zero.
func NewUnits() *Units {
	return &Units{
		lent:     map[LoanID]*unitLoan{},
		borrowed: map[LoanID]*unitLoan{},
	}
}

// Set puts the own units in force. Pending units join at after. Units in use beyond a smaller capacity end by
// themselves; no unit is given out until then.
func (u *Units) Set(now time.Time, capacity, pending int, after time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	u.gained = u.gained || capacity > u.capacity
	u.capacity = capacity
	u.pending = pending
	u.after = after
	u.settle(now)
}

// Acquire takes one unit for work that ends by deadline, if there is one and now is before usable. A borrowed unit is
// taken first if its loan ends after the deadline, which keeps own units for work with a later deadline.
func (u *Units) Acquire(now, usable, deadline time.Time) (HeldUnit, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if !u.at.Before(usable) {
		return HeldUnit{}, false
	}
	for _, l := range u.borrowed {
		if l.used < l.units && l.end.After(deadline) {
			l.used++
			u.mark()
			return HeldUnit{
				from: l,
			}, true
		}
	}
	if u.free() > 0 {
		u.used++
		u.mark()
		return HeldUnit{}, true
	}
	// A loan lasts for the term at most, so it cannot help work with a later deadline.
	if deadline.Sub(u.at) < Term {
		u.short++
	}
	return HeldUnit{}, false
}

// Release gives a unit back. It must be called once for each lease.
func (u *Units) Release(l HeldUnit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.from != nil {
		l.from.used--
		return
	}
	u.used--
}

// Lend takes up to want free own units off this part for the term. The hold must end by usable. A repeated request
// gives the grant of the first. A renewal moves units of the replaced loan into the new one.
func (u *Units) Lend(now, usable time.Time, id, replaces LoanID, want int, term time.Duration) (int, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if known := u.lent[id]; known != nil {
		if known.returned {
			return 0, 0
		}
		return known.granted, known.term
	}
	old := u.lent[replaces]
	end := u.at.Add(Hold(term))
	if old != nil && old.end.After(end) {
		// The borrower keeps the replaced loan to its end if the answer is lost.
		end = old.end
	}
	if term <= 0 || end.After(usable) || len(u.lent) >= maxLent {
		return 0, 0
	}
	spare := u.free()
	if old != nil {
		spare += old.units
	}
	units := min(want, spare)
	if units <= 0 {
		return 0, 0
	}
	if old != nil {
		old.units = max(0, old.units-units)
	}
	u.lent[id] = &unitLoan{
		granted: units,
		units:   units,
		term:    term,
		end:     end,
	}
	return units, term
}

// Reclaim takes back a loan before its end. The borrower has dropped it and runs no work on it.
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

// Borrow adds granted units that end at end. It fails for a loan that is known or has ended. A renewal keeps the work
// that runs on the replaced loan: its deadlines lie before the end of either loan.
func (u *Units) Borrow(now time.Time, id, replaces LoanID, units int, end time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if units <= 0 || !u.at.Before(end) || u.borrowed[id] != nil {
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

// Drop ends a borrowed loan early. It fails while work runs on it.
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

// Outstanding returns what is still out of a loan to another host, zero for an unknown one.
func (u *Units) Outstanding(now time.Time, id LoanID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if loan := u.lent[id]; loan != nil {
		return loan.units
	}
	return 0
}

// BorrowedLoans returns the loans that this host holds.
func (u *Units) BorrowedLoans(now time.Time) []BorrowedUnits {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	all := make([]BorrowedUnits, 0, len(u.borrowed))
	for id, l := range u.borrowed {
		all = append(all, BorrowedUnits{
			ID:    id,
			Units: l.units,
			Used:  l.used,
			End:   l.end,
		})
	}
	return all
}

// Shortfall returns the number of failed calls of Acquire since the last call of Shortfall that a loan could have served.
func (u *Units) Shortfall() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.short
	u.short = 0
	return n
}

// Gained reports whether units may have become free other than by Release since the last call.
func (u *Units) Gained(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	gained := u.gained
	u.gained = false
	return gained
}

// State returns the part with its loans at now.
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

// LentUntil returns the end of the last loan that is out, zero without one.
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

// mark records the use for the decision of how many units to keep.
func (u *Units) mark() {
	used := u.used
	for _, l := range u.borrowed {
		used += l.used
	}
	u.peak = max(u.peak, float64(used))
}

// settle ends loans and lets pending units join.
func (u *Units) settle(now time.Time) {
	if now.Before(u.at) {
		now = u.at
	}
	u.at = now
	if u.pending > 0 && !now.Before(u.after) {
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
	// The peak halves every window towards the present use.
	if now.Sub(u.peakAt) >= window {
		u.peakAt = now
		u.peak /= 2
		u.mark()
	}
}
