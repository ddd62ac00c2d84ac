package pass_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
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
	Limit:             "Limit",
	TargetID:          "Target",
	RetryAfter:        "Retry-After",
	MisdirectedStatus: http.StatusMisdirectedRequest,
}

// testEnv is a handler with targets that behave as a test specifies.
type testEnv struct {
	t        testing.TB
	config   pass.Config
	handler  *pass.Handler
	view     *belief.View
	sent     int // Requests sent.
	mu       sync.Mutex
	received []*http.Request // By all targets.
}

// behaviour answers the n-th request that the targets receive, counted from 1.
type behaviour func(n int, w http.ResponseWriter, r *http.Request)

func succeed(_ int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signature", "s")
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = w.Write([]byte("done"))
}

func refuse(_ int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var fail = failWith(http.StatusInternalServerError)

// failWith returns a behaviour that runs the request and answers with the status.
func failWith(status int) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signature", "s")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(status)
	}
}

func abortConn(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// breakOff runs the request, breaks off its answer and goes on with a late copy of a refusal.
func breakOff(_ int, w http.ResponseWriter, r *http.Request) {
	socket, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = socket.Close() }()
	_, _ = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=10", r.Header.Get("Id"))
	_, _ = fmt.Fprint(socket, "HTTP/1.1 503 Busy\r\nId: earlier\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// answerInvalid returns a behaviour that runs the request and answers with a status that net/http does not write, and a header.
func answerInvalid(status, header string) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		socket, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = socket.Close() }()
		_, _ = fmt.Fprintf(socket, "HTTP/1.1 %s X\r\nId: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"), header)
		_, _ = socket.Read(make([]byte, 1)) // Leaves the connection open until the host closes it.
	}
}

func hang(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func newTestEnv(t testing.TB, targets int, b behaviour) *testEnv {
	t.Helper()
	e := &testEnv{
		t: t,
	}
	var list []*belief.RegisteredTarget
	for i := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := &http.Server{
			Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				e.mu.Lock()
				e.received = append(e.received, r)
				n := len(e.received)
				e.mu.Unlock()
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
	x, err := index.New(testPlan())
	assert.NilError(t, err)
	e.view = &belief.View{
		Index:   x,
		Targets: map[string][]*belief.RegisteredTarget{"reservas": list},
		Listed:  true,
	}
	placer := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    map[string]string{"golfo-a": "golfo"},
	})
	placer.Update(time.Now(), e.view, place.Fleet{Hosts: 1})
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
	e.config = pass.Config{
		Headers: names,
		View:    func() *belief.View { return e.view },
		Placer:  placer,
		Quotas:  quotas,
		Targets: pool,
		RetryBudget: pass.RetryBudgetConfig{
			Ratio: 0.2,
			Slack: 56,
			Hosts: func() int { return 8 },
		},
	}
	e.handler = pass.New(e.config)
	return e
}

// configure replaces the handler by one with a changed configuration.
func (e *testEnv) configure(change func(c *pass.Config)) {
	change(&e.config)
	e.handler = pass.New(e.config)
}

func testPlan() *steer.Plan {
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

func (e *testEnv) send(path string, header ...string) front.Response {
	e.sent++
	h := http.Header{"Id": {fmt.Sprint("id-", e.sent)}, "Key": {"secret"}, "Object": {"17"}, "Deadline": {"2000"}}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return e.handler.Serve(context.Background(), &front.Request{
		Method:  http.MethodPost,
		Target:  path,
		Host:    "h.example",
		Path:    path,
		Header:  h,
		Arrived: time.Now(),
	})
}

func (e *testEnv) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.received...)
}

