package back_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// Guards against a status that HTTP does not have: one below 100 that is taken for an informational answer, so that the request
// waits for another answer until its deadline, and one above 599 that reaches the caller. Nothing in such an answer may count, and
// its connection must not be used again.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const atOnce = 500 * time.Millisecond // The deadline is 2 s away.
	for _, status := range []string{"000", "001", "012", "099", "600", "777", "999"} {
		for name, head := range map[string]string{
			"signed":    "Id: ID\r\nSignature: s\r\nLoad: 9,9,9\r\nLimit: 1\r\nContent-Length: 0\r\n\r\n",
			"with body": "Id: ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
			"not run":   "Id: ID\r\nNot-Run: 1\r\nLoad: 9,9,9\r\nLimit: 1\r\nContent-Length: 0\r\n\r\n",
			"closing":   "Id: ID\r\nTarget: target-2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			"no id":     "Content-Length: 0\r\n\r\n",
			"only head": "\r\n",
		} {
			for _, retryable := range []bool{false, true} {
				t.Run(status+" "+name, func(t *testing.T) {
					t.Parallel()
					s := newScriptedTarget(t, func(connection, _ int) string {
						if connection == 1 {
							return "HTTP/1.1 " + status + " X\r\n" + head
						}
						return ok("fresh")
					})
					p := newPool(t)
					call := newCall(s, "7")
					call.Retryable, call.AtMostOnce = retryable, !retryable
					begun := time.Now()
					r := p.Do(context.Background(), call)
					assert.Check(t, time.Since(begun) < atOnce, "answered after %v", time.Since(begun))
					assert.Check(t, r.Verdict == steer.MayHaveRun && r.Status == 0 && r.Err != nil, "%+v", r)
					assert.Check(t, r.Load == nil && r.Limit == nil && !r.Gone && !r.Signed && !r.Closing && len(r.Body) == 0, "%+v", r)
					next := p.Do(context.Background(), newCall(s, "8"))
					assert.Check(t, next.Err == nil && !next.Reused && string(next.Body) == "fresh", "%+v", next)
				})
			}
		}
	}
}

// Guards against a target that holds up a request by small informational answers, and against too few of them before an answer.
func TestInformationalAnswersAreBounded(t *testing.T) {
	const piece = "HTTP/1.1 102 Processing\r\n\r\n"
	for _, c := range []struct {
		count int
		runs  bool
	}{
		{count: 0, runs: true},
		{count: 64, runs: true},
		{count: 65},
		{count: 2000}, // Within the limit in bytes.
	} {
		s := newScriptedTarget(t, func(connection, _ int) string {
			if connection > 1 {
				return ok("fresh")
			}
			return strings.Repeat(piece, c.count) + ok("abc")
		})
		p := newPool(t)
		r := p.Do(context.Background(), newCall(s, "7"))
		if c.runs {
			assert.Check(t, r.Err == nil && r.Verdict == steer.Ran && r.Status == http.StatusOK, "%d: %+v", c.count, r)
			continue
		}
		assert.Check(t, r.Err != nil && r.Verdict == steer.MayHaveRun && r.Status == 0, "%d: %+v", c.count, r)
		next := p.Do(context.Background(), newCall(s, "8"))
		assert.Check(t, next.Err == nil && !next.Reused && string(next.Body) == "fresh", "%d: %+v", c.count, next)
	}
}

// Guards against an answer that is broken off anywhere and the late copy of one with an invalid status that pass for one answer.
func TestBrokenAnswerAndInvalidCopyAreNotOneAnswer(t *testing.T) {
	for _, broken := range brokenAnswers {
		if broken.name != "id first" && !broken.unframed { // A selection, as each byte of an answer costs a target and its ports.
			continue
		}
		for _, late := range []string{
			"HTTP/1.1 000 None\r\nId: earlier\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n|CLOSE",
			"HTTP/1.1 777 None\r\nId: earlier\r\nSignature: other\r\nContent-Length: 0\r\n\r\n|CLOSE",
		} {
			t.Run(broken.name+" and "+late[:len("HTTP/1.1 000")], func(t *testing.T) {
				for cut := range len(broken.text) + 1 {
					checkSplice(t, broken.text, cut, late, broken.unframed)
				}
			})
		}
	}
}
