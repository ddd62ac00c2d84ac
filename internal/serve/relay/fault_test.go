package relay_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/relay"
)

// proxy passes TCP connections on to a target and can break them.
type proxy struct {
	net.Listener
	mu     sync.Mutex
	silent map[net.Conn]bool // Connections that pass nothing on.
	open   map[net.Conn]bool
}

// newProxy returns a proxy to a target and the target's description at the proxy. The odds say for each piece of an answer
// whether to cut it.
func newProxy(t testing.TB, to steer.Target, odds func() bool) (*proxy, steer.Target) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{
		Listener: l,
		silent:   make(map[net.Conn]bool),
		open:     make(map[net.Conn]bool),
	}
	behind := to.Address.String()
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", behind)
			if err != nil {
				_ = c.Close()
				continue
			}
			p.mu.Lock()
			p.open[c] = true
			p.mu.Unlock()
			wg.Go(func() { p.pass(c, c, far, nil) })
			wg.Go(func() { p.pass(c, far, c, odds) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for c := range p.open {
			_ = c.Close()
		}
		p.mu.Unlock()
		wg.Wait()
	})
	to.Address = addressOf(l)
	return p, to
}

func (p *proxy) pass(key, from, to net.Conn, cut func() bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		silent := p.silent[key]
		p.mu.Unlock()
		if silent {
			continue
		}
		ends := cut != nil && cut()
		if ends {
			n /= 2
		}
		if _, err := to.Write(buffer[:n]); err != nil || ends {
			return
		}
	}
}

// silence makes all connections that are open now pass nothing on.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		p.silent[c] = true
	}
	return len(p.silent)
}

// Each way a target can fail must give a true verdict, and a booking must reach targets at most once.
func TestAtMostOnce(t *testing.T) {
	closes := func(runs *atomic.Int64) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		})
	}
	for _, v := range []struct {
		name    string
		mode    target.Mode // Of the first target; empty for one that closes the connection.
		method  string
		verdict steer.Verdict
		reason  steer.Reason
		runs    int64 // At the first target.
		second  int64 // At the second target.
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
			stand, at := newTarget(t, "t1", "a1")
			stand.SetMode(v.mode)
			var closed atomic.Int64
			if v.mode == "" {
				at = serveTarget(t, "t1", "a1", closes(&closed))
			}
			other, atOther := newTarget(t, "t2", "a1")
			h := newFleet(t, atOther, at).addHost("h1", "a1", "a", nil) // The first turn goes to the last one.
			h.retries.Store(1)
			a := call(t, newClient(t), v.method, h.url+"/s/reservas/x?size=1000", strings.NewReader(map[string]string{
				"POST": "booking",
			}[v.method]), "Steering-Deadline-Ms", "600")
			a.check(t, v.verdict, v.reason)
			assert.Equal(t, int64(len(stand.Record()))+closed.Load(), v.runs)
			assert.Equal(t, int64(len(other.Record())), v.second)
			if v.second == 1 {
				a.whole(t, 1000)
			}
			for _, r := range other.Record() {
				assert.Assert(t, v.method == "GET" || r.Body == int64(len("booking")))
			}
		})
	}
}

// A target that refuses the dial proves that nothing ran.
func TestRefusedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	at := steer.Target{
		ID:         "t1",
		DataCentre: "a1",
		Address:    addressOf(l),
	}
	assert.NilError(t, l.Close())
	h := newFleet(t, at).addHost("h1", "a1", "a", nil)
	call(t, newClient(t), "POST", h.url+"/s/reservas/x", nil).check(t, steer.NotRun, steer.ReasonTargetFailed)
	o := <-h.outcomes
	assert.Assert(t, o.Failed && o.Verdict == steer.NotRun)
}

// A host that was paused between admission and send must not write after the deadline, on new and pooled connections.
func TestPausedHostSendsNothing(t *testing.T) {
	stand, at := newTarget(t, "t1", "a1")
	h := newFleet(t, at).addHost("h1", "a1", "a", nil)
	c := newClient(t)
	call(t, c, "GET", h.url+"/s/reservas/x", nil).whole(t, 64)
	// The clock jumps, and the timer of the deadline has not fired yet, as after a resume.
	pause := func() { h.skew.Store(int64(10 * time.Second)) }
	h.onChoose.Store(&pause)
	for _, method := range []string{"POST", "GET"} {
		h.skew.Store(0)
		call(t, c, method, h.url+"/s/reservas/x", strings.NewReader("")).check(t, steer.NotRun, steer.ReasonDeadline)
	}
	assert.Equal(t, len(stand.Record()), 1)
}

