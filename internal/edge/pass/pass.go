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
	"monsoonhub.example/steer/internal/edge/admit"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/place"
	"monsoonhub.example/steer/internal/edge/poison"
	"monsoonhub.example/steer/internal/ops/guard"
	"monsoonhub.example/steer/internal/quota/share"
)

const (
	// defaultTimeout bounds a request whose caller and route set no timeout.
	defaultTimeout = 10 * time.Second

	// noPlanRetryAfter is the Retry-After of a host that has no plan yet. Such a host lists the platform every few hundred
	// milliseconds.
	noPlanRetryAfter = 300 * time.Millisecond

	// maxPlanWait bounds the time for which a request waits until a started host has its plan. It is several times what the
	// platform takes to deliver the plan, and a refused caller would retry later than that. planWaitFraction bounds the wait
	// to a fraction of the caller's timeout.
	maxPlanWait      = 400 * time.Millisecond
	planWaitFraction = 0.2

	// minTimeLeft is the remaining time below which a request is not sent. It is less than a warm target needs.
	minTimeLeft = 20 * time.Millisecond

	// maxAttempts bounds the attempts of one request, including those that reached no target.
	maxAttempts = 6
)

// Config configures a Handler.
type Config struct {
	Headers     steer.HeaderNames
	View        func() *belief.View
	Placer      *place.Placer
	Quotas      *share.Table
	Targets     *back.Pool
	Poison      *poison.Table                               // Nil means that no request is rejected for the targets that it crashed.
	Admission   *admit.Controller                           // Nil means that every request is admitted while there is not enough capacity.
	Region      string                                      // Region of this host.
	RegionOf    func(now time.Time, r place.Request) string // Returns the region in which a request runs. Nil: that of this host, if allowed.
	RetryBudget RetryBudgetConfig
	Synced      <-chan struct{}  // Closed once the host has a plan and knows the targets. Nil means that it has them.
	StopsAt     func() time.Time // Returns when a stopping host cuts its requests; zero if it is not stopping. Nil means never.
	Draining    func() bool      // Reports whether the host is shutting down and refuses new requests. Nil means never.
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
}

// Handler forwards requests to targets. Its Serve method is a front.Handler.
type Handler struct {
	config        Config
	trafficSplits *trafficSplits
	retryBudget   *RetryBudget
	retryDetector *retryDetector // By route.
	timeDetector  *retryDetector // By route and customer, for the admission control.
	accessLog     *accessLog
	guard         *guard.Guard
}

// New returns a handler with the given configuration.
func New(c Config) *Handler {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Poison == nil {
		c.Poison = poison.New(poison.Config{})
	}
	if c.Admission == nil {
		c.Admission = admit.New(admit.Config{})
	}
	if c.RegionOf == nil {
		c.RegionOf = func(_ time.Time, r place.Request) string { return c.defaultRegion(r) }
	}
	if c.StopsAt == nil {
		c.StopsAt = func() time.Time { return time.Time{} }
	}
	if c.Draining == nil {
		c.Draining = func() bool { return false }
	}
	return &Handler{
		config:        c,
		trafficSplits: newTrafficSplits(),
		retryBudget:   NewRetryBudget(c.RetryBudget),
		retryDetector: newRetryDetector(),
		timeDetector:  newRetryDetector(),
		accessLog:     newAccessLog(c.Logger, c.Metrics),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
	}
}

// job is the state of one request while the handler works on it.
type job struct {
	request        *front.Request
	id             string
	route          *steer.PlanRoute
	customer       *steer.PlanCustomer // Nil if the request needs no API key or has no valid one.
	service        string
	affinityKey    string // Names the object that the request is about; empty if the route has no affinity.
	priority       int
	version        uint64
	deadline       time.Time
	limitedByRoute bool   // The route's timeout ends before the caller's deadline.
	isRetry        bool   // The caller seems to retry after a refusal.
	fallbackHash   uint64 // Used in the next attempt if there is no affinity key.
	header         http.Header
	attempts       []attempt
	triedTargets   []string // Ids of targets.
	sent           int      // Attempts that may have reached a target.

	usesAdmission bool   // Admission control is in use for the service.
	region        string // Region in which the request runs, for the admission control.
	admission     admit.Decision

	staleConn bool // The last attempt failed on a connection that had been idle.

	requestKey poison.Key // 0 until it is needed.
}

