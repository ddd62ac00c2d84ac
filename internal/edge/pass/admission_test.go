package pass_test

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
	"monsoonhub.example/steer/internal/edge/index"
	"monsoonhub.example/steer/internal/edge/pass"
)

// press makes a controller refuse most requests of a customer to the service of the test plan.
func press(c *admit.Controller, customer string) {
	const steps = 1000
	now := time.Now().Add(-steps * time.Millisecond)
	for range steps {
		now = now.Add(time.Millisecond)
		c.Decide(now, admit.Request{
			Service:  "reservas",
			Region:   "golfo",
			Customer: customer,
			TimeLeft: time.Second,
		})
		c.Observe(now, "reservas", "golfo", admit.Outcome{
			Kind: admit.NoRoom,
		})
	}
}

// withAdmission sets a controller whose decisions by chance all draw the same number.
func (e *testEnv) withAdmission(mode steer.Mode, random float64, logger log.Logger, registry metrics.Registry) *admit.Controller {
	controller := admit.New(admit.Config{
		Mode:    mode,
		Random:  func() float64 { return random },
		Metrics: registry,
	})
	e.configure(func(c *pass.Config) {
		c.Admission, c.Region, c.Logger, c.Metrics = controller, "golfo", logger, registry
	})
	return controller
}

// Guards against a refusal by the admission control that says something else than "not run", that uses up the customer's quota,
// that asks callers to wait for longer than they do, or that cannot be explained afterwards.
func TestRefusalByAdmission(t *testing.T) {
	const sent = 50
	var lines bytes.Buffer
	registry := metrics.NewRegistry()
	e := newTestEnv(t, 1, succeed)
	press(e.withAdmission(steer.ModeOn, 0.9999, log.NewLogfmtLogger(&lines), registry), "naviera")
	refusedBefore := metrics.GetOrRegisterCounter("admit-refused-p0", registry).Count()
	for range sent {
		response := e.send("/booking/1")
		assert.Equal(t, response.Status, http.StatusServiceUnavailable)
		assert.Equal(t, string(response.Body), "no-capacity not-run\n")
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds <= 0.4/3, "the route's timeout is 0.4 s")
	}
	assert.Equal(t, len(e.requests()), 0)
	assert.Equal(t, metrics.GetOrRegisterCounter("pass-refused", registry).Count(), int64(sent))
	assert.Equal(t, metrics.GetOrRegisterCounter("admit-refused-p0", registry).Count()-refusedBefore, int64(sent))
	line, _, _ := strings.Cut(lines.String(), "\n")
	for _, field := range []string{"reason=no-capacity", "verdict=not-run", "level=0.9", "share=1", "customer=naviera"} {
		assert.Assert(t, strings.Contains(line, field), "%s in %s", field, line)
	}
	usage := e.config.Quotas.Publish(time.Now())["naviera"]
	assert.Assert(t, usage.Requested > 0)
	assert.Assert(t, usage.Admitted <= 0.01*usage.Requested, "%+v", usage)
}

// Guards against requests that are refused although the feature is not in use.
func TestAdmissionNotInUse(t *testing.T) {
	for _, mode := range []steer.Mode{"", steer.ModeOff, steer.ModeAuto} {
		e := newTestEnv(t, 1, succeed)
		press(e.withAdmission(mode, 0.9999, nil, metrics.NewRegistry()), "naviera")
		for range 20 {
			assert.Equal(t, e.send("/query/1").Status, http.StatusOK)
		}
	}
}

// Guards against an admission control that is not told what requests found: the level must rise while the only target is full.
func TestAdmissionLearnsFromPlacer(t *testing.T) {
	e := newTestEnv(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", "9,27,9")
		succeed(n, w, r)
	})
	controller := e.withAdmission(steer.ModeOn, 0.9999, nil, metrics.NewRegistry())
	for range 40 {
		e.send("/query/1")
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, controller.Level(time.Now(), "reservas", "golfo") > 0.1)
}

// Guards against customers that are refused because their callers wait for less time than those of others, which looks as if
// they had lost time in attempts that were refused.
func TestShortTimeoutIsNoReturn(t *testing.T) {
	e := newTestEnv(t, 1, succeed)
	plan := testPlan()
	plan.Customers = append(plan.Customers, steer.PlanCustomer{
		Name: "patient",
		Keys: []string{"patient-key"},
	})
	x, err := index.New(plan)
	assert.NilError(t, err)
	e.view.Index = x
	press(e.withAdmission(steer.ModeOn, 0.1, nil, metrics.NewRegistry()), "other")
	assert.Equal(t, e.send("/query/1", "Key", "patient-key", "Deadline", "9000").Status, http.StatusOK)
	assert.Equal(t, e.send("/query/1", "Deadline", "2000").Status, http.StatusOK)
	assert.Equal(t, e.send("/query/1", "Deadline", "1000").Status, http.StatusServiceUnavailable, "a return that is late")
}