// When all pooled connections go silent at once, bookings must go on unharmed, none may be doubled, and look-ups must
// recover within seconds.
func TestSilentConnections(t *testing.T) {
	stand := target.New(target.Config{
		Slots:       64,
		ServiceTime: 20 * time.Millisecond, // Makes the first requests use a connection each.
	})
	w, at := newProxy(t, serveTarget(t, "t1", "a1", stand), nil)
	h := newFleet(t, at).addHost("h1", "a1", "a", nil)
	h.retries.Store(8) // Fewer than the silent connections.
	c := newClient(t)
	get := func() answer { return call(t, c, "GET", h.url+"/s/reservas/x", nil) }
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { get().whole(t, 64) })
	}
	wg.Wait()
	assert.Assert(t, w.silence() > 12)
	began := time.Now()
	var bad, bookings atomic.Int64
	for range 4 {
		wg.Go(func() {
			for time.Since(began) < 1500*time.Millisecond {
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
			for time.Since(began) < 1500*time.Millisecond {
				at := time.Now()
				get().whole(t, 64)
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
	for _, r := range stand.Record() {
		if r.Method == "POST" {
			assert.Assert(t, !seen[r.RequestID], "booking ran twice")
			seen[r.RequestID] = true
			booked++
		}
	}
	assert.Equal(t, booked, bookings.Load())
}

// Every caller must get the whole answer to its own request, or see that its connection was cut, and every verdict must
// match what the targets recorded, while proxies cut answers and targets change their ways.
func TestWholeAnswersAndTrueVerdicts(t *testing.T) {
	const seed = 5
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	odds := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(20) == 0
	}
	var stands []*target.Target
	var list []steer.Target
	for i, dc := range []string{"a1", "a1", "a2"} {
		stand, at := newTarget(t, fmt.Sprint("t", i), dc)
		_, at = newProxy(t, at, odds)
		stands = append(stands, stand)
		list = append(list, at)
	}
	f := newFleet(t, list...)
	h := f.addHost("h1", "a1", "a", nil)
	h2 := f.addHost("h2", "a2", "a", nil)
	_, between := newProxy(t, steer.Target{
		Address: h2.member.PeerAddress,
	}, odds)
	h2.member.PeerAddress = between.Address
	h.retries.Store(50)
	modes := []target.Mode{target.Normal, target.Shed, target.Half, target.Normal, target.Hang, target.Normal}
	stop := make(chan struct{})
	var changer sync.WaitGroup
	changer.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				stands[i%3].SetMode(modes[i/3%len(modes)])
			}
		}
	})
	var wg sync.WaitGroup
	var answers sync.Map // Request id to answer.
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
					assert.Check(t, bytes.Equal(a.body, target.Body(id, size)), "wrong answer to %s", url)
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	changer.Wait()
	runs := make(map[string]int)
	for _, s := range stands {
		for _, r := range s.Record() {
			runs[r.RequestID]++
			assert.Check(t, r.Method == "GET" || runs[r.RequestID] == 1, "%s %s ran twice", r.Method, r.RequestID)
		}
	}
	verdicts := make(map[steer.Verdict]int)
	answers.Range(func(id, v any) bool {
		verdict := v.(answer).verdict
		verdicts[verdict]++
		assert.Check(t, verdict != steer.NotRun || runs[id.(string)] == 0, "said not run, and ran: %s", id)
		assert.Check(t, verdict != steer.Ran || runs[id.(string)] > 0, "said ran, and did not run: %s", id)
		return true
	})
	t.Logf("%d whole, %d cut, verdicts %v", whole.Load(), cut.Load(), verdicts)
	assert.Assert(t, whole.Load() > 100 && verdicts[steer.MayHaveRun] > 0)
}

