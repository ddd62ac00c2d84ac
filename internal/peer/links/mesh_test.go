package links_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/links"
	"monsoonhub.example/steer/internal/plat/ports"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const secret = "fleet secret of the tests"

// host is a mesh with its peer listener.
type host struct {
	*links.Mesh
	address  netip.AddrPort
	server   *http.Server
	version  atomic.Uint64
	stopping atomic.Bool
}

// listen listens at a port that refuses connections once the listener is closed.
func listen(t testing.TB) net.Listener {
	t.Helper()
	return ports.Listen(t)
}

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// start starts a host, which is stopped at the end of the test.
func start(t testing.TB, l net.Listener, c links.Config) *host {
	t.Helper()
	h := &host{
		address: addressOf(l),
	}
	if !c.PeerAddress.IsValid() {
		c.PeerAddress = h.address
	}
	if c.Secret == nil {
		c.Secret = []byte(secret)
	}
	if c.Incarnation == 0 {
		c.Incarnation = 1
	}
	c.State = func(time.Time) steer.HostState {
		return steer.HostState{
			Version:  h.version.Load(),
			Stopping: h.stopping.Load(),
		}
	}
	var err error
	h.Mesh, err = links.New(c)
	assert.NilError(t, err)
	h.Handle("echo", func(_ context.Context, from steer.Member, request []byte) ([]byte, error) {
		if string(request) == "fail" {
			return nil, errors.New("asked to fail")
		}
		return append([]byte(from.ID+": "), request...), nil
	})
	mux := http.NewServeMux()
	mux.Handle(links.Path, h.Handler())
	h.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = h.server.Serve(l) }()
	t.Cleanup(h.stop)
	return h
}

// startUnreachable starts a host that announces an address at which nothing listens.
func startUnreachable(t testing.TB, c links.Config) *host {
	t.Helper()
	l := listen(t)
	c.PeerAddress = addressOf(l)
	assert.NilError(t, l.Close())
	return start(t, listen(t), c)
}

func (h *host) stop() {
	_ = h.Close(context.Background())
	_ = h.server.Close()
}

// startFleet starts hosts that are spread over data centres, two data centres in each region. The first two hosts are the
// seeds.
func startFleet(t testing.TB, hosts, dataCentres, remoteLinks int, registry metrics.Registry) []*host {
	t.Helper()
	listeners := make([]net.Listener, hosts)
	var seeds []netip.AddrPort
	for i := range listeners {
		listeners[i] = listen(t)
		if i < 2 {
			seeds = append(seeds, addressOf(listeners[i]))
		}
	}
	list := make([]*host, hosts)
	for i, l := range listeners {
		d := i % dataCentres
		list[i] = start(t, l, links.Config{
			HostID:      fmt.Sprintf("host-%02d", i),
			DataCentre:  fmt.Sprintf("dc-%d", d),
			Region:      fmt.Sprintf("region-%d", d/2),
			Seeds:       seeds,
			RemoteLinks: remoteLinks,
			Metrics:     registry,
		})
	}
	return list
}

// eventually waits until a condition holds and returns the time waited. It fails the test after the limit.
func eventually(t testing.TB, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(begin)
}

// converged returns a condition that holds if each of the hosts has the given number of members.
func converged(list []*host, members int) func() bool {
	return func() bool {
		for _, h := range list {
			if len(h.Members()) != members {
				return false
			}
		}
		return true
	}
}

// allSeeVersion returns a condition that holds if no host has a state of a member with another version.
func allSeeVersion(list []*host, id string, version uint64) func() bool {
	return func() bool {
		for _, h := range list {
			for _, m := range h.Members() {
				if m.ID == id && m.State.Version != version {
					return false
				}
			}
		}
		return true
	}
}

func call(h *host, to, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := h.Call(ctx, to, "echo", []byte(body))
	return string(answer), err
}

// Guards against hosts with two seeds that do not discover or reach all other hosts, or that receive a change of state only
// with the next periodic heartbeat.
func TestFleetConverges(t *testing.T) {
	list := startFleet(t, 12, 6, 0, nil)
	t.Logf("12 hosts know each other after %v", eventually(t, 10*time.Second, "12 members", converged(list, 11)))
	for i, from := range list {
		for j := range list {
			if i == j {
				continue
			}
			got, err := call(from, fmt.Sprintf("host-%02d", j), "hello")
			assert.NilError(t, err)
			assert.Equal(t, got, fmt.Sprintf("host-%02d: hello", i))
		}
	}
	_, err := call(list[0], "host-05", "fail")
	assert.ErrorContains(t, err, "asked to fail")
	_, err = call(list[0], "host-99", "hello")
	assert.ErrorContains(t, err, "no member")

	list[3].version.Store(7)
	took := eventually(t, 300*time.Millisecond, "new version at all hosts", allSeeVersion(list, "host-03", 7))
	t.Logf("a changed state is known at 12 hosts after %v", took)
}
