package back

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

const (
	// idleDefault is the time for which a connection is kept when the target names none.
	idleDefault = 4 * time.Second

	// idleMargin is left before the end that the target names, which it gives in whole seconds.
	idleMargin = 1200 * time.Millisecond

	// dialMost bounds the opening of a connection where nothing is known of a data centre: several round trips between
	// regions. dialLeast is several times the 8 ms of a round trip within a region.
	dialMost  = 500 * time.Millisecond
	dialLeast = 80 * time.Millisecond

	// dialTimes is the bound in times the mean time of opening a connection to the same data centre. A lost packet is sent
	// again after a second only, so there is no use in waiting for one.
	dialTimes = 5

	// dialWeight is the weight of one sample in that mean.
	dialWeight = 0.1

	// unackedLimit ends a connection whose peer acknowledges nothing: a target that lost power, or a connection that went
	// silent.
	unackedLimit = 700 * time.Millisecond

	// restLimit is the idle time from which a connection is not used for a request that may run once, while targets forget
	// idle connections: after a reset nobody knows whether the request has run. Targets were seen to forget after 300 ms.
	restLimit = 100 * time.Millisecond

	// forgetTime is the time for which targets count as forgetful after an idle connection broke. A new connection costs a
	// round trip, which is 70 ms between regions, so it is not opened without a reason.
	forgetTime = 10 * time.Second

	// maxIdle bounds the idle connections to one target.
	maxIdle = 16

	// sweepEvery is the time between two looks for connections that were idle for too long.
	sweepEvery = time.Second
)

// Call is one request for one target.
type Call struct {
	Endpoint      *steer.Endpoint
	Method        string
	Target        string // Path and query.
	Host          string
	Header        http.Header // Without the headers that this package sets.
	Body          []byte
	HasBody       bool
	RequestID     string
	SizeClass     string // Answers of one class are about equally long.
	Deadline      time.Time
	Retryable     bool // It could be sent again, so an answer that does not end is given up while there is time for that.
	AtMostOnce    bool // It may run once only: while targets forget idle connections it does not go over one that rested.
	NewConnection bool // It needs a new connection.
}

// Result is what became of a call.
type Result struct {
	Verdict         steer.Verdict
	Status          int // 0 without an answer.
	Reason          string
	Header          http.Header
	Body            []byte
	Signed          bool              // The answer is the target's own.
	Load            *steer.TargetLoad // Nil when the answer reports none.
	Gone            bool              // Another target has the address.
	Closing         bool              // The target closes its connections.
	Reused          bool              // The connection had served other requests.
	StaleConnection bool              // The target had closed the connection while it was idle, or closed it instead of an answer.
	Sent            bool              // At least a byte may have reached the target.
	Err             error             // Why there is no answer.

	// Release gives back the memory of the body. Nil means that none is held.
	Release func()
}

// Discard gives back the memory of a result that is not passed on. It may be called on nil.
func (r *Result) Discard() {
	if r != nil && r.Release != nil {
		r.Release()
	}
}

// Config configures a Pool.
type Config struct {
	Headers steer.HeaderNames
	Memory  int64            // Of the process, in bytes; a part of it holds answers. 0 selects a small process.
	Dial    steer.Dial       // Opens connections. Nil selects a dialer for TCP.
	Metrics metrics.Registry // Nil means a private registry.
}

// Pool keeps connections to targets.
type Pool struct {
	headers steer.HeaderNames
	room    *room
	dial    steer.Dial
	dials   metrics.Counter
	full    metrics.Counter
	strays  metrics.Counter
	mu      sync.Mutex
	idle    map[string][]*wire       // By target id, longest idle first.
	forgets time.Time                // Until when targets count as forgetful.
	opening map[string]time.Duration // Mean time of opening a connection, by data centre.
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a pool.
func New(c Config) *Pool {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Dial == nil {
		dialer := &net.Dialer{
			Timeout: dialMost,
			Control: setUnackedLimit,
		}
		c.Dial = dialer.DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		headers: c.Headers,
		room:    newRoom(c.Memory),
		dial:    c.Dial,
		dials:   metrics.GetOrRegisterCounter("back-dials", c.Metrics),
		full:    metrics.GetOrRegisterCounter("back-no-memory", c.Metrics),
		strays:  metrics.GetOrRegisterCounter("back-stray-answers", c.Metrics),
		idle:    map[string][]*wire{},
		opening: map[string]time.Duration{},
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		p.sweep(ctx)
	}()
	return p
}

// Stop closes idle connections.
func (p *Pool) Stop() {
	p.cancel()
	<-p.done
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		for _, w := range list {
			w.close()
		}
		delete(p.idle, id)
	}
}

