package back

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/conns"
	"monsoonhub.example/steer/internal/edge/meter"
	"monsoonhub.example/steer/internal/edge/stall"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the target names no time.
	defaultIdleTimeout = 4 * time.Second

	// idleTimeoutMargin is subtracted from the idle timeout that the target names, which is given in whole seconds.
	idleTimeoutMargin = 1200 * time.Millisecond

	// maxDialTimeout bounds the opening of a connection, and applies to data centres without a measurement. It allows several
	// round trips between regions. minDialTimeout is several times the 8 ms of a round trip within a region.
	maxDialTimeout = 500 * time.Millisecond
	minDialTimeout = 80 * time.Millisecond

	// dialTimeoutFactor is the dial timeout relative to the mean time of opening a connection to the same data centre. A lost
	// packet is retransmitted only after one second, so waiting for the retransmission is of no use.
	dialTimeoutFactor = 5

	// dialEWMAWeight is the weight of one sample in that mean, an EWMA.
	dialEWMAWeight = 0.1

	// unackedTimeout closes a connection whose peer acknowledges nothing: the target lost power or the connection went silent.
	unackedTimeout = 700 * time.Millisecond

	// maxIdleAtMostOnce is the idle time above which a connection is not used for an at-most-once request, while targets are
	// suspected of dropping idle connections: after a reset it is unknown whether the request has run. Targets were seen to
	// drop connections after 300 ms.
	maxIdleAtMostOnce = 100 * time.Millisecond

	// staleSuspicionTime is the time for which targets are suspected of dropping idle connections after one was found dropped.
	// A new connection costs a round trip, which is 70 ms between regions, so it is not opened without a reason.
	staleSuspicionTime = 10 * time.Second

	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16

	// sweepInterval is the time between two sweeps for connections that were idle for too long.
	sweepInterval = time.Second
)

// Call is a request to one target.
type Call struct {
	Endpoint      *steer.Endpoint
	Method        string
	Target        string // Path and query.
	Host          string
	Header        http.Header // Without the headers that this package sets.
	Body          []byte
	HasBody       bool
	RequestID     string
	SizeClass     string // Answers of one class are about equally large.
	Deadline      time.Time
	Retryable     bool // The request can be retried, so a slow answer is given up while there is time for a retry.
	AtMostOnce    bool // The request may run only once, so it avoids connections that the target may have dropped.
	NewConnection bool // The request must be sent over a new connection.
}

// Result is the outcome of a call.
type Result struct {
	Verdict         steer.Verdict
	Status          int    // Status code; 0 without an answer.
	Reason          string // Reason phrase of the status line.
	Header          http.Header
	Body            []byte
	Signed          bool               // The answer carries the target's signature, so the target itself produced it.
	Load            *steer.TargetLoad  // Nil when the answer reports none.
	Limit           *steer.TargetLimit // Nil without an answer of the target, or if its limit is malformed.
	Gone            bool               // Another target now uses the address.
	Closing         bool               // The target announced that it closes the connection.
	Reused          bool               // The connection had been used for other requests.
	StaleConnection bool               // The target closed the reused connection before the first byte of an answer.
	Sent            bool               // At least one byte may have reached the target.
	Broke           bool               // The target closed the connection before the first byte of an answer.
	Err             error              // Why there is no answer; nil with one.

	// Release frees the memory reserved for the body. It is nil if none is reserved.
	Release func()
}

// Discard frees the memory of a result that is not delivered. It may be called on nil.
func (r *Result) Discard() {
	if r != nil && r.Release != nil {
		r.Release()
	}
}

// Config configures a Pool.
type Config struct {
	Headers steer.HeaderNames
	Memory  int64            // Memory of the process in bytes, a fraction of which may hold answers. 0 selects 128 MB.
	Dial    steer.Dial       // Opens connections. Nil selects a dialer for TCP.
	Conns   *conns.Budget    // Counts the connections. Nil selects a budget of its own.
	Slow    *stall.Book      // Responses being written to callers, the slowest of which make room. Nil selects an empty book.
	Traffic *meter.Traffic   // Counts the bytes read and written. Optional.
	Metrics metrics.Registry // Nil selects a private registry.
}

// Pool sends calls to targets and keeps idle connections for reuse.
type Pool struct {
	headers       steer.HeaderNames
	memoryBudget  *memoryBudget
	dial          steer.Dial
	conns         *conns.Budget
	traffic       *meter.Traffic
	dials         metrics.Counter
	noMemory      metrics.Counter
	strayAnswers  metrics.Counter // Answers to other requests than the one that waits.
	brokenAnswers metrics.Counter // Bytes that are not one answer to the request that waits.
	ownHeaders    []string        // Headers that only answers of targets have.
	singleHeaders []string        // Headers that one answer has once at most.
	mu            sync.Mutex
	idle          map[string][]*conn       // By target ID; the connection that has been idle for longest comes first.
	staleUntil    time.Time                // End of the time for which targets are suspected of dropping idle connections.
	meanDialTime  map[string]time.Duration // EWMA of the time of opening a connection, by data centre.
	cancel        context.CancelFunc
	done          chan struct{}
}

