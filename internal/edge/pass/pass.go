package pass

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/place"
	"monsoonhub.example/steer/internal/ops/guard"
	"monsoonhub.example/steer/internal/quota/share"
)

const (
	// defaultWait bounds a request whose caller and route name no time.
	defaultWait = 10 * time.Second

	// startReturn is when to return to a host that has no plan yet: it lists the platform every few hundred milliseconds.
	startReturn = 300 * time.Millisecond

	// planWait is the longest time for which a request waits for a started host to have its plan: some times what the platform
	// takes to tell it. A caller that is refused comes back later than that. planPart bounds it by the caller's time.
	planWait = 400 * time.Millisecond
	planPart = 0.2

	// leastLeft is the time left below which a request is not sent: less than the work of a warm target.
	leastLeft = 20 * time.Millisecond

	// maxTries bounds the choices for one request, those included that reached no target.
	maxTries = 6
)

// Config configures a Handler.
type Config struct {
	Headers     steer.HeaderNames
	View        func() *belief.View
	Placer      *place.Placer
	Quotas      *share.Table
	Targets     *back.Pool
	RetryBudget RetryBudgetConfig
	Synced      <-chan struct{}  // Closed when the host has a plan and knows the targets. Nil means that it does.
	Draining    func() bool      // Whether the host is about to end and starts no more work. Nil means never.
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
}

// Handler handles requests. Its Serve method is a front.Handler.
type Handler struct {
	config  Config
	splits  *splits
	retries *RetryBudget
	times   *times
	book    *book
	guard   *guard.Guard
}

// New returns a handler.
func New(c Config) *Handler {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Draining == nil {
		c.Draining = func() bool { return false }
	}
	return &Handler{
		config:  c,
		splits:  newSplits(),
		retries: NewRetryBudget(c.RetryBudget),
		times:   newTimes(),
		book:    newBook(c.Logger, c.Metrics),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
	}
}

// job is one request on its way.
type job struct {
	request  *front.Request
	id       string
	route    *steer.PlanRoute
	customer *steer.PlanCustomer // Nil without a key.
	service  string
	object   string // What the request is about; empty if the route takes no account of it.
	priority int
	version  uint64
	deadline time.Time
	limited  bool // The route's timeout ends before the caller's deadline.
	returned bool // The caller seems to have been refused before.
	header   http.Header
	tries    []try
	tried    []string // Ids of targets.
	arrived  int      // Tries that may have reached a target.

	forgotten bool // The last try broke on a connection that had been idle.
}

// try is one attempt at a target, for the log.
type try struct {
	target   string
	estimate float64
	age      time.Duration
	home     bool
	reused   bool
	status   int
	verdict  steer.Verdict
	took     time.Duration
	err      error
}

// Serve handles one request. One whose handling panics gets an answer that promises nothing.
func (h *Handler) Serve(ctx context.Context, r *front.Request) front.Response {
	var answer front.Response
	id := r.Header.Get(h.config.Headers.RequestID)
	if !h.guard.Do("request", func() { answer = h.serve(ctx, r) }, "id", id) {
		return h.answerOf(&steer.Refusal{
			Verdict: steer.MayHaveRun,
			Reason:  steer.ReasonFault,
			Status:  http.StatusBadGateway,
		})
	}
	return answer
}

func (h *Handler) serve(ctx context.Context, r *front.Request) front.Response {
	h.awaitPlan(ctx, r)
	j, refusal := h.admit(r)
	var answer front.Response
	if refusal == nil {
		answer, refusal = h.run(ctx, j)
	}
	if refusal != nil {
		answer = h.answerOf(refusal)
	}
	h.book.enter(ctx, time.Now(), j, answer, refusal)
	return answer
}

