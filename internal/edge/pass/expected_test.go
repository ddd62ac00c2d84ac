package pass_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/front"
)

// Guards against a caller that sends requests ahead and makes the host hold large answers because their size was not expected.
func TestExpectedBytes(t *testing.T) {
	e := newTestEnv(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		_, _ = w.Write(make([]byte, 100_000))
	})
	e.view.Index.Plan.Routes[0].Kind = steer.KindLarge
	expect := func(path string) int64 {
		return e.handler.ExpectedBytes(&front.Request{
			Host: "h.example",
			Path: path,
		})
	}
	assert.Equal(t, expect("/query/1"), int64(1<<20), "no answer of the route is known, and they are large")
	assert.Equal(t, expect("/booking/1"), int64(64<<10))
	assert.Equal(t, expect("/nowhere"), int64(0))
	response := e.send("/query/1")
	assert.Equal(t, response.Status, http.StatusOK)
	response.Release()
	assert.Equal(t, expect("/query/1"), int64(125_000))
}
