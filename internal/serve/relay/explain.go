package relay

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/serve/keys"
)

// ExplainRequest is a request to explain.
type ExplainRequest struct {
	Service  string
	Customer string // Empty for a request without a key.
	Method   string // Empty selects GET.
	Path     string // Below the service; empty selects "/".
}

// ExplainStep is one decision about an ExplainRequest.
type ExplainStep struct {
	Name    string // Route, key, rate, site, capacity or target.
	Outcome string // What was decided.
	Reason  string // Why.
}

// Explain runs the decisions for a request through the functions that serve, without spending quota. It ends with the
// first step that refuses.
func (h *Handler) Explain(now time.Time, p ExplainRequest) []ExplainStep {
	if p.Method == "" {
		p.Method = http.MethodGet
	}
	if p.Path == "" {
		p.Path = "/"
	}
	v := h.currentView()
	if v == nil {
		return []ExplainStep{refusedStep("route", refuse(steer.NotRun, steer.ReasonNoConfig, nil))}
	}
	s, r, step := explainRoute(v, p)
	steps := []ExplainStep{step}
	if s == nil {
		return steps
	}
	step, ok := h.explainKey(now, v, s, r, p.Customer)
	steps = append(steps, step)
	if !ok {
		return steps
	}
	steps = append(steps, explainRate(v, r, p.Customer))
	return append(steps, h.explainSites(now, v, s, r, p.Customer)...)
}

func refusedStep(name string, err error) ExplainStep {
	r := asRefusal(err)
	reason := infoOf(r.Reason).detail
	if r.Cause != nil {
		reason = r.Cause.Error()
	}
	return ExplainStep{
		Name:    name,
		Outcome: "refused: " + string(r.Reason) + ", " + r.Verdict.String(),
		Reason:  reason,
	}
}

// explainRoute returns a nil service when no route matches.
func explainRoute(v *view, p ExplainRequest) (*service, *route, ExplainStep) {
	u := &url.URL{
		Path: callerPrefix + p.Service + p.Path,
	}
	name, _, plain, err := splitPath(u, callerPrefix)
	if err != nil {
		return nil, nil, refusedStep("route", err)
	}
	s, r, err := findRoute(v, name, p.Method, plain)
	if err != nil {
		step := refusedStep("route", err)
		step.Reason = fmt.Sprintf("No route of service %q matches %s %s.", name, p.Method, plain)
		if v.services[name] == nil {
			step.Reason = fmt.Sprintf("Service %q is not in the configuration in force.", name)
		}
		return nil, nil, step
	}
	kind := "keyed"
	if r.open {
		kind = "open"
	}
	repeat := "runs at most once"
	if r.isIdempotent(p.Method) {
		repeat = "idempotent"
	}
	return s, r, ExplainStep{
		Name:    "route",
		Outcome: fmt.Sprintf("%s, %s, class %s", kind, repeat, r.class),
		Reason:  fmt.Sprintf("The longest matching prefix is %q.", r.prefix+"/"),
	}
}

func (h *Handler) explainKey(now time.Time, v *view, s *service, r *route, name string) (ExplainStep, bool) {
	if r.open {
		return ExplainStep{
			Name:    "key",
			Outcome: "not needed",
			Reason:  "The route is open.",
		}, true
	}
	customer := v.config.Customers[name]
	if customer == nil {
		step := refusedStep("key", refuse(steer.NotRun, steer.ReasonKey, nil))
		step.Reason = "The route needs a key, and the question names no customer."
		if name != "" {
			step.Reason = fmt.Sprintf("Customer %q is not in the configuration in force.", name)
		}
		return step, false
	}
	age := h.conf.Source.EvidenceAge(now)
	evidence := fmt.Sprintf("The evidence is %v old; the grace is %v.", age.Round(time.Millisecond),
		keys.GracePeriod(s.Service, customer))
	if keys.Isolated(age, s.Service, customer) {
		step := refusedStep("key", refuse(steer.NotRun, steer.ReasonIsolated, nil))
		step.Reason = evidence
		return step, false
	}
	good := 0
	for _, k := range customer.Keys {
		if !k.Withdrawn {
			good++
		}
	}
	if good == 0 {
		step := refusedStep("key", refuse(steer.NotRun, steer.ReasonKey, nil))
		step.Reason = "All keys of the customer are withdrawn."
		return step, false
	}
	return ExplainStep{
		Name:    "key",
		Outcome: fmt.Sprintf("accepted for %d keys", good),
		Reason:  evidence,
	}, true
}

