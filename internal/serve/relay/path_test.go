package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/serve/relay"
)

// A key, or a forged header of the system, must not get through in any header or trailer, nor over the peer hop.
func TestKeyAndForgedHeadersNeverReachTargets(t *testing.T) {
	for _, dc := range []string{"a1", "a2"} {
		t.Run("target in "+dc, func(t *testing.T) {
			stand, at := newTarget(t, "t1", dc)
			f := newFleet(t, at)
			h := f.addHost("h1", "a1", "a", nil)
			f.addHost("h2", "a2", "a", nil)
			r, err := http.NewRequest(http.MethodPost, h.url+"/s/reservas/book?x=1", io.MultiReader(strings.NewReader("body")))
			assert.NilError(t, err)
			for _, name := range []string{"steering-key", "x-copy", "x-dropped"} {
				r.Header.Set(name, alfaKey)
			}
			for _, name := range []string{"steering-customer", "steering_customer", "steering-verdict", "steering-request-id",
				"steering-forward-mac", "Steering_key", "steering-anything", "x-dropped"} {
				r.Header[name] = []string{"forged"}
			}
			r.Header.Set("Connection", "x-dropped")
			r.Header.Set("X-Kept", "kept")
			r.Trailer = http.Header{
				"Steering-Key":      {alfaKey},
				"Steering-Customer": {"forged"},
				"X-Trailer-Copy":    {alfaKey},
				"X-Trailer":         {"kept"},
			}
			a := send(t, newClient(t), r)
			a.whole(t, 64)
			runs := stand.Record()
			assert.Equal(t, len(runs), 1)
			assert.Equal(t, runs[0].Customer, "alfa")
			assert.Equal(t, runs[0].Path, "/book?x=1")
			assert.Equal(t, runs[0].Body, int64(4))
			assert.Equal(t, runs[0].RequestID, a.head.Get("Steering-Request-Id"))
			assert.Equal(t, runs[0].Header.Get("X-Kept"), "kept")
			assert.DeepEqual(t, runs[0].Trailer["X-Trailer"], []string{"kept"})
			all := fmt.Sprint(runs[0].Header, runs[0].Trailer)
			assert.Assert(t, !strings.Contains(all, alfaKey), all)
			assert.Assert(t, !strings.Contains(all, "forged"), all)
			assert.Assert(t, !strings.Contains(strings.ToLower(all), "steering-forward"), all)
		})
	}
}

// Headers of the system and of the connection in a target's answer must not reach the caller.
func TestForgedHeadersOfTargetsAreRemoved(t *testing.T) {
	at := serveTarget(t, "t1", "a1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Steering-Reason", "over-rate")
		w.Header().Set("Steering-Verdict", "may-have-run")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("Trailer", "Steering-Verdict, X-Sum")
		_, _ = io.WriteString(w, "ok")
		w.Header().Set("Steering-Verdict", "not-run")
		w.Header().Set("X-Sum", "2")
	}))
	h := newFleet(t, at).addHost("h1", "a1", "a", nil)
	resp, err := newClient(t).Get(h.url + "/s/reservas/open")
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.DeepEqual(t, resp.Header["Steering-Verdict"], []string{"ran"})
	assert.Equal(t, resp.Header.Get("Steering-Reason")+resp.Header.Get("X-Hop"), "")
	assert.DeepEqual(t, resp.Trailer, http.Header{
		"X-Sum": {"2"},
	})
}

// A key must be checked for each request, not for each connection.
func TestWithdrawnKeyOnKeptConnection(t *testing.T) {
	stand, at := newTarget(t, "t1", "a1")
	f := newFleet(t, at)
	h := f.addHost("h1", "a1", "a", nil)
	c := newClient(t)
	var dials atomic.Int64
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	call(t, c, "GET", h.url+"/s/reservas/x", nil).whole(t, 64)
	f.edit(func(c *steer.Config, _ *steer.Service) { c.Customers = nil })
	a := call(t, c, "GET", h.url+"/s/reservas/x", nil)
	a.check(t, steer.NotRun, steer.ReasonKey)
	assert.Equal(t, a.status, http.StatusUnauthorized)
	f.age.Store(int64(time.Minute))
	call(t, c, "GET", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonIsolated)
	call(t, c, "GET", h.url+"/s/reservas/open", nil).whole(t, 64)
	assert.Equal(t, len(stand.Record()), 2)
	assert.Equal(t, dials.Load(), int64(1))
}