// New returns a pool and starts its sweeps. Stop must be called to end them.
func New(c Config) *Pool {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Dial == nil {
		dialer := &net.Dialer{
			Timeout: maxDialTimeout,
			Control: setUnackedTimeout,
		}
		c.Dial = dialer.DialContext
	}
	if c.Conns == nil {
		c.Conns = conns.New(conns.Config{
			Metrics: c.Metrics,
		})
	}
	if c.Slow == nil {
		c.Slow = stall.New(stall.Config{
			Metrics: c.Metrics,
		})
	}
	ownHeaders := []string{c.Headers.RequestID, c.Headers.Signature, c.Headers.NotRun, c.Headers.Load, c.Headers.Limit,
		c.Headers.TargetID}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		headers:       c.Headers,
		memoryBudget:  newMemoryBudget(c.Memory, c.Slow),
		dial:          c.Dial,
		conns:         c.Conns,
		traffic:       c.Traffic,
		dials:         metrics.GetOrRegisterCounter("back-dials", c.Metrics),
		noMemory:      metrics.GetOrRegisterCounter("back-no-memory", c.Metrics),
		strayAnswers:  metrics.GetOrRegisterCounter("back-stray-answers", c.Metrics),
		ownHeaders:    ownHeaders,
		singleHeaders: append([]string{c.Headers.RetryAfter, "Keep-Alive", "Content-Type", "Date"}, ownHeaders...),
		brokenAnswers: metrics.GetOrRegisterCounter("back-broken-answers", c.Metrics),
		idle:          map[string][]*conn{},
		meanDialTime:  map[string]time.Duration{},
		cancel:        cancel,
		done:          make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		p.sweep(ctx)
	}()
	return p
}

// Stop ends the sweeps and closes idle connections.
func (p *Pool) Stop() {
	p.cancel()
	<-p.done
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, id)
	}
}

func (p *Pool) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.closeExpired(now)
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}
}

// Do sends a call and reads its answer. When ctx ends, the connection is closed, which ends the request at the target.
// If the result has a body, Release or Discard must be called.
func (p *Pool) Do(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	reserved, err := p.memoryBudget.reserve(ctx, call.SizeClass)
	if err != nil {
		p.noMemory.Inc(1)
		return Result{
			Verdict: steer.NotRun,
			Err:     err,
		}
	}
	result := p.send(ctx, &call, reserved)
	if len(result.Body) == 0 {
		reserved.release()
		return result
	}
	reserved.shrink(cap(result.Body))
	result.Release = reserved.release
	return result
}

// ExpectedBytes returns the memory that an answer of a size class is expected to take, and reports whether one of the class has
// been seen.
func (p *Pool) ExpectedBytes(class string) (bytes int64, seen bool) {
	b := p.memoryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	length, seen := b.lengths[class]
	if !seen {
		return defaultReservation, false
	}
	return b.sizeFor(length), true
}

// send sends a call for whose answer memory is reserved.
func (p *Pool) send(ctx context.Context, call *Call, reserved *reservation) Result {
	c, reused, err := p.get(ctx, call)
	if err != nil {
		return Result{
			Verdict: steer.NotRun,
			Err:     err,
		}
	}
	if err := ctx.Err(); err != nil {
		p.keep(call.Endpoint.ID, c)
		return Result{
			Verdict: steer.NotRun,
			Err:     err,
		}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	x := exchange{
		conn:          c,
		call:          call,
		names:         p.headers,
		strayAnswers:  p.strayAnswers,
		brokenAnswers: p.brokenAnswers,
		ownHeaders:    p.ownHeaders,
		singleHeaders: p.singleHeaders,
		reserved:      reserved,
	}
	result := x.run(ctx)
	result.Reused = reused
	if !stop() || !c.reusable {
		c.close()
		if reused && !x.answerBegun && ctx.Err() == nil && closedByPeer(result.Err) {
			result.StaleConnection = true
			p.suspectStale(time.Now())
		}
		if cause := context.Cause(ctx); result.Err != nil && cause != nil {
			result.Err = errors.Join(cause, result.Err)
		}
		return result
	}
	p.putIdle(call.Endpoint, c)
	return result
}

// get returns an idle connection that is healthy, or else a new one. It reports whether the connection is reused.
func (p *Pool) get(ctx context.Context, call *Call) (*conn, bool, error) {
	now := time.Now()
	e := call.Endpoint
	for !call.NewConnection {
		c := p.popIdle(e.ID)
		if c == nil {
			break
		}
		tooOld := call.AtMostOnce && now.Sub(c.idleSince) > maxIdleAtMostOnce && p.staleSuspected(now)
		if tooOld || !c.identifies(call.RequestID) {
			p.keep(e.ID, c)
			break
		}
		if now.Before(c.idleUntil) && c.address == e.Address && c.healthy() {
			return c, true, nil
		}
		c.close()
	}
	c, err := p.open(ctx, e)
	return c, false, err
}

// ErrNoConnection means that the host has too many connections to open another one.
var ErrNoConnection = errors.New("no descriptor for another connection")

// open opens a connection. If there are too many, it closes one that is idle or fails with ErrNoConnection.
func (p *Pool) open(ctx context.Context, e *steer.Endpoint) (*conn, error) {
	c := &conn{
		targetID: e.ID,
		traffic:  p.traffic,
	}
	var ok bool
	if c.counted, ok = p.conns.Add(func() bool { return p.closeUnused(c) }); !ok {
		c.counted.Remove()
		return nil, ErrNoConnection
	}
	socket, err := p.connect(ctx, e)
	if conns.Exhausted(err) && p.conns.MakeRoom() {
		socket, err = p.connect(ctx, e)
	}
	if err != nil {
		c.counted.Remove()
		if conns.Exhausted(err) {
			err = fmt.Errorf("%w: %w", ErrNoConnection, err)
		}
		return nil, err
	}
	c.start(socket, e.Address)
	return c, nil
}

// closeUnused closes a connection if it is idle, and reports whether it is closed.
func (p *Pool) closeUnused(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle[c.targetID], c)
	if i < 0 {
		return false
	}
	p.idle[c.targetID] = slices.Delete(p.idle[c.targetID], i, i+1)
	_ = c.socket.Close() // The connection is not used any more, so its error does not matter.
	return true
}