// Guards against an unsafe request that runs twice, a refusal with a false verdict, and a safe request that is not retried
// although it may run again.
func TestRetriesOnlyWhatMayRunAgain(t *testing.T) {
	first := func(a, b behaviour) behaviour {
		return func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				a(n, w, r)
			} else {
				b(n, w, r)
			}
		}
	}
	for _, c := range []struct {
		name      string
		path      string
		behaviour behaviour
		status    int
		sent      int
	}{
		{name: "query that runs", path: "/query/1", behaviour: succeed, status: 200, sent: 1},
		{name: "booking that runs", path: "/booking/1", behaviour: succeed, status: 200, sent: 1},
		{name: "refused query", path: "/query/1", behaviour: first(refuse, succeed), status: 200, sent: 2},
		{name: "refused booking", path: "/booking/1", behaviour: first(refuse, succeed), status: 200, sent: 2},
		{name: "query without an answer", path: "/query/1", behaviour: first(abortConn, succeed), status: 200, sent: 2},
		{name: "booking without an answer", path: "/booking/1", behaviour: first(abortConn, succeed), status: 502, sent: 1},
		{name: "query that fails", path: "/query/1", behaviour: first(fail, succeed), status: 200, sent: 2},
		{name: "booking that fails", path: "/booking/1", behaviour: first(fail, succeed), status: 500, sent: 1},
		{name: "query that always fails", path: "/query/1", behaviour: fail, status: 500, sent: 2},
		{name: "booking that ran, with 503", path: "/booking/1", behaviour: failWith(503), status: 502, sent: 1},
		{name: "booking that ran, with 429", path: "/booking/1", behaviour: failWith(429), status: 502, sent: 1},
		{name: "booking that ran, with 408", path: "/booking/1", behaviour: failWith(408), status: 502, sent: 1},
		{name: "booking that ran, with 421", path: "/booking/1", behaviour: failWith(421), status: 502, sent: 1},
		{name: "query that ran, with 429", path: "/query/1", behaviour: failWith(429), status: 429, sent: 1},
		{name: "query that ran, with 503, then succeeds", path: "/query/1", behaviour: first(failWith(503), succeed), status: 200, sent: 2},
		{name: "booking, broken answer and late refusal", path: "/booking/1", behaviour: first(breakOff, succeed), status: 502, sent: 1},
		{name: "query, broken answer and late refusal", path: "/query/1", behaviour: first(breakOff, succeed), status: 200, sent: 2},
		{name: "booking refused everywhere", path: "/booking/1", behaviour: refuse, status: 503, sent: 2},
		{name: "refused, then without an answer", path: "/booking/1", behaviour: first(refuse, abortConn), status: 502, sent: 2},
		{name: "query without an answer, then refused", path: "/query/1", behaviour: first(abortConn, refuse), status: 502, sent: 2},
		{name: "booking at a silent target", path: "/booking/1", behaviour: hang, status: 504, sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t, 3, c.behaviour)
			started := time.Now()
			a := w.send(c.path)
			assert.Equal(t, a.Status, c.status)
			assert.Equal(t, len(w.requests()), c.sent)
			assert.Assert(t, time.Since(started) < 600*time.Millisecond, "held longer than the route's timeout")
			assert.Equal(t, a.Header.Get("Retry-After") != "", c.status == 503)
		})
	}
}

// Guards against a booking that waits until its deadline, or is sent again, because a target that may have run it answers with a
// status that HTTP does not have, and against such a status that reaches the caller. A query must be sent to another target.
func TestInvalidStatusMayHaveRun(t *testing.T) {
	const atOnce = 200 * time.Millisecond // The timeout of the routes is 400 ms.
	for _, status := range []string{"000", "099", "600", "777", "999"} {
		for _, header := range []string{"Signature: s", "Not-Run: 1"} {
			for _, path := range []string{"/booking/1", "/query/1"} {
				t.Run(status+" "+header+path, func(t *testing.T) {
					e := newTestEnv(t, 3, func(n int, w http.ResponseWriter, r *http.Request) {
						if n == 1 {
							answerInvalid(status, header)(n, w, r)
							return
						}
						succeed(n, w, r)
					})
					begun := time.Now()
					response := e.send(path)
					took := time.Since(begun)
					assert.Check(t, took < atOnce, "answered after %v", took)
					received := e.requests()
					if path == "/query/1" {
						assert.Equal(t, response.Status, http.StatusOK)
						assert.Equal(t, len(received), 2)
						assert.Assert(t, received[0].Header.Get("Expected") != received[1].Header.Get("Expected"))
						return
					}
					assert.Equal(t, response.Status, http.StatusBadGateway)
					assert.Assert(t, strings.Contains(string(response.Body), steer.MayHaveRun.String()), "%s", response.Body)
					assert.Equal(t, len(received), 1)
				})
			}
		}
	}
}

