package back_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/plat/ports"
)

var names = steer.HeaderNames{
	RequestID:         "Id",
	Deadline:          "Deadline",
	Customer:          "Customer",
	ExpectedTarget:    "Expected",
	Signature:         "Signature",
	NotRun:            "Not-Run",
	Load:              "Load",
	Limit:             "Limit",
	TargetID:          "Target",
	MisdirectedStatus: http.StatusMisdirectedRequest,
}

// scriptedTarget answers requests with fixed bytes, in which ID is replaced by the ID of the request.
type scriptedTarget struct {
	t        *testing.T
	listener net.Listener
	answers  func(connection, request int) string // Empty for no answer; may end with |CLOSE or |RESET.
	mu       sync.Mutex
	requests []string // Heads of the requests, in order of arrival.
	conns    int
	closed   int // Connections that were closed by the host.
}

func newScriptedTarget(t *testing.T, answers func(connection, request int) string) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{
		t:        t,
		listener: listener,
		answers:  answers,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			number := s.conns
			s.mu.Unlock()
			go s.serve(c, number)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(c net.Conn, connection int) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for request := 1; ; request++ {
		head := ""
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				s.mu.Lock()
				s.closed++
				s.mu.Unlock()
				return
			}
			if line == "\r\n" {
				break
			}
			head += line
		}
		s.mu.Lock()
		s.requests = append(s.requests, head)
		s.mu.Unlock()
		id := ""
		for line := range strings.SplitSeq(head, "\r\n") {
			if value, ok := strings.CutPrefix(line, "Id: "); ok {
				id = value
			}
		}
		text, end, _ := strings.Cut(s.answers(connection, request), "|")
		if _, err := io.WriteString(c, strings.ReplaceAll(text, "ID", id)); err != nil {
			return
		}
		switch end {
		case "CLOSE":
			return
		case "RESET":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (s *scriptedTarget) endpoint() *steer.Endpoint {
	return &steer.Endpoint{
		ID:      "target-1",
		Address: netip.MustParseAddrPort(s.listener.Addr().String()),
	}
}

func (s *scriptedTarget) stats() ([]string, int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...), s.conns, s.closed
}

func newPool(t *testing.T) *back.Pool {
	t.Helper()
	p := back.New(back.Config{
		Headers: names,
	})
	t.Cleanup(p.Stop)
	return p
}

