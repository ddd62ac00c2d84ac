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
	// MaxResponseSize is the largest stored answer, header and body together, in bytes.
	MaxResponseSize = 16 << 10

	defaultEntries = 1 << 16  // At Lifetime, this is about 2,000 tickets a second.
	defaultBytes   = 32 << 20 // Stored answers of all tickets together.
)

// Action says what to do with a request that carries a ticket.
type Action uint8

// Actions. The zero value executes nothing.
const (
	Refuse     Action = iota // The ticket is of another process, or was first used for another request.
	Execute                  // Execute the request, then call Finish.
	InProgress               // The request is in progress.
	Stored                   // Answer with the returned Result.
	Expired                  // The ticket has expired. Whether it ever ran is not known any more.
	Full                     // The table has no room; the request has not run.
)

// Result is what became of a request.
type Result struct {
	Verdict steer.Verdict
	Reason  steer.Reason // Of a refusal; empty when a target answered.
	Status  int          // HTTP status; 0 when the answer is not stored.
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
	Start          time.Time        // Start of this process; ticket times count from here. Zero selects now.
	MaxEntries     int              // Most tickets remembered; 0 selects 65,536.
	MaxStoredBytes int              // Most bytes of stored answers; 0 selects 32 MiB.
	Metrics        metrics.Registry // Nil means a private registry.
}

// Table issues tickets of this process and remembers the executed ones. It is safe for concurrent use.
type Table struct {
	host        string
	incarnation uint64
	start       time.Time
	entries     int
	bytes       int
	signer      *signer
	full        metrics.Counter
	repeated    metrics.Counter

	mu     sync.Mutex
	clock  time.Duration // Latest time seen, since start.
	stored int           // Bytes of stored answers.
	byID   map[[idSize]byte]*entry
	order  queue
}

type entry struct {
	id      [idSize]byte
	request string // Identifies the request that used the ticket first.
	expiry  time.Duration
	done    bool
	result  Result
	size    int
	place   int // Index in the queue.
}

// New returns a Table. It fails when the fleet secret is empty.
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
		c.MaxEntries = defaultEntries
	}
	if c.MaxStoredBytes == 0 {
		c.MaxStoredBytes = defaultBytes
	}
	return &Table{
		host:        c.HostID,
		incarnation: c.Incarnation,
		start:       c.Start,
		entries:     c.MaxEntries,
		bytes:       c.MaxStoredBytes,
		signer:      s,
		full:        metrics.GetOrRegisterCounter("ticket-full", c.Metrics),
		repeated:    metrics.GetOrRegisterCounter("ticket-repeated", c.Metrics),
		byID:        make(map[[idSize]byte]*entry),
	}, nil
}

// Issue returns the text of a new ticket of this process for one request to the service.
func (t *Table) Issue(now time.Time, service string) (string, error) {
	return t.signer.seal(Ticket{
		ID:          newID(),
		Host:        t.host,
		Incarnation: t.incarnation,
		Service:     service,
		Expiry:      now.Sub(t.start) + Lifetime,
	})
}

// Open verifies the signature of a ticket of any host. It does not look at the expiry, which only the owner can judge
// on its own clock. It fails with a *steer.Refusal.
func (t *Table) Open(text string) (Ticket, error) { return t.signer.open(text) }

// Owns reports whether the ticket is of this process.
func (t *Table) Owns(k Ticket) bool { return k.Host == t.host && k.Incarnation == t.incarnation }

// Begin decides about a request with a ticket. The request text identifies customer, method and path: a ticket is good
// for one request only, so that no caller gets the stored answer of another. Finish must be called after Execute.
func (t *Table) Begin(now time.Time, k Ticket, request string) (Action, Result) {
	if !t.Owns(k) {
		return Refuse, Result{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e := t.byID[k.ID]; e != nil {
		return t.repeat(e, request)
	}
	if k.Expiry <= t.clock {
		return Expired, Result{}
	}
	if len(t.byID) >= t.entries {
		t.full.Inc(1)
		return Full, Result{}
	}
	e := &entry{
		id:      k.ID,
		request: request,
		expiry:  k.Expiry,
	}
	t.byID[k.ID] = e
	heap.Push(&t.order, e)
	return Execute, Result{}
}

// repeat answers a ticket that is in the table. An entry outlives its expiry only while its request is in progress.
func (t *Table) repeat(e *entry, request string) (Action, Result) {
	if e.request != request {
		return Refuse, Result{}
	}
	t.repeated.Inc(1)
	if !e.done {
		return InProgress, Result{}
	}
	return Stored, e.result
}

// MayHaveBegun reports whether a request with the ticket may have begun at this process.
func (t *Table) MayHaveBegun(now time.Time, k Ticket) bool {
	if !t.Owns(k) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return k.Expiry <= t.clock || t.byID[k.ID] != nil
}

// Finish stores what became of an executed request. After a result with steer.NotRun the ticket may be used again. An
// answer over MaxResponseSize, or over the bytes of the table, is not stored; its verdict is.
func (t *Table) Finish(now time.Time, k Ticket, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[k.ID]
	if e == nil || e.done {
		return
	}
	if r.Verdict == steer.NotRun {
		t.drop(e)
		return
	}
	size := r.size()
	if size > MaxResponseSize || t.stored+size > t.bytes {
		size = 0
		r.Status = 0
		r.Header = nil
		r.Body = nil
		r.Trailer = nil
	}
	e.done = true
	e.result = r
	e.size = size
	t.stored += size
	t.advance(now)
}

// Len returns the number of tickets remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// advance removes finished tickets that have expired. The clock never goes back: two callers may have read their times
// in another order than they get the lock, and a ticket forgotten at one time must not be new at an earlier one.
func (t *Table) advance(now time.Time) {
	t.clock = max(t.clock, now.Sub(t.start))
	for len(t.order) > 0 && t.order[0].expiry <= t.clock {
		e := t.order[0]
		if !e.done {
			// The request is still in progress. It is looked at again after another term.
			e.expiry = t.clock + Lifetime
			heap.Fix(&t.order, e.place)
			continue
		}
		t.drop(e)
	}
}

func (t *Table) drop(e *entry) {
	heap.Remove(&t.order, e.place)
	delete(t.byID, e.id)
	t.stored -= e.size
}

// queue is a heap of entries by expiry.
type queue []*entry

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].expiry < q[j].expiry }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place = i
	q[j].place = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.place = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
