package belief

import (
	"maps"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/index"
)

// View is what a host believes at one moment. It is immutable.
type View struct {
	Index          *index.Index                   // Nil before the first plan.
	Targets        map[string][]*RegisteredTarget // By service. Draining ones are left out.
	Emptied        map[string]bool                // Data centres whose targets get no requests.
	Hosts          []steer.HostEntry              // Registered hosts, sorted by id; this host may be among them.
	Listed         bool                           // The entries have been listed at least once.
	Reachable      bool                           // The last call to the platform succeeded.
	LastContact    time.Time                      // When the last call to the platform succeeded.
	ReachableSince time.Time                      // Since when calls have succeeded.
}

// RegisteredTarget is a target with what is known of its registration.
type RegisteredTarget struct {
	steer.Endpoint
	HomeRegion string    // Region of its data centre.
	ColdUntil  time.Time // It tolerates few requests until then; zero for a warm one.
}

// SameInstance reports whether two registrations are of the same start of the same target.
func (r *RegisteredTarget) SameInstance(o *RegisteredTarget) bool {
	return r.ID == o.ID && r.Address == o.Address && r.StartMillis == o.StartMillis
}

// Hint is what a host that reaches the platform tells one that does not: whom to spare.
type Hint struct {
	ReachableSince time.Time            // Since when it has reached the platform; zero if it does not tell.
	Emptied        []string             // Data centres whose targets get no requests.
	Cold           map[string]time.Time // Until when targets are cold, by id.
}

// Hint returns what other hosts should know of this view.
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
