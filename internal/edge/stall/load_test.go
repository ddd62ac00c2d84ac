package stall_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/stall"
)

// target answers a request for /SIZE with that many bytes.
type target struct {
	listener net.Listener
	slowest  atomic.Int64 // Longest time that the writing of an answer took, in nanoseconds.
}

func newTarget(t *testing.T) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &target{
		listener: listener,
	}
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *target) serve(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	begun := time.Now()
	_, _ = w.Write(make([]byte, size)) // Fails if the host closes the connection.
	_ = http.NewResponseController(w).Flush()
	raise(&s.slowest, int64(time.Since(begun)))
}

// raise sets a maximum to a value if that is larger.
func raise(maximum *atomic.Int64, value int64) {
	for known := maximum.Load(); value > known && !maximum.CompareAndSwap(known, value); {
		known = maximum.Load()
	}
}

// host is a front and a back around a handler that forwards each request to one target.
type host struct {
	address string
	ids     atomic.Int64
	refused atomic.Int64
	running atomic.Int64 // Requests whose handler has begun.
	held    atomic.Int64 // Bytes of answers that the host holds.
	peak    atomic.Int64 // Maximum of held.
}

func (h *host) hold(n int64) {
	raise(&h.peak, h.held.Add(n))
}

func (h *host) handle(ctx context.Context, pool *back.Pool, endpoint *steer.Endpoint, r *front.Request) front.Response {
	h.running.Add(1)
	result := pool.Do(ctx, back.Call{
		Endpoint:  endpoint,
		Method:    r.Method,
		Target:    r.Target,
		Host:      "h.example",
		Body:      r.Body,
		HasBody:   r.HasBody,
		RequestID: fmt.Sprint(h.ids.Add(1)),
		SizeClass: r.Target,
		Deadline:  time.Now().Add(3 * time.Second),
	})
	if result.Status == 0 {
		h.refused.Add(1)
		return front.Response{
			Status: http.StatusServiceUnavailable,
		}
	}
	size := int64(len(result.Body))
	h.hold(size)
	var once sync.Once
	return front.Response{
		Status: result.Status,
		Body:   result.Body,
		Release: func() {
			once.Do(func() { h.hold(-size) })
			result.Discard()
		},
	}
}

func newHost(t *testing.T, s *target, memory int64) *host {
	t.Helper()
	slow := stall.New(stall.Config{})
	pool := back.New(back.Config{
		Headers: steer.HeaderNames{
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
		},
		Memory: memory,
		Slow:   slow,
	})
	t.Cleanup(pool.Stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	endpoint := &steer.Endpoint{
		ID:      "target-1",
		Address: netip.MustParseAddrPort(s.listener.Addr().String()),
	}
	h := &host{
		address: listener.Addr().String(),
	}
	server := front.New(front.Config{
		Listener: listener,
		Memory:   memory,
		Slow:     slow,
		ExpectedBytes: func(r *front.Request) int64 {
			bytes, _ := pool.ExpectedBytes(r.Target)
			return bytes
		},
		Limits: func() steer.RequestLimits { return steer.RequestLimits{} },
		Handler: func(ctx context.Context, r *front.Request) front.Response {
			return h.handle(ctx, pool, endpoint, r)
		},
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Close(ctx)
	})
	return h
}

// dialSmall opens a connection whose caller takes few bytes that it does not read.
func dialSmall(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			_ = raw.Control(func(descriptor uintptr) {
				err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			})
			return err
		},
	}
	socket, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func request(size int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", size) }

// fetch requests an answer over a connection of its own and returns its status and the time that it took.
func fetch(address string, size int) (status int, took time.Duration, err error) {
	begun := time.Now()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(socket, request(size)); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return 0, 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, time.Since(begun), err
}

const (
	memory    = 32 << 20 // 8 MB for expected answers, 6.4 MB for others.
	maxHeld   = memory * 45 / 100
	largeSize = 1 << 20
)

// Guards against callers that read nothing, or a byte a second, and use up the memory for the answers of all other callers; and
// against answers that stay at their target meanwhile, which cuts them off.
func TestOthersAreServedWhileCallersDoNotRead(t *testing.T) {
	for _, size := range []int{90 << 10, largeSize} {
		for _, perSecond := range []int{0, 1} {
			t.Run(fmt.Sprintf("%d KB, %d bytes a second", size>>10, perSecond), func(t *testing.T) {
				s := newTarget(t)
				h := newHost(t, s, memory)
				for _, known := range []int{size, 1 << 10} {
					_, _, err := fetch(h.address, known) // The host learns the length.
					assert.NilError(t, err)
				}
				for range 100 {
					socket := dialSmall(t, h.address)
					_, err := io.WriteString(socket, strings.Repeat(request(size), 8))
					assert.NilError(t, err)
					go func() {
						for one := make([]byte, 1); perSecond > 0; time.Sleep(time.Second) {
							if _, err := socket.Read(one); err != nil {
								return
							}
						}
					}()
				}
				time.Sleep(300 * time.Millisecond)
				small, large, slowest := 0, 0, time.Duration(0)
				for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
					status, took, err := fetch(h.address, 1<<10)
					assert.NilError(t, err)
					slowest = max(slowest, took)
					if status != http.StatusOK {
						small++
					}
				}
				for range 20 {
					status, _, err := fetch(h.address, size)
					if err != nil || status != http.StatusOK {
						large++
					}
				}
				t.Logf("held at most %d KB, %d small refused, slowest %v, %d of 20 large refused, %d refused in all, %v at the target",
					h.peak.Load()>>10, small, slowest, large, h.refused.Load(), time.Duration(s.slowest.Load()))
				assert.Assert(t, h.peak.Load() <= maxHeld)
				assert.Equal(t, small, 0)
				assert.Equal(t, large, 0)
				assert.Assert(t, time.Duration(s.slowest.Load()) < 2*time.Second)
			})
		}
	}
}

// Guards against one caller that sends requests ahead, reads slowly, and makes the host hold the answers to all of them.
func TestOneCallerHoldsLittle(t *testing.T) {
	const bound = memory / 64
	s := newTarget(t)
	h := newHost(t, s, memory)
	_, _, err := fetch(h.address, 90<<10)
	assert.NilError(t, err)
	socket := dialSmall(t, h.address)
	_, err = io.WriteString(socket, strings.Repeat(request(90<<10), 64))
	assert.NilError(t, err)
	time.Sleep(500 * time.Millisecond)
	held := h.held.Load()
	t.Logf("holds %d KB, at most %d KB, %d requests run", held>>10, h.peak.Load()>>10, h.running.Load())
	assert.Assert(t, h.peak.Load() <= bound+90<<10)
	reader := bufio.NewReader(socket)
	_ = socket.SetDeadline(time.Now().Add(8 * time.Second))
	for i := range 64 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "answer %d", i)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		n, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(90<<10))
	}
}
