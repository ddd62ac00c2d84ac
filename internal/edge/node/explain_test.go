package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/pass"
	"monsoonhub.example/steer/internal/edge/place"
	"monsoonhub.example/steer/internal/ops/cmds"
)

// explainBy runs the command for a host, and returns its output after asserting its exit code.
func explainBy(t *testing.T, metrics string, code int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	args = append([]string{"explain", "--metrics", metrics}, args...)
	assert.Equal(t, cmds.Run(t.Context(), args, &out, &out), code, "%v: %s", args, out.String())
	return out.String()
}

// Guards against a command that does not find the host's answer, shows nothing of it, shows a key, or ends with 0 without an answer.
func TestExplainCommand(t *testing.T) {
	platform := newCatalog(t, 0)
	emptied := startTarget(t, "target-2", nil)
	emptied.Endpoint.Draining = true
	platform.put(emptied)
	host, funcs, settings := newHost(t, "host-a", "golfo-a", "golfo", platform)
	defer func() { assert.NilError(t, host.Shutdown(context.Background())) }()
	waitUntil(t, "host is ready", funcs.ready)
	metrics := settings.MetricsListen.String()

	text := explainBy(t, metrics, 0, "--host", "h.example", "--path", "/b/1", "--customer", "naviera")
	for _, want := range []string{
		"host host-a in golfo-a, plan 1", "route booking: h.example/b/, unsafe", "service reservas, of reservas (weight 1, 100 %)",
		"customer naviera: accepted, no quota", "goes to target-1 by rule first-target", "left out: target-2, draining",
	} {
		assert.Assert(t, strings.Contains(text, want), "%q is not in:\n%s", want, text)
	}
	assert.Assert(t, !strings.Contains(text, "secret"), text)
	assert.Assert(t, strings.Contains(explainBy(t, metrics, 0, "--class", "booking"), "refused before a target is chosen: bad-key, status 401"))

	var x pass.Explanation
	text = explainBy(t, metrics, 0, "--service", "reservas", "--customer", "naviera", "--json")
	assert.NilError(t, json.Unmarshal([]byte(text), &x))
	assert.Equal(t, x.Placement.Rule, place.RuleFirst)
	assert.Equal(t, x.Placement.Targets[0].Slots, 9)

	assert.Assert(t, strings.Contains(explainBy(t, metrics, 1, "--host", "h.example", "--path", "/none/"), "no such route (no-route)"))
	assert.Assert(t, strings.Contains(explainBy(t, settings.PeerListen.String(), 1, "--class", "booking"), "metrics-listen address of a host"))
	assert.Assert(t, strings.Contains(explainBy(t, "127.0.0.1:1", 1, "--class", "booking"), "connection refused; check that the host runs"))
}

// Guards against an explanation without a plan that looks like one.
func TestExplainWithoutPlan(t *testing.T) {
	platform := &catalog{
		facts:  map[string]steer.Fact{},
		leases: map[steer.Lease]string{},
	}
	host, _, settings := newHost(t, "host-a", "golfo-a", "golfo", platform)
	defer func() { assert.NilError(t, host.Shutdown(context.Background())) }()
	text := explainBy(t, settings.MetricsListen.String(), 1, "--class", "booking")
	assert.Assert(t, strings.Contains(text, "the host has no plan yet (no-config)"), text)
}
