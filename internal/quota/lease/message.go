package lease

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

// maxQuotaName is the longest quota name accepted from a peer, in bytes.
const maxQuotaName = 512

// BorrowRequest is the body of a `borrow` message. Rate, Cap and Tokens ask for a part of a rate quota, Units for
// concurrent work.
type BorrowRequest struct {
	Quota    steer.QuotaName `cbor:"quota"`
	Number   uint64          `cbor:"number"`   // Id of the loan, unique for this process.
	Replaces uint64          `cbor:"replaces"` // Id of the loan to renew; 0 for a new one.
	Rate     float64         `cbor:"rate"`
	Cap      float64         `cbor:"cap"`
	Tokens   float64         `cbor:"tokens"`
	Units    int             `cbor:"units"`
	Urgent   bool            `cbor:"urgent"` // The level does not last for another round of requests.

	// SingleTokens asks for Tokens that are returned as soon as they are spent. Rate is zero.
	SingleTokens bool `cbor:"single"`

	// VersionsOf names a data centre whose shares are asked for, under all versions that may be in use. The other fields
	// are empty then, and nothing is lent.
	VersionsOf string `cbor:"versions"`
}

// VersionShares is what a version of the configuration that may be in use gives to one data centre.
type VersionShares struct {
	Version uint64                    `cbor:"version"`
	Shares  map[steer.QuotaName]Share `cbor:"shares"`
}

// BorrowAnswer is the answer to a BorrowRequest. A zero Term means that nothing was granted.
type BorrowAnswer struct {
	Number      uint64        `cbor:"number"` // Of the request.
	Rate        float64       `cbor:"rate"`
	Cap         float64       `cbor:"cap"`
	Tokens      float64       `cbor:"tokens"`
	Units       int           `cbor:"units"`
	Term        time.Duration `cbor:"term"`
	TopBorrower string        `cbor:"holder"` // Host to which the lender has lent most; empty without one.

	// Versions answers a question for versions; empty when the peer does not know all that may be in use.
	Versions []VersionShares `cbor:"versions"`
}

// ReturnRequest is the body of a `return` message. The answer is empty.
type ReturnRequest struct {
	Quota  steer.QuotaName `cbor:"quota"`
	Number uint64          `cbor:"number"` // Id of the loan.
	Tokens float64         `cbor:"tokens"` // Not spent.
}

var errMessage = eris.New("quota message has a value out of range")

// DecodeBorrow decodes and checks a BorrowRequest.
func DecodeBorrow(body []byte) (BorrowRequest, error) {
	var q BorrowRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return BorrowRequest{}, eris.Wrap(err, "borrow request not decoded")
	}
	if q.VersionsOf != "" && len(q.VersionsOf) <= maxQuotaName {
		return BorrowRequest{
			VersionsOf: q.VersionsOf,
		}, nil
	}
	if !validName(q.Quota) || q.Number == 0 || !amounts(q.Rate, q.Cap, q.Tokens) || q.Units < 0 {
		return BorrowRequest{}, eris.Wrap(errMessage, "borrow request")
	}
	return q, nil
}

// DecodeBorrowAnswer decodes and checks a BorrowAnswer.
func DecodeBorrowAnswer(body []byte) (BorrowAnswer, error) {
	var a BorrowAnswer
	if err := cbor.Unmarshal(body, &a); err != nil {
		return BorrowAnswer{}, eris.Wrap(err, "borrow answer not decoded")
	}
	valid := amounts(a.Rate, a.Cap, a.Tokens) && a.Tokens <= a.Cap && a.Units >= 0 &&
		a.Term >= 0 && a.Term <= bucket.Term
	for _, v := range a.Versions {
		for _, s := range v.Shares {
			valid = valid && amounts(s.PerSlot.Rate, s.PerSlot.Cap) && min(s.Units, s.Slots, s.Offset) >= 0 &&
				s.Offset <= math.MaxInt32 && s.Timeout >= 0
		}
	}
	if !valid {
		return BorrowAnswer{}, eris.Wrap(errMessage, "borrow answer")
	}
	return a, nil
}

// DecodeReturn decodes and checks a ReturnRequest.
func DecodeReturn(body []byte) (ReturnRequest, error) {
	var q ReturnRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return ReturnRequest{}, eris.Wrap(err, "return request not decoded")
	}
	if !validName(q.Quota) || q.Number == 0 || !amounts(q.Tokens) {
		return ReturnRequest{}, eris.Wrap(errMessage, "return request")
	}
	return q, nil
}

func validName(name steer.QuotaName) bool { return name != "" && len(name) <= maxQuotaName }

// amounts reports whether all values are finite and not negative.
func amounts(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}
