package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
)

const (
	// homeRegionFraction is the fraction of a target's limit that the hosts of its region use. Most requests for the target
	// arrive there. The hosts of other regions use the rest.
	homeRegionFraction = 0.9

	// minLimit is the smallest limit in requests per second that hosts apply. Without any request, they would not learn that
	// a target has lifted its limit.
	minLimit = 0.1

	// confirmInterval is the time after which other hosts are told again of a limit that is still named.
	confirmInterval = 2 * time.Second

	// limitStaleAfter is the time without a confirmation after which all hosts send a few requests to a target, because the
	// hosts that should do so may be gone. It is several times confirmInterval.
	limitStaleAfter = 10 * time.Second

	// staleFraction is the fraction of an unconfirmed limit that the other hosts use together.
	staleFraction = 0.25
)

// LimitChange says that the requests that a target takes from all hosts together have changed.
type LimitChange struct {
	Target    string // ID of the target.
	Limit     steer.TargetLimit
	Share     float64 // Requests per second of the limit that this host sends.
	FromPeers bool    // Other hosts saw the change.
}

// requestLimit is the limit that a target named, and the share of this host in it.
//
// Hosts do not agree on shares by messages. Each computes the senders of the target, a few of the registered hosts, from the
// same list. The number of senders does not exceed what the target takes in about a second, so that all of them together may
// send a request at any moment. Hosts with different lists agree on most senders, and a host that becomes a sender starts
// without a token.
type requestLimit struct {
	perSecond   float64   // Requests per second that the target takes from all hosts together.
	share       float64   // Requests per second that this host may send; 0 if it is no sender.
	burst       float64   // Requests that this host may send at once.
	confirmedAt time.Time // When the last answer that named the limit arrived at this or another host.
	toldAt      time.Time // When a host last told the others.
	news        bool      // This host saw an answer with the limit since it last told others.
	stale       bool      // There was no confirmation for limitStaleAfter.
	tokens      float64
	refilledAt  time.Time
}

// fleetHost is a host that sends requests to targets.
type fleetHost struct {
	idHash uint64
	region string
	own    bool // It is this host.
}

// newFleetHosts returns the registered hosts.
func newFleetHosts(entries []steer.HostEntry, own string) []fleetHost {
	hosts := make([]fleetHost, 0, len(entries))
	for _, entry := range entries {
		hosts = append(hosts, fleetHost{
			idHash: xxhash.Sum64String(entry.ID),
			region: entry.Region,
			own:    entry.ID == own,
		})
	}
	return hosts
}

// limitShare returns the requests per second that this host may send to a target with a limit, and those that it may send at
// once. Both are divided equally among the senders of the target. The share of any other host is 0.
func (s *service) limitShare(t *targetState, perSecond float64) (share, burst float64) {
	perSecond = math.Max(perSecond, minLimit)
	position := slices.IndexFunc(s.hosts, func(h fleetHost) bool { return h.own })
	if position < 0 {
		return 0, 1
	}
	own := s.hosts[position]
	ownHome := own.region == t.target.HomeRegion
	group, others, before := 0, 0, 0 // Hosts that share a part with this host, other hosts, and hosts of the group that precede it.
	for _, h := range s.hosts {
		if (h.region == t.target.HomeRegion) != ownHome {
			others++
			continue
		}
		group++
		if mix(h.idHash^t.idHash) > mix(own.idHash^t.idHash) {
			before++
		}
	}
	rate := perSecond
	switch {
	case others == 0:
	case ownHome:
		rate *= homeRegionFraction
	default:
		rate *= 1 - homeRegionFraction
	}
	senders := min(group, 1+int(rate))
	if before >= senders {
		return 0, 1
	}
	return rate / float64(senders), math.Max(1, (1+rate)/float64(senders))
}

// updateLimitShare recomputes the share of this host in the target's limit, if it has one.
func (t *targetState) updateLimitShare() {
	if t.limit != nil {
		t.limit.share, t.limit.burst = t.service.limitShare(t, t.limit.perSecond)
	}
}