func (p *Pool) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.expire(now)
		}
	}
}

func (p *Pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, w := range list {
			if now.Before(w.until) {
				kept = append(kept, w)
			} else {
				w.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}
}

// Do sends a call and reads its answer. When ctx ends the connection is closed, which ends the work at the target.
func (p *Pool) Do(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	held, err := p.room.reserve(ctx, call.SizeClass)
	if err != nil {
		p.full.Inc(1)
		return Result{
			Verdict: steer.NotRun,
			Err:     err,
		}
	}
	result := p.send(ctx, &call, held)
	if len(result.Body) == 0 {
		held.release()
		return result
	}
	result.Release = held.release
	return result
}

// send sends a call for whose answer memory is held.
func (p *Pool) send(ctx context.Context, call *Call, held *hold) Result {
	w, reused, err := p.get(ctx, call)
	if err != nil {
		return Result{
			Verdict: steer.NotRun,
			Err:     err,
		}
	}
	stop := context.AfterFunc(ctx, w.interrupt)
	x := exchange{
		wire:   w,
		call:   call,
		names:  p.headers,
		strays: p.strays,
		held:   held,
	}
	result := x.run(ctx)
	result.Reused = reused
	if !stop() || !w.clean {
		w.close()
		if reused && ctx.Err() == nil && closed(result.Err) {
			result.StaleConnection = true
			p.forgotten(time.Now())
		}
		if cause := context.Cause(ctx); result.Err != nil && cause != nil {
			result.Err = errors.Join(cause, result.Err)
		}
		return result
	}
	p.put(call.Endpoint, w)
	return result
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, call *Call) (*wire, bool, error) {
	now := time.Now()
	e := call.Endpoint
	for !call.NewConnection {
		w := p.pop(e.ID)
		if w == nil {
			break
		}
		if call.AtMostOnce && now.Sub(w.rested) > restLimit && p.forgetful(now) {
			p.keep(e.ID, w)
			break
		}
		if now.Before(w.until) && w.address == e.Address && w.quiet() {
			return w, true, nil
		}
		w.close()
	}
	w, err := p.open(ctx, e)
	return w, false, err
}

// open opens a connection, within a time that fits the data centre.
func (p *Pool) open(ctx context.Context, e *steer.Endpoint) (*wire, error) {
	p.dials.Inc(1)
	begun := time.Now()
	limit := p.openLimit(e.DataCentre)
	dialCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	socket, err := p.dial(dialCtx, "tcp", e.Address.String())
	late := dialCtx.Err() != nil
	p.opened(e.DataCentre, time.Since(begun), late)
	switch {
	case err != nil && late && ctx.Err() == nil:
		return nil, fmt.Errorf("no connection within %v: %s", limit, err) // Unlike the deadline of the request, so not wrapped.
	case err != nil:
		return nil, err
	}
	return newWire(socket, e.Address), nil
}

func (p *Pool) openLimit(dataCentre string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.opening[dataCentre]
	if !ok {
		return dialMost
	}
	return min(max(dialTimes*mean, dialLeast), dialMost)
}

// opened takes the time of opening a connection. One that took too long counts as the least that it would have taken.
func (p *Pool) opened(dataCentre string, took time.Duration, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.opening[dataCentre]
	switch {
	case !ok && late:
	case !ok:
		p.opening[dataCentre] = took
	default:
		p.opening[dataCentre] = mean + time.Duration(dialWeight*float64(took-mean))
	}
}

// closed reports whether the other side closed a connection, which a silent one did not.
func closed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// forgotten notes that an idle connection broke.
func (p *Pool) forgotten(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgets = now.Add(forgetTime)
}

func (p *Pool) forgetful(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.forgets)
}

func (p *Pool) pop(id string) *wire {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	w := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return w
}

func (p *Pool) put(e *steer.Endpoint, w *wire) {
	w.rested = time.Now()
	w.until = w.rested.Add(w.keep)
	p.keep(e.ID, w)
}

// keep puts the connection behind those that are idle for longer.
func (p *Pool) keep(id string, w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdle {
		w.close()
		return
	}
	p.idle[id] = append(p.idle[id], w)
}

// parseLoad reads running, waiting and slots.
func parseLoad(value string) *steer.TargetLoad {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &steer.TargetLoad{
		Running: numbers[0],
		Waiting: numbers[1],
		Slots:   numbers[2],
	}
}

// parseKeep reads the timeout of a Keep-Alive header.
func parseKeep(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(number); err == nil && s >= 0 {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}
