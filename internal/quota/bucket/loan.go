package bucket

import "time"

const (
	// Term is the longest term of a loan. The borrower counts it from the time at which it sends the request.
	Term = 2 * time.Second
	// MaxHold is the time after a grant at which the lender counts a loan of the longest term as ended.
	MaxHold = Term + Term/20 + driftFixed

	// BorrowHorizon is the time for which the level must last at the present demand. Otherwise the host borrows more.
	BorrowHorizon = 250 * time.Millisecond

	// driftFixed plus a twentieth of the term is the margin for drift between the clocks of lender and borrower.
	driftFixed = 20 * time.Millisecond

	// maxLentLoans bounds the memory that borrowers can occupy at a lender for one quota.
	maxLentLoans = 256
)

// Hold returns the time after the grant at which the lender counts a loan as ended: the term plus the drift margin.
func Hold(term time.Duration) time.Duration { return term + term/20 + driftFixed }

// LoanID identifies a loan request of a host process.
type LoanID struct {
	Borrower    string
	Incarnation uint64
	Number      uint64 // Unique within the incarnation; 0 means no loan.
}

// RateShare is the share of a rate quota that a host or a loan has.
type RateShare struct {
	Rate float64 `cbor:"rate"` // Tokens per second.
	Cap  float64 `cbor:"cap"`  // Maximum number of tokens held.
}

// Grant is what a borrower asks for and what a lender grants in a loan of a rate quota. In a granted loan, Tokens is at
// most Cap.
type Grant struct {
	RateShare
	Tokens float64
	Term   time.Duration // Zero if nothing was granted.
}

// rateLoan is a loan of a rate quota, as the lender or the borrower records it.
type rateLoan struct {
	grant    Grant     // As granted; a repeated request gets the same answer.
	share    RateShare // Still outstanding; less than granted after a renewal or a return.
	end      time.Time // Lender: end of the hold. Borrower: end of the term.
	returned bool
}
