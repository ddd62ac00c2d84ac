package back_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/meter"
)

// Guards against a load of the link that leaves out bytes exchanged with targets.
func TestTrafficWithTargetsIsCounted(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000)
	target := newScriptedTarget(t, func(int, int) string { return answer })
	var traffic meter.Traffic
	p := back.New(back.Config{
		Headers: names,
		Traffic: &traffic,
	})
	t.Cleanup(p.Stop)
	for i := range 3 {
		result := p.Do(context.Background(), newCall(target, fmt.Sprint("id-", i)))
		assert.NilError(t, result.Err)
	}
	requests, _, _ := target.stats()
	length := 0
	for _, head := range requests {
		length += len(head) + len("\r\n")
	}
	received, sent := traffic.Bytes()
	assert.Equal(t, received, int64(3*(len(answer)+len("id-0")-len("ID"))))
	assert.Assert(t, sent >= int64(length), "%d bytes sent, of which %d in heads", sent, length)
}
