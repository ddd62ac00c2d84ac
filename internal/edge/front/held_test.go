package front_test

import (
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

// Guards against a request that is dropped at a shutdown because it waits until the caller has read earlier answers.
func TestWaitingRequestIsAnsweredAtShutdown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	finish := make(chan struct{})
	s := front.New(front.Config{
		Listener:      listener,
		Memory:        32 << 20, // 512 KB for each connection.
		ExpectedBytes: func(*front.Request) int64 { return 400 << 10 },
		Limits:        func() steer.RequestLimits { return steer.RequestLimits{} },
		Handler: func(ctx context.Context, r *front.Request) front.Response {
			select {
			case <-finish:
			case <-ctx.Done():
			}
			return echo(ctx, r)
		},
	})
	c, r := dial(t, listener.Addr().String())
	_, err = io.WriteString(c, strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond) // The first request runs, the second one waits.
	closed := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		closed <- s.Close(ctx)
	}()
	time.Sleep(50 * time.Millisecond)
	close(finish)
	for range 2 {
		status, _, _ := readResponse(t, r)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.NilError(t, <-closed)
}
