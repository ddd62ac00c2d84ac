package index_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/index"
)

func route(name, prefix string) steer.PlanRoute {
	return steer.PlanRoute{
		Name:        name,
		Host:        "H.example",
		Prefix:      prefix,
		MaxAttempts: 1,
		WeightedServices: []steer.WeightedService{{
			Service: "s",
			Weight:  1,
		}},
	}
}

func plan(routes ...steer.PlanRoute) *steer.Plan {
	return &steer.Plan{
		Routes:   routes,
		Services: map[string]steer.PlanService{"s": {}},
	}
}

func TestRoute(t *testing.T) {
	x, err := index.New(plan(route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")))
	assert.NilError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{host: "h.example", path: "/", want: "all"},
		{host: "h.example", path: "/a", want: "all"},
		{host: "h.example", path: "/a/", want: "a"},
		{host: "h.example:8080", path: "/a/b", want: "a"},
		{host: "H.EXAMPLE", path: "/a/b/c", want: "ab"},
		{host: "other.example", path: "/a/", want: ""},
		{host: "h.example", path: "/a/../b", want: ""},
		{host: "h.example", path: "/a/.", want: ""},
		{host: "h.example", path: "/a/%2e%2E/b", want: ""},
		{host: "h.example", path: "/a/..%2fb", want: ""},
		{host: "h.example", path: "/a/.b/..c/d..", want: "a"},
		{host: "h.example", path: "/a/%zz", want: "a"},
	} {
		got := ""
		if r := x.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against putting a plan in force whose routes or customers are invalid.
func TestNewRejectsInvalidPlans(t *testing.T) {
	change := func(f func(r *steer.PlanRoute)) *steer.Plan {
		r := route("r", "/r/")
		f(&r)
		return plan(r)
	}
	shared := plan()
	shared.Customers = []steer.PlanCustomer{
		{
			Name: "a",
			Keys: []string{"k"},
		},
		{
			Name: "b",
			Keys: []string{"k"},
		},
	}
	negative := plan()
	negative.Customers = []steer.PlanCustomer{{
		Name: "a",
		Rate: -1,
	}}
	for name, p := range map[string]*steer.Plan{
		"prefix":          change(func(r *steer.PlanRoute) { r.Prefix = "/r" }),
		"no attempt":      change(func(r *steer.PlanRoute) { r.MaxAttempts = 0 }),
		"unknown service": change(func(r *steer.PlanRoute) { r.WeightedServices[0].Service = "x" }),
		"negative weight": change(func(r *steer.PlanRoute) { r.WeightedServices[0].Weight = -1 }),
		"no weight":       change(func(r *steer.PlanRoute) { r.WeightedServices[0].Weight = 0 }),
		"negative time":   change(func(r *steer.PlanRoute) { r.Timeout = -1 }),
		"shared key":      shared,
		"negative rate":   negative,
	} {
		_, err := index.New(p)
		assert.Assert(t, err != nil, name)
	}
}
