package front_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/front"
)

const (
	expectHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n"
	interim    = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Guards against an interim response inside the body of an earlier response, or before an earlier response.
func TestInterimResponseComesAfterEarlierResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		delay  time.Duration // Of the handler.
		size   int           // Of the body of the first response. Large ones are written in steps of 128 KB.
		rounds int
	}{
		{name: "the earlier request is in progress", delay: 100 * time.Millisecond, size: 10, rounds: 1},
		{name: "the earlier response is being written", size: 1 << 20, rounds: 300}, // Before the fix, one of the first 20 to 100 was changed.
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			body := bytes.Repeat([]byte("x"), c.size)
			_, address := startServer(t, func(ctx context.Context, r *front.Request) front.Response {
				if r.Target != "/first" {
					return echo(ctx, r)
				}
				time.Sleep(c.delay)
				return front.Response{
					Status: http.StatusOK,
					Body:   body,
				}
			})
			socket, r := dial(t, address)
			line := make([]byte, len(interim))
			for range c.rounds {
				send(t, socket, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
				if c.delay == 0 {
					_, err := r.Peek(1) // The response has begun.
					assert.NilError(t, err)
				}
				send(t, socket, expectHead)
				_, got, _ := readResponse(t, r)
				assert.Equal(t, len(got), c.size)
				assert.Assert(t, got == string(body), "the body of the first response was changed")
				_, err := io.ReadFull(r, line)
				assert.NilError(t, err)
				assert.Equal(t, string(line), interim)
				send(t, socket, "hello")
				_, got, _ = readResponse(t, r)
				assert.Assert(t, strings.Contains(got, "hello"), got)
			}
		})
	}
}

// Guards against a connection that is closed instead of an interim response, because the time for writing the earlier one is over.
func TestInterimResponseHasItsOwnTimeForWriting(t *testing.T) {
	t.Parallel()
	s, address := startServerWithDefaultLimits(t, echo)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.Check(t, s.Close(ctx))
	})
	socket, r := dial(t, address)
	send(t, socket, quickRequest)
	readResponse(t, r)
	time.Sleep(10*time.Second + 100*time.Millisecond) // Longer than the server may take to write a response.
	assert.NilError(t, socket.SetDeadline(time.Now().Add(5*time.Second)))
	send(t, socket, expectHead)
	line := make([]byte, len(interim))
	_, err := io.ReadFull(r, line)
	assert.NilError(t, err)
	assert.Equal(t, string(line), interim)
	send(t, socket, "hello")
	_, got, _ := readResponse(t, r)
	assert.Assert(t, strings.Contains(got, "hello"), got)
}

// startServerWithDefaultLimits starts a server that the test must close.
func startServerWithDefaultLimits(t *testing.T, handler front.Handler) (*front.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return front.New(front.Config{
		Listener: listener,
		Handler:  handler,
		Limits:   func() steer.RequestLimits { return steer.RequestLimits{} },
	}), listener.Addr().String()
}

// Guards against a reset that discards the last response of a stopping server, because the caller has sent the body of a further
// request without waiting for the interim response.
func TestStoppingServerDeliversResponseBeforeInterimResponse(t *testing.T) {
	t.Parallel()
	const size = 4 << 20 // More than the kernel takes from the server at once.
	started := make(chan struct{})
	s, address := startServerWithDefaultLimits(t, func(context.Context, *front.Request) front.Response {
		close(started)
		time.Sleep(300 * time.Millisecond)
		return front.Response{
			Status: http.StatusOK,
			Body:   bytes.Repeat([]byte("x"), size),
		}
	})
	socket, r := dial(t, address)
	send(t, socket, quickRequest)
	<-started
	send(t, socket, strings.Replace(expectHead, "Content-Length: 5", "Content-Length: 100000", 1)+strings.Repeat("y", 100_000))
	time.Sleep(50 * time.Millisecond) // Until the head is read.
	closed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		closed <- s.Close(ctx)
	}()
	_, got, response := readResponse(t, r)
	assert.Assert(t, response.Close)
	assert.Equal(t, len(got), size)
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, socket.Close())
	assert.NilError(t, <-closed)
}
