package bucket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/quota/bucket"
)

func loanOfB(number uint64) bucket.LoanID {
	return bucket.LoanID{
		Borrower:    "b",
		Incarnation: 1,
		Number:      number,
	}
}

// Guards against a renewal with a shorter term that gives the lender its share back before the replaced loan has ended.
// If the answer to the renewal is lost, the borrower goes on using the replaced loan until its end.
func TestShorterRenewalWithLostAnswer(t *testing.T) {
	now := time.Unix(0, 0)
	usable := now.Add(time.Hour)
	share := bucket.RateShare{
		Rate: 100,
		Cap:  50,
	}
	lender := bucket.NewRate(now)
	lender.Set(now, share)
	lender.Lend(now, usable, loanOfB(1), bucket.LoanID{}, bucket.Grant{
		RateShare: share,
		Term:      bucket.Term,
	})
	now = now.Add(bucket.Term / 2)
	lender.Lend(now, usable, loanOfB(2), loanOfB(1), bucket.Grant{
		RateShare: share,
		Term:      bucket.Term / 8,
	})
	now = now.Add(bucket.Term/2 - time.Millisecond)
	assert.Equal(t, lender.State(now).Net.Rate, 0.0)
	now = now.Add(time.Second)
	assert.Equal(t, lender.State(now).Net.Rate, 100.0)
}

// Guards against lending rate without its cap because another loan has taken the cap: such rate would earn no tokens.
func TestRateIsLentWithItsCap(t *testing.T) {
	now := time.Unix(0, 0)
	lender := bucket.NewRate(now)
	want := bucket.Grant{
		RateShare: bucket.RateShare{
			Rate: 2,
			Cap:  1,
		},
		Term: bucket.Term,
	}
	lender.Set(now, want.RateShare)
	usable := now.Add(time.Hour)
	single := bucket.Grant{
		RateShare: bucket.RateShare{
			Cap: 0.5,
		},
		Term: bucket.Term,
	}
	assert.Equal(t, lender.Lend(now, usable, loanOfB(1), bucket.LoanID{}, single).Cap, 0.5)
	assert.Equal(t, lender.Lend(now, usable, loanOfB(2), bucket.LoanID{}, want).Rate, 1.0)
	assert.Equal(t, lender.Lend(now, usable, loanOfB(3), bucket.LoanID{}, want).Rate, 0.0)
}

// Guards against the same fault for units.
func TestShorterRenewalOfUnitsWithLostAnswer(t *testing.T) {
	now := time.Unix(0, 0)
	usable := now.Add(time.Hour)
	lender := bucket.NewUnits()
	lender.Set(now, 8, 0, time.Time{})
	lender.Lend(now, usable, loanOfB(1), bucket.LoanID{}, 8, bucket.Term)
	now = now.Add(bucket.Term / 2)
	lender.Lend(now, usable, loanOfB(2), loanOfB(1), 8, bucket.Term/8)
	now = now.Add(bucket.Term/2 - time.Millisecond)
	assert.Equal(t, lender.State(now).Free, 0)
	now = now.Add(time.Second)
	assert.Equal(t, lender.State(now).Free, 8)
}
