package gossip

import (
	"time"

	"monsoonhub.example/steer"
)

// agedLimit is a limit of a target with the time at which its answer arrived.
type agedLimit struct {
	limit  steer.TargetLimit
	seenAt time.Time
}

// limitTable holds the newest limit that is to be sent, by target.
type limitTable map[string]agedLimit

// add adds the limits that are newer than the known ones.
func (t limitTable) add(now time.Time, list []steer.LimitObservation) {
	for _, o := range list {
		seenAt := now.Add(-o.Age)
		if known, ok := t[o.Target]; ok && known.seenAt.After(seenAt) {
			continue
		}
		t[o.Target] = agedLimit{
			limit:  o.Limit,
			seenAt: seenAt,
		}
	}
}

// list returns the limits with their ages at the given time.
func (t limitTable) list(now time.Time) []steer.LimitObservation {
	out := make([]steer.LimitObservation, 0, len(t))
	for target, a := range t {
		out = append(out, steer.LimitObservation{
			Target: target,
			Limit:  a.limit,
			Age:    now.Sub(a.seenAt),
		})
	}
	return out
}

// take returns the limits as list does, and removes them.
func (t limitTable) take(now time.Time) []steer.LimitObservation {
	out := t.list(now)
	clear(t)
	return out
}
