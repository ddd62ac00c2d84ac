package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/front"
)

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

// Guards against a process that runs out of memory because many callers send large or endless bodies at the same time.
func TestManyLargeBodiesStayWithinMemory(t *testing.T) {
	const (
		connections = 200
		memory      = 184 << 20
		maxPeak     = memory / 4 // Of requests, copies and garbage included.
		maxBody     = 1 << 20
	)
	for _, c := range []struct {
		name  string
		head  string
		piece []byte
		count int  // Pieces that are sent; 0 sends them without end.
		held  bool // All bodies are held at the same time, so that some must be refused.
	}{
		{
			name:  "declared length",
			head:  fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody),
			piece: []byte(strings.Repeat("x", 64<<10)),
			count: 16,
			held:  true,
		},
		{
			name:  "declared length that does not arrive",
			head:  fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody),
			piece: []byte(strings.Repeat("x", 64<<10)),
			count: 15,
			held:  true,
		},
		{
			name:  "chunks without end",
			head:  "Transfer-Encoding: chunked\r\n\r\n",
			piece: []byte("10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"),
		},
		{
			name:  "chunks that stop",
			head:  "Transfer-Encoding: chunked\r\n\r\n",
			piece: []byte("10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"),
			count: 15,
			held:  true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var served, refused atomic.Int64
			s := front.New(front.Config{
				Listener: listener,
				Memory:   memory,
				Handler: func(_ context.Context, r *front.Request) front.Response {
					if r.BodyRefused {
						refused.Add(1)
						return front.Response{
							Status: http.StatusServiceUnavailable,
						}
					}
					served.Add(1)
					time.Sleep(300 * time.Millisecond)
					return front.Response{
						Status: http.StatusOK,
						Body:   []byte(fmt.Sprint(len(r.Body))),
					}
				},
				Limits: func() steer.RequestLimits {
					return steer.RequestLimits{
						BodyBytes:     maxBody,
						HeaderTimeout: time.Second,
					}
				},
			})
			t.Cleanup(func() { assert.NilError(t, s.Close(context.Background())) })
			peak := peakHeap(func() {
				var wait sync.WaitGroup
				for range connections {
					wait.Go(func() {
						socket, err := net.Dial("tcp", listener.Addr().String())
						if err != nil {
							t.Error(err)
							return
						}
						defer func() { _ = socket.Close() }()
						_ = socket.SetDeadline(time.Now().Add(1500 * time.Millisecond))
						_, err = socket.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + c.head))
						for n := 0; err == nil && (c.count == 0 || n < c.count); n++ {
							_, err = socket.Write(c.piece)
						}
						var answer [64]byte
						_, _ = socket.Read(answer[:]) // The connection may be closed by then.
					})
				}
				wait.Wait()
			})
			t.Logf("%d MB, %d served, %d refused", peak>>20, served.Load(), refused.Load())
			assert.Assert(t, peak < maxPeak, "%d MB", peak>>20)
			assert.Assert(t, !c.held || refused.Load() > 0, "no request was refused")
			if c.name == "declared length" {
				assert.Assert(t, served.Load() > 0, "no request was served")
			}
		})
	}
}

// Guards against small requests that are refused while large ones take the memory, and against memory that is never freed.
func TestMemoryOfBodiesIsFreed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := front.New(front.Config{
		Listener: listener,
		Memory:   28 << 20, // 2.2 MB for bodies.
		Handler: func(_ context.Context, r *front.Request) front.Response {
			status := http.StatusOK
			if r.BodyRefused {
				status = http.StatusServiceUnavailable
			}
			return front.Response{
				Status: status,
				Body:   []byte(fmt.Sprint(len(r.Body))),
			}
		},
		Limits: func() steer.RequestLimits {
			return steer.RequestLimits{
				BodyBytes: 1 << 20,
			}
		},
	})
	t.Cleanup(func() { assert.NilError(t, s.Close(context.Background())) })
	c, r := dial(t, listener.Addr().String())
	for i, length := range []int{1 << 20, 10, 1 << 20, 64 << 10, 64<<10 + 1, 1 << 20, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
			if chunked {
				head = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
					length, strings.Repeat("x", length))
			}
			_, err := c.Write([]byte(head))
			assert.NilError(t, err)
			status, body, _ := readResponse(t, r)
			assert.Equal(t, status, http.StatusOK, "request %d", i)
			assert.Equal(t, body, fmt.Sprint(length))
		}
	}
}