// Each bound must refuse as not run, and a path must not be matched as one route and served as another.
func TestBoundsAndRoutes(t *testing.T) {
	stand, at := newTarget(t, "t1", "a1")
	f := newFleet(t, at)
	h := f.addHost("h1", "a1", "a", func(c *relay.Config) {
		c.Bounds.MaxHeaderSize = 2048
		c.Bounds.MaxBodySize = 10
	})
	for _, v := range []struct {
		name   string
		method string
		path   string
		header []string
		body   string
		status int
		reason steer.Reason
	}{
		{"large header", "GET", "/s/reservas/x", []string{"X-Large", strings.Repeat("x", 2000)}, "", 431, steer.ReasonBounds},
		{"large body", "POST", "/s/reservas/x", nil, "12345678901", 413, steer.ReasonBounds},
		{"no service", "GET", "/s/none/x", nil, "", 404, steer.ReasonNoRoute},
		{"no prefix", "GET", "/reservas/x", nil, "", 404, steer.ReasonNoRoute},
		{"control endpoint", "GET", "/s/reservas/target/runs", nil, "", 404, steer.ReasonNoRoute},
		{"escaped control endpoint", "GET", "/s/reservas/%74arget/runs", nil, "", 404, steer.ReasonNoRoute},
		{"dot segments", "GET", "/s/reservas/open/%2e%2e/x", nil, "", 400, steer.ReasonBadRequest},
		{"escaped slash and dots", "GET", "/s/reservas/open%2f..%2fx", nil, "", 400, steer.ReasonBadRequest},
		{"empty segment", "GET", "/s/reservas//x", nil, "", 400, steer.ReasonBadRequest},
		{"no open route by half a segment", "GET", "/s/reservas/opener", []string{"Steering-Key", ""}, "", 401, steer.ReasonKey},
		{"deadline", "GET", "/s/reservas/x", []string{"Steering-Deadline-Ms", "0"}, "", 400, steer.ReasonBadRequest},
		{"deadline text", "GET", "/s/reservas/x", []string{"Steering-Deadline-Ms", "soon"}, "", 400, steer.ReasonBadRequest},
		{"key in the URL", "GET", "/s/reservas/x?k=" + alfaKey, nil, "", 400, steer.ReasonBadRequest},
		{"forged ticket", "POST", "/s/reservas/x", []string{"Steering-Ticket", "AAAA"}, "", 400, steer.ReasonTicket},
		{"trace", "TRACE", "/s/reservas/x", nil, "", 405, steer.ReasonBadRequest},
	} {
		t.Run(v.name, func(t *testing.T) {
			a := call(t, newClient(t), v.method, h.url+v.path, strings.NewReader(v.body), v.header...)
			a.check(t, steer.NotRun, v.reason)
			assert.Equal(t, a.status, v.status)
		})
	}
	assert.Equal(t, len(stand.Record()), 0)
	f.empty.Store(steer.CustomerQuota("alfa"), true)
	call(t, newClient(t), "GET", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonRate)
	h.full.Store(true)
	call(t, newClient(t), "GET", h.url+"/s/reservas/open", nil).check(t, steer.NotRun, steer.ReasonCapacity)
	f.config.Store(nil)
	call(t, newClient(t), "GET", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonNoConfig)
}

// A body over its bound, or one that stalls, must end the request with a verdict that is true: it may have run.
func TestStreamedBodyBounds(t *testing.T) {
	_, at := newTarget(t, "t1", "a1")
	h := newFleet(t, at).addHost("h1", "a1", "a", func(c *relay.Config) {
		c.Bounds.MaxBodySize = 100_000
		c.Bounds.BodyIdleTimeout = 100 * time.Millisecond
	})
	long := io.MultiReader(strings.NewReader(strings.Repeat("x", 200_000)))
	a := call(t, newClient(t), "POST", h.url+"/s/reservas/x", long)
	if a.err == nil { // The caller may see the cut before the refusal.
		a.check(t, steer.MayHaveRun, steer.ReasonBounds)
	}
	stalled, w := io.Pipe()
	go func() { _, _ = io.WriteString(w, "some") }()
	began := time.Now()
	a = call(t, newClient(t), "POST", h.url+"/s/reservas/x", stalled)
	assert.Assert(t, time.Since(began) < time.Second) // The deadline is 5 s.
	if a.err == nil {
		a.check(t, steer.MayHaveRun, steer.ReasonBounds)
	}
	_ = stalled.Close()
}

