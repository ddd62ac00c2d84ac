package pass

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/index"
	"monsoonhub.example/steer/internal/edge/place"
)

// ExplainPath is the path of ExplainHandler.
const ExplainPath = "/v1/explain"

// maxLeftOut bounds the targets in an Explanation that get no requests by the registration.
const maxLeftOut = 16

// ExplainQuery describes a request that is to be explained. The route is that of Host and Path, or has the name Class, or is the first
// one with Service.
type ExplainQuery struct {
	Host     string // Host name to which the caller sends the request.
	Path     string
	Service  string // Of the services of a route that is split by weight, the one to explain; empty selects the one with most weight.
	Class    string // Name of a route; its requests are one class.
	Customer string // Name of the customer. API keys are no part of a query.
	Object   string
	Region   string // The request may run in this region only; empty for no such restriction.
}

// parameters returns the fields by the name of their parameter.
func (q *ExplainQuery) parameters() map[string]*string {
	return map[string]*string{
		"host":     &q.Host,
		"path":     &q.Path,
		"service":  &q.Service,
		"class":    &q.Class,
		"customer": &q.Customer,
		"object":   &q.Object,
		"region":   &q.Region,
	}
}

// Values returns the query as URL parameters.
func (q *ExplainQuery) Values() url.Values {
	values := url.Values{}
	for name, field := range q.parameters() {
		if *field != "" {
			values.Set(name, *field)
		}
	}
	return values
}

// parseExplainQuery is the inverse of Values. Its errors do not show values, which may be API keys by mistake.
func parseExplainQuery(rawQuery string) (ExplainQuery, error) {
	var q ExplainQuery
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return q, errors.New("the parameters are malformed")
	}
	fields := q.parameters()
	for name, list := range values {
		field := fields[name]
		if field == nil {
			return q, errors.New("there is a parameter other than host, path, service, class, customer, object and region")
		}
		if len(list) != 1 {
			return q, errors.New(name + " is given more than once")
		}
		*field = list[0]
	}
	if q.Path == "" && q.Class == "" && q.Service == "" || (q.Host == "") != (q.Path == "") {
		return q, errors.New("host and path, class or service is required")
	}
	return q, nil
}

// Explanation says what would happen to a request now and why. Its JSON form has durations in nanoseconds and no API keys.
type Explanation struct {
	HostID      string              `json:"host-id"`
	DataCentre  string              `json:"data-centre"`
	PlanVersion uint64              `json:"plan-version"`
	Listed      bool                `json:"listed"` // The targets have been listed at least once.
	Route       RouteExplanation    `json:"route"`
	Service     string              `json:"service"` // Service whose placement is explained.
	Customer    CustomerExplanation `json:"customer"`
	Priority    int                 `json:"priority"`
	Object      string              `json:"object,omitempty"` // Empty: each request takes a target of its own, and the placement is an example.
	Refusal     *RefusalExplanation `json:"refusal,omitempty"`
	Placement   *place.Explanation  `json:"placement,omitempty"` // Nil if the request is refused before a target is chosen.
	LeftOut     []LeftOutTarget     `json:"left-out,omitempty"`  // Registered targets of the service that get no requests.
	MoreLeftOut int                 `json:"more-left-out,omitempty"`
}

// RouteExplanation describes a route.
type RouteExplanation struct {
	Name      string            `json:"name"`
	Host      string            `json:"host"`
	Prefix    string            `json:"prefix"`
	Kind      steer.Kind        `json:"kind"`
	Open      bool              `json:"open"`     // Served without a key.
	Affinity  bool              `json:"affinity"` // Requests for one object go to one target.
	Timeout   time.Duration     `json:"timeout-ns"`
	Objective time.Duration     `json:"objective-ns"`
	Attempts  int               `json:"attempts"`          // Maximum number of targets that a request may be sent to.
	Regions   []string          `json:"regions,omitempty"` // Empty allows all.
	Services  []WeightedService `json:"services"`
}

// WeightedService is a service of a route.
type WeightedService struct {
	Service  string  `json:"service"`
	Weight   float64 `json:"weight"`
	Fraction float64 `json:"fraction"` // Fraction of the route's requests.
}

// CustomerVerdict says whether a request of a customer is accepted.
type CustomerVerdict string

// Verdicts on customers.
const (
	CustomerAccepted  CustomerVerdict = "accepted"
	CustomerNotNeeded CustomerVerdict = "not-needed" // The route is open, or the plan has no customers.
	CustomerMissing   CustomerVerdict = "missing"    // The route needs a key, and the query names no customer.
	CustomerUnknown   CustomerVerdict = "unknown"    // The plan has no such customer, or no longer.
	CustomerNoKeys    CustomerVerdict = "withdrawn"  // The customer has no keys.
)