// connect connects to a target within the dial timeout of its data centre.
func (p *Pool) connect(ctx context.Context, e *steer.Endpoint) (net.Conn, error) {
	p.dials.Inc(1)
	start := time.Now()
	timeout := p.dialTimeout(e.DataCentre)
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	socket, err := p.dial(dialCtx, "tcp", e.Address.String())
	late := dialCtx.Err() != nil
	p.recordDial(e.DataCentre, time.Since(start), late)
	switch {
	case err != nil && late && ctx.Err() == nil:
		return nil, fmt.Errorf("no connection within %v: %s", timeout, err) // Not wrapped: it is not the request's deadline.
	case err != nil:
		return nil, err
	}
	return socket, nil
}

func (p *Pool) dialTimeout(dataCentre string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.meanDialTime[dataCentre]
	if !ok {
		return maxDialTimeout
	}
	return min(max(dialTimeoutFactor*mean, minDialTimeout), maxDialTimeout)
}

// recordDial updates the mean time of opening a connection to a data centre. An attempt that timed out counts with the time
// that it took, which is a lower bound, unless it would be the first sample.
func (p *Pool) recordDial(dataCentre string, took time.Duration, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.meanDialTime[dataCentre]
	switch {
	case !ok && late:
	case !ok:
		p.meanDialTime[dataCentre] = took
	default:
		p.meanDialTime[dataCentre] = mean + time.Duration(dialEWMAWeight*float64(took-mean))
	}
}

// closedByPeer reports whether err means that the other side closed the connection. A timeout of a silent peer does not.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// suspectStale records that a target dropped an idle connection.
func (p *Pool) suspectStale(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleUntil = now.Add(staleSuspicionTime)
}

func (p *Pool) staleSuspected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.staleUntil)
}

func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	c.counted.SetUsed()
	return c
}

func (p *Pool) putIdle(e *steer.Endpoint, c *conn) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(c.keep)
	p.keep(e.ID, c)
}

// keep adds the connection to the idle ones, behind those that have been idle for longer, or closes it if there are too
// many.
func (p *Pool) keep(id string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerTarget {
		c.close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
	c.counted.SetIdle()
}

const (
	// loadFigures is the number of figures that each load report has. More may follow.
	loadFigures = 3

	// usualWork is the work factor, in percent, of a target whose work takes as long as usual.
	usualWork = 100.0
)

// parseLoad parses a load header: running requests, waiting requests, slots and optionally the work factor in percent. Figures
// that follow are ignored, since later versions of targets may report more. It returns nil if one of the first three is malformed.
func parseLoad(value string) *steer.TargetLoad {
	parts := strings.Split(value, ",")
	if len(parts) < loadFigures {
		return nil
	}
	var numbers [loadFigures]int
	for i, part := range parts[:loadFigures] {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	load := &steer.TargetLoad{
		Running: numbers[0],
		Waiting: numbers[1],
		Slots:   numbers[2],
	}
	if len(parts) > loadFigures {
		load.WorkFactor = parseWorkFactor(parts[loadFigures])
	}
	return load
}

// parseWorkFactor parses a work factor in percent. It returns 0 if the value is malformed.
func parseWorkFactor(value string) float64 {
	percent, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(percent > 0) || math.IsInf(percent, 1) {
		return 0
	}
	return percent / usualWork
}

// parseLimit returns the limit in the headers of an answer. It returns nil if the value is malformed.
func parseLimit(values []string) *steer.TargetLimit {
	if len(values) == 0 {
		return &steer.TargetLimit{}
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return nil
	}
	return &steer.TargetLimit{
		Limited:   true,
		PerSecond: perSecond,
	}
}

// parseKeepAlive returns the idle timeout that a Keep-Alive header names, less a margin, or the default.
func parseKeepAlive(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(number); err == nil && s >= 0 {
			return max(time.Duration(s)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
