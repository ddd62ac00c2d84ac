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

func serve(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func requests(to netip.AddrPort) load.Config {
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

// Guards against load that leaves the machine.
func TestRefusesAddressesOffLoopback(t *testing.T) {
	for _, address := range []string{"192.0.2.1:80", "0.0.0.0:80", "[::]:80"} {
		for _, c := range []load.Config{
			requests(netip.MustParseAddrPort(address)),
			func() load.Config {
				c := requests(netip.MustParseAddrPort("127.0.0.1:1"))
				c.Baseline = netip.MustParseAddrPort(address)
				return c
			}(),
		} {
			_, err := load.Run(t.Context(), c)
			assert.ErrorContains(t, err, "loopback", address)
		}
	}
}

// Guards against a comparison in which one address gets more load, another path or no key, and against refusals that
// are counted as answers.
func TestCompare(t *testing.T) {
	var bad atomic.Int64
	check := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.RequestURI() != "/s/reservas/x?size=1" || r.Header.Get("Steering-Key") != "k" {
			bad.Add(1)
		}
	}
	c := requests(serve(t, check))
	c.Baseline = serve(t, func(w http.ResponseWriter, r *http.Request) {
		check(w, r)
		w.WriteHeader(http.StatusTooManyRequests)
	})
	c.Rate = 200
	got, err := load.Run(t.Context(), c)
	assert.NilError(t, err)
	a, b := got.Results[0], got.Results[1]
	assert.Equal(t, bad.Load(), int64(0))
	assert.Assert(t, a.Succeeded > 20 && a.Failed == 0 && a.P50 > 0, "%+v", a)
	assert.Assert(t, b.Succeeded == 0 && b.StatusCounts["429"] == b.Failed && b.P50 == 0, "%+v", b)
	assert.Assert(t, a.Succeeded-b.Failed <= 1 && b.Failed-a.Succeeded <= 1, "%d and %d", a.Succeeded, b.Failed)
	var text strings.Builder
	assert.NilError(t, got.WriteTable(&text))
	assert.Assert(t, strings.Contains(text.String(), "added"), text.String())
	text.Reset()
	assert.NilError(t, got.WriteJSON(&text))
	var back load.Report
	assert.NilError(t, json.Unmarshal([]byte(text.String()), &back))
	assert.DeepEqual(t, back.Results[0].StatusCounts, a.StatusCounts)
}

// Guards against an open loop that waits for slow answers and so hides them.
func TestOpenLoopCountsFromDueTime(t *testing.T) {
	c := requests(serve(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	c.Connections = 1
	c.Rate = 200 // Four times what one connection can do.
	got, err := load.Run(t.Context(), c)
	assert.NilError(t, err)
	assert.Assert(t, got.Results[0].Max > 100_000, "max %v us", got.Results[0].Max)
}

// Guards against look-ups for clients outside the prefix and against a warm-up that is counted.
func TestLookup(t *testing.T) {
	prefix := netip.MustParsePrefix("20.0.0.0/6")
	var bad, all atomic.Int64
	c := load.Config{
		Mode: load.ModeLookup,
		Address: serve(t, func(_ http.ResponseWriter, r *http.Request) {
			all.Add(1)
			client, err := netip.ParseAddr(r.URL.Query().Get("client"))
			if err != nil || !prefix.Contains(client) || r.URL.Query().Get("service") != "reservas" {
				bad.Add(1)
			}
		}),
		Service:      "reservas",
		ClientPrefix: prefix,
		Warmup:       100 * time.Millisecond,
		Duration:     100 * time.Millisecond,
		Connections:  2,
	}
	got, err := load.Run(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, bad.Load(), int64(0))
	assert.Assert(t, got.Results[0].Succeeded > 0 && got.Results[0].Succeeded < all.Load())
}
