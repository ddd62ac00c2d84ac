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
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
)

// endlessTarget answers each request with a beginning and then repeats a piece until the host closes the connection.
type endlessTarget struct {
	listener net.Listener
	begin    string
	piece    []byte        // Written without a copy, which would count as memory of the host.
	pause    time.Duration // Pause between two pieces.
	sent     atomic.Int64  // Bytes sent over all connections.
	open     atomic.Int64  // Open connections.
}

func newEndlessTarget(t *testing.T, begin, piece string, pause time.Duration) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endlessTarget{
		listener: listener,
		begin:    begin,
		piece:    []byte(piece),
		pause:    pause,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *endlessTarget) serve(c net.Conn) {
	e.open.Add(1)
	defer e.open.Add(-1)
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, e.begin); err != nil {
		return
	}
	for {
		n, err := c.Write(e.piece)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

func (e *endlessTarget) newCall(id string) back.Call {
	return back.Call{
		Endpoint: &steer.Endpoint{
			ID:      "target-1",
			Address: netip.MustParseAddrPort(e.listener.Addr().String()),
		},
		Method:    http.MethodGet,
		Target:    "/x",
		Host:      "h.example",
		RequestID: id,
		Deadline:  time.Now().Add(3 * time.Second),
	}
}

const signed = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n"

// endlessAnswers are the ways in which an answer may have no end.
var endlessAnswers = []struct{ name, begin, piece string }{
	{name: "status line", begin: "HTTP/1.1 200 ", piece: strings.Repeat("x", 8<<10)},
	{name: "header lines", begin: signed, piece: "X-A: " + strings.Repeat("x", 100) + "\r\n"},
	{name: "one header line", begin: signed + "X-A: ", piece: strings.Repeat("x", 8<<10)},
	{name: "no protocol", begin: "", piece: strings.Repeat("\x00\xff", 4<<10)},
	{name: "informational answers", begin: "", piece: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
	{name: "answers to other requests", begin: "", piece: strings.Repeat("HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 0\r\n\r\n", 50)},
	{name: "body until the end", begin: signed + "\r\n", piece: strings.Repeat("x", 64<<10)},
	{
		name:  "chunks",
		begin: signed + "Transfer-Encoding: chunked\r\n\r\n",
		piece: "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n",
	},
	{
		name:  "extension of a chunk",
		begin: signed + "Transfer-Encoding: chunked\r\n\r\n1;a=",
		piece: strings.Repeat("x", 8<<10),
	},
	{
		name:  "trailers",
		begin: signed + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n0\r\n",
		piece: "X-A: " + strings.Repeat("x", 8<<10) + "\r\n",
	},
	{name: "length beyond any memory", begin: signed + "Content-Length: 1000000000000\r\n\r\n", piece: strings.Repeat("x", 64<<10)},
}

// peakHeap returns the peak increase in bytes of the heap while work runs.
func peakHeap(work func()) int64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	peak := make(chan int64)
	go func() {
		top := int64(0)
		for {
			runtime.ReadMemStats(&now)
			top = max(top, int64(now.HeapAlloc)-int64(before.HeapAlloc))
			select {
			case <-done:
				peak <- top
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	work()
	close(done)
	return <-peak
}

// Guards against a target whose answer has no end: it must take little memory, and its request must fail at once.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const maxTaken = 2 << 20 // 1 MB reserved, besides what the kernels of both sides buffer.
	for _, f := range endlessAnswers {
		t.Run(f.name, func(t *testing.T) {
			e := newEndlessTarget(t, f.begin, f.piece, 0)
			p := newPool(t)
			begun := time.Now()
			r := p.Do(context.Background(), e.newCall("7"))
			assert.Equal(t, r.Status, 0, "%v", r.Err)
			assert.Equal(t, r.Verdict, steer.MayHaveRun)
			assert.Assert(t, time.Since(begun) < time.Second, "took %v", time.Since(begun))
			for e.open.Load() > 0 && time.Since(begun) < 3*time.Second {
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, e.open.Load(), int64(0), "the connection is closed")
			assert.Assert(t, e.sent.Load() < 6*maxTaken, "took %d bytes", e.sent.Load())
		})
	}
}

// Guards against a process that runs out of memory because many targets send endless answers at the same time.
func TestManyEndlessAnswersStayWithinMemory(t *testing.T) {
	const connections = 200
	const memory = 184 << 20
	const maxPeak = memory * 2 / 3 // The rest is for requests, tables and connections.
	for _, f := range endlessAnswers {
		t.Run(f.name, func(t *testing.T) {
			e := newEndlessTarget(t, f.begin, f.piece, 0)
			p := back.New(back.Config{
				Headers: names,
				Memory:  memory,
			})
			t.Cleanup(p.Stop)
			peak := peakHeap(func() {
				var wait sync.WaitGroup
				for range connections {
					wait.Go(func() {
						r := p.Do(context.Background(), e.newCall("7"))
						r.Discard()
					})
				}
				wait.Wait()
			})
			t.Logf("%d MB, %d KB for each connection", peak>>20, peak/connections>>10)
			assert.Assert(t, peak < maxPeak, "%d MB", peak>>20)
		})
	}
}

// Guards against requests that are sent without memory for their answers, and against memory that is never freed.
func TestCallsWithoutMemoryAreNotSent(t *testing.T) {
	const body = 400 << 10
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body))
	s := newScriptedTarget(t, func(int, int) string { return text })
	p := back.New(back.Config{
		Headers: names,
		Memory:  8 << 20, // 2 MB for answers that are awaited: four of these.
	})
	t.Cleanup(p.Stop)
	large := func(id string) back.Call {
		c := newCall(s, id)
		c.SizeClass = "large"
		return c
	}
	first := p.Do(context.Background(), large("0"))
	assert.NilError(t, first.Err)
	assert.Equal(t, len(first.Body), body)
	first.Discard()
	var kept []back.Result
	refused := 0
	for i := range 8 {
		r := p.Do(context.Background(), large(fmt.Sprint(i+1)))
		if errors.Is(r.Err, back.ErrNoMemory) {
			assert.Equal(t, r.Verdict, steer.NotRun)
			assert.Assert(t, !r.Sent)
			refused++
			continue
		}
		assert.NilError(t, r.Err)
		kept = append(kept, r)
	}
	assert.Equal(t, len(kept), 4)
	assert.Equal(t, refused, 4)
	requests, _, _ := s.stats()
	assert.Equal(t, len(requests), 5, "a request without memory for its answer is not sent")
	for _, r := range kept {
		r.Discard()
		r.Discard() // A second call has no effect.
	}
	for i := range 8 {
		r := p.Do(context.Background(), large(fmt.Sprint(i+10)))
		assert.NilError(t, r.Err)
		r.Discard()
	}
}

// Guards against answers that are lost because they are larger than earlier ones.
func TestLargeAnswersArriveWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int
		head   string
	}{
		{name: "540 KB with a length", length: 540 << 10, head: "Content-Length: 552960\r\n"},
		{name: "4 MB with a length", length: 4 << 20, head: "Content-Length: 4194304\r\n"},
		{name: "1 MB until the end", length: 1 << 20},
		{name: "64 KB until the end", length: 64 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := strings.Repeat("x", c.length)
			end := "|CLOSE"
			s := newScriptedTarget(t, func(int, int) string {
				return "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n" + c.head + "\r\n" + body + end
			})
			r := newPool(t).Do(context.Background(), newCall(s, "7"))
			assert.NilError(t, r.Err)
			assert.Equal(t, len(r.Body), c.length)
			r.Discard()
		})
	}
}

