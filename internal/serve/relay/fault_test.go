package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/ports"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/relay"
)

// proxy forwards TCP connections to a target and can break them.
type proxy struct {
	net.Listener
	mu       sync.Mutex
	silenced map[net.Conn]bool // Connections whose data is dropped.
	conns    map[net.Conn]bool
}

// newProxy returns a proxy to a target and the target with the proxy's address. Each chunk of a response for which
// shouldTruncate returns true is truncated, and its connection is closed. A nil shouldTruncate truncates nothing.
func newProxy(t testing.TB, to steer.Target, shouldTruncate func() bool) (*proxy, steer.Target) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{
		Listener: l,
		silenced: make(map[net.Conn]bool),
		conns:    make(map[net.Conn]bool),
	}
	upstreamAddress := to.Address.String()
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", upstreamAddress)
			if err != nil {
				_ = c.Close()
				continue
			}
			p.mu.Lock()
			p.conns[c] = true
			p.mu.Unlock()
			wg.Go(func() { p.copyData(c, c, upstream, nil) })
			wg.Go(func() { p.copyData(c, upstream, c, shouldTruncate) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		wg.Wait()
	})
	to.Address = addressOf(l)
	return p, to
}

func (p *proxy) copyData(key, from, to net.Conn, shouldTruncate func() bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		silenced := p.silenced[key]
		p.mu.Unlock()
		if silenced {
			continue
		}
		truncate := shouldTruncate != nil && shouldTruncate()
		if truncate {
			n /= 2
		}
		if _, err := to.Write(buffer[:n]); err != nil || truncate {
			return
		}
	}
}

// silenceOpen makes the proxy drop all data of the connections that it has accepted so far. It returns their number.
func (p *proxy) silenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silenced[c] = true
	}
	return len(p.silenced)
}

// Each way in which a target can fail must give a true verdict, and a booking must run on the targets at most once.
func TestAtMostOnce(t *testing.T) {
	closingHandler := func(runs *atomic.Int64) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		})
	}
	for _, v := range []struct {
		name       string
		mode       target.Mode // Of the first target; empty for one that closes the connection.
		method     string
		verdict    steer.Verdict
		reason     steer.Reason
		runs       int64 // At the first target.
		secondRuns int64 // At the second target.
	}{
		{"hang", target.Hang, "POST", steer.MayHaveRun, steer.ReasonDeadline, 1, 0},
		{"half", target.Half, "POST", steer.MayHaveRun, steer.ReasonTargetFailed, 1, 0},
		{"close", "", "POST", steer.MayHaveRun, steer.ReasonTargetFailed, 1, 0},
		{"shed", target.Shed, "POST", steer.Ran, "", 0, 1},
		{"fails", target.LieHealth, "POST", steer.Ran, "", 1, 0},
		{"hang, idempotent", target.Hang, "GET", steer.Ran, "", 1, 1},
		{"half, idempotent", target.Half, "GET", steer.Ran, "", 1, 1},
		{"close, idempotent", "", "GET", steer.Ran, "", 1, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			fake, spec := newTarget(t, "t1", "a1")
			fake.SetMode(v.mode)
			var closed atomic.Int64
			if v.mode == "" {
				spec = serveTarget(t, "t1", "a1", closingHandler(&closed))
			}
			other, otherSpec := newTarget(t, "t2", "a1")
			h := newFleet(t, otherSpec, spec).addHost("h1", "a1", "a", nil) // The first choice is the last target.
			h.retries.Store(1)
			a := call(t, newClient(t), v.method, h.url+"/s/reservas/x?size=1000", strings.NewReader(map[string]string{
				"POST": "booking",
			}[v.method]), "Steering-Deadline-Ms", "600")
			a.check(t, v.verdict, v.reason)
			assert.Equal(t, int64(len(fake.Record()))+closed.Load(), v.runs)
			assert.Equal(t, int64(len(other.Record())), v.secondRuns)
			if v.secondRuns == 1 {
				a.checkBody(t, 1000)
			}
			for _, r := range other.Record() {
				assert.Assert(t, v.method == "GET" || r.Body == int64(len("booking")))
			}
		})
	}
}

