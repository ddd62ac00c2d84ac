package answer_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/answer"
)

// Guards against a body that keeps a host busy, or takes memory that is not reserved for it, because it looks like many answers.
func TestBodyOfManyHeadsCostsLittle(t *testing.T) {
	const size = 4 << 20
	following := answer.Following{
		Bytes: []byte("HTTP/1.1 200 OK\r\n"),
	}
	for _, piece := range []string{"HTTP/1.1 200 a\r\nX: ", "HTTP/1.", "HTTP/1.1 200 OK\r\n\r\n", "H"} {
		body := bytes.Repeat([]byte(piece), size/len(piece))
		begun := time.Now()
		allocated := testing.AllocsPerRun(1, func() { _ = answer.CheckBody(body, following, "Id") })
		t.Logf("%q: %v, %v allocations", piece, time.Since(begun)/2, allocated)
		assert.Assert(t, time.Since(begun) < 2*time.Second, piece)
	}
}

// Guards against a head that is not found because it begins near the end of a long body, or continues behind it.
func TestFindsHeadAnywhereInBody(t *testing.T) {
	const late = "HTTP/1.1 503 Busy\r\nA: 1\r\nId: 6\r\nContent-Length: 0\r\n\r\n"
	for _, size := range []int{100, 4 << 10, 5 << 10, 100 << 10} {
		filler := strings.Repeat("x", size)
		for cut := 1; cut <= len(late); cut++ {
			assert.Assert(t, answer.CheckBody([]byte(filler+late[:cut]), answer.Following{Bytes: []byte(late[cut:] + "more")}, "Id") != nil, "%d, %q", size, late[:cut])
			assert.Assert(t, answer.CheckBody([]byte(late[:cut]+filler), answer.Following{}, "Id") == nil || cut > strings.Index(late, "Id:"), "%q", late[:cut])
		}
		assert.Assert(t, answer.CheckBody([]byte(filler+late+filler), answer.Following{}, "Id") != nil)
		assert.NilError(t, answer.CheckBody([]byte(filler), answer.Following{Bytes: []byte(late)}, "Id"))
	}
}

// Guards against answers with a status that HTTP does not have, alone and behind an answer that is broken off.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for status, valid := range map[int]bool{
		-1: false, 0: false, 99: false, 100: true, 101: true, 200: true, 404: true, 599: true, 600: false, 777: false, 999: false,
	} {
		head := http.Response{
			StatusCode: status,
		}
		assert.Equal(t, answer.CheckHead(&head) == nil, valid, status)
		if status < 0 {
			continue
		}
		line := fmt.Sprintf("HTTP/1.1 %03d X", status)
		head = http.Response{
			StatusCode: http.StatusOK,
			Header:     http.Header{"X": {"a" + line}},
		}
		assert.ErrorIs(t, answer.CheckHead(&head), answer.ErrNotOne, line)
		assert.ErrorIs(t, answer.CheckBody([]byte("some "+line+"\r\nId: 6\r\n\r\n"), answer.Following{}, "Id"), answer.ErrNotOne, line)
	}
}
