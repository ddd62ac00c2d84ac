package pass_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/index"
	"monsoonhub.example/steer/internal/edge/pass"
	"monsoonhub.example/steer/internal/edge/place"
	"monsoonhub.example/steer/internal/quota/share"
)

var names = steer.HeaderNames{
	RequestID:         "Id",
	Deadline:          "Deadline",
	Affinity:          "Object",
	Key:               "Key",
	Customer:          "Customer",
	ExpectedTarget:    "Expected",
	Signature:         "Signature",
	NotRun:            "Not-Run",
	Load:              "Load",
	TargetID:          "Target",
	RetryAfter:        "Retry-After",
	MisdirectedStatus: http.StatusMisdirectedRequest,
}

// world is a host's request path with targets that answer as a test says.
type world struct {
	t       *testing.T
	config  pass.Config
	handler *pass.Handler
	view    *belief.View
	mu      sync.Mutex
	seen    []*http.Request // At all targets.
}

// behave answers the n-th request of the world, counted from 1.
type behave func(n int, w http.ResponseWriter, r *http.Request)

func run(_ int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signature", "s")
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = w.Write([]byte("done"))
}

func refuse(_ int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fail(_ int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signature", "s")
	w.Header().Set("Id", r.Header.Get("Id"))
	w.WriteHeader(http.StatusInternalServerError)
}

func vanish(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func newWorld(t *testing.T, targets int, b behave) *world {
	t.Helper()
	w := &world{
		t: t,
	}
	var list []*belief.RegisteredTarget
	for i := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := &http.Server{
			Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				w.mu.Lock()
				w.seen = append(w.seen, r)
				n := len(w.seen)
				w.mu.Unlock()
				b(n, rw, r)
			}),
		}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		list = append(list, &belief.RegisteredTarget{
			Endpoint: steer.Endpoint{
				ID:         fmt.Sprint("target-", i),
				Service:    "reservas",
				Address:    netip.MustParseAddrPort(listener.Addr().String()),
				DataCentre: "golfo-a",
				Slots:      9,
			},
			HomeRegion: "golfo",
		})
	}
	x, err := index.New(plan())
	assert.NilError(t, err)
	w.view = &belief.View{
		Index:   x,
		Targets: map[string][]*belief.RegisteredTarget{"reservas": list},
		Listed:  true,
	}
	placer := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    map[string]string{"golfo-a": "golfo"},
	})
	placer.Update(time.Now(), w.view, place.Fleet{Hosts: 1})
	quotas := share.New(share.Config{
		Host: "host-1",
		Bounds: share.Bounds{
			Window: 5 * time.Second,
		},
	})
	now := time.Now()
	quotas.SetQuotas(now.Add(-time.Minute), x.Plan.Customers)
	for age := 59 * time.Second; age > 0; age -= time.Second {
		quotas.Publish(now.Add(-age))
	}
	pool := back.New(back.Config{
		Headers: names,
	})
	t.Cleanup(pool.Stop)
	w.config = pass.Config{
		Headers: names,
		View:    func() *belief.View { return w.view },
		Placer:  placer,
		Quotas:  quotas,
		Targets: pool,
		RetryBudget: pass.RetryBudgetConfig{
			Ratio: 0.2,
			Slack: 56,
			Hosts: func() int { return 8 },
		},
	}
	w.handler = pass.New(w.config)
	return w
}

// configure replaces the handler by one that is configured otherwise.
func (w *world) configure(change func(c *pass.Config)) {
	change(&w.config)
	w.handler = pass.New(w.config)
}

func plan() *steer.Plan {
	route := func(name string, kind steer.Kind) steer.PlanRoute {
		return steer.PlanRoute{
			Name:        name,
			Host:        "h.example",
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Timeout:     400 * time.Millisecond,
			Objective:   300 * time.Millisecond,
			MaxAttempts: 2,
			Affinity:    true,
			WeightedServices: []steer.WeightedService{{
				Service: "reservas",
				Weight:  1,
			}},
		}
	}
	open := route("open", steer.KindSafe)
	open.Open = true
	return &steer.Plan{
		Version: 3,
		Routes:  []steer.PlanRoute{route("query", steer.KindSafe), route("booking", steer.KindUnsafe), open},
		Services: map[string]steer.PlanService{"reservas": {
			Name: "reservas",
		}},
		Customers: []steer.PlanCustomer{
			{
				Name:  "naviera",
				Keys:  []string{"secret"},
				Rate:  1000,
				Burst: 1000,
			},
			{
				Name:  "small",
				Keys:  []string{"small-key"},
				Rate:  0.001,
				Burst: 0,
			},
		},
	}
}

