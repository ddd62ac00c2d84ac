package pass_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/index"
	"monsoonhub.example/steer/internal/edge/pass"
)

// explainEnv returns an environment whose plan has customers without keys and in other regions, a route that is split by weight, and
// targets that get no requests.
func explainEnv(t *testing.T) *testEnv {
	t.Helper()
	e := newTestEnv(t, 3, succeed)
	plan := testPlan()
	urgent := 0
	plan.Customers[0].Priority = &urgent
	plan.Customers = append(plan.Customers, steer.PlanCustomer{Name: "withdrawn"},
		steer.PlanCustomer{Name: "remote", Keys: []string{"remote-key"}, Regions: []string{"pacifico"}})
	plan.Services["other"] = steer.PlanService{Name: "other"}
	plan.Routes[0].Priority = 1
	plan.Routes[0].Regions = []string{"golfo"}
	plan.Routes[1].WeightedServices = []steer.WeightedService{{Service: "other", Weight: 1}, {Service: "reservas", Weight: 3}}
	x, err := index.New(plan)
	assert.NilError(t, err)
	e.view.Index = x
	e.view.Draining = map[string][]string{"reservas": {"target-8"}}
	return e
}

// ask returns the status and the body of the answer to a query.
func (e *testEnv) ask(query string) (int, string) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, pass.ExplainPath+"?"+query, nil)
	e.handler.ExplainHandler("host-1", "golfo-a").ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

// explain returns the explanation for a query.
func (e *testEnv) explain(query string) pass.Explanation {
	e.t.Helper()
	status, body := e.ask(query)
	assert.Equal(e.t, status, http.StatusOK, body)
	var x pass.Explanation
	assert.NilError(e.t, json.Unmarshal([]byte(body), &x))
	return x
}

// Guards against an explanation that names another target than requests get, sends something, or uses the quota.
func TestExplainNamesTheTargetOfTheRequest(t *testing.T) {
	e := explainEnv(t)
	balance := e.config.Quotas.Share("naviera").Balance
	x := e.explain("host=h.example&path=/query/1&customer=naviera&object=17")
	assert.Equal(t, len(e.requests()), 0)
	assert.Equal(t, e.config.Quotas.Share("naviera").Balance, balance)
	assert.Equal(t, x.HostID, "host-1")
	assert.Equal(t, x.PlanVersion, uint64(3))
	assert.Equal(t, x.Route.Name, "query")
	assert.Equal(t, x.Priority, 0, "the priority is that of the customer")
	assert.Equal(t, x.Customer.Verdict, pass.CustomerAccepted)
	assert.Equal(t, x.Customer.Balance, balance)
	assert.DeepEqual(t, x.LeftOut, []pass.LeftOutTarget{{ID: "target-8", Cause: "draining"}})
	choice := x.Placement.Target
	assert.Equal(t, e.send("/query/1").Status, http.StatusOK)
	requests := e.requests()
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Header.Get("Expected"), choice)
}

// Guards against a verdict that differs from what a request of the customer gets, and a split route that shows one service only.
func TestExplainShowsRouteAndCustomer(t *testing.T) {
	e := explainEnv(t)
	x := e.explain("host=h.example&path=/booking/1&customer=small")
	assert.Equal(t, x.Service, "reservas")
	assert.DeepEqual(t, x.Route.Services, []pass.WeightedService{
		{Service: "other", Weight: 1, Fraction: 0.25}, {Service: "reservas", Weight: 3, Fraction: 0.75},
	})
	assert.Equal(t, x.Placement.Region, "golfo")
	x = e.explain("service=other&customer=small")
	assert.Equal(t, x.Route.Name, "booking")
	assert.Equal(t, x.Placement.Reason, steer.ReasonNoTarget)
	x = e.explain("class=open")
	assert.Equal(t, x.Customer.Verdict, pass.CustomerNotNeeded)
	assert.Assert(t, x.Placement != nil)
	for query, verdict := range map[string]pass.CustomerVerdict{
		"":                    pass.CustomerMissing,
		"&customer=nobody":    pass.CustomerUnknown,
		"&customer=withdrawn": pass.CustomerNoKeys,
	} {
		x = e.explain("class=query" + query)
		assert.Equal(t, x.Customer.Verdict, verdict)
		assert.DeepEqual(t, x.Refusal, &pass.RefusalExplanation{Reason: steer.ReasonKey, Status: http.StatusUnauthorized})
		assert.Assert(t, x.Placement == nil)
	}
	e.configure(func(c *pass.Config) { c.Draining = func() bool { return true } })
	assert.Equal(t, e.explain("class=open").Refusal.Reason, steer.ReasonStopping)
}

// Guards against an empty answer, or one with status 200, where there is nothing to explain.
func TestExplainErrors(t *testing.T) {
	e := explainEnv(t)
	for query, want := range map[string]struct {
		status int
		text   string
	}{
		"":                                           {status: http.StatusBadRequest, text: "host and path, class or service is required"},
		"host=h.example":                             {status: http.StatusBadRequest, text: "host and path"},
		"class=query&class=open":                     {status: http.StatusBadRequest, text: "class is given more than once"},
		"class=query&token=1":                        {status: http.StatusBadRequest, text: "a parameter other than"},
		"host=h.example&path=/none/":                 {status: http.StatusNotFound, text: "no-route"},
		"class=none":                                 {status: http.StatusNotFound, text: "no-route"},
		"class=query&customer=remote":                {status: http.StatusUnprocessableEntity, text: "may run nowhere"},
		"class=query&region=pacifico":                {status: http.StatusOK, text: "bad-key"},
		"class=booking&customer=secret":              {status: http.StatusBadRequest, text: "customer is an API key"},
		"class=query&object=remote-key":              {status: http.StatusBadRequest, text: "object is an API key"},
		"class=query&customer=small&region=pacifico": {status: http.StatusUnprocessableEntity, text: "may run nowhere"},
	} {
		status, body := e.ask(query)
		assert.Equal(t, status, want.status, "%s: %s", query, body)
		assert.Assert(t, strings.Contains(body, want.text), "%s: %s", query, body)
	}
	e.view = &belief.View{}
	status, body := e.ask("class=query")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "no-config"), body)
}

// Guards against API keys in answers: those of the plan, and one that is given by mistake in place of a name.
func TestExplainShowsNoKeys(t *testing.T) {
	e := explainEnv(t)
	for _, query := range []string{
		"class=query&customer=naviera&object=17", "class=booking&customer=small", "class=booking&customer=remote", "class=open",
		"class=query&customer=secret", "class=secret", "class=open&object=secret", "host=h.example&path=secret", "secret=1",
		"class=query&customer=withdrawn-key", "class=open&class=secret", "class=query&customer=naviera&region=secret",
	} {
		_, body := e.ask(query)
		for _, key := range []string{"secret", "small-key", "remote-key", "withdrawn-key"} {
			assert.Assert(t, !strings.Contains(body, key), "%s: %s", query, body)
		}
	}
}