// A refused connection to a target proves that nothing ran.
func TestRefusedDialIsNotRun(t *testing.T) {
	l := ports.Listen(t)
	spec := steer.Target{
		ID:         "t1",
		DataCentre: "a1",
		Address:    addressOf(l),
	}
	assert.NilError(t, l.Close())
	h := newFleet(t, spec).addHost("h1", "a1", "a", nil)
	call(t, newClient(t), "POST", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonTargetFailed)
	o := <-h.outcomes
	assert.Assert(t, o.Failed && o.Verdict == steer.NotRun)
}

// A host that was paused between admission and sending must not write after the deadline, neither on new nor on pooled
// connections.
func TestPausedHostDoesNotWriteAfterDeadline(t *testing.T) {
	fake, spec := newTarget(t, "t1", "a1")
	h := newFleet(t, spec).addHost("h1", "a1", "a", nil)
	c := newClient(t)
	call(t, c, "GET", h.url+"/s/reservas/x", nil).checkBody(t, 64)
	// The clock jumps before the timer of the deadline fires, as after a resume.
	pause := func() { h.clockOffset.Store(int64(10 * time.Second)) }
	h.onChoose.Store(&pause)
	for _, method := range []string{"POST", "GET"} {
		h.clockOffset.Store(0)
		call(t, c, method, h.url+"/s/reservas/x", strings.NewReader("")).check(t, steer.NotRun, steer.ReasonDeadline)
	}
	assert.Equal(t, len(fake.Record()), 1)
}

// When all pooled connections go silent at once, every booking must succeed and run exactly once, and each look-up must be
// answered within two seconds.
func TestSilentConnections(t *testing.T) {
	fake := target.New(target.Config{
		Slots:       64,
		ServiceTime: 20 * time.Millisecond, // Long enough that the first requests use separate connections.
	})
	w, spec := newProxy(t, serveTarget(t, "t1", "a1", fake), nil)
	h := newFleet(t, spec).addHost("h1", "a1", "a", nil)
	h.retries.Store(8) // Fewer than the silent connections.
	c := newClient(t)
	get := func() response { return call(t, c, "GET", h.url+"/s/reservas/x", nil) }
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { get().checkBody(t, 64) })
	}
	wg.Wait()
	assert.Assert(t, w.silenceOpen() > 12)
	startTime := time.Now()
	var bad, bookings atomic.Int64
	for range 4 {
		wg.Go(func() {
			for time.Since(startTime) < 1500*time.Millisecond {
				if a := call(t, c, "POST", h.url+"/s/reservas/book", strings.NewReader("b")); a.verdict != steer.Ran {
					bad.Add(1)
				}
				bookings.Add(1)
			}
		})
	}
	var slowest atomic.Int64
	for range 4 {
		wg.Go(func() {
			for time.Since(startTime) < 1500*time.Millisecond {
				at := time.Now()
				get().checkBody(t, 64)
				slowest.Store(max(slowest.Load(), int64(time.Since(at))))
			}
		})
	}
	wg.Wait()
	t.Logf("%d bookings, slowest look-up %v", bookings.Load(), time.Duration(slowest.Load()))
	assert.Equal(t, bad.Load(), int64(0))
	assert.Assert(t, time.Duration(slowest.Load()) < 2*time.Second)
	seen := make(map[string]bool)
	booked := int64(0)
	for _, r := range fake.Record() {
		if r.Method == "POST" {
			assert.Assert(t, !seen[r.RequestID], "booking ran twice")
			seen[r.RequestID] = true
			booked++
		}
	}
	assert.Equal(t, booked, bookings.Load())
}

