package node_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/node"
)

// Guards against an admission control that is not connected: a host whose target is full must get a level, and another host of
// its data centre must learn it without requests of its own.
func TestAdmissionLevelReachesOtherHosts(t *testing.T) {
	platform := newCatalog(t, 0)
	platform.put(startTarget(t, "target-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNames.Load, "9,27,9")
	}))
	level := map[string]metrics.Gauge{}
	host := func(id string) (func(), func() bool, string) {
		registry := metrics.NewRegistry()
		n, funcs, s := newHostWith(t, id, "golfo-a", "golfo", platform, func(c *node.Config) {
			c.Settings.Admission, c.Metrics = steer.ModeAuto, registry
			c.Deployment.ContestedCapacity = true
		})
		level[id] = metrics.GetOrRegisterGauge("admit-level-reservas-golfo", registry)
		return func() { assert.NilError(t, n.Shutdown(context.Background())) }, funcs.ready, "http://" + s.Listen.String()
	}
	stopA, readyA, address := host("host-a")
	defer stopA()
	stopB, readyB, _ := host("host-b")
	defer stopB()
	waitUntil(t, "hosts are ready", func() bool { return readyA() && readyB() })
	waitUntil(t, "both hosts have a level", func() bool {
		request, err := http.NewRequest(http.MethodPost, address+"/b/1", nil)
		assert.NilError(t, err)
		request.Host = "h.example"
		request.Header.Set("Key", "secret")
		request.Header.Set("Id", "1")
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return level["host-a"].Value() > 0 && level["host-b"].Value() > 0
	})
}
