package place

import (
	"time"

	"monsoonhub.example/steer"
)

// LimitChange says that the requests that a target takes from all hosts together have changed.
type LimitChange struct {
	Target string // ID of the target.
	Limit  steer.TargetLimit
}

// requestLimit is the limit that a target named.
type requestLimit struct {
	perSecond   float64   // Requests per second that the target takes from all hosts together.
	confirmedAt time.Time // When the last answer that named the limit arrived.
}

// recordLimit records the limit in an answer to a request that was sent at the given time. An answer without a limit counts
// only if its request was sent after the last answer with one: answers may overtake each other.
func (t *targetState) recordLimit(now, sent time.Time, limit steer.TargetLimit) {
	switch {
	case limit.Limited && t.limit == nil:
		t.limit = &requestLimit{
			perSecond: limit.PerSecond,
		}
	case limit.Limited:
		if t.limit.perSecond == limit.PerSecond {
			t.limit.confirmedAt = now
			return
		}
		t.limit.perSecond = limit.PerSecond
	case t.limit == nil || sent.Before(t.limit.confirmedAt):
		return
	default:
		t.limit = nil
	}
	if t.limit != nil {
		t.limit.confirmedAt = now
	}
	t.service.onLimitChange(LimitChange{
		Target: t.target.ID,
		Limit:  limit,
	})
}

// namedLimit returns the limit that is known of the target.
func (t *targetState) namedLimit() steer.TargetLimit {
	if t.limit == nil {
		return steer.TargetLimit{}
	}
	return steer.TargetLimit{
		Limited:   true,
		PerSecond: t.limit.perSecond,
	}
}