// Guards against treating a target that closed an idle connection as failed: requests with its affinity key would go to other
// targets.
func TestStaleConnectionIsNoTargetFailure(t *testing.T) {
	const staleConns = 2 // Within the retry budget.
	e := newTestEnv(t, 3, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n%2 == 0 && n <= 2*staleConns {
			abortConn(n, rw, r)
		}
		succeed(n, rw, r)
	})
	for range staleConns + 2 {
		assert.Equal(t, e.send("/query/1").Status, 200)
		time.Sleep(20 * time.Millisecond)
	}
	received := e.requests()
	for _, r := range received {
		assert.Equal(t, r.Header.Get("Expected"), received[0].Header.Get("Expected"))
	}
}

// Guards against leaving targets alone because the host itself has no descriptor to reach them.
func TestExhaustedDescriptorsAreNoTargetFailure(t *testing.T) {
	const exhausted = 10
	e := newTestEnv(t, 3, succeed)
	dials := 0
	pool := back.New(back.Config{
		Headers: names,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials++; dials <= exhausted {
				return nil, os.NewSyscallError("socket", syscall.EMFILE)
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	t.Cleanup(pool.Stop)
	e.configure(func(c *pass.Config) { c.Targets = pool })
	for range exhausted {
		response := e.send("/booking/1")
		assert.Equal(t, response.Status, 503)
		assert.Equal(t, string(response.Body), "over-bounds not-run\n")
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	}
	assert.Equal(t, e.send("/booking/1").Status, 200)
}

// Guards against requests that a stopping host takes and cuts when its time to stop ends.
func TestStoppingHostRefusesWhatCannotEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    time.Duration // Until the host stops; 0 if it does not.
		timeout string        // Of the caller, in milliseconds.
		status  int
	}{
		{name: "not stopping", timeout: "2000", status: 200},
		{name: "time for the route's timeout", left: 500 * time.Millisecond, timeout: "2000", status: 200},
		{name: "less than the route's timeout", left: 300 * time.Millisecond, timeout: "2000", status: 503},
		{name: "time for the caller's timeout", left: 300 * time.Millisecond, timeout: "200", status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEnv(t, 1, succeed)
			e.configure(func(config *pass.Config) {
				config.StopsAt = func() time.Time {
					if c.left == 0 {
						return time.Time{}
					}
					return time.Now().Add(c.left)
				}
			})
			response := e.send("/booking/1", "Deadline", c.timeout)
			assert.Equal(t, response.Status, c.status)
			assert.Equal(t, response.Header.Get("Retry-After") != "", c.status == 503)
			assert.Equal(t, len(e.requests()) == 0, c.status == 503)
		})
	}
}

// Guards against requests that are refused only after a wait, or with the wrong status.
func TestRefusesWithoutDelay(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		header []string
		change func(e *testEnv)
		status int
	}{
		{name: "no plan", path: "/query/1", change: func(e *testEnv) { e.view.Index = nil }, status: 503},
		{name: "no route", path: "/nothing/1", status: 404},
		{name: "prefix without its slash", path: "/query", status: 404},
		{name: "unknown key", path: "/query/1", header: []string{"Key", "other"}, status: 401},
		{name: "no key", path: "/query/1", header: []string{"Key", ""}, status: 401},
		{name: "over the quota", path: "/query/1", header: []string{"Key", "small-key"}, status: 429},
		{name: "no time left", path: "/query/1", header: []string{"Deadline", "5"}, status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEnv(t, 1, succeed)
			if c.change != nil {
				c.change(e)
			}
			a := e.send(c.path, c.header...)
			assert.Equal(t, a.Status, c.status)
			assert.Equal(t, len(e.requests()), 0)
			if after := a.Header.Get("Retry-After"); c.status == 503 || c.status == 429 {
				s, err := strconv.ParseFloat(after, 64)
				assert.NilError(t, err)
				assert.Assert(t, s > 0)
			}
		})
	}
}

// Guards against requests that are sent without their body, which the host had no memory to read.
func TestRequestWithoutItsBodyIsNotSent(t *testing.T) {
	e := newTestEnv(t, 1, succeed)
	response := e.handler.Serve(context.Background(), &front.Request{
		Method:      http.MethodPost,
		Target:      "/booking/1",
		Host:        "h.example",
		Path:        "/booking/1",
		Header:      http.Header{"Id": {"id-1"}, "Key": {"small-key"}, "Deadline": {"2000"}},
		HasBody:     true,
		BodyRefused: true,
		Arrived:     time.Now(),
	})
	assert.Equal(t, response.Status, http.StatusServiceUnavailable, "not 429: the quota is not used")
	assert.Equal(t, string(response.Body), "no-memory not-run\n")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, len(e.requests()), 0)
}