// recordLimit records the limit in an answer to a request that was sent at the given time. An answer without a limit counts
// only if its request was sent after the last answer with one, because answers may overtake each other.
func (t *targetState) recordLimit(now, sent time.Time, limit steer.TargetLimit) {
	if limit.Limited {
		t.setLimit(now, now, limit.PerSecond, false)
		t.limit.news = true
		return
	}
	if t.limit != nil && sent.After(t.limit.confirmedAt) {
		t.liftLimit(now, false)
		t.liftNews = true
	}
}

// mergeLimit records the limit that another host saw.
func (t *targetState) mergeLimit(now time.Time, o steer.LimitObservation) {
	at := now.Add(-o.Age)
	switch {
	case o.Limit.Limited && at.After(t.liftedAt):
		if t.limit != nil && !at.After(t.limit.confirmedAt) {
			return
		}
		t.setLimit(now, at, o.Limit.PerSecond, true)
		t.limit.toldAt = now
	case !o.Limit.Limited && t.limit != nil && at.After(t.limit.confirmedAt):
		t.liftLimit(at, true)
	}
}

// setLimit sets the limit that an answer named at the given time.
func (t *targetState) setLimit(now, confirmedAt time.Time, perSecond float64, fromPeers bool) {
	changed := t.limit == nil || t.limit.perSecond != perSecond
	if t.limit == nil {
		t.limit = &requestLimit{
			tokens:     rand.Float64(), // Random, so that senders send their first request at different times.
			refilledAt: now,
		}
	}
	t.limit.confirmedAt = confirmedAt
	if !changed {
		return
	}
	t.limit.perSecond, t.limit.toldAt = perSecond, time.Time{}
	t.updateLimitShare()
	t.reportLimit(fromPeers)
}

// liftLimit removes the limit because of an answer that named none at the given time.
func (t *targetState) liftLimit(at time.Time, fromPeers bool) {
	t.limit, t.liftedAt = nil, at
	t.reportLimit(fromPeers)
}

// reportLimit reports a change of the limit.
func (t *targetState) reportLimit(fromPeers bool) {
	change := LimitChange{
		Target:    t.target.ID,
		Limit:     t.namedLimit(),
		FromPeers: fromPeers,
	}
	if t.limit != nil {
		change.Share = t.limit.share
	}
	t.service.onLimitChange(change)
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

// limitNote returns what other hosts must learn of the target's limit, and reports whether there is anything.
func (t *targetState) limitNote(now time.Time) (steer.LimitObservation, bool) {
	note := steer.LimitObservation{
		Target: t.target.ID,
		Limit:  t.namedLimit(),
	}
	if t.limit == nil {
		note.Age = now.Sub(t.liftedAt)
		lifted := t.liftNews
		t.liftNews = false
		return note, lifted
	}
	t.liftNews = false
	if !t.limit.news || now.Sub(t.limit.toldAt) < confirmInterval {
		return note, false
	}
	t.limit.news, t.limit.toldAt = false, now
	note.Age = now.Sub(t.limit.confirmedAt)
	return note, true
}

// admitsLimit reports whether the limit of the target, if it has one, lets this host send it a request.
func (t *targetState) admitsLimit(now time.Time, request *Request) bool {
	if t.limit == nil {
		return true
	}
	if request.avoidsLimits {
		return false
	}
	t.limit.refill(now, t.service.fleetSize)
	return t.limit.tokens >= 1
}

// refill refills the tokens of this host.
func (l *requestLimit) refill(now time.Time, fleetSize int) {
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	rate := l.share
	if stale := rate == 0 && now.Sub(l.confirmedAt) > limitStaleAfter; stale != l.stale {
		l.stale, l.tokens = stale, 0
		if stale {
			l.tokens = rand.Float64()
		}
		elapsed = 0
	}
	if l.stale {
		rate = staleFraction * math.Max(l.perSecond, minLimit) / float64(fleetSize)
	}
	if rate == 0 {
		l.tokens = 0
		return
	}
	l.tokens = math.Min(l.burst, l.tokens+rate*elapsed)
}