// key returns the key by which equal requests of a caller are recognised.
func (j *job) key() poison.Key {
	if j.requestKey == 0 {
		r := j.request
		j.requestKey = poison.KeyOf(r.Method, r.Host, r.Target, j.customer, r.Body)
	}
	return j.requestKey
}

// attempt describes one attempt to send a request to a target, for the log.
type attempt struct {
	target        string
	estimatedLoad float64
	loadAge       time.Duration
	firstChoice   bool
	limit         steer.TargetLimit // Limit of the target that was known when it was chosen.
	reused        bool
	broke         bool // The target closed the connection without an answer.
	status        int
	verdict       steer.Verdict
	elapsed       time.Duration
	err           error
}

// largeBytes is the memory that is expected for a large response of a route whose responses are not known yet.
const largeBytes = 1 << 20

// ExpectedBytes returns the memory that the response to a request is expected to take.
func (h *Handler) ExpectedBytes(r *front.Request) int64 {
	view := h.config.View()
	if view.Index == nil {
		return 0
	}
	route := view.Index.Route(r.Host, r.Path)
	if route == nil {
		return 0
	}
	bytes, seen := h.config.Targets.ExpectedBytes(route.Name)
	if !seen && route.Kind == steer.KindLarge {
		return largeBytes
	}
	return bytes
}

// Serve handles one request. If the handling panics, the response says that the request may have run.
func (h *Handler) Serve(ctx context.Context, r *front.Request) front.Response {
	var response front.Response
	id := r.Header.Get(h.config.Headers.RequestID)
	if !h.guard.Do("request", func() { response = h.serve(ctx, r) }, "id", id) {
		return h.refusalResponse(&steer.Refusal{
			Verdict: steer.MayHaveRun,
			Reason:  steer.ReasonFault,
			Status:  http.StatusBadGateway,
		})
	}
	return response
}

func (h *Handler) serve(ctx context.Context, r *front.Request) front.Response {
	h.awaitPlan(ctx, r)
	j, refusal := h.admit(ctx, r)
	var response front.Response
	if refusal == nil {
		response, refusal = h.sendWithRetries(ctx, j)
	}
	if refusal != nil {
		response = h.refusalResponse(refusal)
	}
	h.accessLog.record(ctx, time.Now(), j, response, refusal)
	return response
}

