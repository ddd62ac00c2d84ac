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
	// crashRetention is the time for which a crash counts.
	crashRetention = time.Hour

	// answerRetention is the time for which an answer outweighs reports of earlier crashes. Reports arrive within seconds.
	answerRetention = time.Minute

	// maxCrashes bounds the crashes that a table holds, in a few hundred KB. The oldest eighth makes room.
	maxCrashes = 4096
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
	inUse     atomic.Bool // What InUse returns.

	mu         sync.Mutex
	requests   map[Key]*request
	registered map[Key]time.Time // Requests that are registered on the platform as rejected, and when this host learned of it.
	answers    map[Key]event     // Last answers to requests that had crashes.
	crashes    int               // In all requests.
	repeatedAt time.Time         // When condemned requests were last reported.
}

// request holds the crashes of one request.
type request struct {
	crashes   map[uint64]event // By target, as targetKey returns it.
	lastCrash time.Time
	condemned bool
	since     time.Time // When it was condemned.
	own       bool      // This host saw one of the crashes.
}

// event is a crash of a target by a request, or an answer of a target to it.
type event struct {
	at        time.Time
	learnedAt time.Time // When this host saw it or was told.
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
		answers:    map[Key]event{},
	}
}

// InUse reports whether the table holds a crash or a registered request. Otherwise no request is rejected and no answer needs to
// be recorded.
func (t *Table) InUse() bool { return t.inUse.Load() }

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

// add adds a crash and reports whether it may decide which requests are condemned. The caller holds mu.
func (t *Table) add(now, at time.Time, key Key, target uint64) bool {
	if a, ok := t.answers[key]; ok && !at.After(a.at) {
		return false
	}
	r := t.requests[key]
	if r == nil {
		r = &request{
			crashes: map[uint64]event{},
		}
		t.requests[key] = r
	}
	if _, known := r.crashes[target]; known {
		return false
	}
	r.crashes[target] = event{
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
	t.answers[key] = event{
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