// An answer with the id of another request, or without an end that can be seen, must not reach the caller.
func TestCrossedAndEndlessAnswers(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"crossed": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Steering-Request-Id", "other") },
		"endless": func(w http.ResponseWriter, _ *http.Request) {
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

// A hedge must answer when the first target hangs, use the retry budget, and leave no unit taken.
func TestHedge(t *testing.T) {
	stand, at := newTarget(t, "t1", "a1")
	_, atOther := newTarget(t, "t2", "a1")
	f := newFleet(t, atOther, at)
	f.edit(func(_ *steer.Config, s *steer.Service) { s.Hedge = true })
	h := f.addHost("h1", "a1", "a", nil)
	c := newClient(t)
	call(t, c, "GET", h.url+"/s/reservas/x", nil).whole(t, 64)
	stand.SetMode(target.Hang)
	h.retries.Store(100)
	for range 8 {
		began := time.Now()
		call(t, c, "GET", h.url+"/s/reservas/x", nil).whole(t, 64)
		assert.Assert(t, time.Since(began) < time.Second)
	}
	assert.Assert(t, h.retries.Load() < 100)
	assert.Equal(t, h.units.Load(), int64(0))
}

// A request must run once whichever host gets it with its ticket, and a repeat must get the answer of the first.
func TestTickets(t *testing.T) {
	stand, at := newTarget(t, "t1", "a1")
	f := newFleet(t, at)
	owner := f.addHost("h1", "a1", "a", nil)
	other := f.addHost("h2", "a2", "a", nil)
	c := newClient(t)
	issue := func() string {
		text, err := owner.tickets.Issue(owner.now(), "reservas")
		assert.NilError(t, err)
		return text
	}
	book := func(h *host, text string, header ...string) answer {
		header = append(header, "Steering-Ticket", text)
		return call(t, c, "POST", h.url+"/s/reservas/book?size=100", strings.NewReader("b"), header...)
	}
	for name, hosts := range map[string][2]*host{
		"twice at the owner":         {owner, owner},
		"at the owner and elsewhere": {owner, other},
		"elsewhere and at the owner": {other, owner},
		"twice elsewhere":            {other, other},
	} {
		before := len(stand.Record())
		text := issue()
		first := book(hosts[0], text)
		first.whole(t, 100)
		second := book(hosts[1], text)
		second.check(t, steer.Ran, "")
		assert.Assert(t, bytes.Equal(first.body, second.body), name)
		assert.Equal(t, second.head.Get("Steering-Repeat-Of"), first.head.Get("Steering-Request-Id"), name)
		assert.Equal(t, len(stand.Record()), before+1, name)
	}
	runs := len(stand.Record())

	used := issue()
	book(owner, used).whole(t, 100)
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
	stand.SetMode(target.Shed)
	book(other, shed).check(t, steer.NotRun, steer.ReasonCapacity)
	stand.SetMode(target.Normal)
	book(other, shed).whole(t, 100)

	hung := issue()
	stand.SetMode(target.Hang)
	book(owner, hung, "Steering-Deadline-Ms", "100").check(t, steer.MayHaveRun, steer.ReasonDeadline)
	stand.SetMode(target.Normal)
	book(other, hung).check(t, steer.MayHaveRun, steer.ReasonDeadline)

	expired := issue()
	owner.skew.Store(int64(31 * time.Second))
	book(owner, expired).check(t, steer.MayHaveRun, steer.ReasonTicket)
	owner.skew.Store(0)

	lost := issue()
	other.hidden.Store("h1", true)
	book(other, lost).check(t, steer.MayHaveRun, steer.ReasonTicketGone)
	other.hidden.Delete("h1")
	owner.stop()
	book(other, lost).check(t, steer.MayHaveRun, steer.ReasonTicketGone)
	assert.Equal(t, len(stand.Record()), runs+3)
}

// A caller that goes away and comes back with its ticket while the request runs must not start a second run.
func TestTicketOfCallerThatWentAway(t *testing.T) {
	stand := target.New(target.Config{
		ServiceTime: 300 * time.Millisecond,
	})
	h := newFleet(t, serveTarget(t, "t1", "a1", stand)).addHost("h1", "a1", "a", nil)
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
	again := func() answer { return call(t, c, "POST", h.url+"/s/reservas/x", nil, "Steering-Ticket", text) }
	again().check(t, steer.MayHaveRun, steer.ReasonTicketBusy)
	for h.InFlight() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	a := again()
	a.check(t, steer.Ran, "")
	assert.Equal(t, len(stand.Record()), 1)
	assert.Assert(t, bytes.Equal(a.body, target.Body(stand.Record()[0].RequestID, 64)))
}

// Callers that resubmit with their ticket, at any host and after any fault, must get at most one run, and the last verdict
// must be true.
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
	odds := func() bool { return draw(4) == 0 }
	stand, at := newTarget(t, "t1", "a1")
	_, at = newProxy(t, at, odds)
	f := newFleet(t, at)
	owner := f.addHost("h1", "a1", "a", nil)
	other := f.addHost("h2", "a2", "a", nil)
	_, between := newProxy(t, steer.Target{
		Address: owner.member.PeerAddress,
	}, odds)
	owner.member.PeerAddress = between.Address
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
					stand.SetMode(modes[draw(len(modes))])
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
	for _, r := range stand.Record() {
		runs[r.Path]++
	}
	count := make(map[steer.Verdict]int)
	for i, v := range verdicts {
		n := runs[fmt.Sprint("/", i)]
		count[v]++
		assert.Check(t, n <= 1, "booking %d ran %d times", i, n)
		assert.Check(t, v != steer.NotRun || n == 0, "booking %d: said not run, and ran", i)
		assert.Check(t, v != steer.Ran || n == 1, "booking %d: said ran, and did not run", i)
	}
	t.Logf("verdicts %v", count)
	assert.Assert(t, count[steer.Ran] > 20 && count[steer.MayHaveRun] > 5)
}

// A request admitted before a pause, while its caller resubmits elsewhere, must not run late, and may run once after that.
func TestTicketAcrossPause(t *testing.T) {
	stand, at := newTarget(t, "t1", "a1")
	f := newFleet(t, at)
	owner := f.addHost("h1", "a1", "a", nil)
	other := f.addHost("h2", "a2", "a", nil)
	text, err := owner.tickets.Issue(owner.now(), "reservas")
	assert.NilError(t, err)
	book := func(h *host) answer {
		return call(t, newClient(t), "POST", h.url+"/s/reservas/x", strings.NewReader("b"), "Steering-Ticket", text)
	}
	paused := make(chan struct{})
	resume := make(chan struct{})
	pause := func() {
		close(paused)
		<-resume
		owner.skew.Store(int64(10 * time.Second))
	}
	owner.onChoose.Store(&pause)
	first := make(chan answer)
	go func() { first <- book(owner) }()
	<-paused
	book(other).check(t, steer.MayHaveRun, steer.ReasonTicketBusy)
	close(resume)
	a := <-first
	a.check(t, steer.NotRun, steer.ReasonDeadline)
	assert.Equal(t, len(stand.Record()), 0)
	owner.onChoose.Store(nil)
	owner.skew.Store(0)
	book(other).whole(t, 64)
	book(owner).check(t, steer.Ran, "")
	assert.Equal(t, len(stand.Record()), 1)
}

// A forwarded request that lay in the buffers of a paused host must not get a fresh deadline when the host reads it, and
// must not run after its caller was told that it may have run. Clocks that differ, and a sender that is replaced or whose
// clock is set, must not make its requests look late for longer than two windows.
func TestForwardReadLate(t *testing.T) {
	var left, runs int
	at := serveTarget(t, "t1", "a2", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		left, _ = strconv.Atoi(r.Header.Get("Steering-Deadline-Ms"))
		runs++
	}))
	f := newFleet(t, at)
	sender := f.addHost("h1", "a1", "a", nil)
	receiver := f.addHost("h2", "a2", "a", nil)
	for _, step := range []struct {
		name        string
		incarnation uint64
		clock       time.Duration // Of the sender, against the true time.
		late        time.Duration // Time between receipt and reading.
		passed      time.Duration // Time since the first step.
		most, least int           // Time left at the target in ms; 0 for a request that is not run.
	}{
		{"first", 1, 4 * time.Second, 0, 0, 2000, 1000},
		{"half the time used up", 1, 4 * time.Second, time.Second, 0, 1500, 1}, // The way of the first one is allowed for.
		{"all the time used up", 1, 4 * time.Second, 3 * time.Second, 0, 0, 0},
		{"in time again", 1, 4 * time.Second, 0, 0, 2000, 1000},
		{"replaced sender", 2, -3500 * time.Millisecond, 0, 0, 2000, 1000},
		{"clock of the sender set back", 2, -6 * time.Second, 0, 0, 0, 0},
		{"one window later", 2, -6 * time.Second, 0, 31 * time.Second, 0, 0},
		{"two windows later", 2, -6 * time.Second, 0, 62 * time.Second, 2000, 1000},
		{"used up after an idle time", 2, -6 * time.Second, 3 * time.Second, 5 * time.Minute, 0, 0},
	} {
		sender.member.Incarnation = step.incarnation
		sender.skew.Store(int64(step.passed + step.clock))
		receiver.skew.Store(int64(step.passed + step.late))
		left, runs = 0, 0
		a := call(t, newClient(t), "POST", sender.url+"/s/reservas/x", nil, "Steering-Deadline-Ms", "2000")
		if step.most == 0 {
			assert.Equal(t, a.verdict, steer.NotRun, step.name)
			assert.Equal(t, a.reason, steer.ReasonDeadline, step.name)
			assert.Equal(t, runs, 0, step.name)
			continue
		}
		assert.Equal(t, a.verdict, steer.Ran, step.name)
		assert.Assert(t, left >= step.least && left <= step.most, "%s: %d ms left", step.name, left)
	}
}