// Guards against a request that waits for a slow answer until there is no time left to try another target.
func TestSlowAnswerLeavesTimeForRetry(t *testing.T) {
	for _, f := range []struct{ name, begin, piece string }{
		{name: "head", begin: signed, piece: "X: 1\r\n"},
		{name: "body", begin: signed + "Content-Length: 100000\r\n\r\n", piece: "x"},
	} {
		t.Run(f.name, func(t *testing.T) {
			e := newEndlessTarget(t, f.begin, f.piece, 20*time.Millisecond)
			p := newPool(t)
			c := e.newCall("7")
			c.Deadline = time.Now().Add(2 * time.Second)
			c.Retryable = true
			begun := time.Now()
			r := p.Do(context.Background(), c)
			took := time.Since(begun)
			assert.ErrorIs(t, r.Err, back.ErrUnfinished)
			assert.Equal(t, r.Verdict, steer.MayHaveRun)
			assert.Assert(t, took > 800*time.Millisecond && took < 1300*time.Millisecond, "took %v", took)
			c.Retryable = false
			c.Deadline = time.Now().Add(time.Second)
			r = p.Do(context.Background(), c)
			assert.ErrorIs(t, r.Err, context.DeadlineExceeded, "without a retry it waits until its deadline")
		})
	}
}