// While proxies truncate responses and targets switch between failure modes, every caller must get the complete response to
// its own request or see a broken connection, and every verdict must match the requests recorded by the targets.
func TestCompleteResponsesAndTrueVerdicts(t *testing.T) {
	const seed = 5
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	shouldTruncate := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(20) == 0
	}
	var fakes []*target.Target
	var list []steer.Target
	for i, dc := range []string{"a1", "a1", "a2"} {
		fake, spec := newTarget(t, fmt.Sprint("t", i), dc)
		_, spec = newProxy(t, spec, shouldTruncate)
		fakes = append(fakes, fake)
		list = append(list, spec)
	}
	f := newFleet(t, list...)
	h := f.addHost("h1", "a1", "a", nil)
	h2 := f.addHost("h2", "a2", "a", nil)
	_, peerProxy := newProxy(t, steer.Target{
		Address: h2.member.PeerAddress,
	}, shouldTruncate)
	h2.member.PeerAddress = peerProxy.Address
	h.retries.Store(50)
	modes := []target.Mode{target.Normal, target.Shed, target.Half, target.Normal, target.Hang, target.Normal}
	stop := make(chan struct{})
	var modeChanger sync.WaitGroup
	modeChanger.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				fakes[i%3].SetMode(modes[i/3%len(modes)])
			}
		}
	})
	var wg sync.WaitGroup
	var answers sync.Map // Request ID to response.
	var whole, cut atomic.Int64
	for g := range 8 {
		wg.Go(func() {
			c := newClient(t)
			for i := range 60 {
				size := []int{0, 10, 5_000, 40_000, 200_000}[(g+i)%5]
				method := []string{"GET", "POST"}[i%2]
				url := fmt.Sprintf("%s/s/reservas/x?size=%d", h.url, size)
				if i%3 == 0 {
					url += "&chunked=1"
				}
				a := call(t, c, method, url, strings.NewReader(map[string]string{
					"POST": "b",
				}[method]), "Steering-Deadline-Ms", "300")
				if a.err != nil {
					cut.Add(1)
					continue
				}
				id := a.head.Get("Steering-Request-Id")
				answers.Store(id, a)
				if a.reason == "" {
					whole.Add(1)
					assert.Check(t, bytes.Equal(a.body, target.Body(id, size)), "wrong response to %s", url)
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	modeChanger.Wait()
	runs := make(map[string]int)
	for _, s := range fakes {
		for _, r := range s.Record() {
			runs[r.RequestID]++
			assert.Check(t, r.Method == "GET" || runs[r.RequestID] == 1, "%s %s ran twice", r.Method, r.RequestID)
		}
	}
	verdicts := make(map[steer.Verdict]int)
	answers.Range(func(id, v any) bool {
		verdict := v.(response).verdict
		verdicts[verdict]++
		assert.Check(t, verdict != steer.NotRun || runs[id.(string)] == 0, "verdict not-run, but ran: %s", id)
		assert.Check(t, verdict != steer.Ran || runs[id.(string)] > 0, "verdict ran, but did not run: %s", id)
		return true
	})
	t.Logf("%d whole, %d cut, verdicts %v", whole.Load(), cut.Load(), verdicts)
	assert.Assert(t, whole.Load() > 100 && verdicts[steer.MayHaveRun] > 0)
}

// A response with the ID of another request, or one whose end cannot be detected, must not reach the caller.
func TestMismatchedAndUnterminatedResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"ID mismatch": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Steering-Request-Id", "other") },
		"no length": func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nhalf of it")
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFleet(t, serveTarget(t, "t1", "a1", handler)).addHost("h1", "a1", "a", nil)
			a := call(t, newClient(t), "POST", h.url+"/s/reservas/x", nil)
			a.check(t, steer.MayHaveRun, steer.ReasonTargetFailed)
		})
	}
}

// Guards against a request that is reported as not run, or sent again, because of a response that is not that of the request.
func TestResponsesInDoubtMayHaveRun(t *testing.T) {
	for name, change := range map[string]func(head http.Header){
		"other ID":             func(head http.Header) { head.Set("Steering-Request-Id", "other") },
		"two IDs":              func(head http.Header) { head.Add("Steering-Request-Id", "other") },
		"two verdicts":         func(head http.Header) { head.Add("Steering-Verdict", "ran") },
		"no ID":                func(head http.Header) { head.Del("Steering-Request-Id") },
		"status line in value": func(head http.Header) { head.Set("X-A", "bHTTP/1.1 200 OK") },
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+", "+method, func(t *testing.T) {
				refused := 0
				h := newFleet(t, serveTarget(t, "t1", "a1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Steering-Request-Id", r.Header.Get("Steering-Request-Id"))
					if r.URL.Path == "/first" {
						return
					}
					refused++
					w.Header().Set("Steering-Verdict", "not-run")
					change(w.Header())
					w.WriteHeader(http.StatusServiceUnavailable)
				}))).addHost("h1", "a1", "a", nil)
				c := newClient(t)
				call(t, c, http.MethodGet, h.url+"/s/reservas/first", nil).check(t, steer.Ran, "")
				a := call(t, c, method, h.url+"/s/reservas/x", nil)
				if name == "no ID" && method == http.MethodPost {
					a.check(t, steer.NotRun, steer.ReasonCapacity) // Over a connection of its own.
					return
				}
				a.check(t, steer.MayHaveRun, steer.ReasonTargetFailed)
				assert.Equal(t, refused, 1)
			})
		}
	}
}

