package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/meter"
)

// Guards against a load of the link that leaves out bytes, of short or long bodies.
func TestTrafficWithCallersIsCounted(t *testing.T) {
	for _, size := range []int{100, 90_000} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		var traffic meter.Traffic
		s := front.New(front.Config{
			Listener: listener,
			Handler: func(context.Context, *front.Request) front.Response {
				return front.Response{
					Status: 200,
					Body:   make([]byte, size),
				}
			},
			Limits:  func() steer.RequestLimits { return steer.RequestLimits{} },
			Traffic: &traffic,
		})
		c, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		n, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
		assert.NilError(t, err)
		response, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, s.Close(ctx))
		received, sent := traffic.Bytes()
		assert.Equal(t, received, int64(n))
		assert.Equal(t, sent, int64(len(response)))
		assert.Assert(t, len(response) > size)
	}
}