// awaitPlan waits for the first plan of a started host.
func (h *Handler) awaitPlan(ctx context.Context, r *front.Request) {
	if h.config.Synced == nil {
		return
	}
	select {
	case <-h.config.Synced:
		return
	default:
	}
	wait := min(planWait, time.Duration(planPart*float64(h.patience(r))))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.config.Synced:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// admit finds route, customer and deadline of a request and takes it from its customer's quota.
func (h *Handler) admit(r *front.Request) (*job, *steer.Refusal) {
	j := &job{
		request: r,
		id:      r.Header.Get(h.config.Headers.RequestID),
	}
	view := h.config.View()
	if view.Index == nil {
		return j, refuse(steer.ReasonNoConfig, http.StatusServiceUnavailable, startReturn)
	}
	j.version = view.Index.Plan.Version
	if j.route = view.Index.Route(r.Host, r.Path); j.route == nil {
		return j, refuse(steer.ReasonNoRoute, http.StatusNotFound, 0)
	}
	j.priority = j.route.Priority
	if !j.route.Open && len(view.Index.Plan.Customers) > 0 {
		keys := r.Header.Values(h.config.Headers.Key)
		if len(keys) == 1 {
			j.customer = view.Index.Customer(keys[0])
		}
		if j.customer == nil {
			return j, refuse(steer.ReasonKey, http.StatusUnauthorized, 0)
		}
		if j.customer.Priority != nil {
			j.priority = *j.customer.Priority
		}
	}
	j.deadline, j.limited = h.deadline(r, j.route)
	j.returned = h.times.returned(j.route.Name, h.patience(r))
	if h.config.Draining() {
		return j, refuse(steer.ReasonStopping, http.StatusServiceUnavailable, leastReturn)
	}
	if j.customer != nil {
		if ok, wait := h.config.Quotas.Take(r.Arrived, j.customer.Name); !ok {
			return j, refuse(steer.ReasonRate, http.StatusTooManyRequests, spreadOut(wait))
		}
	}
	j.service = h.splits.next(j.route)
	if j.route.Affinity {
		j.object = r.Header.Get(h.config.Headers.Affinity)
	}
	j.header = h.forwarded(r.Header, j.customer)
	return j, nil
}

// leastReturn is when a refused caller may return to another host.
const leastReturn = 50 * time.Millisecond

// spreadOut adds up to a half to a time, so that callers refused together do not return together.
func spreadOut(d time.Duration) time.Duration {
	d = max(d, leastReturn)
	return d + rand.N(d/2)
}

// deadline returns the end of the time that a request has.
func (h *Handler) deadline(r *front.Request, route *steer.PlanRoute) (time.Time, bool) {
	wait := h.patience(r)
	limited := route.Timeout > 0 && route.Timeout < wait
	if limited {
		wait = route.Timeout
	}
	return r.Arrived.Add(wait), limited
}

// patience is the time for which the caller waits.
func (h *Handler) patience(r *front.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(h.config.Headers.Deadline), 10, 32)
	if err != nil || ms <= 0 {
		return defaultWait
	}
	return time.Duration(ms) * time.Millisecond
}

// forwarded returns the headers that go to a target: those of the caller without those that concern its connection and
// those that hosts set.
func (h *Handler) forwarded(header http.Header, customer *steer.PlanCustomer) http.Header {
	names := h.config.Headers
	out := endToEnd(header)
	for _, name := range []string{names.Key, names.Customer, names.ExpectedTarget, names.RequestID, names.Deadline} {
		out.Del(name)
	}
	if customer != nil {
		out.Set(names.Customer, customer.Name)
	}
	return out
}

func refuse(reason steer.Reason, status int, after time.Duration) *steer.Refusal {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		Status:     status,
		RetryAfter: after,
	}
}

// answerOf returns the answer for a refusal.
func (h *Handler) answerOf(r *steer.Refusal) front.Response {
	header := http.Header{}
	if r.RetryAfter > 0 {
		header.Set(h.config.Headers.RetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	return front.Response{
		Status: r.Status,
		Header: header,
		Body:   []byte(string(r.Reason) + " " + r.Verdict.String() + "\n"),
	}
}