// rawServer answers each request with fixed bytes, in which ID is replaced by the ID of the request, and keeps the connection.
type rawServer struct {
	address  netip.AddrPort
	requests chan string // Address of the peer and path of each request.
}

func newRawServer(t *testing.T, answer string) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{
		address:  addressOf(l),
		requests: make(chan string, 100),
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			wg.Go(func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for r, err := http.ReadRequest(reader); err == nil; r, err = http.ReadRequest(reader) {
					_, _ = io.Copy(io.Discard, r.Body)
					s.requests <- c.RemoteAddr().String()
					_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get("Steering-Request-Id")))
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return s
}

// Guards against a status that HTTP does not have, of a target or of another host.
func TestInvalidStatusMayHaveRun(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "777", "999"} {
		t.Run(status, func(t *testing.T) { checkHeadInDoubt(t, status+" X\r\nSteering-Draining: true") })
	}
}

// Guards against a field of a target or of another host whose name holds a blank or a control byte: it may be one that says where the
// body ends, or what became of the request.
func TestInvalidFieldNameMayHaveRun(t *testing.T) {
	for _, field := range []string{
		"X Y: 1", "X : 1", " X: 1", "\tX: 1", "X\x01Y: 1", "X\x00: 1", "X\t: 1",
		"Content-Length : 9", " Content-Length: 9", "Transfer-Encoding : chunked", "Steering-Request-Id : other", " Steering-Draining: true",
	} {
		for _, status := range []string{"200 OK", "503 Busy"} {
			t.Run(fmt.Sprintf("%s, %q", status, field), func(t *testing.T) { checkHeadInDoubt(t, status+"\r\nDate: now\r\n"+field) })
		}
	}
}

// checkHeadInDoubt lets a target, and then another host, answer with a head that begins with the given lines: nothing that the response
// says may count, the caller must get 502 at once, and the connection must not be used again.
func checkHeadInDoubt(t *testing.T, begin string) {
	const atOnce = time.Second // The deadline is 5 s away.
	for name, head := range map[string]string{
		"ran":     "Steering-Verdict: ran\r\n",
		"not run": "Steering-Verdict: not-run\r\nSteering-Reason: no-capacity\r\nRetry-After: 9\r\n",
	} {
		answer := "HTTP/1.1 " + begin + "\r\nSteering-Request-Id: ID\r\n" + head + "Content-Length: 0\r\n\r\n"
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, from := range []string{"target", "host"} {
				t.Run(strings.Join([]string{name, method, from}, ", "), func(t *testing.T) {
					s := newRawServer(t, answer)
					spec := steer.Target{
						ID:         "t1",
						DataCentre: "a1",
						Address:    s.address,
					}
					reason := steer.ReasonTargetFailed
					if from == "host" {
						spec.DataCentre = "a2"
						reason = steer.ReasonForwardFailed
					}
					f := newFleet(t, spec)
					h := f.addHost("h1", "a1", "a", nil)
					if from == "host" {
						f.addHost("h2", "a2", "a", nil).member.PeerAddress = s.address
					}
					used := make(map[string]bool)
					for range 3 {
						begun := time.Now()
						a := call(t, newClient(t), method, h.url+"/s/reservas/x", nil, "Steering-Deadline-Ms", "5000")
						assert.Assert(t, time.Since(begun) < atOnce)
						a.check(t, steer.MayHaveRun, reason)
						assert.Equal(t, a.status, http.StatusBadGateway)
						assert.Equal(t, len(s.requests), 1, "sent again")
						connection := <-s.requests
						assert.Assert(t, !used[connection], "connection was used again")
						used[connection] = true
						if from == "target" {
							o := <-h.outcomes
							assert.Assert(t, o.Failed && o.Verdict == steer.MayHaveRun && !o.Draining && !o.Shed, "%+v", o)
						}
					}
				})
			}
		}
	}
}