func explainRate(v *view, r *route, name string) ExplainStep {
	customer := v.config.Customers[name]
	if r.open || customer == nil {
		return ExplainStep{
			Name:    "rate",
			Outcome: "no token needed",
			Reason:  "Open routes have no customer.",
		}
	}
	return ExplainStep{
		Name:    "rate",
		Outcome: "takes one token of " + string(steer.CustomerQuota(customer.Name)),
		Reason:  fmt.Sprintf("The customer has %g requests/s and a burst of %g.", customer.Rate, customer.Burst),
	}
}

// explainSites shows the sites for each shift of this region, and those for requests that do not move.
func (h *Handler) explainSites(now time.Time, v *view, s *service, r *route, customer string) []ExplainStep {
	granted := func(time.Time, steer.QuotaName) bool { return true }
	var steps []ExplainStep
	draw := 0.0
	for draw < 1 {
		moved := h.shift(now, s, draw, granted)
		if moved == nil {
			break
		}
		steps = append(steps, ExplainStep{
			Name:    "site",
			Outcome: fmt.Sprintf("%g %% of requests: %s", moved.Fraction*100, names(h.order(nil, s, moved, 0))),
			Reason: fmt.Sprintf("Shift %q, while %s and %s have tokens.", moved.Name,
				steer.ShiftQuota(s.Name, moved.Name), steer.LinkQuota(moved.From, moved.To)),
		})
		if moved.Fraction <= 0 {
			break
		}
		draw += moved.Fraction
	}
	order := h.order(nil, s, nil, 0)
	if len(order) == 0 {
		return append(steps, refusedStep("site", refuse(steer.NotRun, steer.ReasonNoTarget, nil)))
	}
	steps = append(steps, ExplainStep{
		Name:    "site",
		Outcome: names(order),
		Reason:  "Own data centre, own region, other regions within the link budgets.",
	})
	for _, at := range order {
		steps = append(steps, h.explainSite(now, at, s, v.weight(customer), r.class))
	}
	return steps
}

func names(order []site) string {
	text := ""
	for i, s := range order {
		if i > 0 {
			text += ", "
		}
		text += s.dataCentre
	}
	return text
}

func (h *Handler) explainSite(now time.Time, at site, s *service, weight float64, class steer.Class) ExplainStep {
	if at.dataCentre == h.conf.DataCentre {
		ready := h.conf.Chooser.Ready(now, s.Name)
		return ExplainStep{
			Name:    "capacity",
			Outcome: fmt.Sprintf("%s: %d targets ready", at.dataCentre, ready),
			Reason: fmt.Sprintf("Takes one unit of %s with weight %g and class %s.", steer.WorkQuota(s.Name, at.dataCentre),
				weight, class),
		}
	}
	m := h.member(at.dataCentre, nil)
	if m == nil {
		return ExplainStep{
			Name:    "target",
			Outcome: at.dataCentre + ": skipped",
			Reason:  errNoMember.Error(),
		}
	}
	reason := "The data centre is in the own region."
	if at.region != h.conf.Region {
		reason = "Takes one token of " + string(steer.LinkQuota(h.conf.Region, at.region)) + "."
	}
	return ExplainStep{
		Name:    "target",
		Outcome: at.dataCentre + ": forwarded, for example to " + m.ID,
		Reason:  reason,
	}
}