// CustomerExplanation describes a customer and its quota at this host.
type CustomerExplanation struct {
	Name    string          `json:"name,omitempty"` // Empty for an unknown customer.
	Verdict CustomerVerdict `json:"verdict"`
	Regions []string        `json:"regions,omitempty"` // Regions in which its requests may run; empty allows all.
	Rate    float64         `json:"rate"`              // Requests per second over all hosts; 0 means no limit.
	Burst   float64         `json:"burst"`
	Share   float64         `json:"share"`   // Fraction of the quota that this host keeps when it loses contact with the others.
	Balance float64         `json:"balance"` // Requests that the hosts in contact may still admit beyond the rate.
	Demand  float64         `json:"demand"`  // Requests per second at this host.
}

// RefusalExplanation is a refusal before a target is chosen.
type RefusalExplanation struct {
	Reason steer.Reason `json:"reason"`
	Status int          `json:"status"`
}

// LeftOutTarget is a registered target that gets no requests.
type LeftOutTarget struct {
	ID    string `json:"id"`
	Cause string `json:"cause"` // draining, emptied-data-centre or unknown-region.
}

// ExplainError is the body of a response to a query without an explanation.
type ExplainError struct {
	Message string       `json:"error"`
	Reason  steer.Reason `json:"reason"`
	status  int
}

// Error implements error.
func (e *ExplainError) Error() string { return e.Message + " (" + string(e.Reason) + ")" }

func newExplainError(status int, reason steer.Reason, message string) *ExplainError {
	return &ExplainError{
		Message: message,
		Reason:  reason,
		status:  status,
	}
}

// Explain says what would happen to a request now and why. It sends nothing and changes nothing. The admission control is not asked. The
// error is nil or an *ExplainError: there is no plan or route, the query is invalid, or the request may run nowhere.
func (h *Handler) Explain(now time.Time, q ExplainQuery) (Explanation, error) {
	view := h.config.View()
	if view.Index == nil {
		return Explanation{}, newExplainError(http.StatusServiceUnavailable, steer.ReasonNoConfig, "the host has no plan yet")
	}
	for name, field := range q.parameters() {
		if view.Index.Customer(*field) != nil {
			return Explanation{}, newExplainError(http.StatusBadRequest, steer.ReasonBadRequest,
				name+" is an API key; customers are given by their names")
		}
	}
	route := findRoute(view.Index, &q)
	if route == nil {
		return Explanation{}, newExplainError(http.StatusNotFound, steer.ReasonNoRoute, "the plan in force has no such route")
	}
	j := &job{
		request:  &front.Request{}, // The body of a request counts at its target; an explained one has none.
		route:    route,
		priority: route.Priority,
		service:  explainedService(route, q.Service),
		deadline: now.Add(defaultTimeout),
	}
	if route.Timeout > 0 && route.Timeout < defaultTimeout {
		j.deadline = now.Add(route.Timeout)
	}
	if route.Affinity {
		j.affinityKey = q.Object
	}
	x := Explanation{
		PlanVersion: view.Index.Plan.Version,
		Listed:      view.Listed,
		Route:       explainRoute(route),
		Service:     j.service,
		Customer:    h.explainCustomer(view.Index.Plan, j, q.Customer),
		Priority:    j.priority,
		Object:      j.affinityKey,
	}
	x.LeftOut, x.MoreLeftOut = leftOut(view, j.service)
	if x.Refusal = h.explainRefusal(x.Customer.Verdict); x.Refusal != nil {
		return x, nil
	}
	criteria := h.criteria(now, j)
	if !mayRun(criteria, q.Region) {
		return Explanation{}, newExplainError(http.StatusUnprocessableEntity, steer.ReasonNoTarget,
			"the request may run nowhere: no region is allowed by route, customer and query together")
	}
	if q.Region != "" {
		criteria.Regions, criteria.AlsoRegions = []string{q.Region}, nil
	}
	placement := h.config.Placer.Explain(now, criteria)
	x.Placement = &placement
	return x, nil
}

// findRoute returns the route of a query, or nil if there is none.
func findRoute(x *index.Index, q *ExplainQuery) *steer.PlanRoute {
	matches := func(r *steer.PlanRoute) bool {
		return (q.Class == "" || r.Name == q.Class) && (q.Service == "" || slices.ContainsFunc(r.WeightedServices,
			func(w steer.WeightedService) bool { return w.Service == q.Service }))
	}
	if q.Path != "" {
		if r := x.Route(q.Host, q.Path); r != nil && matches(r) {
			return r
		}
		return nil
	}
	for i := range x.Plan.Routes {
		if r := &x.Plan.Routes[i]; matches(r) {
			return r
		}
	}
	return nil
}

// explainedService returns the given service, or that of the route with most weight if none is given.
func explainedService(route *steer.PlanRoute, service string) string {
	if service != "" {
		return service
	}
	best := route.WeightedServices[0]
	for _, w := range route.WeightedServices {
		if w.Weight > best.Weight {
			best = w
		}
	}
	return best.Service
}

