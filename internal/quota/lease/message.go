package lease

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

// maxQuotaName bounds the length of a quota name from a peer, in bytes.
const maxQuotaName = 512

// BorrowRequest is the body of a `borrow` message. Rate, Cap and Tokens request a share of a rate quota, Units a share
// of a quota of concurrent work.
type BorrowRequest struct {
	Quota    steer.QuotaName `cbor:"quota"`
	Number   uint64          `cbor:"number"`   // Number of the loan, unique within the borrower's process.
	Replaces uint64          `cbor:"replaces"` // Number of the loan to renew; 0 for a new loan.
	Rate     float64         `cbor:"rate"`
	Cap      float64         `cbor:"cap"`
	Tokens   float64         `cbor:"tokens"`
	Units    int             `cbor:"units"`
	Urgent   bool            `cbor:"urgent"` // The level does not last for another round of loan requests.

	// SingleTokens requests a loan of Tokens that is returned as soon as they are spent. Rate is zero.
	SingleTokens bool `cbor:"single"`

	// VersionsOf names a data centre and requests its shares under all versions that may be in use. If it is set, the
	// other fields are empty and nothing is lent.
	VersionsOf string `cbor:"versions"`
}

// VersionShares holds the shares of one data centre under one version of the configuration that may be in use.
type VersionShares struct {
	Version uint64                    `cbor:"version"`
	Shares  map[steer.QuotaName]Share `cbor:"shares"`
}

// BorrowAnswer is the answer to a BorrowRequest. A zero Term means that nothing was granted.
type BorrowAnswer struct {
	Number      uint64        `cbor:"number"` // Number of the request.
	Rate        float64       `cbor:"rate"`
	Cap         float64       `cbor:"cap"`
	Tokens      float64       `cbor:"tokens"`
	Units       int           `cbor:"units"`
	Term        time.Duration `cbor:"term"`
	TopBorrower string        `cbor:"holder"` // Borrower of the lender's largest outstanding loan; empty without one.

	// Versions answers a request with VersionsOf. It is empty if the peer does not know all versions that may be in use.
	Versions []VersionShares `cbor:"versions"`
}

// ReturnRequest is the body of a `return` message, which ends a loan early. The answer is empty.
type ReturnRequest struct {
	Quota  steer.QuotaName `cbor:"quota"`
	Number uint64          `cbor:"number"` // Number of the loan.
	Tokens float64         `cbor:"tokens"` // Tokens that were not spent.
}

var errOutOfRange = eris.New("quota message has a value out of range")

// DecodeBorrow decodes and validates a BorrowRequest.
func DecodeBorrow(body []byte) (BorrowRequest, error) {
	var q BorrowRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return BorrowRequest{}, eris.Wrap(err, "cannot decode borrow request")
	}
	if q.VersionsOf != "" && len(q.VersionsOf) <= maxQuotaName {
		return BorrowRequest{
			VersionsOf: q.VersionsOf,
		}, nil
	}
	if !validName(q.Quota) || q.Number == 0 || !validAmounts(q.Rate, q.Cap, q.Tokens) || q.Units < 0 {
		return BorrowRequest{}, eris.Wrap(errOutOfRange, "borrow request")
	}
	return q, nil
}

// DecodeBorrowAnswer decodes and validates a BorrowAnswer.
func DecodeBorrowAnswer(body []byte) (BorrowAnswer, error) {
	var a BorrowAnswer
	if err := cbor.Unmarshal(body, &a); err != nil {
		return BorrowAnswer{}, eris.Wrap(err, "cannot decode borrow answer")
	}
	valid := validAmounts(a.Rate, a.Cap, a.Tokens) && a.Tokens <= a.Cap && a.Units >= 0 &&
		a.Term >= 0 && a.Term <= bucket.Term
	for _, v := range a.Versions {
		for _, s := range v.Shares {
			valid = valid && validAmounts(s.PerSlot.Rate, s.PerSlot.Cap) && min(s.Units, s.Slots, s.Offset) >= 0 &&
				s.Offset <= math.MaxInt32 && s.Timeout >= 0
		}
	}
	if !valid {
		return BorrowAnswer{}, eris.Wrap(errOutOfRange, "borrow answer")
	}
	return a, nil
}

// DecodeReturn decodes and validates a ReturnRequest.
func DecodeReturn(body []byte) (ReturnRequest, error) {
	var q ReturnRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return ReturnRequest{}, eris.Wrap(err, "cannot decode return request")
	}
	if !validName(q.Quota) || q.Number == 0 || !validAmounts(q.Tokens) {
		return ReturnRequest{}, eris.Wrap(errOutOfRange, "return request")
	}
	return q, nil
}

func validName(name steer.QuotaName) bool { return name != "" && len(name) <= maxQuotaName }

// validAmounts reports whether all values are finite and not negative.
func validAmounts(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}