// A hedge must give a response while the first target hangs. It must use the retry budget and release its unit of capacity.
func TestHedge(t *testing.T) {
	fake, spec := newTarget(t, "t1", "a1")
	_, otherSpec := newTarget(t, "t2", "a1")
	f := newFleet(t, otherSpec, spec)
	f.edit(func(_ *steer.Config, s *steer.Service) { s.Hedge = true })
	h := f.addHost("h1", "a1", "a", nil)
	c := newClient(t)
	call(t, c, "GET", h.url+"/s/reservas/x", nil).checkBody(t, 64)
	fake.SetMode(target.Hang)
	h.retries.Store(100)
	for range 8 {
		startTime := time.Now()
		call(t, c, "GET", h.url+"/s/reservas/x", nil).checkBody(t, 64)
		assert.Assert(t, time.Since(startTime) < time.Second)
	}
	assert.Assert(t, h.retries.Load() < 100)
	assert.Equal(t, h.unitsInUse.Load(), int64(0))
}

// A request with a ticket must run once regardless of which hosts receive it, and a repeated request must get the response
// of the first.
func TestTickets(t *testing.T) {
	fake, spec := newTarget(t, "t1", "a1")
	f := newFleet(t, spec)
	owner := f.addHost("h1", "a1", "a", nil)
	other := f.addHost("h2", "a2", "a", nil)
	c := newClient(t)
	issue := func() string {
		text, err := owner.tickets.Issue(owner.now(), "reservas")
		assert.NilError(t, err)
		return text
	}
	book := func(h *host, text string, header ...string) response {
		header = append(header, "Steering-Ticket", text)
		return call(t, c, "POST", h.url+"/s/reservas/book?size=100", strings.NewReader("b"), header...)
	}
	for name, hosts := range map[string][2]*host{
		"twice at the owner":         {owner, owner},
		"at the owner and elsewhere": {owner, other},
		"elsewhere and at the owner": {other, owner},
		"twice elsewhere":            {other, other},
	} {
		before := len(fake.Record())
		text := issue()
		first := book(hosts[0], text)
		first.checkBody(t, 100)
		second := book(hosts[1], text)
		second.check(t, steer.Ran, "")
		assert.Assert(t, bytes.Equal(first.body, second.body), name)
		assert.Equal(t, second.head.Get("Steering-Repeat-Of"), first.head.Get("Steering-Request-Id"), name)
		assert.Equal(t, len(fake.Record()), before+1, name)
	}
	runs := len(fake.Record())

	used := issue()
	book(owner, used).checkBody(t, 100)
	f.edit(func(c *steer.Config, _ *steer.Service) {
		c.Customers = map[string]*steer.Customer{
			"alfa": c.Customers["alfa"],
			"beta": {
				Name: "beta",
				Keys: []steer.Key{{
					Digest: sha256.Sum256([]byte("beta-key-0123456789")),
				}},
			},
		}
	})
	a := book(owner, used, "Steering-Key", "beta-key-0123456789")
	a.check(t, steer.NotRun, steer.ReasonTicket)
	book(owner, used, "Steering-Key", "unknown").check(t, steer.MayHaveRun, steer.ReasonKey)
	book(owner, issue(), "Steering-Key", "unknown").check(t, steer.NotRun, steer.ReasonKey)

	shed := issue()
	fake.SetMode(target.Shed)
	book(other, shed).check(t, steer.NotRun, steer.ReasonCapacity)
	fake.SetMode(target.Normal)
	book(other, shed).checkBody(t, 100)

	timedOut := issue()
	fake.SetMode(target.Hang)
	book(owner, timedOut, "Steering-Deadline-Ms", "100").check(t, steer.MayHaveRun, steer.ReasonDeadline)
	fake.SetMode(target.Normal)
	book(other, timedOut).check(t, steer.MayHaveRun, steer.ReasonDeadline)

	expired := issue()
	owner.clockOffset.Store(int64(31 * time.Second))
	book(owner, expired).check(t, steer.MayHaveRun, steer.ReasonTicket)
	owner.clockOffset.Store(0)

	lost := issue()
	other.hiddenMembers.Store("h1", true)
	book(other, lost).check(t, steer.MayHaveRun, steer.ReasonTicketGone)
	other.hiddenMembers.Delete("h1")
	owner.stop()
	book(other, lost).check(t, steer.MayHaveRun, steer.ReasonTicketGone)
	assert.Equal(t, len(fake.Record()), runs+3)
}