func explainRoute(route *steer.PlanRoute) RouteExplanation {
	x := RouteExplanation{
		Name:      route.Name,
		Host:      route.Host,
		Prefix:    route.Prefix,
		Kind:      route.Kind,
		Open:      route.Open,
		Affinity:  route.Affinity,
		Timeout:   route.Timeout,
		Objective: route.Objective,
		Attempts:  route.MaxAttempts,
		Regions:   route.Regions,
	}
	total := 0.0
	for _, w := range route.WeightedServices {
		total += w.Weight
	}
	for _, w := range route.WeightedServices {
		x.Services = append(x.Services, WeightedService{
			Service:  w.Service,
			Weight:   w.Weight,
			Fraction: w.Weight / total,
		})
	}
	return x
}

// explainCustomer returns the verdict on a customer. It completes the job like the customer's key does.
func (h *Handler) explainCustomer(plan *steer.Plan, j *job, name string) CustomerExplanation {
	verdict := func(v CustomerVerdict) CustomerExplanation {
		return CustomerExplanation{
			Verdict: v,
		}
	}
	if j.route.Open || len(plan.Customers) == 0 {
		return verdict(CustomerNotNeeded)
	}
	if name == "" {
		return verdict(CustomerMissing)
	}
	i := slices.IndexFunc(plan.Customers, func(c steer.PlanCustomer) bool { return c.Name == name })
	if i < 0 {
		return verdict(CustomerUnknown)
	}
	j.customer = &plan.Customers[i]
	if j.customer.Priority != nil {
		j.priority = *j.customer.Priority
	}
	quota := h.config.Quotas.Share(name)
	x := CustomerExplanation{
		Name:    name,
		Verdict: CustomerAccepted,
		Regions: j.customer.Regions,
		Rate:    j.customer.Rate,
		Burst:   j.customer.Burst,
		Share:   quota.Share,
		Balance: quota.Balance,
		Demand:  quota.Demand,
	}
	if !slices.ContainsFunc(j.customer.Keys, func(key string) bool { return key != "" }) {
		x.Verdict = CustomerNoKeys
	}
	return x
}

// explainRefusal returns the refusal of a request before a target is chosen, or nil. The order is that of Handler.admit.
func (h *Handler) explainRefusal(verdict CustomerVerdict) *RefusalExplanation {
	switch {
	case verdict != CustomerAccepted && verdict != CustomerNotNeeded:
		return &RefusalExplanation{
			Reason: steer.ReasonKey,
			Status: http.StatusUnauthorized,
		}
	case h.config.Draining():
		return &RefusalExplanation{
			Reason: steer.ReasonStopping,
			Status: http.StatusServiceUnavailable,
		}
	default:
		return nil
	}
}

// mayRun reports whether a request may run in the given region, or in any region if none is given.
func mayRun(r place.Request, region string) bool {
	allows := func(list []string, region string) bool { return len(list) == 0 || slices.Contains(list, region) }
	if region != "" {
		return allows(r.Regions, region) && allows(r.AlsoRegions, region)
	}
	return len(r.Regions) == 0 || slices.ContainsFunc(r.Regions, func(region string) bool { return allows(r.AlsoRegions, region) })
}

// leftOut returns the registered targets of a service that get no requests, and how many there are beyond maxLeftOut.
func leftOut(view *belief.View, service string) ([]LeftOutTarget, int) {
	var list []LeftOutTarget
	add := func(id, cause string) {
		list = append(list, LeftOutTarget{
			ID:    id,
			Cause: cause,
		})
	}
	for _, id := range view.Draining[service] {
		add(id, "draining")
	}
	for _, t := range view.Targets[service] {
		switch {
		case view.Emptied[t.DataCentre]:
			add(t.ID, "emptied-data-centre")
		case t.HomeRegion == "":
			add(t.ID, "unknown-region")
		}
	}
	more := max(0, len(list)-maxLeftOut)
	return list[:len(list)-more], more
}

// ExplainHandler returns the handler of GET requests with the parameters of ExplainQuery, which answers with an Explanation or an
// ExplainError in JSON. The ID and the data centre are those of this host.
func (h *Handler) ExplainHandler(hostID, dataCentre string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := parseExplainQuery(r.URL.RawQuery)
		if err != nil {
			writeExplainError(w, newExplainError(http.StatusBadRequest, steer.ReasonBadRequest, err.Error()))
			return
		}
		x, err := h.Explain(time.Now(), q)
		var explainError *ExplainError
		if errors.As(err, &explainError) {
			writeExplainError(w, explainError)
			return
		}
		x.HostID, x.DataCentre = hostID, dataCentre
		writeJSON(w, http.StatusOK, x)
	})
}

func writeExplainError(w http.ResponseWriter, err *ExplainError) { writeJSON(w, err.status, err) }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // The caller has left if this fails.
}
