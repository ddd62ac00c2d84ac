package index

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"monsoonhub.example/steer"
)

// Index is a plan that is ready for look-ups. It is immutable.
type Index struct {
	Plan      *steer.Plan
	hosts     map[string][]*steer.PlanRoute // By host name, longest prefix first.
	customers map[string]*steer.PlanCustomer
}

// New checks a plan and indexes it.
func New(plan *steer.Plan) (*Index, error) {
	x := &Index{
		Plan:      plan,
		hosts:     map[string][]*steer.PlanRoute{},
		customers: map[string]*steer.PlanCustomer{},
	}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		if err := check(plan, route); err != nil {
			return nil, fmt.Errorf("route %q: %w", route.Name, err)
		}
		host := strings.ToLower(route.Host)
		x.hosts[host] = append(x.hosts[host], route)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *steer.PlanRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range plan.Customers {
		customer := &plan.Customers[i]
		if customer.Rate < 0 || customer.Burst < 0 {
			return nil, fmt.Errorf("customer %q has a negative rate or burst", customer.Name)
		}
		for _, key := range customer.Keys {
			if other, ok := x.customers[key]; ok && other != customer {
				return nil, fmt.Errorf("customers %q and %q share a key", other.Name, customer.Name)
			}
			x.customers[key] = customer
		}
	}
	return x, nil
}

func check(plan *steer.Plan, route *steer.PlanRoute) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return fmt.Errorf("prefix %q must begin and end with a slash", route.Prefix)
	}
	if route.MaxAttempts < 1 {
		return errors.New("allows no attempt")
	}
	if route.Timeout < 0 || route.Objective < 0 {
		return errors.New("has a negative time")
	}
	sum := 0.0
	for _, part := range route.WeightedServices {
		if _, ok := plan.Services[part.Service]; !ok {
			return fmt.Errorf("names the unknown service %q", part.Service)
		}
		if part.Weight < 0 {
			return fmt.Errorf("has a negative weight for service %q", part.Service)
		}
		sum += part.Weight
	}
	if sum <= 0 {
		return errors.New("has no positive weight")
	}
	return nil
}

// Route returns the route with the longest prefix that begins the path, nil without one. The host may have a port.
func (x *Index) Route(host, path string) *steer.PlanRoute {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, route := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Customer returns the customer that holds a key, nil without one.
func (x *Index) Customer(key string) *steer.PlanCustomer {
	if key == "" {
		return nil
	}
	return x.customers[key]
}
