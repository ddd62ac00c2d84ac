package place

import (
	"math"
	"math/rand/v2"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

const (
	// reportLifeFactor is the age at which a reported load expires, as a multiple of the mean work of a request. A queue of
	// one or two requests for each slot is worked off by then. minReportLife and maxReportLife bound that age.
	reportLifeFactor = 2.0
	minReportLife    = 800 * time.Millisecond
	maxReportLife    = 4 * time.Second

	// failuresToEject is the number of consecutive failures that eject a target.
	failuresToEject = 3

	// minEjection and maxEjection bound the ejection period, which doubles while requests after an ejection fail.
	minEjection = 700 * time.Millisecond
	maxEjection = 6 * time.Second

	// minSampleWeight is the smallest weight of a new sample in a moving average. The first samples weigh more.
	minSampleWeight = 0.1
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	count int
}

func (a *ewma) add(x float64) {
	a.count++
	weight := math.Max(minSampleWeight, 1/float64(a.count))
	a.value += weight * (x - a.value)
}

// targetState holds what this host knows of one target.
type targetState struct {
	target              *belief.RegisteredTarget
	service             *service
	inFlight            int           // Requests of this host in progress.
	bodyBytes           int64         // Bytes of the bodies of these requests.
	otherRequests       float64       // Requests of other hosts in progress, according to the last report.
	reportedAt          time.Time     // Time of the last report; zero if there was none.
	consecutiveFailures int           // Failures since the last success; after an ejection, one below the limit.
	ejectedUntil        time.Time     // End of the last ejection.
	ejectionPeriod      time.Duration // Length of the last ejection; zero after a success.
	slowStartUntil      time.Time     // The target is treated as cold until then.
	idHash              uint64        // Hash of the target's id.
	replaced            bool          // Another target has its address.
	totalRequests       float64       // Requests at the target according to the last report, those of this host included.
	answered            int           // Requests of this host that were answered since the last note.
	failed              int           // Requests of this host that failed since the last note.
	connectionLost      bool          // One of the failed requests got no connection, or lost it.
	notedBusy           bool          // The last note reported the target as busy.
	tokens              float64       // Token bucket of a cold target.
	refilledAt          time.Time     // Time of the last refill of tokens; zero while the target is warm.
	limit               *requestLimit // Nil if the target names no limit.
	liftedAt            time.Time     // When the last limit was lifted; zero if none was.
	liftNews            bool          // This host saw the limit being lifted and has not told others yet.
	speed               targetSpeed
	weight              targetWeight
}

// reportAge returns the age of the last report, or -1 if there was none.
func (t *targetState) reportAge(now time.Time) time.Duration {
	if t.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(t.reportedAt)
}

// estimatedLoad returns the estimated number of requests at the target: those of this host, and those of other hosts from
// the last report, whose weight falls to zero as the report ages.
func (t *targetState) estimatedLoad(now time.Time) float64 {
	load := float64(t.inFlight)
	if reportAge := t.reportAge(now); reportAge >= 0 && reportAge < t.service.reportLife {
		load += t.otherRequests * (1 - reportAge.Seconds()/t.service.reportLife.Seconds())
	}
	return load
}

// slots returns the number of requests that the target processes concurrently.
func (t *targetState) slots() float64 { return float64(max(t.target.Slots, 1)) }

// loadPerSlot returns the estimated load of the target divided by the requests that it takes at once, which are its slots while no
// smaller capacity is known. Above 1, requests queue at the target or slow each other down.
func (t *targetState) loadPerSlot(now time.Time) float64 {
	return t.estimatedLoad(now) / t.capacity(now)
}

// usable reports whether the target is neither replaced nor ejected.
func (t *targetState) usable(now time.Time) bool {
	return !t.replaced && !now.Before(t.ejectedUntil)
}

// coldBurst is the number of requests that one host may send to a cold target at once.
const coldBurst = 1

// cold reports whether the target tolerates only few requests. A target that lost connections may have restarted, so it is
// treated as cold for the warm-up time after its ejection.
func (t *targetState) cold(now time.Time) bool {
	return now.Before(t.target.ColdUntil) || now.Before(t.slowStartUntil)
}

// admits reports whether the target is warm, or cold with a token left. It refills the tokens at the given rate per second.
func (t *targetState) admits(now time.Time, rate float64) bool {
	if !t.cold(now) {
		t.refilledAt = time.Time{}
		return true
	}
	if t.refilledAt.IsZero() {
		t.tokens, t.refilledAt = rand.Float64(), now // Random, so that hosts send their first request at different times.
	}
	t.tokens = math.Min(coldBurst, t.tokens+rate*now.Sub(t.refilledAt).Seconds())
	t.refilledAt = now
	return t.tokens >= 1
}

// takeToken takes a token if the target is cold, and one if it has a limit.
func (t *targetState) takeToken(now time.Time) {
	if t.cold(now) {
		t.tokens--
	}
	if t.limit != nil {
		t.limit.tokens--
	}
}

// finish records the outcome of a request that was sent at the given time.
func (t *targetState) finish(now, started time.Time, o Outcome) {
	t.inFlight--
	if o.Load != nil {
		t.recordLoad(now, *o.Load)
	}
	if o.Gone {
		t.replaced = true
		return
	}
	if o.Limit != nil {
		t.recordLimit(now, started, *o.Limit)
	}
	if o.Inconclusive {
		return
	}
	if o.Failed {
		t.failed++
		t.connectionLost = t.connectionLost || o.ConnectionLost
	} else {
		t.answered++
	}
	if t.recordResult(now, started, o.Failed) {
		t.recordEjection(now, o.ConnectionLost, false)
	}
}

// recordEjection reports an ejection that has just begun. After a lost connection the target gets a slow start.
func (t *targetState) recordEjection(now time.Time, connectionLost, fromPeers bool) {
	if connectionLost {
		t.slowStartUntil = t.ejectedUntil.Add(t.service.warmup)
	}
	t.service.onEjection(Ejection{
		Target:    t.target.ID,
		Period:    t.ejectedUntil.Sub(now),
		Failures:  t.consecutiveFailures + 1,
		FromPeers: fromPeers,
		SlowStart: connectionLost,
	})
}

// recordLoad records a load that the target reported at the given time.
func (t *targetState) recordLoad(at time.Time, load steer.TargetLoad) {
	t.totalRequests = float64(load.Running + load.Waiting)
	t.otherRequests = math.Max(0, t.totalRequests-float64(t.inFlight))
	t.reportedAt = at
}

// busyLoad is the load per slot from which other hosts are notified of the load of a target. Below it they don't need it.
const busyLoad = 0.7

// note returns what this host observed of the target since the last note, and reports whether other hosts need it.
func (t *targetState) note(now time.Time) (steer.TargetObservation, bool) {
	reportAge := t.reportAge(now)
	fresh := reportAge >= 0 && reportAge < t.service.reportLife
	busy := fresh && t.totalRequests >= busyLoad*t.slots()
	note := steer.TargetObservation{
		Target:   t.target.ID,
		Answered: t.answered,
		Failed:   t.failed,
		Broke:    t.connectionLost,
	}
	if fresh {
		note.Age = reportAge
		note.Load = steer.TargetLoad{
			Running: int(math.Min(t.totalRequests, t.slots())),
			Waiting: int(math.Max(0, t.totalRequests-t.slots())),
			Slots:   t.target.Slots,
		}
	}
	needed := t.failed > 0 || (t.answered > 0 && (busy || t.notedBusy || t.consecutiveFailures > 0))
	if needed {
		t.notedBusy = busy
	}
	t.answered, t.failed, t.connectionLost = 0, 0, false
	return note, needed
}

// merge records the note of another host.
func (t *targetState) merge(now time.Time, note steer.TargetObservation) {
	if at := now.Add(-note.Age); note.Load.Slots > 0 && at.After(t.reportedAt) {
		t.recordLoad(at, note.Load)
	}
	if note.Answered > 0 {
		t.recordResult(now, now, false)
		return
	}
	for range min(note.Failed, failuresToEject) {
		if t.recordResult(now, now, true) {
			t.recordEjection(now, note.Broke, true)
		}
	}
}

// recordResult counts consecutive failures and reports whether they eject the target now. It ignores failures of requests
// that started before the end of the last ejection, since they add no new information.
func (t *targetState) recordResult(now, started time.Time, failed bool) bool {
	if !failed {
		t.consecutiveFailures, t.ejectionPeriod = 0, 0
		return false
	}
	if started.Before(t.ejectedUntil) {
		return false
	}
	t.consecutiveFailures++
	if t.consecutiveFailures < failuresToEject {
		return false
	}
	t.ejectionPeriod = min(max(2*t.ejectionPeriod, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.ejectionPeriod)
	t.consecutiveFailures = failuresToEject - 1 // One more failure after the ejection ejects it again.
	return true
}
