package ticket

import (
	"container/heap"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

const (
	// MaxResponseSize bounds the header and body of a stored response together, in bytes.
	MaxResponseSize = 16 << 10

	defaultMaxEntries     = 1 << 16  // About 2,000 tickets a second, each kept for Lifetime.
	defaultMaxStoredBytes = 32 << 20 // All stored responses together.
)

// Action is the decision of Table.Begin about a request with a ticket.
type Action uint8

// Actions. The zero value executes nothing.
const (
	Refuse     Action = iota // Another process issued the ticket, or it was first used for another request.
	Execute                  // Execute the request, then call Finish.
	InProgress               // The request is still being executed.
	Stored                   // Reply with the returned Result.
	Expired                  // The ticket has expired. Whether its request ever ran is no longer known.
	Full                     // The table has reached its maximum of entries. The request has not run.
)

// Result is the outcome of an executed request.
type Result struct {
	Verdict steer.Verdict
	Reason  steer.Reason // Reason of a refusal; empty when a target responded.
	Status  int          // HTTP status; 0 when the response is not stored.
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

func (r *Result) size() int {
	n := len(r.Body)
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for name, values := range h {
			n += len(name)
			for _, v := range values {
				n += len(v)
			}
		}
	}
	return n
}

// Config configures a Table.
type Config struct {
	HostID         string
	Incarnation    uint64
	FleetSecret    []byte
	Start          time.Time        // Start of this process, from which ticket times are counted. Zero selects the current time.
	MaxEntries     int              // Maximum number of tickets in the table; 0 selects 65,536.
	MaxStoredBytes int              // Maximum size of all stored responses together; 0 selects 32 MiB.
	Metrics        metrics.Registry // Nil selects a private registry.
}

// Table issues the tickets of this process and keeps an entry for every executed one. It is safe for concurrent use.
type Table struct {
	host           string
	incarnation    uint64
	start          time.Time
	maxEntries     int
	maxStoredBytes int
	signer         *signer
	refusedFull    metrics.Counter
	repeated       metrics.Counter

	mu          sync.Mutex
	clock       time.Duration // Latest time passed by any caller, since start. It never decreases.
	storedBytes int           // Size of all stored responses.
	byID        map[[idSize]byte]*entry
	byExpiry    expiryHeap
}

type entry struct {
	id        [idSize]byte
	request   string // Customer, method and path of the first request that used the ticket.
	expiry    time.Duration
	done      bool
	result    Result
	size      int
	heapIndex int // Index in Table.byExpiry.
}

// New returns an empty Table. It returns an error if the fleet secret is empty.
func New(c Config) (*Table, error) {
	if len(c.FleetSecret) == 0 {
		return nil, eris.New("fleet secret is empty")
	}
	s, err := newSigner(c.FleetSecret)
	if err != nil {
		return nil, err
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Start.IsZero() {
		c.Start = time.Now()
	}
	if c.MaxEntries == 0 {
		c.MaxEntries = defaultMaxEntries
	}
	if c.MaxStoredBytes == 0 {
		c.MaxStoredBytes = defaultMaxStoredBytes
	}
	return &Table{
		host:           c.HostID,
		incarnation:    c.Incarnation,
		start:          c.Start,
		maxEntries:     c.MaxEntries,
		maxStoredBytes: c.MaxStoredBytes,
		signer:         s,
		refusedFull:    metrics.GetOrRegisterCounter("ticket-full", c.Metrics),
		repeated:       metrics.GetOrRegisterCounter("ticket-repeated", c.Metrics),
		byID:           make(map[[idSize]byte]*entry),
	}, nil
}

// Issue returns the text of a new ticket for one request to the service. The ticket is valid for Lifetime, and only at
// this process.
func (t *Table) Issue(now time.Time, service string) (string, error) {
	return t.signer.seal(Ticket{
		ID:          newID(),
		Host:        t.host,
		Incarnation: t.incarnation,
		Service:     service,
		Expiry:      now.Sub(t.start) + Lifetime,
	})
}

// Open verifies the signature of a ticket of any host and returns its content. It does not check the expiry, which is
// counted on the clock of the process that issued the ticket. Errors are of type *steer.Refusal.
func (t *Table) Open(text string) (Ticket, error) { return t.signer.open(text) }

// Owns reports whether this process issued the ticket.
func (t *Table) Owns(k Ticket) bool { return k.Host == t.host && k.Incarnation == t.incarnation }

// Begin decides what to do with a request that carries a ticket. The request text identifies customer, method and path. A
// ticket is valid for one request only, so that no caller gets the stored response of another. The Result is set only with
// Stored. After Execute, the caller must call Finish.
func (t *Table) Begin(now time.Time, k Ticket, request string) (Action, Result) {
	if !t.Owns(k) {
		return Refuse, Result{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if e := t.byID[k.ID]; e != nil {
		return t.actionForRepeat(e, request)
	}
	if k.Expiry <= t.clock {
		return Expired, Result{}
	}
	if len(t.byID) >= t.maxEntries {
		t.refusedFull.Inc(1)
		return Full, Result{}
	}
	e := &entry{
		id:      k.ID,
		request: request,
		expiry:  k.Expiry,
	}
	t.byID[k.ID] = e
	heap.Push(&t.byExpiry, e)
	return Execute, Result{}
}

// actionForRepeat decides about a ticket that is already in the table. An entry stays in the table beyond its expiry only
// while its request is in progress.
func (t *Table) actionForRepeat(e *entry, request string) (Action, Result) {
	if e.request != request {
		return Refuse, Result{}
	}
	t.repeated.Inc(1)
	if !e.done {
		return InProgress, Result{}
	}
	return Stored, e.result
}

// MayHaveBegun reports whether a request with the ticket may have been executed, or may still be in progress. It returns
// true if this process cannot know: for an expired ticket, and for a ticket that another process issued.
func (t *Table) MayHaveBegun(now time.Time, k Ticket) bool {
	if !t.Owns(k) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	return k.Expiry <= t.clock || t.byID[k.ID] != nil
}

// Finish stores the result of an executed request. After a result with steer.NotRun the ticket may be used again. Of a
// response that exceeds MaxResponseSize, or the remaining bytes of the table, only verdict and reason are stored.
func (t *Table) Finish(now time.Time, k Ticket, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[k.ID]
	if e == nil || e.done {
		return
	}
	if r.Verdict == steer.NotRun {
		t.remove(e)
		return
	}
	size := r.size()
	if size > MaxResponseSize || t.storedBytes+size > t.maxStoredBytes {
		size = 0
		r.Status = 0
		r.Header = nil
		r.Body = nil
		r.Trailer = nil
	}
	e.done = true
	e.result = r
	e.size = size
	t.storedBytes += size
	t.advanceClock(now)
}

// Len returns the number of tickets in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// advanceClock sets the clock and removes finished tickets that have expired. The clock never goes back: two callers may
// get the lock in another order than they read their times, and a ticket that was removed at the later time must not count
// as unused at the earlier one.
func (t *Table) advanceClock(now time.Time) {
	t.clock = max(t.clock, now.Sub(t.start))
	for len(t.byExpiry) > 0 && t.byExpiry[0].expiry <= t.clock {
		e := t.byExpiry[0]
		if !e.done {
			// The request is still in progress. Check it again after another lifetime.
			e.expiry = t.clock + Lifetime
			heap.Fix(&t.byExpiry, e.heapIndex)
			continue
		}
		t.remove(e)
	}
}

func (t *Table) remove(e *entry) {
	heap.Remove(&t.byExpiry, e.heapIndex)
	delete(t.byID, e.id)
	t.storedBytes -= e.size
}

// expiryHeap is a heap of entries, with the earliest expiry first.
type expiryHeap []*entry

// Len implements heap.Interface.
func (q expiryHeap) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryHeap) Less(i, j int) bool { return q[i].expiry < q[j].expiry }

// Swap implements heap.Interface.
func (q expiryHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryHeap) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
