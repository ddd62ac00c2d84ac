package target

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// coldFactor multiplies the service time of a target that has just started.
	coldFactor = 3

	// slowFactor multiplies the service time in mode Slow.
	slowFactor = 10

	// maxBody bounds the request body that is read, in bytes.
	maxBody = 64 << 20

	// maxSize bounds the answer body, in bytes.
	maxSize = 64 << 20

	// defaultSize is the size of an answer body without the parameter size, in bytes.
	defaultSize = 64

	// maxHeld bounds the time for which a request is held in mode Hang without a deadline.
	maxHeld = time.Minute
)

// errEnded means that the caller of the target cancelled the request or its deadline passed.
var errEnded = errors.New("request ended before its answer")

// Mode is the behaviour of a target.
type Mode string

// Modes.
const (
	Normal    Mode = "normal"
	Drain     Mode = "drain"      // Works, and announces that it is leaving.
	Shed      Mode = "shed"       // Refuses all requests as not run.
	Hang      Mode = "hang"       // Starts requests and never answers.
	Half      Mode = "half"       // Cuts the connection in the middle of the answer.
	Slow      Mode = "slow"       // Takes ten times the service time.
	LieHealth Mode = "lie-health" // Says that it is ready and fails every request.
	LieLoad   Mode = "lie-load"   // Reports no load.
)

// Config configures a Target.
type Config struct {
	ID          string
	Slots       int           // Requests worked on at once; 0 selects 8.
	Queue       int           // Requests that may wait for a slot; 0 selects twice the slots, negative none.
	ServiceTime time.Duration // Median; 0 answers at once.
	Spread      float64       // Standard deviation of the logarithm of the service time.
	ColdStart   time.Duration // Time in which the service time falls from three times the median to the median.
	Seed        uint64
	Records     int        // Runs remembered; 0 selects 65,536. Older ones are dropped.
	Logger      log.Logger // Nil means no logging.
}

// Run is the record of one request that was started.
type Run struct {
	RequestID string
	Customer  string
	Method    string
	Path      string // Path and query.
	Started   time.Time
	Finished  bool        // The answer was written whole.
	Header    http.Header // Whole request header.
	Trailer   http.Header // Request trailer, after the body was read.
	Body      int64       // Bytes of the request body.
}

// Target is the http.Handler of one stand-in. It is safe for concurrent use.
type Target struct {
	config  Config
	started time.Time
	slots   chan struct{}
	closed  chan struct{}
	control http.Handler
	logger  log.Logger

	mu      sync.Mutex
	mode    Mode
	random  *rand.Rand
	runs    []*Run
	queued  int
	active  int
	drained chan struct{} // Closed when the target is closed and no request is in progress.
}

// New returns a Target in mode Normal.
func New(c Config) *Target {
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.Queue == 0 {
		c.Queue = 2 * c.Slots
	}
	if c.Records == 0 {
		c.Records = 1 << 16
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	t := &Target{
		config:  c,
		started: time.Now(),
		slots:   make(chan struct{}, c.Slots),
		closed:  make(chan struct{}),
		logger:  log.With(c.Logger, "part", "target", "target", c.ID),
		mode:    Normal,
		random:  rand.New(rand.NewPCG(c.Seed, 1)),
		drained: make(chan struct{}),
	}
	t.control = newAPI(t)
	return t
}

// SetMode changes the behaviour from now on.
func (t *Target) SetMode(m Mode) {
	t.mu.Lock()
	t.mode = m
	t.mu.Unlock()
	_ = level.Info(t.logger).Log("msg", "Mode changed.", "mode", m)
}

// Record returns a copy of the run record, oldest first.
func (t *Target) Record() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		list = append(list, *r)
	}
	return list
}