// awaitPlan waits until a started host has its first plan, for a limited time.
func (h *Handler) awaitPlan(ctx context.Context, r *front.Request) {
	if h.config.Synced == nil {
		return
	}
	select {
	case <-h.config.Synced:
		return
	default:
	}
	wait := min(maxPlanWait, time.Duration(planWaitFraction*float64(h.callerTimeout(r))))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.config.Synced:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// admit determines the route, customer and deadline of a request and takes it from the customer's quota. It returns a refusal
// if the request must not be forwarded.
func (h *Handler) admit(ctx context.Context, r *front.Request) (*job, *steer.Refusal) {
	j := &job{
		request: r,
		id:      r.Header.Get(h.config.Headers.RequestID),

		fallbackHash: rand.Uint64(),
	}
	view := h.config.View()
	if view.Index == nil {
		return j, newRefusal(steer.ReasonNoConfig, http.StatusServiceUnavailable, noPlanRetryAfter)
	}
	j.version = view.Index.Plan.Version
	if j.route = view.Index.Route(r.Host, r.Path); j.route == nil {
		return j, newRefusal(steer.ReasonNoRoute, http.StatusNotFound, 0)
	}
	j.priority = j.route.Priority
	if !j.route.Open && len(view.Index.Plan.Customers) > 0 {
		keys := r.Header.Values(h.config.Headers.Key)
		if len(keys) == 1 {
			j.customer = view.Index.Customer(keys[0])
		}
		if j.customer == nil {
			return j, newRefusal(steer.ReasonKey, http.StatusUnauthorized, 0)
		}
		if j.customer.Priority != nil {
			j.priority = *j.customer.Priority
		}
	}
	j.deadline, j.limitedByRoute = h.deadline(r, j.route)
	j.isRetry = h.retryDetector.timeLost(j.route.Name, h.callerTimeout(r)) > 0
	if ctx.Err() != nil {
		return j, newRefusal(steer.ReasonCallerLeft, http.StatusServiceUnavailable, 0)
	}
	if h.config.Draining() || h.endsTooLate(r, j) {
		return j, newRefusal(steer.ReasonStopping, http.StatusServiceUnavailable, minRetryAfter)
	}
	if r.ExcessConn {
		return j, newRefusal(steer.ReasonBounds, http.StatusServiceUnavailable, addJitter(minRetryAfter))
	}
	if r.BodyRefused {
		return j, newRefusal(steer.ReasonMemory, http.StatusServiceUnavailable, addJitter(minRetryAfter))
	}
	if refusal := h.checkDeadly(j); refusal != nil {
		return j, refusal
	}
	if j.customer != nil {
		if ok, wait := h.config.Quotas.Take(time.Now(), j.customer.Name); !ok {
			return j, newRefusal(steer.ReasonRate, http.StatusTooManyRequests, addJitter(wait))
		}
	}
	j.service = h.trafficSplits.next(j.route)
	if j.route.Affinity {
		j.affinityKey = r.Header.Get(h.config.Headers.Affinity)
	}
	if refusal := h.checkCapacity(time.Now(), j); refusal != nil {
		h.refundQuota(j)
		return j, refusal
	}
	j.header = h.forwardedHeader(r.Header, j.customer)
	return j, nil
}

// refundQuota gives a request that no target can have run back to the customer's quota.
func (h *Handler) refundQuota(j *job) {
	if j.customer != nil {
		h.config.Quotas.Refund(time.Now(), j.customer.Name)
	}
}

// checkDeadly returns a refusal if equal requests have crashed several targets.
func (h *Handler) checkDeadly(j *job) *steer.Refusal {
	if !h.config.Poison.InUse() {
		return nil
	}
	if wait, rejected := h.config.Poison.Rejects(time.Now(), j.key()); rejected {
		return newRefusal(steer.ReasonDeadly, http.StatusServiceUnavailable, wait)
	}
	return nil
}

// maxObjectives is the duration of a request, in latency objectives of its route, for which a stopping host must have time left
// to take it. Longer requests are rare.
const maxObjectives = 2

// endsTooLate reports whether a request may still run when a stopping host has to cut it.
func (h *Handler) endsTooLate(r *front.Request, j *job) bool {
	stopsAt := h.config.StopsAt()
	if stopsAt.IsZero() {
		return false
	}
	end := j.deadline
	if j.route.Objective > 0 {
		if likely := r.Arrived.Add(maxObjectives * j.route.Objective); likely.Before(end) {
			end = likely
		}
	}
	return end.After(stopsAt)
}

// minRetryAfter is the time after which a refused caller may retry at another host.
const minRetryAfter = 50 * time.Millisecond

// addJitter raises d to at least minRetryAfter and adds up to half of it at random, so that callers that are refused together
// do not retry together.
func addJitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + rand.N(d/2)
}

// deadline returns the deadline of a request, and reports whether the route's timeout set it rather than the caller's.
func (h *Handler) deadline(r *front.Request, route *steer.PlanRoute) (time.Time, bool) {
	timeout := h.callerTimeout(r)
	limitedByRoute := route.Timeout > 0 && route.Timeout < timeout
	if limitedByRoute {
		timeout = route.Timeout
	}
	return r.Arrived.Add(timeout), limitedByRoute
}

// callerTimeout returns the time for which the caller waits, or defaultTimeout if its header names none.
func (h *Handler) callerTimeout(r *front.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(h.config.Headers.Deadline), 10, 32)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// forwardedHeader returns the headers that are sent to a target: those of the caller without the hop-by-hop headers and those
// that hosts set, plus the customer's name.
func (h *Handler) forwardedHeader(header http.Header, customer *steer.PlanCustomer) http.Header {
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

func newRefusal(reason steer.Reason, status int, retryAfter time.Duration) *steer.Refusal {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		Status:     status,
		RetryAfter: retryAfter,
	}
}

// refusalResponse returns the response to the caller for a refusal.
func (h *Handler) refusalResponse(r *steer.Refusal) front.Response {
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