// A caller that disconnects and resubmits with its ticket while the request runs must not start a second run.
func TestTicketAfterCallerDisconnects(t *testing.T) {
	fake := target.New(target.Config{
		ServiceTime: 300 * time.Millisecond,
	})
	h := newFleet(t, serveTarget(t, "t1", "a1", fake)).addHost("h1", "a1", "a", nil)
	text, err := h.tickets.Issue(h.now(), "reservas")
	assert.NilError(t, err)
	c := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", h.url+"/s/reservas/x", nil)
	assert.NilError(t, err)
	r.Header.Set("Steering-Key", alfaKey)
	r.Header.Set("Steering-Ticket", text)
	assert.Assert(t, send(t, c, r).err != nil)
	resubmit := func() response { return call(t, c, "POST", h.url+"/s/reservas/x", nil, "Steering-Ticket", text) }
	resubmit().check(t, steer.MayHaveRun, steer.ReasonTicketBusy)
	for h.InFlight() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	a := resubmit()
	a.check(t, steer.Ran, "")
	assert.Equal(t, len(fake.Record()), 1)
	assert.Assert(t, bytes.Equal(a.body, target.Body(fake.Record()[0].RequestID, 64)))
}

// Requests resubmitted with their ticket, to any host and after any fault, must run at most once, and the last verdict must
// be true.
func TestTicketsUnderFaults(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	shouldTruncate := func() bool { return draw(4) == 0 }
	fake, spec := newTarget(t, "t1", "a1")
	_, spec = newProxy(t, spec, shouldTruncate)
	f := newFleet(t, spec)
	owner := f.addHost("h1", "a1", "a", nil)
	other := f.addHost("h2", "a2", "a", nil)
	_, peerProxy := newProxy(t, steer.Target{
		Address: owner.member.PeerAddress,
	}, shouldTruncate)
	owner.member.PeerAddress = peerProxy.Address
	modes := []target.Mode{target.Normal, target.Shed, target.Half, target.Normal, target.Hang}
	verdicts := make([]steer.Verdict, 200)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			c := newClient(t)
			for i := g; i < len(verdicts); i += 8 {
				text, err := owner.tickets.Issue(owner.now(), "reservas")
				assert.Check(t, err)
				for range 4 {
					fake.SetMode(modes[draw(len(modes))])
					h := []*host{owner, other}[draw(2)]
					a := call(t, c, "POST", fmt.Sprintf("%s/s/reservas/%d", h.url, i), strings.NewReader("b"),
						"Steering-Ticket", text, "Steering-Deadline-Ms", "100")
					verdicts[i] = steer.MayHaveRun
					if a.err == nil {
						verdicts[i] = a.verdict
					}
					if verdicts[i] == steer.Ran {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	runs := make(map[string]int)
	for _, r := range fake.Record() {
		runs[r.Path]++
	}
	count := make(map[steer.Verdict]int)
	for i, v := range verdicts {
		n := runs[fmt.Sprint("/", i)]
		count[v]++
		assert.Check(t, n <= 1, "booking %d ran %d times", i, n)
		assert.Check(t, v != steer.NotRun || n == 0, "booking %d: verdict not-run, but ran", i)
		assert.Check(t, v != steer.Ran || n == 1, "booking %d: verdict ran, but did not run", i)
	}
	t.Logf("verdicts %v", count)
	assert.Assert(t, count[steer.Ran] > 20 && count[steer.MayHaveRun] > 5)
}

// A request that was admitted before a pause of its host must not run after the deadline, even if its caller has resubmitted
// it at another host. A later resubmission must run exactly once.
func TestTicketAcrossPause(t *testing.T) {
	fake, spec := newTarget(t, "t1", "a1")
	f := newFleet(t, spec)
	owner := f.addHost("h1", "a1", "a", nil)
	other := f.addHost("h2", "a2", "a", nil)
	text, err := owner.tickets.Issue(owner.now(), "reservas")
	assert.NilError(t, err)
	book := func(h *host) response {
		return call(t, newClient(t), "POST", h.url+"/s/reservas/x", strings.NewReader("b"), "Steering-Ticket", text)
	}
	paused := make(chan struct{})
	resume := make(chan struct{})
	pause := func() {
		close(paused)
		<-resume
		owner.clockOffset.Store(int64(10 * time.Second))
	}
	owner.onChoose.Store(&pause)
	first := make(chan response)
	go func() { first <- book(owner) }()
	<-paused
	book(other).check(t, steer.MayHaveRun, steer.ReasonTicketBusy)
	close(resume)
	a := <-first
	a.check(t, steer.NotRun, steer.ReasonDeadline)
	assert.Equal(t, len(fake.Record()), 0)
	owner.onChoose.Store(nil)
	owner.clockOffset.Store(0)
	book(other).checkBody(t, 64)
	book(owner).check(t, steer.Ran, "")
	assert.Equal(t, len(fake.Record()), 1)
}

// Guards against a forwarded request that waits in the buffers of a paused host, gets a fresh deadline when the host reads
// it, and runs after its caller has received the verdict may-have-run. Different clocks, and a sender that is replaced or
// whose clock is set, must not make its requests appear late for longer than two windows.
func TestForwardReadAfterDeadline(t *testing.T) {
	var left, runs int
	spec := serveTarget(t, "t1", "a2", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		left, _ = strconv.Atoi(r.Header.Get("Steering-Deadline-Ms"))
		runs++
	}))
	f := newFleet(t, spec)
	sender := f.addHost("h1", "a1", "a", nil)
	receiver := f.addHost("h2", "a2", "a", nil)
	for _, step := range []struct {
		name             string
		incarnation      uint64
		senderClock      time.Duration // Offset of the sender's clock.
		readDelay        time.Duration // Time between arrival and reading.
		elapsed          time.Duration // Time since the first step.
		maxLeft, minLeft int           // Remaining time at the target in ms; 0 for a request that does not run.
	}{
		{"first", 1, 4 * time.Second, 0, 0, 2000, 1000},
		{"half of the time elapsed", 1, 4 * time.Second, time.Second, 0, 1500, 1}, // Allows for the delay of the first request.
		{"all of the time elapsed", 1, 4 * time.Second, 3 * time.Second, 0, 0, 0},
		{"not late any more", 1, 4 * time.Second, 0, 0, 2000, 1000},
		{"replaced sender", 2, -3500 * time.Millisecond, 0, 0, 2000, 1000},
		{"clock of the sender set back", 2, -6 * time.Second, 0, 0, 0, 0},
		{"one window later", 2, -6 * time.Second, 0, 31 * time.Second, 0, 0},
		{"two windows later", 2, -6 * time.Second, 0, 62 * time.Second, 2000, 1000},
		{"all of the time elapsed after an idle period", 2, -6 * time.Second, 3 * time.Second, 5 * time.Minute, 0, 0},
	} {
		sender.member.Incarnation = step.incarnation
		sender.clockOffset.Store(int64(step.elapsed + step.senderClock))
		receiver.clockOffset.Store(int64(step.elapsed + step.readDelay))
		left, runs = 0, 0
		a := call(t, newClient(t), "POST", sender.url+"/s/reservas/x", nil, "Steering-Deadline-Ms", "2000")
		if step.maxLeft == 0 {
			assert.Equal(t, a.verdict, steer.NotRun, step.name)
			assert.Equal(t, a.reason, steer.ReasonDeadline, step.name)
			assert.Equal(t, runs, 0, step.name)
			continue
		}
		assert.Equal(t, a.verdict, steer.Ran, step.name)
		assert.Assert(t, left >= step.minLeft && left <= step.maxLeft, "%s: %d ms left", step.name, left)
	}
}

// A caller that does not read its response must release its unit of capacity soon after the deadline.
func TestSlowReaderIsBounded(t *testing.T) {
	spec := serveTarget(t, "t1", "a1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}))
	h := newFleet(t, spec).addHost("h1", "a1", "a", nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /s/reservas/open HTTP/1.1\r\nHost: h\r\nSteering-Deadline-Ms: 300\r\n\r\n")
	assert.NilError(t, err)
	for h.unitsInUse.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	startTime := time.Now()
	for h.unitsInUse.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, time.Since(startTime) < 3*time.Second)
}

// A graceful shutdown must let requests in flight complete and refuse new ones as not run.
func TestShutdownInterruptsNoRequest(t *testing.T) {
	fake := target.New(target.Config{
		Slots:       64,
		ServiceTime: 200 * time.Millisecond,
	})
	h := newFleet(t, serveTarget(t, "t1", "a1", fake)).addHost("h1", "a1", "a", nil)
	c := newClient(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { call(t, c, "POST", h.url+"/s/reservas/x?size=100000", nil).checkBody(t, 100_000) })
	}
	for h.InFlight() < 20 {
		time.Sleep(time.Millisecond)
	}
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, h.Shutdown(short), "in progress")
	call(t, c, "POST", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonStopping)
	assert.NilError(t, h.Shutdown(context.Background()))
	assert.Equal(t, h.InFlight(), 0)
	for _, s := range h.servers {
		assert.NilError(t, s.Shutdown(context.Background()))
	}
	wg.Wait()
}