func (w *world) send(path string, header ...string) front.Response {
	h := http.Header{"Id": {"id-1"}, "Key": {"secret"}, "Object": {"17"}, "Deadline": {"2000"}}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return w.handler.Serve(context.Background(), &front.Request{
		Method:  http.MethodPost,
		Target:  path,
		Host:    "h.example",
		Path:    path,
		Header:  h,
		Arrived: time.Now(),
	})
}

func (w *world) requests() []*http.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*http.Request(nil), w.seen...)
}

// Guards against a booking that runs twice, a refusal that is not true, and a query that is given up though it may run again.
func TestRepeatsOnlyWhatMayRun(t *testing.T) {
	first := func(a, b behave) behave {
		return func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				a(n, w, r)
			} else {
				b(n, w, r)
			}
		}
	}
	for _, c := range []struct {
		name   string
		path   string
		behave behave
		status int
		sent   int
	}{
		{name: "query that runs", path: "/query/1", behave: run, status: 200, sent: 1},
		{name: "booking that runs", path: "/booking/1", behave: run, status: 200, sent: 1},
		{name: "refused query", path: "/query/1", behave: first(refuse, run), status: 200, sent: 2},
		{name: "refused booking", path: "/booking/1", behave: first(refuse, run), status: 200, sent: 2},
		{name: "query without an answer", path: "/query/1", behave: first(vanish, run), status: 200, sent: 2},
		{name: "booking without an answer", path: "/booking/1", behave: first(vanish, run), status: 502, sent: 1},
		{name: "query that fails", path: "/query/1", behave: first(fail, run), status: 200, sent: 2},
		{name: "booking that fails", path: "/booking/1", behave: first(fail, run), status: 500, sent: 1},
		{name: "query that always fails", path: "/query/1", behave: fail, status: 500, sent: 2},
		{name: "booking refused everywhere", path: "/booking/1", behave: refuse, status: 503, sent: 2},
		{name: "refused, then without an answer", path: "/booking/1", behave: first(refuse, vanish), status: 502, sent: 2},
		{name: "query without an answer, then refused", path: "/query/1", behave: first(vanish, refuse), status: 502, sent: 2},
		{name: "booking at a silent target", path: "/booking/1", behave: hang, status: 504, sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 3, c.behave)
			begun := time.Now()
			a := w.send(c.path)
			assert.Equal(t, a.Status, c.status)
			assert.Equal(t, len(w.requests()), c.sent)
			assert.Assert(t, time.Since(begun) < 600*time.Millisecond, "held past the route's time")
			assert.Equal(t, a.Header.Get("Retry-After") != "", c.status == 503)
		})
	}
}

// Guards against a target that forgot an idle connection and is left alone for it, while its objects go to others.
func TestForgottenConnectionIsNoFailure(t *testing.T) {
	const forgotten = 2 // Within the budget of repeats.
	w := newWorld(t, 3, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n%2 == 0 && n <= 2*forgotten {
			vanish(n, rw, r)
		}
		run(n, rw, r)
	})
	for range forgotten + 2 {
		assert.Equal(t, w.send("/query/1").Status, 200)
		time.Sleep(20 * time.Millisecond)
	}
	seen := w.requests()
	for _, r := range seen {
		assert.Equal(t, r.Header.Get("Expected"), seen[0].Header.Get("Expected"))
	}
}

// Guards against requests that are refused after they have waited, or refused with a status that says something else.
func TestRefusesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		header []string
		change func(w *world)
		status int
	}{
		{name: "no plan", path: "/query/1", change: func(w *world) { w.view.Index = nil }, status: 503},
		{name: "no route", path: "/nothing/1", status: 404},
		{name: "prefix without its slash", path: "/query", status: 404},
		{name: "unknown key", path: "/query/1", header: []string{"Key", "other"}, status: 401},
		{name: "no key", path: "/query/1", header: []string{"Key", ""}, status: 401},
		{name: "over the quota", path: "/query/1", header: []string{"Key", "small-key"}, status: 429},
		{name: "no time left", path: "/query/1", header: []string{"Deadline", "5"}, status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1, run)
			if c.change != nil {
				c.change(w)
			}
			a := w.send(c.path, c.header...)
			assert.Equal(t, a.Status, c.status)
			assert.Equal(t, len(w.requests()), 0)
			if after := a.Header.Get("Retry-After"); c.status == 503 || c.status == 429 {
				s, err := strconv.ParseFloat(after, 64)
				assert.NilError(t, err)
				assert.Assert(t, s > 0)
			}
		})
	}
}

