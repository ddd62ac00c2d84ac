package relay_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// Guards against a part of an answer that is delivered as a whole one: a target or another host answers while the upload is still
// being written, and resets the connection. A write that gets the reset leaves an end of the stream to the reader.
func TestAnswerResetDuringUploadIsNotDelivered(t *testing.T) {
	const attempts = 10           // Either side may get the reset.
	defer time.Sleep(time.Second) // net/http keeps the connection of an upload that was not read to its end for 500 ms.
	upload := make([]byte, 8<<20)
	part := strings.Repeat("x", 8<<10)
	for framing, head := range map[string]string{
		"no length": "",
		"length":    "Content-Length: 9000\r\n",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n3000",
	} {
		for _, from := range []string{"target", "host"} {
			t.Run(framing+", "+from, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { _ = l.Close() })
				go func() {
					for c, err := l.Accept(); err == nil; c, err = l.Accept() {
						go func() {
							defer c.Close()
							_, _ = io.ReadFull(c, make([]byte, 64<<10))
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSteering-Verdict: ran\r\n"+head+"\r\n"+part)
							time.Sleep(20 * time.Millisecond) // The head is read before the reset.
							_ = c.(*net.TCPConn).SetLinger(0)
						}()
					}
				}()
				spec := steer.Target{
					ID:         "t1",
					DataCentre: "a1",
					Address:    addressOf(l),
				}
				if from == "host" {
					spec.DataCentre = "a2"
				}
				f := newFleet(t, spec)
				h := f.addHost("h1", "a1", "a", nil)
				if from == "host" {
					f.addHost("h2", "a2", "a", nil).member.PeerAddress = addressOf(l)
				}
				for range attempts {
					a := call(t, newClient(t), http.MethodPost, h.url+"/s/reservas/open", bytes.NewReader(upload), "Steering-Deadline-Ms", "5000")
					assert.Check(t, a.err != nil || a.status == http.StatusBadGateway, "status %d, %d bytes", a.status, len(a.body))
				}
			})
		}
	}
}
