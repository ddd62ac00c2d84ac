package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// minCrashes is the number of targets that a request must have lost to be condemned. Fewer would condemn requests that are
	// sent again while many targets crash for another reason.
	minCrashes = 3

	// rejectTime is the time for which a condemned request is rejected after its last crash. The first crash after that
	// condemns it again.
	rejectTime = 10 * time.Minute
)

// Rejects reports whether a request is condemned, and for how much longer it is rejected.
func (t *Table) Rejects(now time.Time, key Key) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.rejectedFor(now, key)
	return left, left > 0
}

// rejectedFor returns for how much longer a request is rejected. The caller holds mu.
func (t *Table) rejectedFor(now time.Time, key Key) time.Duration {
	var left time.Duration
	if r := t.requests[key]; r != nil && r.condemned {
		left = r.lastCrash.Add(rejectTime).Sub(now)
	}
	if learnedAt, ok := t.registered[key]; ok {
		left = max(left, learnedAt.Add(rejectTime).Sub(now))
	}
	return left
}

// isCondemned reports whether the known crashes condemn a request.
func (t *Table) isCondemned(key Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[key]
	return r != nil && r.condemned
}

// condemn decides which requests are condemned. The request that lost the most targets comes first; a target that it lost does
// not count for the others, which may only have run beside it. The caller holds mu.
func (t *Table) condemn(now time.Time) {
	var suspects []Key
	for key, r := range t.requests {
		if len(r.crashes) >= minCrashes {
			suspects = append(suspects, key)
		}
	}
	slices.SortFunc(suspects, func(a, b Key) int {
		return cmp.Or(cmp.Compare(len(t.requests[b].crashes), len(t.requests[a].crashes)), cmp.Compare(a, b))
	})
	explained := map[uint64]bool{}
	for _, key := range suspects {
		r := t.requests[key]
		unexplained := 0
		for target := range r.crashes {
			if !explained[target] {
				unexplained++
			}
		}
		condemned := unexplained >= minCrashes
		if condemned {
			for target := range r.crashes {
				explained[target] = true
			}
		}
		if condemned != r.condemned {
			t.setCondemned(now, key, r, condemned)
		}
	}
}

func (t *Table) setCondemned(now time.Time, key Key, r *request, condemned bool) {
	r.condemned, r.since = condemned, now
	if !condemned {
		_ = level.Info(t.logger).Log("msg", "Request is no longer rejected, another one explains its crashes.", "request-key", key)
		return
	}
	t.condemned.Inc(1)
	_ = level.Warn(t.logger).Log("msg", "Request crashed several targets and is rejected.", "request-key", key,
		"targets", len(r.crashes), "for", rejectTime)
}