// Guards against callers that are refused by a host which has its plan a moment later, and that wait for one which does not get
// any.
func TestWaitsForTheFirstPlan(t *testing.T) {
	w := newWorld(t, 1, run)
	view := w.view
	begun := make(chan struct{})
	w.configure(func(c *pass.Config) { c.Synced = begun })
	w.view = &belief.View{}
	started := time.Now()
	assert.Equal(t, w.send("/query/1").Status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(started) < time.Second)
	started = time.Now()
	assert.Equal(t, w.send("/query/1", "Deadline", "500").Status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(started) < 200*time.Millisecond, "a caller with little time waits less")
	time.AfterFunc(100*time.Millisecond, func() {
		w.view = view
		close(begun)
	})
	assert.Equal(t, w.send("/query/1").Status, http.StatusOK)
}

// Guards against a key that reaches a target, a customer's name that a caller made up, and a time that grows on the way.
func TestWhatATargetSees(t *testing.T) {
	w := newWorld(t, 1, run)
	a := w.send("/query/1?x=1", "Customer", "forged", "Expected", "forged", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "1")
	assert.Equal(t, a.Status, 200)
	assert.Equal(t, string(a.Body), "done")
	r := w.requests()[0]
	assert.Equal(t, r.Header.Get("Key"), "")
	assert.DeepEqual(t, r.Header.Values("Customer"), []string{"naviera"})
	assert.DeepEqual(t, r.Header.Values("Expected"), []string{"target-0"})
	assert.Equal(t, r.Header.Get("X-Own"), "kept")
	assert.Equal(t, r.Header.Get("X-Hop"), "")
	assert.Equal(t, r.RequestURI, "/query/1?x=1")
	left, err := strconv.Atoi(r.Header.Get("Deadline"))
	assert.NilError(t, err)
	assert.Assert(t, left <= 400, "the target may take %d ms, the route 400", left)

	a = w.send("/open/1", "Customer", "forged", "Key", "unknown")
	assert.Equal(t, a.Status, 200)
	r = w.requests()[1]
	assert.Equal(t, r.Header.Get("Customer"), "")
	assert.Equal(t, r.Header.Get("Key"), "")
}

// Guards against repeats that pile up on targets that fail everything.
func TestRepeatsAreBounded(t *testing.T) {
	w := newWorld(t, 6, refuse)
	const sent = 200
	for i := range sent {
		w.send("/query/1", "Object", fmt.Sprint(i))
	}
	repeats := len(w.requests()) - sent
	assert.Assert(t, repeats <= sent/5, "%d repeats of %d requests", repeats, sent)
}

// Guards against parts of a divided route that get more or less than their weight.
func TestDividesRouteByWeight(t *testing.T) {
	w := newWorld(t, 2, run)
	p := plan()
	p.Services["convoyes"] = steer.PlanService{
		Name: "convoyes",
	}
	p.Routes[0].WeightedServices = []steer.WeightedService{
		{
			Service: "reservas",
			Weight:  90,
		},
		{
			Service: "convoyes",
			Weight:  10,
		},
	}
	x, err := index.New(p)
	assert.NilError(t, err)
	w.view.Index = x
	counts := map[int]int{}
	for range 100 {
		counts[w.send("/query/1").Status]++
	}
	assert.Equal(t, counts[200], 90)
	assert.Equal(t, counts[503], 10, "a part without targets is refused, not moved to another")
}

// Guards against a process that ends, or a request that is answered as not run, because one request is handled wrongly.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	w := newWorld(t, 1, run)
	view := w.view
	w.view = &belief.View{
		Index: &index.Index{}, // Without a plan.
	}
	answer := w.send("/query/1")
	assert.Equal(t, answer.Status, http.StatusBadGateway)
	assert.Equal(t, answer.Header.Get("Retry-After"), "")
	w.view = view
	assert.Equal(t, w.send("/query/1").Status, http.StatusOK)
}
