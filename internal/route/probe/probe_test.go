package probe_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/route/probe"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type source struct {
	mu      sync.Mutex
	config  *steer.Config
	changed chan struct{}
}

func newSource(addresses ...string) *source {
	s := &source{changed: make(chan struct{})}
	s.set(addresses...)
	return s
}

func (s *source) Current() *steer.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) EvidenceAge(time.Time) time.Duration { return 0 }

// set installs a configuration with targets t0, t1, ... and one target in another data centre.
func (s *source) set(addresses ...string) {
	service := &steer.Service{
		Targets: []steer.Target{{ID: "remote", DataCentre: "golfo-2"}},
	}
	for i, a := range addresses {
		service.Targets = append(service.Targets, steer.Target{
			ID:         fmt.Sprint("t", i),
			DataCentre: "golfo-1",
			Address:    netip.MustParseAddrPort(a),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = &steer.Config{Services: map[string]*steer.Service{"reservas": service}}
	close(s.changed)
	s.changed = make(chan struct{})
}

// fakeTransport answers without a network, since network connections don't work in virtual time.
type fakeTransport struct {
	mu         sync.Mutex
	state      string
	load       string
	hang       bool
	responsive string         // Address that never hangs.
	polls      map[string]int // By address.
	active     int
	maxActive  int
	times      []time.Time
}

func (w *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	w.active++
	w.maxActive = max(w.maxActive, w.active)
	state, load, hang := w.state, w.load, w.hang && r.URL.Host != w.responsive
	if r.URL.Path == "/target/health" {
		w.polls[r.URL.Host]++
		w.times = append(w.times, time.Now())
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	if hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(10 * time.Millisecond)
	body := load
	if r.URL.Path == "/target/health" {
		body = `{"state":"` + state + `"}`
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       io.NopCloser(strings.NewReader(body)),
	}, nil
}

func (w *fakeTransport) set(state, load string, hang bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state, w.load, w.hang = state, load, hang
}

// takePolls returns the polls of each address and the times of the health requests since the last call.
func (w *fakeTransport) takePolls() (polls map[string]int, times []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	polls, times = w.polls, w.times
	w.polls, w.times = map[string]int{}, nil
	return polls, times
}

type platform struct{ leaving atomic.Bool }

func (p *platform) Leaving(string) bool { return p.leaving.Load() }

const busy = `{"busy":5,"queued":2,"slots":9}`

func start(s *source, w *fakeTransport, p probe.Platform, concurrency int) *probe.Prober {
	w.polls = map[string]int{}
	return probe.New(probe.Config{
		DataCentre:  "golfo-1",
		Source:      s,
		Platform:    p,
		Transport:   w,
		Concurrency: concurrency,
	})
}

// Guards against reports that claim more than the target answered: an age counted from the answer instead of the request,
// a failed poll reported as an idle target, a leaving target reported as ready.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeTransport{state: "ready", load: busy}
		list := &platform{}
		p := start(newSource("10.0.0.1:80"), w, list, 0)
		assert.Equal(t, p.Report("t0"), steer.Report{})
		time.Sleep(time.Second)
		r := p.Report("t0")
		assert.Assert(t, r.Healthy && !r.Draining && r.Busy == 7 && r.Slots == 9, "%+v", r)
		sent := false
		_, times := w.takePolls()
		for _, at := range times {
			sent = sent || at.Equal(r.At)
		}
		assert.Assert(t, sent, "the report's time is not that of a health request")
		for _, c := range []struct {
			state, load       string
			healthy, draining bool
			busy              int
		}{
			{state: "draining", load: busy, healthy: true, draining: true, busy: 7},
			{state: "failing", load: busy, busy: 7},
			{state: "strange", load: busy, busy: 7},
			{state: "ready", load: `{"busy":-5,"queued":0,"slots":9}`, healthy: true},
		} {
			w.set(c.state, c.load, false)
			time.Sleep(time.Second)
			r = p.Report("t0")
			assert.Assert(t, r.Healthy == c.healthy && r.Draining == c.draining && r.Busy == c.busy, "%+v, want %+v", r, c)
		}
		last := p.Report("t0")
		for _, load := range []string{`{"busy":5}`, `no JSON`, strings.Repeat(" ", 1<<17) + busy} {
			w.set("ready", load, false)
			time.Sleep(2 * time.Second)
			assert.Assert(t, p.Report("t0").At.Sub(last.At) < time.Second, load)
		}
		w.set("ready", busy, true)
		list.leaving.Store(true)
		time.Sleep(2 * time.Second)
		r = p.Report("t0")
		assert.Assert(t, r.Draining && time.Since(r.At) > 2*time.Second, "%+v", r)
		assert.Equal(t, p.Report("remote"), steer.Report{})
		assert.NilError(t, p.Close(context.Background()))
	})
}

// Guards against targets that are not polled after they were added, or still polled after they were removed, and against
// polls in lockstep, without jitter.
func TestFollowsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeTransport{state: "ready", load: busy}
		s := newSource("10.0.0.1:80", "10.0.0.2:80")
		p := start(s, w, nil, 0)
		time.Sleep(100 * time.Second)
		polls, times := w.takePolls()
		for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
			// One poll every 500 ms.
			assert.Assert(t, polls[address] >= 194 && polls[address] <= 207, "%v", polls)
		}
		gaps := map[time.Duration]bool{}
		for i := range times[1:] {
			gaps[times[i+1].Sub(times[i])] = true
		}
		assert.Assert(t, len(gaps) > 100)
		s.set("10.0.0.3:80")
		synctest.Wait()
		w.takePolls()
		assert.Equal(t, p.Report("t0"), steer.Report{}) // Another process under the same ID.
		assert.Equal(t, p.Report("t1"), steer.Report{})
		time.Sleep(time.Second)
		assert.Assert(t, p.Report("t0").Healthy)
		polls, _ = w.takePolls()
		assert.Equal(t, len(polls), 1)
		assert.NilError(t, p.Close(context.Background()))
	})
}

