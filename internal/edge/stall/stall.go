package stall

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

const (
	// minAge is the time that a caller has to read before it may count as slow. It allows for the retransmission of a lost packet.
	minAge = time.Second

	// minRate is the reading rate, in bytes per second, below which a caller is slow. At this rate a response of 90 KB takes 5.6 s,
	// longer than the timeout of any route with such responses.
	minRate = 16 << 10

	// maxPause is the time without a byte taken after which a caller is slow whatever it has read before.
	maxPause = 2 * time.Second

	// checkInterval is the time between two looks for slow callers while a request waits for memory.
	checkInterval = 20 * time.Millisecond

	// Log lines per second, and how many may come at once.
	linesPerSecond = 1
	lineBurst      = 4
)

// Config configures a Book.
type Config struct {
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Book holds the responses that are being written. It is safe for concurrent use.
type Book struct {
	logger     log.Logger
	limiter    *rate.Limiter
	suppressed atomic.Int64 // Connections closed without a line since the last one.
	closed     metrics.Counter
	freed      metrics.Counter

	mu     sync.Mutex
	writes map[*Write]struct{}
}

// New returns a Book without responses.
func New(c Config) *Book {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Book{
		logger:  log.With(c.Logger, "part", "stall"),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		closed:  metrics.GetOrRegisterCounter("stall-closed", c.Metrics),
		freed:   metrics.GetOrRegisterCounter("stall-freed-bytes", c.Metrics),
		writes:  map[*Write]struct{}{},
	}
}

// Write is a response that is being written to a caller.
type Write struct {
	book      *Book
	started   time.Time
	progress  time.Time // When bytes were last taken.
	taken     int64     // Bytes taken so far.
	closeConn func() int64
}

// Begin records that a response is being written. The function closes the caller's connection without waiting, and returns the
// bytes of memory that it frees.
func (b *Book) Begin(now time.Time, closeConn func() int64) *Write {
	w := &Write{
		book:      b,
		started:   now,
		progress:  now,
		closeConn: closeConn,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes[w] = struct{}{}
	return w
}

// Advance records that the caller's side has taken n more bytes.
func (w *Write) Advance(now time.Time, n int64) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.progress = now
	w.taken += n
}

// End records that the response is written, or that writing it has failed.
func (w *Write) End() {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	delete(w.book.writes, w)
}

func (w *Write) slow(now time.Time) bool {
	age := now.Sub(w.started)
	return age >= minAge && (float64(w.taken) < minRate*age.Seconds() || now.Sub(w.progress) >= maxPause)
}

// CloseSlowest closes the connection of the slow caller that has taken nothing for longest. It returns the bytes freed, and false
// if no caller is slow.
func (b *Book) CloseSlowest(now time.Time) (freed int64, ok bool) {
	w, taken := b.takeSlowest(now)
	if w == nil {
		return 0, false
	}
	freed = w.closeConn()
	b.closed.Inc(1)
	b.freed.Inc(freed)
	if !b.limiter.AllowN(now, 1) {
		b.suppressed.Add(1)
		return freed, true
	}
	_ = b.logger.Log("msg", "Connection of a slow caller is closed.", "reason", "no-memory", "freed", freed, "taken", taken,
		"writing-for", now.Sub(w.started), "suppressed", b.suppressed.Swap(0))
	return freed, true
}

// takeSlowest removes the write of the slow caller that has taken nothing for longest, and returns it with the bytes taken so far,
// which the writer may still change. It returns nil if no caller is slow.
func (b *Book) takeSlowest(now time.Time) (*Write, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var slowest *Write
	for w := range b.writes {
		if w.slow(now) && (slowest == nil || w.progress.Before(slowest.progress)) {
			slowest = w
		}
	}
	if slowest == nil {
		return nil, 0
	}
	delete(b.writes, slowest)
	return slowest, slowest.taken
}

// Acquire acquires n bytes of a memory budget. While it waits, it closes connections of slow callers until they have freed as much.
func (b *Book) Acquire(ctx context.Context, memory *semaphore.Weighted, n int64) error {
	if memory.TryAcquire(n) {
		return nil
	}
	waiting, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.makeRoom(waiting, n)
	}()
	err := memory.Acquire(ctx, n)
	stop()
	<-done
	return err
}

// makeRoom closes connections of slow callers until n bytes are freed or ctx ends.
func (b *Book) makeRoom(ctx context.Context, n int64) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for n > 0 && ctx.Err() == nil {
			freed, ok := b.CloseSlowest(time.Now())
			if !ok {
				break
			}
			n -= freed
		}
		if n <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
