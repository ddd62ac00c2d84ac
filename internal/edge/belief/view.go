package belief

import (
	"maps"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/index"
)

// View is a snapshot of what a host knows of the platform. It is immutable.
type View struct {
	Index          *index.Index                   // Nil before the first plan.
	Targets        map[string][]*RegisteredTarget // Targets by service, sorted by id, without draining ones.
	Draining       map[string][]string            // IDs of draining targets by service, sorted.
	Emptied        map[string]bool                // Data centres whose targets get no requests.
	Rejected       map[uint64]bool                // Keys of requests that are rejected, as in steer.Fact.
	Hosts          []steer.HostEntry              // Registered hosts that are not leaving, sorted by id; may include this host.
	Listed         bool                           // The entries have been listed at least once.
	Reachable      bool                           // The last call to the platform succeeded.
	LastContact    time.Time                      // When the last call to the platform succeeded.
	ReachableSince time.Time                      // Start of the latest period in which the platform was reachable.
}

// Plan returns the plan in force, or nil before the first one.
func (v *View) Plan() *steer.Plan {
	if v.Index == nil {
		return nil
	}
	return v.Index.Plan
}

// RegisteredTarget is a registered target, with its region and the end of its warm-up.
type RegisteredTarget struct {
	steer.Endpoint
	HomeRegion string    // Region of its data centre; empty if that is unknown.
	ColdUntil  time.Time // End of the warm-up, before which it tolerates few requests; zero for a warm target.
}

// SameInstance reports whether two registrations belong to the same process of the same target, not to a restarted one.
func (r *RegisteredTarget) SameInstance(o *RegisteredTarget) bool {
	return r.ID == o.ID && r.Address == o.Address && r.StartMillis == o.StartMillis
}

// Hint is what a host that reaches the platform sends to hosts that do not: which targets should get few or no requests.
type Hint struct {
	ReachableSince time.Time            // Since when the sender has reached the platform; zero if unknown.
	Emptied        []string             // Data centres whose targets get no requests.
	Cold           map[string]time.Time // End of the warm-up of cold targets, by id.
}

// Hint returns the hint for hosts that do not reach the platform. It leaves out targets that are warm at the given time.
func (v *View) Hint(now time.Time) Hint {
	h := Hint{
		ReachableSince: v.ReachableSince,
		Emptied:        slices.Sorted(maps.Keys(v.Emptied)),
		Cold:           map[string]time.Time{},
	}
	for _, list := range v.Targets {
		for _, target := range list {
			if target.ColdUntil.After(now) {
				h.Cold[target.ID] = target.ColdUntil
			}
		}
	}
	return h
}
