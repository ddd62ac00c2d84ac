package pass_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"path"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/front"
)

// Guards against headers of a caller that bring its key to a target, forge a customer, or run a request without a key.
func FuzzRequestHeader(f *testing.F) {
	const key = "secret"
	e := newTestEnv(f, 1, succeed)
	f.Add("GET", "/query/x", "Key", key)
	f.Add("POST", "/booking/x", "Deadline", "-1")
	f.Add("PUT", "/open/../query/x", "Customer", "forged")
	f.Add("GET", "/query/x?y", "Connection", "Key, Customer, x")
	f.Add("GET", "//query/x", "Expected", "other")
	f.Add("GET", "/open/../query/x", "Key", "other")
	f.Add("GET", "/open/%2E%2e%2fquery/x", "Key", "other")
	f.Add("HEAD", "/open/x", "Content-Length", "5")
	f.Add("GET", "/query/x", "Transfer-Encoding", "chunked")
	f.Fuzz(func(t *testing.T, method, target, name, value string) {
		text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nKey: %s\r\n%s: %s\r\n\r\n", method, target, key, name, value)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return // The host would refuse it.
		}
		before := len(e.requests())
		requestPath, _, _ := strings.Cut(r.RequestURI, "?")
		response := e.handler.Serve(context.Background(), &front.Request{
			Method:  r.Method,
			Target:  r.RequestURI,
			Host:    r.Host,
			Path:    requestPath,
			Header:  r.Header,
			Arrived: time.Now(),
		})
		if response.Release != nil {
			response.Release()
		}
		keyed := len(r.Header.Values("Key")) == 1 && r.Header.Get("Key") == key
		for _, run := range e.requests()[before:] {
			assert.Equal(t, len(run.Header.Values("Key")), 0, "the target got the key")
			assert.Equal(t, len(run.Header.Values("Expected")), 1)
			assert.Equal(t, run.Header.Get("Expected"), "target-0")
			open := strings.HasPrefix(path.Clean(run.URL.Path)+"/", "/open/") // As a target may resolve it.
			assert.Assert(t, keyed || open, "ran %s without a key", run.RequestURI)
			if keyed && !open {
				assert.DeepEqual(t, run.Header.Values("Customer"), []string{"naviera"})
			}
			if open {
				assert.Assert(t, run.Header.Get("Customer") != "forged", "a forged customer")
			}
		}
	})
}