// Guards against requests that go on to a target after its answer has named a limit that this host may not use.
func TestLimitInAnswerRefusesNextRequest(t *testing.T) {
	e := newTestEnv(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "2.5")
		succeed(n, w, r)
	})
	response := e.send("/query/1")
	assert.Equal(t, response.Status, http.StatusOK)
	begun := time.Now()
	response = e.send("/query/1")
	assert.Equal(t, response.Status, http.StatusServiceUnavailable)
	assert.Equal(t, string(response.Body), "target-limit not-run\n")
	assert.Assert(t, time.Since(begun) < 100*time.Millisecond)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, len(e.requests()), 1)
}

// Guards against a started host that refuses callers although its first plan arrives a moment later, and against callers that
// wait long for a host that gets no plan.
func TestWaitsForFirstPlan(t *testing.T) {
	e := newTestEnv(t, 1, succeed)
	view := e.view
	synced := make(chan struct{})
	e.configure(func(c *pass.Config) { c.Synced = synced })
	e.view = &belief.View{}
	started := time.Now()
	assert.Equal(t, e.send("/query/1").Status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(started) < time.Second)
	started = time.Now()
	assert.Equal(t, e.send("/query/1", "Deadline", "500").Status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(started) < 200*time.Millisecond, "a caller with a short timeout waits less")
	time.AfterFunc(100*time.Millisecond, func() {
		e.view = view
		close(synced)
	})
	assert.Equal(t, e.send("/query/1").Status, http.StatusOK)
}

// Guards against an API key that reaches a target, a customer's name that a caller forged, and a deadline that is later at the
// target than the route's timeout allows.
func TestForwardedHeaders(t *testing.T) {
	e := newTestEnv(t, 1, succeed)
	a := e.send("/query/1?x=1", "Customer", "forged", "Expected", "forged", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "1")
	assert.Equal(t, a.Status, 200)
	assert.Equal(t, string(a.Body), "done")
	r := e.requests()[0]
	assert.Equal(t, r.Header.Get("Key"), "")
	assert.DeepEqual(t, r.Header.Values("Customer"), []string{"naviera"})
	assert.DeepEqual(t, r.Header.Values("Expected"), []string{"target-0"})
	assert.Equal(t, r.Header.Get("X-Own"), "kept")
	assert.Equal(t, r.Header.Get("X-Hop"), "")
	assert.Equal(t, r.RequestURI, "/query/1?x=1")
	left, err := strconv.Atoi(r.Header.Get("Deadline"))
	assert.NilError(t, err)
	assert.Assert(t, left <= 400, "the target may take %d ms, the route 400", left)

	a = e.send("/open/1", "Customer", "forged", "Key", "unknown")
	assert.Equal(t, a.Status, 200)
	r = e.requests()[1]
	assert.Equal(t, r.Header.Get("Customer"), "")
	assert.Equal(t, r.Header.Get("Key"), "")
}

// Guards against retries that add load to targets that refuse every request.
func TestRetriesAreBounded(t *testing.T) {
	e := newTestEnv(t, 6, refuse)
	const sent = 200
	for i := range sent {
		e.send("/query/1", "Object", fmt.Sprint(i))
	}
	retries := len(e.requests()) - sent
	assert.Assert(t, retries <= sent/5, "%d retries for %d requests", retries, sent)
}

// Guards against services of a route that get more or fewer requests than their weight.
func TestSplitsRouteByWeight(t *testing.T) {
	e := newTestEnv(t, 2, succeed)
	p := testPlan()
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
	e.view.Index = x
	counts := map[int]int{}
	for range 100 {
		counts[e.send("/query/1").Status]++
	}
	assert.Equal(t, counts[200], 90)
	assert.Equal(t, counts[503], 10, "requests for a service without targets are refused, not sent to another service")
}

// Guards against a panic while one request is handled that ends the process or makes the request be reported as not run.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	e := newTestEnv(t, 1, succeed)
	view := e.view
	e.view = &belief.View{
		Index: &index.Index{}, // Without a plan.
	}
	response := e.send("/query/1")
	assert.Equal(t, response.Status, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Retry-After"), "")
	e.view = view
	assert.Equal(t, e.send("/query/1").Status, http.StatusOK)
}