// Guards against hanging targets that occupy all polls, against more polls than the bound, and against polls without end.
func TestHangingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeTransport{hang: true}
		s := newSource("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80")
		p := start(s, w, nil, 2)
		time.Sleep(20 * time.Second)
		polls, _ := w.takePolls()
		for address, count := range polls {
			assert.Assert(t, count > 15, "%s polled %d times", address, count)
		}
		w.set("ready", busy, false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, p.Report("t3").Healthy)
		w.set("ready", busy, true)
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := p.Close(ctx); err != nil {
			assert.Assert(t, errors.Is(err, context.Canceled))
		}
		assert.NilError(t, p.Close(context.Background()))
		assert.Equal(t, w.maxActive, 2)
	})
}

// Guards against hanging targets that delay the polls of another target, whose leaving is then seen a round late.
func TestLeavingBesideHangingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []string
		for i := range 32 {
			list = append(list, fmt.Sprintf("10.0.0.%d:80", i+1))
		}
		w := &fakeTransport{state: "ready", load: busy, hang: true, responsive: "10.0.0.1:80"}
		p := start(newSource(list...), w, nil, 0)
		for i := range 40 {
			state := []string{"draining", "ready"}[i%2]
			w.set(state, busy, true)
			time.Sleep(600 * time.Millisecond) // The longest interval plus the poll.
			assert.Equal(t, p.Report("t0").Draining, state == "draining", i)
			time.Sleep(time.Duration(i) * 17 * time.Millisecond)
		}
		assert.NilError(t, p.Close(context.Background()))
	})
}

// condition waits for a function to return true.
func condition(done func() bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}
}

// Guards against a health check whose answer has a status that HTTP does not have.
func TestInvalidStatusIsNoReport(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "777", "999"} {
		t.Run(status, func(t *testing.T) { checkNoReport(t, status+" X") })
	}
}

// Guards against a health check in whose answer the name of a field holds a blank or a control byte.
func TestInvalidFieldNameIsNoReport(t *testing.T) {
	for _, field := range []string{"X Y: 1", "X : 1", " X: 1", "\tX: 1", "X\x01Y: 1", "X\x00: 1", "X\t: 1", "Content-Length : 9", " Content-Length: 9"} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) { checkNoReport(t, "200 OK\r\nDate: now\r\n"+field) })
	}
}

// checkNoReport lets a target answer health checks with a head that begins with the given lines: the answer is neither a report of a
// healthy target nor of a failing one, and its connection must not be used again.
func checkNoReport(t *testing.T, begin string) {
	t.Helper()
	var mu sync.Mutex
	invalid := false
	polls := map[string]int{} // Requests of each connection that were answered with the status.
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := map[string]string{"/target/health": `{"state":"ready"}`, "/target/load": busy}[r.URL.Path]
		mu.Lock()
		defer mu.Unlock()
		if !invalid {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, body)
			return
		}
		socket, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		polls[socket.RemoteAddr().String()]++
		_, _ = fmt.Fprintf(socket, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n", begin)
		go func() {
			defer socket.Close()
			if _, err := http.ReadRequest(bufio.NewReader(socket)); err == nil {
				mu.Lock()
				defer mu.Unlock()
				polls[socket.RemoteAddr().String()]++
			}
		}()
	}))
	defer server.Close()
	p := probe.New(probe.Config{
		DataCentre: "golfo-1",
		Source:     newSource(server.Listener.Addr().String()),
		Interval:   20 * time.Millisecond,
	})
	defer func() { assert.NilError(t, p.Close(context.Background())) }()
	poll.WaitOn(t, condition(func() bool { return p.Report("t0").Healthy }))
	mu.Lock()
	invalid = true
	mu.Unlock()
	poll.WaitOn(t, condition(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(polls) >= 3
	}))
	last := p.Report("t0")
	time.Sleep(100 * time.Millisecond)
	r := p.Report("t0")
	assert.Assert(t, r == last && r.Healthy && r.Slots == 9, "%+v, want %+v", r, last)
	mu.Lock()
	defer mu.Unlock()
	for connection, n := range polls {
		assert.Check(t, n == 1, "%d requests over %s", n, connection)
	}
}
