package poison

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

const (
	// minCrashes is the number of targets that a request must have lost to be condemned. Fewer would condemn requests that are
	// sent again while many targets crash for another reason.
	minCrashes = 3

	// rejectTime is the time for which a condemned request is rejected after its last crash. The first crash after that
	// condemns it again.
	rejectTime = 10 * time.Minute

	// crashRetention is the time for which a crash counts.
	crashRetention = time.Hour

	// answerRetention is the time for which an answer outweighs reports of earlier crashes. Reports arrive within seconds.
	answerRetention = time.Minute

	// maxCrashes bounds the crashes that a table holds, in a few hundred KB. The oldest eighth makes room.
	maxCrashes = 4096

	// settleTime is the time for which a request must have been condemned before it is registered on the platform. Reports of
	// other hosts, which may explain its crashes, arrive within some rounds of messages.
	settleTime = time.Second

	// reportTime is the time for which a crash or an answer is reported after this host learned of it: some rounds of messages,
	// because each may be lost.
	reportTime = time.Second

	// repeatInterval is the time between repeated reports of condemned requests, from which restarted hosts learn of them.
	repeatInterval = 2 * time.Second

	// maxReports bounds the reports of one message, in about 2 KB.
	maxReports = 64
)

// Config configures a Table.
type Config struct {
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Table collects crashes of targets by the requests that they ran. It reads no clock: callers pass the time. It is safe for
// concurrent use.
type Table struct {
	logger    log.Logger
	condemned metrics.Counter
	inUse     atomic.Bool // There is at least one crash.

	mu         sync.Mutex
	requests   map[Key]*request
	registered map[Key]time.Time // Requests that are registered on the platform as rejected, and when this host learned of it.
	answers    map[Key]answer    // Last answers to requests that had crashes.
	crashes    int               // In all requests.
	repeatedAt time.Time         // When condemned requests were last reported.
}

// request holds the crashes of one request.
type request struct {
	crashes   map[uint64]crash // By target, as targetKey returns it.
	lastCrash time.Time
	condemned bool
	since     time.Time // When it was condemned.
	own       bool      // This host saw one of the crashes.
}

// crash is the loss of one target under one request.
type crash struct {
	at        time.Time
	learnedAt time.Time
}

// answer is an answer of a target to a request.
type answer struct {
	at        time.Time
	learnedAt time.Time
}

// New returns an empty table.
func New(c Config) *Table {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Table{
		logger:     log.With(c.Logger, "part", "poison"),
		condemned:  metrics.GetOrRegisterCounter("poison-condemned", c.Metrics),
		requests:   map[Key]*request{},
		registered: map[Key]time.Time{},
		answers:    map[Key]answer{},
	}
}

// InUse reports whether the table holds a crash or a registered request. Otherwise no request is rejected and no answer needs to
// be recorded.
func (t *Table) InUse() bool { return t.inUse.Load() }

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

// SetRegistered replaces the requests that are registered on the platform as rejected.
func (t *Table) SetRegistered(now time.Time, keys map[uint64]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.registered {
		if !keys[uint64(key)] {
			delete(t.registered, key)
		}
	}
	for key := range keys {
		if _, known := t.registered[Key(key)]; !known {
			t.registered[Key(key)] = now
		}
	}
	t.updateInUse()
}

// unregistered returns the requests that this host must register: it saw them crash a target, they have been condemned for
// settleTime, and they are rejected but not registered.
func (t *Table) unregistered(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for key, r := range t.requests {
		_, registered := t.registered[key]
		if r.own && r.condemned && now.Sub(r.since) >= settleTime && !registered && t.rejectedFor(now, key) > 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// isCondemned reports whether the known crashes condemn a request.
func (t *Table) isCondemned(key Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[key]
	return r != nil && r.condemned
}

// RecordCrash records that a target closed the connection without an answer to a request.
func (t *Table) RecordCrash(now time.Time, key Key, target *steer.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decisive := t.add(now, now, key, targetKey(target))
	if r := t.requests[key]; r != nil {
		r.own = true
	}
	if decisive {
		t.condemn(now)
	}
}

// RecordAnswer records that a target answered a request, which therefore did not crash it.
func (t *Table) RecordAnswer(now time.Time, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests[key] != nil {
		t.exonerate(now, now, key)
	}
}

// Merge adds what other hosts reported.
func (t *Table) Merge(now time.Time, reports []steer.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decisive := false
	for _, r := range reports {
		key, at := Key(r.Request), now.Add(-r.Age)
		switch {
		case key == 0 || r.Age < 0 || r.Age > crashRetention:
		case r.Answered:
			t.exonerate(now, at, key)
		default:
			decisive = t.add(now, at, key, r.Target) || decisive
		}
	}
	if decisive {
		t.condemn(now)
	}
}

// Reports returns what is to be reported to other hosts now: what this host has learned lately and, from time to time, the
// crashes of condemned requests.
func (t *Table) Reports(now time.Time) []steer.CrashReport {
	if !t.InUse() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	repeat := now.Sub(t.repeatedAt) >= repeatInterval
	if repeat {
		t.repeatedAt = now
	}
	type ranked struct {
		report  steer.CrashReport
		crashes int // Of the request.
	}
	var list []ranked
	for key, r := range t.requests {
		for target, c := range r.crashes {
			if now.Sub(c.learnedAt) >= reportTime && !(repeat && r.condemned) {
				continue
			}
			list = append(list, ranked{
				report: steer.CrashReport{
					Request: uint64(key),
					Target:  target,
					Age:     now.Sub(c.at),
				},
				crashes: len(r.crashes),
			})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.report.Age, b.report.Age))
	})
	reports := make([]steer.CrashReport, 0, min(len(list), maxReports))
	for _, entry := range list[:min(len(list), maxReports)] {
		reports = append(reports, entry.report)
	}
	for key, a := range t.answers {
		if now.Sub(a.learnedAt) < reportTime && len(reports) < 2*maxReports {
			reports = append(reports, steer.CrashReport{
				Request:  uint64(key),
				Age:      now.Sub(a.at),
				Answered: true,
			})
		}
	}
	return reports
}

// add adds a crash and reports whether it may decide which requests are condemned. The caller holds mu.
func (t *Table) add(now, at time.Time, key Key, target uint64) bool {
	if a, ok := t.answers[key]; ok && !at.After(a.at) {
		return false
	}
	r := t.requests[key]
	if r == nil {
		r = &request{
			crashes: map[uint64]crash{},
		}
		t.requests[key] = r
	}
	if _, known := r.crashes[target]; known {
		return false
	}
	r.crashes[target] = crash{
		at:        at,
		learnedAt: now,
	}
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	t.crashes++
	t.inUse.Store(true)
	if t.crashes > maxCrashes {
		t.dropOldest()
	}
	return len(r.crashes) >= minCrashes
}

// exonerate drops the crashes of a request up to an answer. The caller holds mu.
func (t *Table) exonerate(now, at time.Time, key Key) {
	known, ok := t.answers[key]
	if ok && !at.After(known.at) {
		return
	}
	r := t.requests[key]
	if r == nil && !ok {
		return // Nothing is known that the answer could outweigh.
	}
	t.answers[key] = answer{
		at:        at,
		learnedAt: now,
	}
	if r == nil {
		return
	}
	for target, c := range r.crashes {
		if !c.at.After(at) {
			t.drop(key, r, target)
		}
	}
	if r.condemned && len(r.crashes) < minCrashes {
		r.condemned = false
		_ = level.Info(t.logger).Log("msg", "Request was answered and is no longer rejected.", "request-key", key)
	}
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

// expire drops crashes and answers that no longer count. The caller holds mu.
func (t *Table) expire(now time.Time) {
	for key, r := range t.requests {
		for target, c := range r.crashes {
			if now.Sub(c.at) > crashRetention {
				t.drop(key, r, target)
			}
		}
	}
	for key, a := range t.answers {
		if now.Sub(a.at) > answerRetention {
			delete(t.answers, key)
		}
	}
	t.updateInUse()
}

func (t *Table) updateInUse() {
	t.inUse.Store(t.crashes > 0 || len(t.answers) > 0 || len(t.registered) > 0)
}

// dropOldest drops the oldest crashes, those of condemned requests last. The caller holds mu.
func (t *Table) dropOldest() {
	type entry struct {
		key       Key
		target    uint64
		at        time.Time
		condemned int // 1 if the request is.
	}
	var list []entry
	for key, r := range t.requests {
		condemned := 0
		if r.condemned {
			condemned = 1
		}
		for target, c := range r.crashes {
			list = append(list, entry{
				key:       key,
				target:    target,
				at:        c.at,
				condemned: condemned,
			})
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.condemned, b.condemned), a.at.Compare(b.at))
	})
	for _, e := range list[:len(list)/8] {
		t.drop(e.key, t.requests[e.key], e.target)
	}
}

// drop removes a crash, and its request with the last one. The caller holds mu.
func (t *Table) drop(key Key, r *request, target uint64) {
	delete(r.crashes, target)
	t.crashes--
	if len(r.crashes) == 0 {
		delete(t.requests, key)
	}
}

// targetKey identifies one process of a target on all hosts.
func targetKey(e *steer.Endpoint) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(e.ID) // A hash never fails.
	_, _ = digest.WriteString(" " + strconv.FormatInt(e.StartMillis, 10))
	return digest.Sum64()
}