// Requests must leave a data centre only within link and shift budgets, to a host that serves, and never twice.
func TestSites(t *testing.T) {
	near, atNear := newTarget(t, "near", "a2")
	far, atFar := newTarget(t, "far", "b1")
	f := newFleet(t, atNear, atFar)
	h := f.addHost("h1", "a1", "a", nil)
	h2 := f.addHost("h2", "a2", "a", nil)
	h3 := f.addHost("h3", "b1", "b", nil)
	c := newClient(t)
	link := steer.LinkQuota("a", "b")
	post := func() answer { return call(t, c, "POST", h.url+"/s/reservas/x", strings.NewReader("b")) }
	post().whole(t, 64)
	assert.Equal(t, len(near.Record()), 1)
	assert.Equal(t, f.taken(steer.CustomerQuota("alfa")), int64(1))
	h2.full.Store(true)
	post().whole(t, 64)
	assert.Equal(t, len(far.Record()), 1)
	assert.Equal(t, f.taken(link), int64(1))
	f.empty.Store(link, true)
	post().check(t, steer.NotRun, steer.ReasonCapacity)
	f.empty.Delete(link)
	h3.member.Suspect = true
	post().check(t, steer.NotRun, steer.ReasonCapacity)
	h3.member.Suspect = false
	h2.full.Store(false)
	f.edit(func(_ *steer.Config, s *steer.Service) {
		s.Shifts = []steer.Shift{
			{Name: "other", From: "b", To: "a", Fraction: 1},
			{Name: "move", From: "a", To: "b", Fraction: 0.6},
		}
	})
	post().whole(t, 64) // The draw is 0.5.
	assert.Equal(t, len(far.Record()), 2)
	assert.Equal(t, f.taken(link), int64(2))
	assert.Equal(t, f.taken(steer.ShiftQuota("reservas", "move")), int64(1))
	f.empty.Store(steer.ShiftQuota("reservas", "move"), true)
	post().whole(t, 64)
	assert.Equal(t, len(near.Record()), 2)
	assert.Equal(t, f.taken(link), int64(2))
	spent := f.taken(link)
	steps := h.Explain(time.Now(), relay.ExplainRequest{
		Service:  "reservas",
		Customer: "alfa",
		Method:   "POST",
	})
	text := fmt.Sprint(steps)
	for _, part := range []string{"keyed, runs at most once", "one token of customer/alfa", "60 % of requests: b1, a2", "a2, b1"} {
		assert.Assert(t, strings.Contains(text, part), "%s in %s", part, text)
	}
	assert.Equal(t, f.taken(link), spent)
	steps = h.Explain(time.Now(), relay.ExplainRequest{
		Service: "reservas",
	})
	assert.Equal(t, steps[len(steps)-1].Outcome, "refused: bad-key, not-run")
}

// Explain must tell a mistyped service, path or customer from a withdrawn key, and must not print raw durations.
func TestExplainReasons(t *testing.T) {
	_, at := newTarget(t, "near", "a1")
	f := newFleet(t, at)
	h := f.addHost("h1", "a1", "a", nil)
	f.age.Store(int64(348393597 * time.Nanosecond))
	f.edit(func(_ *steer.Config, s *steer.Service) { s.Routes[0].Methods = []string{"GET"} })
	for _, c := range []struct {
		service, method, customer, want string
	}{
		{service: "reserva", customer: "alfa", want: `Service "reserva" is not in the configuration in force.`},
		{service: "reservas", method: "PURGE", customer: "alfa", want: "PURGE /"},
		{service: "reservas", want: "names no customer"},
		{service: "reservas", customer: "alf", want: `Customer "alf" is not in the configuration in force.`},
		{service: "reservas", customer: "alfa", want: "evidence is 348ms old"},
	} {
		steps := fmt.Sprint(h.Explain(time.Now(), relay.ExplainRequest{
			Service:  c.service,
			Method:   c.method,
			Customer: c.customer,
		}))
		assert.Assert(t, strings.Contains(steps, c.want), "%s in %s", c.want, steps)
	}
}

// A host that stops at this moment must not cost a request while another host of its data centre serves.
func TestStoppingHostIsReplaced(t *testing.T) {
	_, at := newTarget(t, "t1", "a2")
	f := newFleet(t, at)
	h := f.addHost("h1", "a1", "a", nil)
	stopping := f.addHost("h2", "a2", "a", nil)
	f.addHost("h3", "a2", "a", nil)
	assert.NilError(t, stopping.Shutdown(context.Background()))
	for range 10 {
		call(t, newClient(t), "POST", h.url+"/s/reservas/x", strings.NewReader("b")).whole(t, 64)
	}
	f.hosts["h3"].member.State.Stopping = true
	call(t, newClient(t), "POST", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonStopping)
}

