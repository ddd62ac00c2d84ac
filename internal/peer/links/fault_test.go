package links_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/links"
)

// hostConfig returns the configuration of a host in a fleet of one data centre.
func hostConfig(id string, seeds ...netip.AddrPort) links.Config {
	return links.Config{
		HostID:     id,
		DataCentre: "dc-0",
		Region:     "region-0",
		Seeds:      seeds,
	}
}

// startPair starts hosts a and b and waits until they are members of each other.
func startPair(t testing.TB) (*host, *host) {
	a := start(t, listen(t), hostConfig("a"))
	b := start(t, listen(t), hostConfig("b", a.address))
	eventually(t, 5*time.Second, "two members", converged([]*host{a, b}, 1))
	return a, b
}

// proxy forwards connections to a host, records what the dialling side sends, and can stop forwarding without closing.
type proxy struct {
	address netip.AddrPort
	mu      sync.Mutex
	sent    bytes.Buffer
	silent  *atomic.Bool // Shared by the connections that are open now.
}

func startProxy(t testing.TB, to netip.AddrPort) *proxy {
	t.Helper()
	l := listen(t)
	p := &proxy{
		address: addressOf(l),
		silent:  &atomic.Bool{},
	}
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wait.Go(func() {
		for in, err := l.Accept(); err == nil; in, err = l.Accept() {
			out, err := net.Dial("tcp", to.String())
			assert.Check(t, err)
			p.mu.Lock()
			silent := p.silent
			p.mu.Unlock()
			wait.Go(func() { p.forward(ctx, out, in, silent, &p.sent) })
			wait.Go(func() { p.forward(ctx, in, out, silent, &bytes.Buffer{}) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		wait.Wait()
	})
	return p
}

// forward copies one direction of a connection. Once silent is set, it forwards neither data nor the end of the stream.
func (p *proxy) forward(ctx context.Context, to, from net.Conn, silent *atomic.Bool, record *bytes.Buffer) {
	defer to.Close()
	defer context.AfterFunc(ctx, func() { _ = from.Close() })()
	data := make([]byte, 64<<10)
	for {
		n, err := from.Read(data)
		if silent.Load() {
			<-ctx.Done()
			return
		}
		p.mu.Lock()
		record.Write(data[:n])
		p.mu.Unlock()
		if _, failed := to.Write(data[:n]); failed != nil || err != nil {
			return
		}
	}
}

// silenceConnections stops forwarding on all open connections without closing them. New connections work.
func (p *proxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(true)
	p.silent = &atomic.Bool{}
}

// dialRaw opens an authenticated connection to a host on which the test writes the frames itself.
func dialRaw(ctx context.Context, t testing.TB, c links.Config, to *host) *websocket.Conn {
	t.Helper()
	c.Secret = []byte(secret)
	conn, err := links.OpenConn(ctx, c, to.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	return conn
}

// assertNoMembers checks for 400 ms that a host has no members.
func assertNoMembers(t testing.TB, h *host) {
	t.Helper()
	for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Equal(t, len(h.Members()), 0)
	}
}

// Guards against a host without the fleet secret that becomes a member, whichever side dials, or that does not log the
// cause.
func TestWrongSecretIsRefused(t *testing.T) {
	t.Parallel()
	a := start(t, listen(t), hostConfig("a"))
	c := hostConfig("b", a.address)
	c.Secret = []byte("another secret")
	var logs bytes.Buffer
	c.Logger = log.NewSyncLogger(log.NewLogfmtLogger(&logs))
	b := start(t, listen(t), c)
	d := start(t, listen(t), hostConfig("c", b.address))
	assertNoMembers(t, a)
	assertNoMembers(t, b)
	assertNoMembers(t, d)
	b.stop()
	assert.Assert(t, strings.Contains(logs.String(), "fleet secret"), logs.String())
}

// Guards against a link that is opened by replaying the bytes of a recorded link. The accepting host uses a new nonce for
// each handshake.
func TestReplayedHandshakeIsRefused(t *testing.T) {
	t.Parallel()
	a := start(t, listen(t), hostConfig("a"))
	p := startProxy(t, a.address)
	b := start(t, listen(t), hostConfig("b", p.address))
	eventually(t, 5*time.Second, "link through the proxy", converged([]*host{a, b}, 1))
	b.stop()
	eventually(t, 5*time.Second, "b has left", converged([]*host{a}, 0))
	p.mu.Lock()
	sent := bytes.Clone(p.sent.Bytes())
	p.mu.Unlock()
	conn, err := net.Dial("tcp", a.address.String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write(sent)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, _ = io.Copy(io.Discard, conn) // Ends when the host refuses the proof.
	assertNoMembers(t, a)
}

// Guards against a heartbeat that is accepted on a connection before the handshake is complete.
func TestMessageBeforeHandshakeIsRefused(t *testing.T) {
	t.Parallel()
	a := start(t, listen(t), hostConfig("a"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+a.address.String()+links.Path, nil)
	assert.NilError(t, err)
	defer conn.CloseNow()
	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, links.EncodeHeartbeat(9, "x")))
	_, _, err = conn.Read(ctx)
	assert.Assert(t, err != nil && ctx.Err() == nil)
	assertNoMembers(t, a)
}

// Guards against a seed that accepts connections but never answers, and so delays the other links or Close.
func TestSilentSeed(t *testing.T) {
	t.Parallel()
	l := listen(t)
	defer l.Close()
	a := start(t, listen(t), hostConfig("a"))
	b := start(t, listen(t), hostConfig("b", addressOf(l), a.address))
	eventually(t, time.Second, "a is a member", converged([]*host{a, b}, 1))
	begin := time.Now()
	assert.NilError(t, b.Close(context.Background()))
	assert.Assert(t, time.Since(begin) < 500*time.Millisecond, "closing took %v", time.Since(begin))
}

// Guards against a connection that no longer carries data while new connections work, and that is kept until the members
// are removed. It must be replaced after 2 s.
func TestSilentLinkIsRedialled(t *testing.T) {
	t.Parallel()
	b := start(t, listen(t), hostConfig("b"))
	p := startProxy(t, b.address)
	// If both hosts open a link at the same time, the one dialled by the lesser id is kept, which is that through the proxy.
	a := start(t, listen(t), hostConfig("a", p.address))
	eventually(t, 5*time.Second, "link through the proxy", converged([]*host{a, b}, 1))
	p.silenceConnections()
	_, err := call(a, "b", "lost")
	assert.Assert(t, err != nil)
	took := eventually(t, 3*time.Second, "call works again", func() bool {
		_, err := call(a, "b", "hello")
		return err == nil && len(b.Members()) == 1 && !a.Members()[0].Suspect && !b.Members()[0].Suspect
	})
	t.Logf("calls work again %v after a call had failed for 2 s", took)
}

// Guards against an old incarnation of a host that replaces the new one, after the host was restarted without leaving and
// while its old process still runs.
func TestRestartIsNewIncarnation(t *testing.T) {
	t.Parallel()
	a, b := startPair(t)
	c := hostConfig("c", a.address, b.address)
	first := start(t, listen(t), c)
	eventually(t, 5*time.Second, "three members", converged([]*host{a, b, first}, 2))
	c.Incarnation = 2
	second := start(t, listen(t), c) // The first process keeps running.
	second.version.Store(5)
	seen := func() bool {
		for _, h := range []*host{a, b} {
			for _, m := range h.Members() {
				if m.ID == "c" && (m.Incarnation != 2 || m.PeerAddress != second.address || m.State.Version != 5) {
					return false
				}
			}
		}
		return converged([]*host{a, b, second}, 2)()
	}
	eventually(t, 5*time.Second, "new incarnation", seen)
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, seen(), "the old incarnation replaced the new one")
	}
	_, err := call(a, "c", "hello")
	assert.NilError(t, err)
}

// Guards against a host that leaves but stays a member of others for some time, or that relayed states add again.
func TestLeavingHostIsRemovedAtOnce(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 4, 1, 0, nil)
	eventually(t, 5*time.Second, "four members", converged(list, 3))
	list[3].stopping.Store(true)
	eventually(t, 300*time.Millisecond, "stopping is known", func() bool {
		known := 0
		for _, h := range list[:3] {
			if slices.ContainsFunc(h.Members(), func(m steer.Member) bool { return m.State.Stopping }) {
				known++
			}
		}
		return known == 3
	})
	list[3].stop()
	eventually(t, 300*time.Millisecond, "member is gone", converged(list[:3], 2))
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, converged(list[:3], 2)(), "the member that left was added again")
	}
}

