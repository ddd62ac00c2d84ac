package back_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
)

// uploadBytes is the size of a request body that the kernels of both sides do not buffer, so that it is still being written when
// its answer arrives.
const uploadBytes = 8 << 20

// newUploadTarget starts a target that reads part of each upload, answers, and then ends the connection by the given function.
func newUploadTarget(t *testing.T, answer string, end func(c *net.TCPConn)) *steer.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.ReadFull(c, make([]byte, 64<<10))
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", "7"))
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return &steer.Endpoint{
		ID:      "target-1",
		Address: netip.MustParseAddrPort(listener.Addr().String()),
	}
}

// upload sends a body that the target does not read to its end.
func upload(p *back.Pool, e *steer.Endpoint) back.Result {
	return p.Do(context.Background(), back.Call{
		Endpoint:   e,
		Method:     http.MethodPost,
		Target:     "/x",
		Host:       "h.example",
		Body:       make([]byte, uploadBytes),
		HasBody:    true,
		RequestID:  "7",
		Deadline:   time.Now().Add(5 * time.Second),
		AtMostOnce: true,
	})
}

// resetConn ends a connection with a reset.
func resetConn(c *net.TCPConn) { _ = c.SetLinger(0) }

// Guards against a part of an answer that is delivered as a whole one: a target answers while the upload is still being written and
// resets the connection. The kernel reports the reset once. If the write gets it, the next read returns the end of the stream, which
// also ends an answer without a length.
func TestAnswerResetDuringUploadIsNotDelivered(t *testing.T) {
	const attempts = 30 // Either side may get the reset.
	part := strings.Repeat("x", 40<<10)
	for name, answer := range map[string]string{
		"no length":           "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n",
		"no length, closing":  "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nConnection: close\r\n\r\n",
		"no length, HTTP/1.0": "HTTP/1.0 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n",
		"no length, failure":  "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\n\r\n",
		"length":              "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 50000\r\n\r\n",
		"chunks":              "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\na001\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newUploadTarget(t, answer+part, resetConn)
			p := newPool(t)
			delivered := 0
			for range attempts {
				r := upload(p, e)
				if r.Err == nil {
					delivered++
				}
				r.Discard()
				assert.Check(t, r.Err == nil || r.Verdict == steer.MayHaveRun && r.Status == 0 && !r.Signed && len(r.Body) == 0, "%+v", r)
			}
			assert.Equal(t, delivered, 0, "of %d answers that were broken off", attempts)
		})
	}
}

// Guards against an early answer without a length that is rejected although the target ends it properly, whether the target reads
// the rest of the upload afterwards or not.
func TestAnswerThatEndsDuringUploadIsDelivered(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 40<<10)
	answer := "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n" + string(body)
	for name, rest := range map[string]func(c *net.TCPConn){
		"reads on": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"waits":    func(*net.TCPConn) { time.Sleep(200 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			e := newUploadTarget(t, answer, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				rest(c)
			})
			p := newPool(t)
			for range 20 {
				r := upload(p, e)
				assert.NilError(t, r.Err)
				assert.Assert(t, r.Status == http.StatusOK && r.Signed && bytes.Equal(r.Body, body))
				r.Discard()
			}
		})
	}
}