func newCall(s *scriptedTarget, id string) back.Call {
	return back.Call{
		Endpoint:  s.endpoint(),
		Method:    http.MethodGet,
		Target:    "/x?y=1",
		Host:      "h.example",
		Header:    http.Header{"X": {"1"}},
		RequestID: id,
		Deadline:  time.Now().Add(2 * time.Second),
	}
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nLoad: 3,1,9\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against answers that are attributed to the wrong request, are delivered incomplete, or get an unsupported verdict.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string
		verdict steer.Verdict
		status  int
		body    string
	}{
		{name: "success", answer: ok("abc"), verdict: steer.Ran, status: 200, body: "abc"},
		{
			name:    "answer to another request first",
			answer:  "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno" + ok("abc"),
			verdict: steer.Ran, status: 200, body: "abc",
		},
		{
			name:    "answer to another request only",
			answer:  "HTTP/1.1 503 Busy\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n|CLOSE",
			verdict: steer.MayHaveRun,
		},
		{name: "refused", answer: "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", verdict: steer.NotRun, status: 503},
		{name: "refused without an id", answer: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", verdict: steer.MayHaveRun},
		{
			name:    "refused without a not-run header",
			answer:  "HTTP/1.1 503 Busy\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
			verdict: steer.Ran, status: 503,
		},
		{
			name:    "another target",
			answer:  "HTTP/1.1 421 Misdirected\r\nId: ID\r\nTarget: target-2\r\nContent-Length: 0\r\n\r\n",
			verdict: steer.NotRun, status: 421,
		},
		{
			name:    "another target without an id",
			answer:  "HTTP/1.1 421 Misdirected\r\nTarget: target-2\r\nContent-Length: 0\r\n\r\n",
			verdict: steer.MayHaveRun,
		},
		{name: "own failure", answer: "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", verdict: steer.Ran, status: 500},
		{name: "unsigned success", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\na", verdict: steer.MayHaveRun},
		{name: "cut short", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 9\r\n\r\nabc|CLOSE", verdict: steer.MayHaveRun},
		{name: "cut short after the status line", answer: "HTTP/1.1 200 OK\r\n|CLOSE", verdict: steer.MayHaveRun},
		{name: "cut short between header lines", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n|CLOSE", verdict: steer.MayHaveRun},
		{name: "cut short in a header line", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 1|CLOSE", verdict: steer.MayHaveRun},
		{name: "cut short before the end of the head", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r|CLOSE", verdict: steer.MayHaveRun},
		{name: "cut short in chunks", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n|CLOSE", verdict: steer.MayHaveRun},
		{
			name:    "ends with its connection",
			answer:  "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\nabc|CLOSE",
			verdict: steer.Ran, status: 200, body: "abc",
		},
		{name: "no protocol", answer: "garbage\r\n\r\n|CLOSE", verdict: steer.MayHaveRun},
		{name: "no answer", answer: "|CLOSE", verdict: steer.MayHaveRun},
		{name: "reset", answer: "|RESET", verdict: steer.MayHaveRun},
		{name: "reset without a length", answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\nabc|RESET", verdict: steer.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedTarget(t, func(int, int) string { return c.answer })
			r := newPool(t).Do(context.Background(), newCall(s, "7"))
			assert.Equal(t, r.Verdict, c.verdict, "%v", r.Err)
			assert.Equal(t, r.Status, c.status)
			assert.Equal(t, string(r.Body), c.body)
			assert.Equal(t, r.Status == 0, r.Err != nil)
		})
	}
}

// Guards against requests that lack the remaining time of the caller or the ID of the target that they are intended for.
func TestSendsRequestWithDeadlineAndExpectedTarget(t *testing.T) {
	s := newScriptedTarget(t, func(int, int) string { return ok("") })
	r := newPool(t).Do(context.Background(), newCall(s, "7"))
	assert.NilError(t, r.Err)
	assert.DeepEqual(t, r.Load, &steer.TargetLoad{Running: 3, Waiting: 1, Slots: 9})
	requests, _, _ := s.stats()
	head := requests[0]
	assert.Assert(t, strings.HasPrefix(head, "GET /x?y=1 HTTP/1.1\r\nHost: h.example\r\n"))
	for _, line := range []string{"X: 1\r\n", "Id: 7\r\n", "Expected: target-1\r\n", "Deadline: "} {
		assert.Assert(t, strings.Contains(head, line), "%q lacks %q", head, line)
	}
	assert.Assert(t, !strings.Contains(head, "Content-Length"))
}

// Guards against limits of targets that are read from the wrong target's answer, or from a malformed one.
func TestReadsLimitOfTarget(t *testing.T) {
	answer := func(status, headers string) string {
		return "HTTP/1.1 " + status + "\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n" + headers + "\r\n"
	}
	for _, c := range []struct {
		name   string
		answer string
		want   *steer.TargetLimit
	}{
		{name: "limit", answer: answer("200 OK", "Limit: 12.5\r\n"), want: &steer.TargetLimit{Limited: true, PerSecond: 12.5}},
		{name: "zero", answer: answer("200 OK", "Limit: 0\r\n"), want: &steer.TargetLimit{Limited: true}},
		{name: "failure", answer: answer("500 Error", "Limit: 2\r\n"), want: &steer.TargetLimit{Limited: true, PerSecond: 2}},
		{name: "none", answer: answer("200 OK", ""), want: &steer.TargetLimit{}},
		{name: "none, unsigned failure", answer: "HTTP/1.1 500 Error\r\nId: ID\r\nContent-Length: 0\r\n\r\n"},
		{name: "none, not run", answer: "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: &steer.TargetLimit{}},
		{name: "malformed", answer: answer("200 OK", "Limit: many\r\n")},
		{name: "not a number", answer: answer("200 OK", "Limit: NaN\r\n")},
		{name: "infinite", answer: answer("200 OK", "Limit: Inf\r\n")},
		{name: "negative", answer: answer("200 OK", "Limit: -1\r\n")},
		{name: "other target", answer: answer("421 Misdirected", "Target: other\r\nLimit: 2\r\n")},
		{name: "no answer", answer: "|CLOSE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedTarget(t, func(int, int) string { return c.answer })
			r := newPool(t).Do(context.Background(), newCall(s, "7"))
			assert.DeepEqual(t, r.Limit, c.want)
		})
	}
}

// Guards against reuse of a connection that is closed, is about to be closed or has unread bytes.
func TestReusesConnectionsOnlyWhenSafe(t *testing.T) {
	for _, c := range []struct {
		name  string
		first string
		conns int
	}{
		{name: "open", first: ok("a"), conns: 1},
		{name: "the target closes it", first: ok("a") + "|CLOSE", conns: 2},
		{name: "bytes after the answer", first: ok("a") + "HTTP/1.1 200 OK\r\n", conns: 2},
		{name: "the target announces the close", first: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", conns: 2},
		{name: "idle timeout of zero", first: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", conns: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedTarget(t, func(connection, request int) string {
				if connection == 1 && request == 1 {
					return c.first
				}
				return ok("b")
			})
			p := newPool(t)
			first := p.Do(context.Background(), newCall(s, "1"))
			assert.NilError(t, first.Err)
			time.Sleep(50 * time.Millisecond)
			second := p.Do(context.Background(), newCall(s, "2"))
			assert.NilError(t, second.Err)
			assert.Equal(t, string(second.Body), "b")
			requests, conns, _ := s.stats()
			assert.Equal(t, conns, c.conns)
			assert.Equal(t, len(requests), 2, "no request is sent twice")
		})
	}
}

// Guards against at-most-once requests whose outcome is unknown because targets drop idle connections, and against a new
// connection for each of these requests while targets do not.
func TestAtMostOnceCallsAvoidIdleConnectionsWhileTargetsDropThem(t *testing.T) {
	s := newScriptedTarget(t, func(connection, request int) string {
		if connection == 1 && request == 3 {
			return "|RESET"
		}
		return ok("b")
	})
	p := newPool(t)
	calls := 0
	atMostOnce := func() back.Call {
		calls++
		c := newCall(s, fmt.Sprint("booking-", calls))
		c.AtMostOnce = true
		return c
	}
	for _, reused := range []bool{false, true} {
		r := p.Do(context.Background(), atMostOnce())
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Reused, reused)
		time.Sleep(200 * time.Millisecond)
	}
	idempotent := p.Do(context.Background(), newCall(s, "2"))
	assert.Equal(t, idempotent.Status, 0)
	for range 2 {
		r := p.Do(context.Background(), atMostOnce())
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Reused, false)
		time.Sleep(200 * time.Millisecond)
	}
	assert.NilError(t, p.Do(context.Background(), atMostOnce()).Err)
	third := p.Do(context.Background(), atMostOnce())
	assert.NilError(t, third.Err)
	assert.Equal(t, third.Reused, true, "a connection that was used just before is reused")
}

// Guards against a target that is silent or breaks off answers, but is taken for a healthy one that dropped an idle connection,
// and is sent the request again.
func TestSilentTargetIsNotAStaleConnection(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   bool
	}{
		{answer: "|RESET", want: true},
		{answer: "|CLOSE", want: true},
		{answer: "garbage without an end", want: false},
		{answer: "HTTP/1.1 200 OK\r\nId: ID\r\n|CLOSE", want: false},
		{answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 9\r\n\r\nabc|CLOSE", want: false},
		{answer: "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 9\r\n\r\nabc|RESET", want: false},
	} {
		s := newScriptedTarget(t, func(_, request int) string {
			if request == 1 {
				return ok("a")
			}
			return c.answer
		})
		p := newPool(t)
		assert.NilError(t, p.Do(context.Background(), newCall(s, "1")).Err)
		second := newCall(s, "2")
		second.Deadline = time.Now().Add(200 * time.Millisecond)
		r := p.Do(context.Background(), second)
		assert.Assert(t, r.Reused && r.Err != nil)
		assert.Equal(t, r.StaleConnection, c.want, c.answer)
	}
}

// Guards against requests that wait for a target without power for longer than dials to its data centre take, and against
// targets that are never reached again after dials to their data centre have become slower than the timeout.
func TestDialTimeoutFollowsDataCentre(t *testing.T) {
	s := newScriptedTarget(t, func(int, int) string { return ok("b") })
	delay := 10 * time.Millisecond
	unreachable := false
	p := back.New(back.Config{
		Headers: names,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(delay):
			}
			if unreachable {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	defer p.Stop()
	do := func() (back.Result, time.Duration) {
		c := newCall(s, "1")
		c.NewConnection = true
		c.Deadline = time.Now().Add(2 * time.Second)
		begun := time.Now()
		r := p.Do(context.Background(), c)
		return r, time.Since(begun)
	}
	for range 3 {
		r, _ := do()
		assert.NilError(t, r.Err)
	}
	unreachable = true
	r, took := do()
	assert.Equal(t, r.Verdict, steer.NotRun)
	assert.Assert(t, took < 300*time.Millisecond, "waited %v", took)
	assert.Assert(t, !errors.Is(r.Err, context.DeadlineExceeded), "the request has time left for another target")
	unreachable, delay = false, 200*time.Millisecond
	for try := 0; ; try++ {
		if r, _ := do(); r.Err == nil {
			break
		}
		assert.Assert(t, try < 20)
	}
}

// Guards against a request without a connection that is reported as one that may have run.
func TestNoConnectionMeansNotRun(t *testing.T) {
	s := newScriptedTarget(t, func(int, int) string { return "" })
	l := ports.Listen(t)
	c := newCall(s, "1")
	c.Endpoint.Address = netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	r := newPool(t).Do(context.Background(), c)
	assert.Equal(t, r.Verdict, steer.NotRun)
	assert.Assert(t, !r.Sent && r.Err != nil)
}

// Guards against a target that keeps working for a caller that has left, and a silent target that holds up a request.
func TestCallEndsWithContextAndDeadline(t *testing.T) {
	s := newScriptedTarget(t, func(int, int) string { return "" })
	p := newPool(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r := p.Do(ctx, newCall(s, "1"))
	assert.Equal(t, r.Verdict, steer.MayHaveRun)
	late := newCall(s, "2")
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	begun := time.Now()
	r = p.Do(context.Background(), late)
	assert.Equal(t, r.Verdict, steer.MayHaveRun)
	assert.ErrorIs(t, r.Err, context.DeadlineExceeded)
	assert.Assert(t, time.Since(begun) < time.Second)
	time.Sleep(50 * time.Millisecond)
	_, _, closed := s.stats()
	assert.Equal(t, closed, 2)
}

// Guards against the rest of a body that the target reads as the next request: the target answers before it has read the
// whole body.
func TestConnectionIsNotReusedDuringBodyWrite(t *testing.T) {
	s := newScriptedTarget(t, func(int, int) string { return ok("") })
	p := newPool(t)
	c := newCall(s, "1")
	c.Method, c.Body, c.HasBody = http.MethodPost, make([]byte, 8<<20), true
	r := p.Do(context.Background(), c)
	if r.Err == nil {
		assert.Equal(t, r.Status, 200)
	}
	r = p.Do(context.Background(), newCall(s, "2"))
	assert.NilError(t, r.Err)
	_, conns, _ := s.stats()
	assert.Equal(t, conns, 2)
}

// Guards against requests that reach a target after their caller has left.
func TestCallWhoseCallerHasLeftIsNotSent(t *testing.T) {
	s := newScriptedTarget(t, func(int, int) string { return ok("") })
	p := newPool(t)
	for i := range 20 {
		id := fmt.Sprint("served-", i)
		result := p.Do(context.Background(), newCall(s, id))
		assert.NilError(t, result.Err)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		result = p.Do(ctx, newCall(s, "left"))
		assert.ErrorIs(t, result.Err, context.Canceled)
		assert.Equal(t, result.Verdict, steer.NotRun)
		assert.Assert(t, !result.Sent)
	}
	heads, _, _ := s.stats()
	assert.Equal(t, len(heads), 20)
}
