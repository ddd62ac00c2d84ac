package back_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// invalidFields are header lines whose name is not a token. Behind another line, those that begin with a blank are folded lines.
var invalidFields = []string{
	"X Y: 1", "X : 1", " X: 1", "\tX: 1", "X\t: 1", "X\tY: 1", " : 1", ": 1", " ", "\t", "X",
	"X\x00: 1", "X\x01Y: 1", "\x1bX: 1", "X\x7f: 1", "X\x0bY: 1", "X\rY: 1", "X\u00a0: 1",
	"Content-Length : 2", "Content Length: 2", " Content-Length: 2", "\tContent-Length: 2", "Content-Length\x00: 2", "\x00Content-Length: 2",
	"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Transfer-Encoding\x01: chunked",
	"Connection : close", "Not-Run : 1", " Not-Run: 1", "Not-Run\x00: 1", "Id : 6", " Id: 6", "Signature : t", "Limit : 1", "Keep-Alive : timeout=1",
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte: it must not reach the caller with that
// line, or with a body that is not the target's because the line would have said where the body ends. Nothing in such an answer may
// count, and its connection must not be used again.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct{ status, head, body string }{
		"success":       {status: "200 OK", head: "Id: ID|Signature: s|Load: 9,9,9|Limit: 1|Content-Length: 2", body: "ok"},
		"closing":       {status: "200 OK", head: "Id: ID|Signature: s|Connection: close|Content-Length: 2", body: "ok"},
		"chunks":        {status: "200 OK", head: "Id: ID|Signature: s|Transfer-Encoding: chunked", body: "2\r\nok\r\n0\r\n\r\n"},
		"without body":  {status: "204 No Content", head: "Id: ID|Signature: s", body: ""},
		"no length":     {status: "200 OK", head: "Id: ID|Signature: s", body: "ok" + ok("late") + "|CLOSE"},
		"failure":       {status: "500 Oops", head: "Id: ID|Signature: s|Content-Length: 2", body: "no"},
		"not run":       {status: "503 Busy", head: "Id: ID|Not-Run: 1|Load: 9,9,9|Content-Length: 0", body: ""},
		"informational": {status: "100 Continue", head: "A: 1|B: 2", body: ok("ok")},
	} {
		lines := strings.Split(c.head, "|")
		for _, field := range invalidFields {
			for _, at := range []int{0, 1, len(lines)} {
				t.Run(fmt.Sprintf("%s, %q, line %d", name, field, at), func(t *testing.T) {
					t.Parallel()
					head := append(append(append([]string{"HTTP/1.1 " + c.status}, lines[:at]...), field), lines[at:]...)
					s := newScriptedTarget(t, func(connection, _ int) string {
						if connection == 1 {
							return strings.Join(head, "\r\n") + "\r\n\r\n" + c.body
						}
						return ok("fresh")
					})
					p := newPool(t)
					begun := time.Now()
					r := p.Do(context.Background(), newCall(s, "7"))
					assert.Check(t, time.Since(begun) < time.Second, "answered after %v", time.Since(begun)) // The deadline is 2 s away.
					assert.Check(t, r.Verdict == steer.MayHaveRun && r.Status == 0 && r.Err != nil, "%+v", r)
					assert.Check(t, r.Load == nil && r.Limit == nil && !r.Gone && !r.Signed && !r.Closing && len(r.Body) == 0, "%+v", r)
					next := p.Do(context.Background(), newCall(s, "8"))
					assert.Check(t, next.Err == nil && !next.Reused && string(next.Body) == "fresh", "%+v", next)
				})
			}
		}
	}
}
