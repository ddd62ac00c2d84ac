package guard_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/ops/guard"
)

// Guards against a panic that ends the process, or whose log line does not identify the request and the cause.
func TestRecoversAndLogsPanics(t *testing.T) {
	var logs bytes.Buffer
	registry := metrics.NewRegistry()
	g := guard.New(guard.Config{
		Logger:  log.NewLogfmtLogger(&logs),
		Metrics: registry,
	})
	assert.Assert(t, g.Do("fine", func() {}))
	var m map[string]int
	assert.Assert(t, !g.Do("write", func() { m["x"] = 1 }, "id", "7f"))
	for _, want := range []string{"work=write", "id=7f", "nil map", "guard_test.go"} {
		assert.Assert(t, strings.Contains(logs.String(), want), "%q lacks %q", logs.String(), want)
	}
	assert.Equal(t, registry.Get("guard-panics").(metrics.Counter).Count(), int64(1))
}
