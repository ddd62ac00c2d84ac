package index

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"monsoonhub.example/steer"
)

// Index holds a plan and the maps that look-ups in it need. It is immutable.
type Index struct {
	Plan           *steer.Plan
	routesByHost   map[string][]*steer.PlanRoute // By host name in lower case; longest prefix first.
	customersByKey map[string]*steer.PlanCustomer
}

// New validates a plan and indexes it. It returns an error that names the first invalid route or customer. The plan must not
// change afterwards.
func New(plan *steer.Plan) (*Index, error) {
	x := &Index{
		Plan:           plan,
		routesByHost:   map[string][]*steer.PlanRoute{},
		customersByKey: map[string]*steer.PlanCustomer{},
	}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		if err := validateRoute(plan, route); err != nil {
			return nil, fmt.Errorf("route %q: %w", route.Name, err)
		}
		host := strings.ToLower(route.Host)
		x.routesByHost[host] = append(x.routesByHost[host], route)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b *steer.PlanRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range plan.Customers {
		customer := &plan.Customers[i]
		if customer.Rate < 0 || customer.Burst < 0 {
			return nil, fmt.Errorf("customer %q has a negative rate or burst", customer.Name)
		}
		for _, key := range customer.Keys {
			if other, ok := x.customersByKey[key]; ok && other != customer {
				return nil, fmt.Errorf("customers %q and %q share a key", other.Name, customer.Name)
			}
			x.customersByKey[key] = customer
		}
	}
	return x, nil
}

// validateRoute returns an error if a route of a plan is invalid.
func validateRoute(plan *steer.Plan, route *steer.PlanRoute) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return fmt.Errorf("prefix %q must begin and end with a slash", route.Prefix)
	}
	if route.MaxAttempts < 1 {
		return errors.New("attempts must be at least 1")
	}
	if route.Timeout < 0 || route.Objective < 0 {
		return errors.New("timeout or objective is negative")
	}
	sum := 0.0
	for _, weighted := range route.WeightedServices {
		if _, ok := plan.Services[weighted.Service]; !ok {
			return fmt.Errorf("service %q does not exist", weighted.Service)
		}
		if weighted.Weight < 0 {
			return fmt.Errorf("weight of service %q is negative", weighted.Service)
		}
		sum += weighted.Weight
	}
	if sum <= 0 {
		return errors.New("no service has a positive weight")
	}
	return nil
}

// Route returns the route of a host with the longest prefix of a path, and nil if there is none. The host is compared
// without regard to case, and may have a port. A path with a dot segment has no route: a target could resolve it to the path of
// another route, which needs a key that this one does not need.
func (x *Index) Route(host, path string) *steer.PlanRoute {
	if hasDotSegment(path) {
		return nil
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, route := range x.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hasDotSegment reports whether a path, as it is or percent-decoded, has a segment "." or "..".
func hasDotSegment(path string) bool {
	if decoded, err := url.PathUnescape(path); err == nil {
		path = decoded
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// Customer returns the customer that holds a key, and nil if there is none or the key is empty.
func (x *Index) Customer(key string) *steer.PlanCustomer {
	if key == "" {
		return nil
	}
	return x.customersByKey[key]
}
