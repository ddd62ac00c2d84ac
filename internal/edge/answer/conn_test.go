package answer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/answer"
)

// get sends a request to a server that answers with the given bytes, in pieces of a size, and returns the body. The server may close
// the connection after them.
func get(t *testing.T, text string, size int, closes bool) (string, error) {
	t.Helper()
	transport := &http.Transport{
		DialContext: answer.Dial(func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return
				}
				for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
					if _, err := io.WriteString(server, rest[:min(size, len(rest))]); err != nil {
						return
					}
				}
				if !closes {
					_, _ = io.Copy(io.Discard, server)
				}
			}()
			return client, nil
		}),
	}
	defer transport.CloseIdleConnections()
	client := http.Client{
		Transport: answer.Transport{
			Base: transport,
		},
		Timeout: 5 * time.Second,
	}
	response, err := client.Get("http://target.example/")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a folded line that is found or not by the pieces in which an answer arrives, and against lines of a body that are
// taken for those of a head.
func TestFoldedLinesAreFoundInHeadsOnly(t *testing.T) {
	const (
		notOne = "not one answer to the request"
		body   = "\r\n a\r\n\tb\n c\r\n\r\n d"
	)
	for _, c := range []struct{ name, text, body, failure string }{
		{name: "length", text: "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + body, body: body},
		{name: "bare line feeds", text: "HTTP/1.1 200 OK\nContent-Length: 17\n\n" + body, body: body},
		{name: "no length", text: "HTTP/1.1 200 OK\r\n\r\n" + body, body: body},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n" + body + "\r\n0\r\n\r\n", body: body},
		{name: "informational", text: "HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n" + body, body: body},
		{name: "folded", text: "HTTP/1.1 200 OK\r\nA: 1\r\n Content-Length: 2\r\n\r\n" + body, failure: notOne},
		{name: "folded by a tab", text: "HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 1\r\nContent-Length: 17\r\n\r\n" + body, failure: notOne},
		{name: "folded after a bare line feed", text: "HTTP/1.1 200 OK\r\nA: 1\n B: 1\r\n\r\n" + body, failure: notOne},
		{name: "folded by an empty line", text: "HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n" + body, failure: notOne},
		{name: "folded in the first line", text: "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n" + body, failure: notOne},
		{name: "folded informational", text: "HTTP/1.1 103 Hints\r\nA: 1\r\n B: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + body, failure: notOne},
		{name: "folded after informational", text: "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n" + body, failure: notOne},
		{name: "blank in a name", text: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n" + body, failure: notOne},
	} {
		for size := 1; size <= len(c.text); size++ {
			got, err := get(t, c.text, size, c.failure == "")
			if c.failure == "" {
				assert.NilError(t, err, "%s, pieces of %d bytes", c.name, size)
				assert.Equal(t, got, c.body, "%s, pieces of %d bytes", c.name, size)
				continue
			}
			assert.ErrorContains(t, err, c.failure, "%s, pieces of %d bytes", c.name, size)
		}
	}
}
