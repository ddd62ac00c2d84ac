package bucket

import "time"

const (
	// Term is the longest time for which a loan holds, counted by the borrower from sending its request.
	Term = 2 * time.Second
	// MaxHold is the time after a grant at which the lender counts a loan of the longest term as ended.
	MaxHold = Term + Term/20 + driftFixed

	// BorrowHorizon is the time for which a level must last at the present demand before more is borrowed.
	BorrowHorizon = 250 * time.Millisecond

	// driftFixed and a twentieth of the term are the drift margin between the clocks of lender and borrower.
	driftFixed = 20 * time.Millisecond

	// maxLent bounds the memory that borrowers can occupy at a lender for one quota.
	maxLent = 256
)

// Hold returns the time after the grant at which the lender of a loan counts it as ended: the term plus the drift
// margin.
func Hold(term time.Duration) time.Duration { return term + term/20 + driftFixed }

// LoanID names one loan request of one host process.
type LoanID struct {
	Borrower    string
	Incarnation uint64
	Number      uint64 // Unique within the incarnation; 0 means no loan.
}

// RateShare is a share of a rate quota.
type RateShare struct {
	Rate float64 `cbor:"rate"` // Tokens per second.
	Cap  float64 `cbor:"cap"`  // Most tokens that may be held.
}

// Grant is what a loan of a rate quota carries. Tokens are at most Cap.
type Grant struct {
	RateShare
	Tokens float64
	Term   time.Duration // Zero when nothing was granted.
}

// rateLoan is one loan of a rate quota, at either side.
type rateLoan struct {
	grant    Grant     // As granted, for repeated requests.
	part     RateShare // What is still out, less than granted after a renewal or a return.
	end      time.Time // Lender: end of the hold. Borrower: end of the term.
	returned bool
}
