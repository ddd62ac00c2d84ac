package choose

import (
	"context"
	"errors"
	"time"

	"monsoonhub.example/steer"
)

// awaitInterval bounds the time between two attempts, since slow start, reports and back-offs also free places as time
// passes, without the end of a request.
const awaitInterval = 20 * time.Millisecond

// Await is like Choose but waits for a place while all targets are at their in-flight bound. This can happen to a request
// that holds a capacity unit: units are counted by the slots of all targets, so while some targets are ejected there are
// more units than places. Await fails with a *steer.Refusal with the verdict NotRun when the context ends or no target may
// take the request.
func (p *Picker) Await(ctx context.Context, service string, tried []string) (steer.Choice, error) {
	choice, err := p.Choose(time.Now(), service, tried)
	if !isCapacityRefusal(err) {
		return choice, err
	}
	s := p.current.Load().services[service]
	if s == nil {
		return choice, err
	}
	s.waiters.Add(1)
	defer s.waiters.Add(-1)
	for {
		// The channel is loaded before the choice, so that a request that ends in between is not missed.
		freed := *s.freed.Load()
		if choice, err = p.choose(time.Now(), service, tried); !isCapacityRefusal(err) {
			return choice, err
		}
		timer := time.NewTimer(awaitInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return choice, p.countRefusal(err)
		}
		timer.Stop()
	}
}

// wakeWaiters makes the requests that wait in Await try again.
func (s *service) wakeWaiters() {
	if s.waiters.Load() == 0 {
		return
	}
	next := make(chan struct{})
	close(*s.freed.Swap(&next))
}

// isCapacityRefusal reports whether all targets are at their in-flight bound.
func isCapacityRefusal(err error) bool {
	var refusal *steer.Refusal
	return errors.As(err, &refusal) && refusal.Reason == steer.ReasonCapacity
}