// Guards against a host that ends without leaving and is not suspect after 2 s or not removed after 10 s. It must still be
// dialled after that, so that regions that lose their connection connect again.
func TestDeadHostIsSuspectedAndRemoved(t *testing.T) {
	t.Parallel()
	a := start(t, listen(t), hostConfig("a"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l := listen(t)
	defer l.Close()
	c := hostConfig("b")
	c.PeerAddress = addressOf(l)
	conn := dialRaw(ctx, t, c, a)
	begin := time.Now()
	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, links.EncodeHeartbeat(1)))
	eventually(t, time.Second, "one member", converged([]*host{a}, 1))
	assert.NilError(t, conn.CloseNow())
	var dialled atomic.Int64
	go func() {
		for in, err := l.Accept(); err == nil; in, err = l.Accept() {
			dialled.Store(int64(time.Since(begin)))
			_ = in.Close()
		}
	}()
	eventually(t, 3*time.Second, "suspect", func() bool { return a.Members()[0].Suspect })
	suspect := time.Since(begin)
	eventually(t, 10*time.Second, "removed", converged([]*host{a}, 0))
	removed := time.Since(begin)
	assert.Assert(t, suspect > 1800*time.Millisecond && suspect < 2500*time.Millisecond, "suspect after %v", suspect)
	assert.Assert(t, removed > 9800*time.Millisecond && removed < 10500*time.Millisecond, "removed after %v", removed)
	eventually(t, 9*time.Second, "dialled again", func() bool { return dialled.Load() > int64(removed) })
}