// Close ends requests that hang, refuses new ones as not run, and waits for those in progress. It fails with the error
// of ctx.
func (t *Target) Close(ctx context.Context) error {
	t.mu.Lock()
	if !t.isClosed() {
		close(t.closed)
		t.settle()
	}
	t.mu.Unlock()
	select {
	case <-t.drained:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "requests in progress")
	}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isControl(r.URL.Path) {
		t.control.ServeHTTP(w, r)
		return
	}
	mode, ok := t.enter()
	defer t.leave()
	head := w.Header()
	head.Set("Steering-Request-Id", r.Header.Get("Steering-Request-Id"))
	if mode == Drain {
		head.Set("Steering-Draining", "true")
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !ok || mode == Shed || !t.takeSlot(ctx) {
		head.Set("Steering-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.run(ctx, w, r, mode)
}

// enter counts a request and reports whether the target is open.
func (t *Target) enter() (Mode, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return t.mode, !t.isClosed()
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.settle()
}

// settle announces that nothing is in progress any more. The mutex is held.
func (t *Target) settle() {
	if !t.isClosed() || t.active > 0 {
		return
	}
	select {
	case <-t.drained:
	default:
		close(t.drained)
	}
}

func (t *Target) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// withDeadline bounds the request by the header steering-deadline-ms.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get("Steering-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxHeld.Milliseconds() {
		return context.WithTimeout(r.Context(), maxHeld)
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// takeSlot waits for a slot in the bounded queue. It fails when the queue is full or the request ends.
func (t *Target) takeSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	full := t.queued >= t.config.Queue
	if !full {
		t.queued++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mu.Lock()
		t.queued--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-t.closed:
	case <-ctx.Done():
	}
	return false
}

// run records the request, works on it and answers.
func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request, mode Mode) {
	record := t.begin(r)
	n, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody))
	t.mu.Lock()
	record.Body = n
	record.Trailer = r.Trailer.Clone()
	t.mu.Unlock()
	if err == nil {
		err = t.work(ctx, mode)
	}
	if err != nil {
		// The caller has gone or its deadline has passed; the connection is of no use to it.
		panic(http.ErrAbortHandler)
	}
	if mode == LieHealth {
		t.finish(record, true)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	t.answer(w, r, mode, record)
}

func (t *Target) finish(record *Run, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.Finished = finished
}

func (t *Target) begin(r *http.Request) *Run {
	record := &Run{
		RequestID: r.Header.Get("Steering-Request-Id"),
		Customer:  r.Header.Get("Steering-Customer"),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Started:   time.Now(),
		Header:    r.Header.Clone(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.runs) >= t.config.Records {
		t.runs = slices.Delete(t.runs, 0, len(t.runs)/4+1)
	}
	t.runs = append(t.runs, record)
	return record
}

// work takes the service time, or hangs until the request ends.
func (t *Target) work(ctx context.Context, mode Mode) error {
	if mode == Hang {
		select {
		case <-ctx.Done():
		case <-t.closed:
		}
		return errEnded
	}
	d := t.serviceTime(time.Now(), mode)
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errEnded
	}
}

// serviceTime draws from a log-normal distribution.
func (t *Target) serviceTime(now time.Time, mode Mode) time.Duration {
	t.mu.Lock()
	factor := math.Exp(t.config.Spread * t.random.NormFloat64())
	t.mu.Unlock()
	if age := now.Sub(t.started); age < t.config.ColdStart {
		left := 1 - float64(age)/float64(t.config.ColdStart)
		factor *= 1 + (coldFactor-1)*left
	}
	if mode == Slow {
		factor *= slowFactor
	}
	return time.Duration(factor * float64(t.config.ServiceTime))
}

// answer writes the body that belongs to the request id. In mode Half it cuts the connection in the middle.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, mode Mode, record *Run) {
	size := defaultSize
	if text := r.URL.Query().Get("size"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxSize {
			t.finish(record, true)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size = n
	}
	body := Body(r.Header.Get("Steering-Request-Id"), size)
	if r.URL.Query().Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	if mode == Half {
		_, _ = w.Write(body[:size/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	last := max(size-1, 0)
	_, err := w.Write(body[:last])
	if err == nil || r.Method == http.MethodHead {
		// The record is up to date before the last byte leaves, so that whoever has the whole answer finds it finished.
		t.finish(record, true)
		_, _ = w.Write(body[last:])
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		t.finish(record, false)
		panic(http.ErrAbortHandler)
	}
}

// Body returns the answer body to a request id: size bytes that differ from those of every other id.
func Body(requestID string, size int) []byte {
	sum := sha256.Sum256([]byte(requestID))
	body := make([]byte, 0, size+len(sum))
	for len(body) < size {
		body = append(body, sum[:]...)
		sum = sha256.Sum256(sum[:])
	}
	return body[:size]
}