// A forwarded request must be refused unless it is signed for this host, recent, and new.
func TestForgedForwards(t *testing.T) {
	stand, at := newTarget(t, "t1", "a2")
	f := newFleet(t, at)
	h1 := f.addHost("h1", "a1", "a", nil)
	h2 := f.addHost("h2", "a2", "a", nil)
	genuine := h2.member.PeerAddress
	var seen atomic.Pointer[http.Request]
	spy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen.Store(r.Clone(context.Background()))
		panic(http.ErrAbortHandler)
	}))
	defer spy.Close()
	h2.member.PeerAddress = addressOf(spy.Listener)
	call(t, newClient(t), "POST", h1.url+"/s/reservas/x", nil).check(t, steer.MayHaveRun, steer.ReasonForwardFailed)
	replay := func(change func(*http.Request)) answer {
		r, err := http.NewRequest("POST", "http://"+genuine.String()+"/f/reservas/x", nil)
		assert.NilError(t, err)
		r.Header = seen.Load().Header.Clone()
		change(r)
		return send(t, newClient(t), r)
	}
	for name, change := range map[string]func(*http.Request){
		"customer":  func(r *http.Request) { r.Header.Set("Steering-Customer", "beta") },
		"deadline":  func(r *http.Request) { r.Header.Set("Steering-Deadline-Ms", "99999") },
		"time":      func(r *http.Request) { r.Header.Set("Steering-Forward-Time-Ms", "99999") },
		"path":      func(r *http.Request) { r.URL.Path = "/f/reservas/y" },
		"method":    func(r *http.Request) { r.Method = "PUT" },
		"signature": func(r *http.Request) { r.Header.Del("Steering-Forward-Mac") },
		"repeated":  func(r *http.Request) { r.Header.Add("Steering-Customer", "beta") },
		"kind":      func(r *http.Request) { r.Header.Set("Steering-Forward-Kind", "ticket") },
	} {
		t.Run(name, func(t *testing.T) {
			a := replay(change)
			a.check(t, steer.NotRun, steer.ReasonBadRequest)
			assert.Equal(t, a.status, http.StatusForbidden)
		})
	}
	h2.skew.Store(int64(time.Minute))
	replay(func(*http.Request) {}).check(t, steer.NotRun, steer.ReasonBadRequest)
	h2.skew.Store(0)
	assert.Equal(t, len(stand.Record()), 0)
	replay(func(*http.Request) {}).whole(t, 64)
	replay(func(*http.Request) {}).check(t, steer.NotRun, steer.ReasonBadRequest)
	assert.Equal(t, len(stand.Record()), 1)
}

// The trace of the caller must go on through every hop, and no span may hold the key.
func TestTraces(t *testing.T) {
	stand, at := newTarget(t, "t1", "a2")
	f := newFleet(t, at)
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	h1 := f.addHost("h1", "a1", "a", traced(provider.Tracer("test")))
	f.addHost("h2", "a2", "a", traced(provider.Tracer("test")))
	const id = "0af7651916cd43dd8448eb211c80319c"
	call(t, newClient(t), "GET", h1.url+"/s/reservas/x", nil, "traceparent", "00-"+id+"-b7ad6b7169203331-01").whole(t, 64)
	assert.Assert(t, strings.Contains(stand.Record()[0].Header.Get("Traceparent"), id))
	var names []string
	for _, s := range spans.Ended() {
		names = append(names, s.Name())
		assert.Equal(t, s.SpanContext().TraceID().String(), id)
		assert.Assert(t, !strings.Contains(fmt.Sprint(s.Attributes(), s.Events(), s.Name()), alfaKey))
	}
	for _, name := range []string{"request", "admit", "forward", "target"} {
		assert.Assert(t, slices.Contains(names, name), "%s in %v", name, names)
	}
}

// No header, path or method from outside may crash the handler, get the key to a target, or run without a good key.
func FuzzRequestHeader(f *testing.F) {
	stand, at := newTarget(f, "t1", "a1")
	h := newFleet(f, at).addHost("h1", "a1", "a", nil)
	f.Add("GET", "/s/reservas/x", "steering-key", alfaKey)
	f.Add("POST", "/s/reservas/open/../x", "steering-deadline-ms", "-1")
	f.Add("PUT", "/s/reservas/%74arget/control", "steering-ticket", "AAAA")
	f.Add("GET", "/f/reservas/x", "connection", "steering-key, x")
	f.Add("GET", "//s/reservas/x", "traceparent", "00-0-0-0")
	f.Fuzz(func(t *testing.T, method, path, name, value string) {
		r, err := http.NewRequest(method, "http://host"+path, nil)
		if err != nil {
			return
		}
		r.RequestURI = path
		r.Header.Set("Steering-Key", alfaKey)
		r.Header.Add(name, value)
		keyed := r.Header.Get("Steering-Key") == alfaKey
		before := len(stand.Record())
		for _, handler := range []http.Handler{h.Handler, h.PeerHandler()} {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Header().Get("Steering-Verdict") == "" {
				t.Fatal("answer without a verdict")
			}
		}
		for _, run := range stand.Record()[before:] {
			if strings.Contains(fmt.Sprint(run.Header, run.Path), alfaKey) || strings.HasPrefix(run.Path, "/target") {
				t.Fatalf("target got %s %v", run.Path, run.Header)
			}
			if !keyed && !strings.HasPrefix(run.Path, "/open") {
				t.Fatalf("ran %s without a key", run.Path)
			}
		}
	})
}