// Guards against a malformed or oversized message from an authenticated peer that does not end the link or that changes the
// member table.
func TestBadMessagesEndTheLink(t *testing.T) {
	t.Parallel()
	good := links.EncodeHeartbeat(1)
	cases := map[string][]byte{
		"empty":         {},
		"type":          {99},
		"truncated":     good[:len(good)-1],
		"not cbor":      {links.FrameHeartbeat, 0xff, 0xff},
		"other shape":   append([]byte{links.FrameHeartbeat}, links.EncodeRequest("echo", nil)[1:]...),
		"extra byte":    append(bytes.Clone(good), 0),
		"oversized":     append([]byte{links.FrameRequest}, make([]byte, links.MaxMessage)...),
		"unknown state": {links.FrameHeartbeat, 0x87, 1, 0, 0, 0xf6, 0xf6, 0x83, 7, 0, 0, 0xf6},
		"negative age":  {links.FrameHeartbeat, 0x87, 1, 0, 0, 0xf6, 0xf6, 0x83, 0, 0x20, 0, 0xf6},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := start(t, listen(t), hostConfig("a"))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			conn := dialRaw(ctx, t, hostConfig("b"), a)
			err := conn.Write(ctx, websocket.MessageBinary, message)
			for err == nil {
				_, _, err = conn.Read(ctx)
			}
			assert.NilError(t, ctx.Err(), "the link was not closed")
			assert.Equal(t, len(a.Members()), 0)
		})
	}
}

// Guards against bodies near the size limit that are refused, and larger bodies that end the link instead of failing the
// call.
func TestCallSizes(t *testing.T) {
	t.Parallel()
	a, b := startPair(t)
	_, err := call(a, "b", string(make([]byte, links.MaxMessage-2048)))
	assert.NilError(t, err)
	_, err = call(a, "b", string(make([]byte, links.MaxMessage)))
	assert.ErrorContains(t, err, "too large")
	b.Handle("large", func(context.Context, steer.Member, []byte) ([]byte, error) {
		return make([]byte, links.MaxMessage), nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = a.Call(ctx, "b", "large", nil)
	assert.ErrorContains(t, err, "too large")
	_, err = a.Call(ctx, "b", "unknown", nil)
	assert.ErrorContains(t, err, "no handler")
	_, err = call(a, "b", "hello")
	assert.NilError(t, err)
}

// Guards against calls over one link that get the answer of another call, or that wait for a slow call.
func TestCallsAreMultiplexed(t *testing.T) {
	t.Parallel()
	a, b := startPair(t)
	release := make(chan struct{})
	b.Handle("wait", func(ctx context.Context, _ steer.Member, _ []byte) ([]byte, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return nil, ctx.Err()
	})
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := a.Call(short, "b", "wait", nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	var group sync.WaitGroup
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := a.Call(ctx, "b", "wait", nil)
		assert.Check(t, err)
	})
	for i := range 32 {
		group.Go(func() {
			for j := range 50 {
				body := fmt.Sprintf("%d/%d", i, j)
				got, err := call(a, "b", body)
				assert.Check(t, err)
				assert.Check(t, got == "a: "+body, "got %q for %q", got, body)
			}
		})
	}
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	group.Wait()
}

// Guards against a peer that stops reading and so delays calls to other peers or takes unbounded memory: messages to it must
// be dropped. Its link must be closed although the peer still sends.
func TestSlowPeerDoesNotBlockOthers(t *testing.T) {
	t.Parallel()
	a, _ := startPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn := dialRaw(ctx, t, hostConfig("slow"), a)
	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, links.EncodeHeartbeat(1)))
	eventually(t, time.Second, "slow peer is a member", converged([]*host{a}, 2))
	lost := make(chan time.Duration, 1)
	go func() {
		begin := time.Now()
		for conn.Write(ctx, websocket.MessageBinary, links.EncodeHeartbeat(1)) == nil {
			time.Sleep(200 * time.Millisecond)
		}
		lost <- time.Since(begin)
	}()
	refused := 0
	for range 40 {
		limited, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		_, err := a.Call(limited, "slow", "echo", make([]byte, 1<<20))
		stop()
		if err != nil && strings.Contains(err.Error(), "queue") {
			refused++
		}
		begin := time.Now()
		_, err = call(a, "b", "hello")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(begin) < 500*time.Millisecond, "the call took %v", time.Since(begin))
	}
	assert.Assert(t, refused > 10, "only %d of 40 calls of 1 MB were refused by a full queue", refused)
	assert.Assert(t, <-lost >= 4*time.Second, "the link was closed early")
	assert.NilError(t, ctx.Err(), "the link was not closed")
}
