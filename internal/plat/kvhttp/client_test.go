package kvhttp_test

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/kvhttp"
	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/plat/ports"
)

const short = 300 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair is a client with the stand-in behind its server.
func pair(t *testing.T, timeout time.Duration) (*kvhttp.Client, *kvmem.Store, *httptest.Server) {
	t.Helper()
	s := kvmem.New(kvmem.Config{
		Seed: 1,
	})
	server := httptest.NewUnstartedServer(kvhttp.Handler(s))
	assert.NilError(t, server.Listener.Close())
	server.Listener = ports.Listen(t) // Refuses connections once the server is closed.
	server.Start()
	c := newClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), timeout)
	t.Cleanup(func() {
		c.Stop()
		server.Close()
	})
	return c, s, server
}

func newClient(to netip.AddrPort, timeout time.Duration) *kvhttp.Client {
	return kvhttp.New(kvhttp.Config{
		Address: to,
		Timeout: timeout,
	})
}

// Guards against values, revisions and leases that change on the way.
func TestRoundTrip(t *testing.T) {
	c, _, _ := pair(t, 10*time.Second) // The race detector makes the largest value slow.
	ctx := t.Context()
	lease, err := c.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	largest := bytes.Repeat([]byte{0xff}, steer.MaxValueSize)
	for key, value := range map[string][]byte{
		"slot/golfo-1/3": {0, 1, 2},
		"empty":          nil,
		"largest":        largest,
		"a key?&=/ß":     []byte("x"),
	} {
		written, err := c.Swap(ctx, key, 0, value, lease)
		assert.NilError(t, err, key)
		e, err := c.Get(ctx, key)
		assert.NilError(t, err, key)
		assert.Assert(t, e.Revision == written && e.Key == key && bytes.Equal(e.Value, value), key)
		e, err = c.Watch(ctx, key, 0, time.Second)
		assert.NilError(t, err, key)
		assert.Equal(t, e.Revision, written)
	}
	assert.NilError(t, c.Renew(ctx, lease))
	assert.NilError(t, c.Revoke(ctx, lease))
	_, err = c.Get(ctx, "largest")
	assert.ErrorIs(t, err, steer.ErrNotFound)
	written, err := c.Swap(ctx, "k", 0, nil, "")
	assert.NilError(t, err)
	assert.NilError(t, c.Remove(ctx, "k", written))
}

// Guards against errors that lose their meaning on the way.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	c, s, _ := pair(t, short)
	ctx := t.Context()
	_, err := c.Swap(ctx, "k", 0, nil, "")
	assert.NilError(t, err)
	_, err = c.Swap(ctx, "k", 0, nil, "")
	assert.ErrorIs(t, err, steer.ErrConflict)
	_, err = c.Swap(ctx, "k", 1, nil, "gone")
	assert.ErrorIs(t, err, steer.ErrLeaseLost)
	_, err = c.Swap(ctx, "k", 1, make([]byte, steer.MaxValueSize+1), "")
	assert.ErrorIs(t, err, steer.ErrTooLarge)
	assert.ErrorIs(t, c.Remove(ctx, "absent", 1), steer.ErrNotFound)
	assert.ErrorIs(t, c.Renew(ctx, "gone"), steer.ErrLeaseLost)
	_, err = c.Watch(ctx, "k", 1, 20*time.Millisecond)
	assert.ErrorIs(t, err, steer.ErrUnchanged)
	s.SetFaults(kvmem.Faults{
		Down: true,
	})
	_, err = c.Swap(ctx, "k", 1, nil, "")
	assert.ErrorIs(t, err, steer.ErrDown)
	_, err = c.Get(ctx, "k")
	assert.ErrorIs(t, err, steer.ErrDown)
}

// Guards against a write that took effect being reported as one that did not, and the other way round.
func TestUnknownOutcome(t *testing.T) {
	c, s, server := pair(t, short)
	ctx := t.Context()
	s.SetFaults(kvmem.Faults{
		LoseNext: 1,
	})
	_, err := c.Swap(ctx, "lost", 0, nil, "")
	assert.ErrorIs(t, err, steer.ErrUnknown)
	_, err = c.Get(ctx, "lost")
	assert.NilError(t, err)
	s.SetFaults(kvmem.Faults{
		Delay: 2 * time.Second,
	})
	_, err = c.Swap(ctx, "slow", 0, nil, "")
	assert.ErrorIs(t, err, steer.ErrUnknown)
	_, err = c.Get(ctx, "slow")
	assert.ErrorIs(t, err, steer.ErrDown)
	s.SetFaults(kvmem.Faults{})
	server.Close()
	_, err = c.Swap(ctx, "refused", 0, nil, "")
	assert.ErrorIs(t, err, steer.ErrDown)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = c.Swap(cancelled, "cancelled", 0, nil, "")
	assert.ErrorIs(t, err, steer.ErrDown)
}

// Guards against a store that accepts connections and never answers holding up callers, or a write to it passing for
// one without effect.
func TestSilentStore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := newClient(netip.MustParseAddrPort(l.Addr().String()), short)
	defer c.Stop()
	began := time.Now()
	_, err = c.Get(t.Context(), "k")
	assert.ErrorIs(t, err, steer.ErrDown)
	_, err = c.Swap(t.Context(), "k", 0, nil, "")
	assert.ErrorIs(t, err, steer.ErrUnknown)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}