// A caller that does not read its answer must hold capacity no longer than its deadline.
func TestSlowReaderIsBounded(t *testing.T) {
	at := serveTarget(t, "t1", "a1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}))
	h := newFleet(t, at).addHost("h1", "a1", "a", nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /s/reservas/open HTTP/1.1\r\nHost: h\r\nSteering-Deadline-Ms: 300\r\n\r\n")
	assert.NilError(t, err)
	for h.units.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	for h.units.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, time.Since(began) < 3*time.Second)
}

// A planned stop must cut no request; new ones are refused as not run.
func TestShutdownCutsNothing(t *testing.T) {
	stand := target.New(target.Config{
		Slots:       64,
		ServiceTime: 200 * time.Millisecond,
	})
	h := newFleet(t, serveTarget(t, "t1", "a1", stand)).addHost("h1", "a1", "a", nil)
	c := newClient(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { call(t, c, "POST", h.url+"/s/reservas/x?size=100000", nil).whole(t, 100_000) })
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

// sink is a ResponseWriter that keeps nothing.
type sink struct {
	head http.Header
}

func (s *sink) Header() http.Header         { return s.head }
func (s *sink) Write(p []byte) (int, error) { return len(p), nil }
func (s *sink) WriteHeader(int)             {}

// BenchmarkDecision measures everything up to the choice of a target, which fails here.
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
			h.ServeHTTP(&sink{
				head: make(http.Header),
			}, r)
		}
	})
}

// BenchmarkRelay measures a whole request over loopback with a pooled connection to the target.
func BenchmarkRelay(b *testing.B) {
	_, at := newTarget(b, "t1", "a1")
	h := newFleet(b, at).addHost("h1", "a1", "a", nil)
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest("GET", "http://host/s/reservas/x", nil)
		assert.NilError(b, err)
		r.Header.Set("Steering-Key", alfaKey)
		h.ServeHTTP(&sink{
			head: make(http.Header),
		}, r)
	}
}

// Guards against a booking that ran and whose caller gets a closed connection, because the answer came when the time of the
// request had just passed.
func TestAnswerThatIsReadyLateIsDelivered(t *testing.T) {
	var h *host
	at := serveTarget(t, "t1", "a1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.skew.Store(int64(time.Minute))
		w.Header().Set("Steering-Request-Id", r.Header.Get("Steering-Request-Id"))
		_, _ = io.WriteString(w, "booked")
	}))
	f := newFleet(t, at)
	h = f.addHost("h1", "a1", "a", nil)
	a := call(t, newClient(t), http.MethodPost, h.url+"/s/reservas/book", strings.NewReader(""))
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, string(a.body), "booked")
}