// discardWriter is a ResponseWriter that discards the body.
type discardWriter struct {
	head http.Header
}

func (s *discardWriter) Header() http.Header         { return s.head }
func (s *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (s *discardWriter) WriteHeader(int)             {}

// BenchmarkDecision measures a request up to the choice of a target, which fails.
func BenchmarkDecision(b *testing.B) {
	h := newFleet(b).addHost("h1", "a1", "a", func(c *relay.Config) { c.Now = time.Now })
	h.f.edit(func(_ *steer.Config, s *steer.Service) {
		s.Targets = []steer.Target{{
			ID:         "t1",
			DataCentre: "a1",
			Leaving:    true,
		}, {
			ID:         "t2",
			DataCentre: "a2",
		}}
	})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r, err := http.NewRequest("GET", "http://host/s/reservas/x", nil)
		assert.NilError(b, err)
		r.Header.Set("Steering-Key", alfaKey)
		for pb.Next() {
			h.ServeHTTP(&discardWriter{
				head: make(http.Header),
			}, r)
		}
	})
}

// BenchmarkRelay measures a complete request over loopback with a pooled connection to the target.
func BenchmarkRelay(b *testing.B) {
	_, spec := newTarget(b, "t1", "a1")
	h := newFleet(b, spec).addHost("h1", "a1", "a", nil)
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest("GET", "http://host/s/reservas/x", nil)
		assert.NilError(b, err)
		r.Header.Set("Steering-Key", alfaKey)
		h.ServeHTTP(&discardWriter{
			head: make(http.Header),
		}, r)
	}
}

// Guards against a booking that ran although its caller gets a closed connection, because the response arrived just after
// the deadline.
func TestAnswerThatIsReadyLateIsDelivered(t *testing.T) {
	var h *host
	spec := serveTarget(t, "t1", "a1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.clockOffset.Store(int64(time.Minute))
		w.Header().Set("Steering-Request-Id", r.Header.Get("Steering-Request-Id"))
		_, _ = io.WriteString(w, "booked")
	}))
	f := newFleet(t, spec)
	h = f.addHost("h1", "a1", "a", nil)
	a := call(t, newClient(t), http.MethodPost, h.url+"/s/reservas/book", strings.NewReader(""))
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, string(a.body), "booked")
}