// Guards against a second copy of an answer that arrives after its connection was reused for another request: the caller must
// get its own answer or none.
func TestDuplicateAnswerIsNotDelivered(t *testing.T) {
	const rounds = 40
	for _, c := range []struct {
		name string
		copy string // Second copy of the first answer, sent before the second answer.
		ok   bool   // The second request gets its answer.
	}{
		{name: "with its id", copy: "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nfirst", ok: true},
		{name: "without an id", copy: "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nfirst"},
		{name: "refusal with its id", copy: "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ok: true},
		{name: "refusal without an id", copy: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedTarget(t, func(connection, request int) string {
				if connection == 1 && request == 2 {
					return c.copy + "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 6\r\n\r\nsecond"
				}
				return ok("fresh")
			})
			p := newPool(t)
			first := p.Do(context.Background(), newCall(s, "1"))
			assert.NilError(t, first.Err)
			second := p.Do(context.Background(), newCall(s, "2"))
			assert.Assert(t, second.Reused)
			if c.ok {
				assert.NilError(t, second.Err)
				assert.Equal(t, string(second.Body), "second")
			} else {
				assert.Equal(t, second.Status, 0)
				assert.Equal(t, second.Verdict, steer.MayHaveRun)
			}
			for i := range rounds {
				r := p.Do(context.Background(), newCall(s, fmt.Sprint(i+3)))
				assert.NilError(t, r.Err)
				assert.Equal(t, string(r.Body), "fresh")
			}
		})
	}
}

// Guards against requests for small answers that are refused because large answers wait for their callers to read them.
func TestLargeAnswersLeaveMemoryToSmallOnes(t *testing.T) {
	const body = 152 << 10
	large := newScriptedTarget(t, func(int, int) string { return ok(strings.Repeat("x", body)) })
	small := newScriptedTarget(t, func(int, int) string { return ok("small") })
	p := back.New(back.Config{
		Headers: names,
		Memory:  8 << 20, // 2 MB for answers that are awaited.
	})
	t.Cleanup(p.Stop)
	for id := 0; ; id++ {
		c := newCall(large, fmt.Sprint("large-", id))
		c.SizeClass = "large"
		r := p.Do(context.Background(), c)
		if errors.Is(r.Err, back.ErrNoMemory) {
			assert.Assert(t, id >= 10, "memory holds %d answers", id)
			break
		}
		assert.NilError(t, r.Err)
	}
	for id := range 16 { // An answer of an unknown class takes 64 KB until it is read.
		c := newCall(small, fmt.Sprint("small-", id))
		c.SizeClass = "small"
		assert.NilError(t, p.Do(context.Background(), c).Err, "answer %d", id)
	}
}

// Guards against bodies of requests that a target does not read, which hold memory and a connection beyond the deadline.
func TestTargetThatDoesNotReadBodies(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // Connections are opened by the kernel and never read.
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	const (
		requests = 12
		size     = 8 << 20 // More than the kernels of both sides buffer.
	)
	p := newPool(t)
	body := make([]byte, size)
	begun := time.Now()
	goroutines := runtime.NumGoroutine()
	peak := peakHeap(func() {
		var wait sync.WaitGroup
		for id := range requests {
			wait.Go(func() {
				r := p.Do(context.Background(), back.Call{
					Endpoint: &steer.Endpoint{
						ID:      "target-1",
						Address: netip.MustParseAddrPort(listener.Addr().String()),
					},
					Method:    http.MethodPost,
					Target:    "/x",
					Host:      "h.example",
					Body:      body,
					HasBody:   true,
					RequestID: fmt.Sprint(id),
					Deadline:  begun.Add(500 * time.Millisecond),
				})
				if !errors.Is(r.Err, context.DeadlineExceeded) || r.Verdict != steer.MayHaveRun {
					t.Errorf("%v, %v", r.Verdict, r.Err)
				}
			})
		}
		wait.Wait()
	})
	took := time.Since(begun)
	t.Logf("%v, %d KB", took, peak>>10)
	assert.Assert(t, took < 1500*time.Millisecond, "took %v", took)
	assert.Assert(t, peak < size, "a copy of each body is %d MB", requests*size>>20)
	for runtime.NumGoroutine() > goroutines && time.Since(begun) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, runtime.NumGoroutine() <= goroutines, "writing goes on after the deadline")
}
