package bucket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/quota/bucket"
)

func loan(number uint64) bucket.LoanID {
	return bucket.LoanID{
		Borrower:    "b",
		Incarnation: 1,
		Number:      number,
	}
}

// A renewal with a shorter term must not give the lender its part back before the replaced loan has ended. If the answer
// to the renewal is lost, the borrower goes on spending on the replaced loan until its end.
func TestShorterRenewalWithLostAnswer(t *testing.T) {
	now := time.Unix(0, 0)
	usable := now.Add(time.Hour)
	part := bucket.RateShare{
		Rate: 100,
		Cap:  50,
	}
	lender := bucket.NewRate(now)
	lender.Set(now, part)
	lender.Lend(now, usable, loan(1), bucket.LoanID{}, bucket.Grant{
		RateShare: part,
		Term:      bucket.Term,
	})
	now = now.Add(bucket.Term / 2)
	lender.Lend(now, usable, loan(2), loan(1), bucket.Grant{
		RateShare: part,
		Term:      bucket.Term / 8,
	})
	now = now.Add(bucket.Term/2 - time.Millisecond)
	assert.Equal(t, lender.State(now).Net.Rate, 0.0)
	now = now.Add(time.Second)
	assert.Equal(t, lender.State(now).Net.Rate, 100.0)
}

// Guards against rate that is lent without its cap because another loan has taken the cap: it would earn nothing.
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
	assert.Equal(t, lender.Lend(now, usable, loan(1), bucket.LoanID{}, single).Cap, 0.5)
	assert.Equal(t, lender.Lend(now, usable, loan(2), bucket.LoanID{}, want).Rate, 1.0)
	assert.Equal(t, lender.Lend(now, usable, loan(3), bucket.LoanID{}, want).Rate, 0.0)
}

func TestShorterRenewalOfUnitsWithLostAnswer(t *testing.T) {
	now := time.Unix(0, 0)
	usable := now.Add(time.Hour)
	lender := bucket.NewUnits()
	lender.Set(now, 8, 0, time.Time{})
	lender.Lend(now, usable, loan(1), bucket.LoanID{}, 8, bucket.Term)
	now = now.Add(bucket.Term / 2)
	lender.Lend(now, usable, loan(2), loan(1), 8, bucket.Term/8)
	now = now.Add(bucket.Term/2 - time.Millisecond)
	assert.Equal(t, lender.State(now).Free, 0)
	now = now.Add(time.Second)
	assert.Equal(t, lender.State(now).Free, 8)
}
