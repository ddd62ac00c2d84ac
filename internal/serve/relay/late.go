package relay

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

const (
	// offsetWindow is the length of a window of minimum clock offsets. A minimum is dropped because clocks may be set. This
	// happens between one and two windows after it was seen, and only when newer forwarded requests have arrived.
	offsetWindow = 30 * time.Second

	// driftDivisor is the inverse of the maximum drift rate of two clocks: each is slewed by at most 500 ppm.
	driftDivisor = 1000

	// senderTTL is the time after which the state of a host that forwards no requests is removed. By then, the allowance
	// for drift exceeds the remaining time of most requests.
	senderTTL = time.Hour
)

var errLate = errors.New("deadline passed before the forwarded request was read")

// forwardDelays estimates how late forwarded requests are read. For each sending host, it keeps the recent minimum of the
// difference between read time and send time. The minimum is the offset of the two clocks plus the minimum network delay.
// What a request exceeds it by is time spent in the network, in buffers, or while this process was paused. It is safe for
// concurrent use.
type forwardDelays struct {
	start   time.Time
	senders sync.Map // Host ID to *sender.
}

// sender is the state of one sending host.
type sender struct {
	mu          sync.Mutex
	incarnation uint64    // 0 if unknown.
	current     offset    // Minimum of the current window.
	previous    offset    // Minimum of the previous window.
	rotatedAt   time.Time // Start of the current window.
	lastUsed    time.Time
}

// offset is the difference between the read time and the send time of a request, and the time when it was observed.
type offset struct {
	value time.Duration
	at    time.Time
}

// withDrift returns the offset plus the maximum clock drift since it was observed.
func (d offset) withDrift(now time.Time) time.Duration { return d.value + now.Sub(d.at)/driftDivisor }

// delay returns how late a forwarded request is read if it is read at the time now. The first request of a sending process
// counts as read without delay. The read time follows the monotonic clock, so only steps of the sender's clock matter.
func (a *forwardDelays) delay(now time.Time, host string, incarnation uint64, sent time.Time) time.Duration {
	observed := offset{
		value: a.start.Round(0).Add(now.Sub(a.start)).Sub(sent),
		at:    now,
	}
	known, ok := a.senders.Load(host)
	if !ok {
		a.evictIdle(now)
		known, _ = a.senders.LoadOrStore(host, &sender{})
	}
	return known.(*sender).delay(observed, incarnation)
}

// evictIdle removes the hosts that have forwarded no request for longer than senderTTL.
func (a *forwardDelays) evictIdle(now time.Time) {
	a.senders.Range(func(host, v any) bool {
		s := v.(*sender)
		s.mu.Lock()
		defer s.mu.Unlock()
		if now.Sub(s.lastUsed) > senderTTL {
			a.senders.Delete(host)
		}
		return true
	})
}

func (s *sender) delay(observed offset, incarnation uint64) time.Duration {
	now := observed.at
	s.mu.Lock()
	defer s.mu.Unlock()
	// A restarted host may run on another machine with another clock.
	replaced := s.incarnation != 0 && incarnation != 0 && s.incarnation != incarnation
	if incarnation != 0 {
		s.incarnation = incarnation
	}
	switch {
	case s.lastUsed.IsZero() || replaced:
		s.current = observed
		s.previous = observed
		s.rotatedAt = now
	case now.Sub(s.rotatedAt) > offsetWindow:
		s.previous = s.current
		s.current = observed
		s.rotatedAt = now
	case observed.value < s.current.withDrift(now):
		s.current = observed
	}
	s.lastUsed = now
	return max(0, observed.value-min(s.current.withDrift(now), s.previous.withDrift(now)))
}

// estimateSendTime returns the time now, when a forwarded request is read, minus the estimated delay of the request. It
// fails when the send time differs from the clock of this host by more than ForwardWindow.
func (h *Handler) estimateSendTime(now time.Time, head http.Header) (time.Time, error) {
	ms, err := strconv.ParseInt(head.Get(headerForwardTime), 10, 64)
	sent := time.UnixMilli(ms)
	if err != nil || now.Sub(sent).Abs() > h.conf.Bounds.ForwardWindow {
		return now, refuseStatus(http.StatusForbidden, steer.ReasonBadRequest, errStale)
	}
	from := head.Get(headerForwardFrom)
	incarnation := uint64(0)
	for _, m := range h.conf.Peers.Members() {
		if m.ID == from {
			incarnation = m.Incarnation
		}
	}
	return now.Add(-h.forwardDelays.delay(now, from, incarnation, sent)), nil
}
