package load_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/ops/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func requestConfig(to netip.AddrPort) load.Config {
	return load.Config{
		Mode:        load.ModeRequest,
		Address:     to,
		Service:     "reservas",
		Method:      http.MethodGet,
		Path:        "/x?size=1",
		Key:         "k",
		Duration:    300 * time.Millisecond,
		Connections: 4,
		Seed:        1,
	}
}

// Load must not leave the machine.
func TestRefusesAddressesOffLoopback(t *testing.T) {
	for _, address := range []string{"192.0.2.1:80", "0.0.0.0:80", "[::]:80"} {
		for _, c := range []load.Config{
			requestConfig(netip.MustParseAddrPort(address)),
			func() load.Config {
				c := requestConfig(netip.MustParseAddrPort("127.0.0.1:1"))
				c.Baseline = netip.MustParseAddrPort(address)
				return c
			}(),
		} {
			_, err := load.Run(t.Context(), c)
			assert.ErrorContains(t, err, "loopback", address)
		}
	}
}

// Both addresses of a comparison must get the same load, path and key, and refusals must not count as answers.
func TestBaselineGetsSameLoad(t *testing.T) {
	var wrongRequests atomic.Int64
	check := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.RequestURI() != "/s/reservas/x?size=1" || r.Header.Get("Steering-Key") != "k" {
			wrongRequests.Add(1)
		}
	}
	c := requestConfig(startServer(t, check))
	c.Baseline = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		check(w, r)
		w.WriteHeader(http.StatusTooManyRequests)
	})
	c.Rate = 200
	report, err := load.Run(t.Context(), c)
	assert.NilError(t, err)
	a, b := report.Results[0], report.Results[1]
	assert.Equal(t, wrongRequests.Load(), int64(0))
	assert.Assert(t, a.Succeeded > 20 && a.Failed == 0 && a.P50 > 0, "%+v", a)
	assert.Assert(t, b.Succeeded == 0 && b.StatusCounts["429"] == b.Failed && b.P50 == 0, "%+v", b)
	assert.Assert(t, a.Succeeded-b.Failed <= 1 && b.Failed-a.Succeeded <= 1, "%d and %d", a.Succeeded, b.Failed)
	var text strings.Builder
	assert.NilError(t, report.WriteTable(&text))
	assert.Assert(t, strings.Contains(text.String(), "added"), text.String())
	text.Reset()
	assert.NilError(t, report.WriteJSON(&text))
	var decoded load.Report
	assert.NilError(t, json.Unmarshal([]byte(text.String()), &decoded))
	assert.DeepEqual(t, decoded.Results[0].StatusCounts, a.StatusCounts)
}

// An open loop must measure latency from the due time. Otherwise requests that wait for slow answers would look fast.
func TestOpenLoopMeasuresLatencyFromDueTime(t *testing.T) {
	c := requestConfig(startServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	c.Connections = 1
	c.Rate = 200 // Four times what one connection can send.
	report, err := load.Run(t.Context(), c)
	assert.NilError(t, err)
	assert.Assert(t, report.Results[0].Max > 100_000, "max %v us", report.Results[0].Max)
}

// Look-ups must be for clients in the prefix, and the warm-up must not be recorded.
func TestLookupClientsAndWarmup(t *testing.T) {
	prefix := netip.MustParsePrefix("20.0.0.0/6")
	var wrongRequests, totalRequests atomic.Int64
	c := load.Config{
		Mode: load.ModeLookup,
		Address: startServer(t, func(_ http.ResponseWriter, r *http.Request) {
			totalRequests.Add(1)
			client, err := netip.ParseAddr(r.URL.Query().Get("client"))
			if err != nil || !prefix.Contains(client) || r.URL.Query().Get("service") != "reservas" {
				wrongRequests.Add(1)
			}
		}),
		Service:      "reservas",
		ClientPrefix: prefix,
		Warmup:       100 * time.Millisecond,
		Duration:     100 * time.Millisecond,
		Connections:  2,
	}
	report, err := load.Run(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, wrongRequests.Load(), int64(0))
	assert.Assert(t, report.Results[0].Succeeded > 0 && report.Results[0].Succeeded < totalRequests.Load())
}
