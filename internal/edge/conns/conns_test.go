package conns_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/conns"
)

// newBudget returns a budget with a limit of 14 connections and a maximum of 15.
func newBudget() *conns.Budget {
	return conns.New(conns.Config{
		Descriptors:     20,
		FileDescriptors: 4,
	})
}

// add adds a connection to the budget. The function that it returns reports whether the connection was closed.
func add(b *conns.Budget, closes bool) (c *conns.Conn, within bool, wasClosed func() bool) {
	closed := false
	c, within = b.Add(func() bool {
		closed = closes
		return closes
	})
	return c, within, func() bool { return closed }
}

// Guards against closing connections that are in use or were used lately, and against a count that drifts.
func TestClosesConnectionsThatAreIdleForLongest(t *testing.T) {
	b := newBudget()
	var counted []*conns.Conn
	var closed []func() bool
	for range 14 {
		c, within, wasClosed := add(b, true)
		assert.Assert(t, within)
		counted, closed = append(counted, c), append(closed, wasClosed)
	}
	for _, i := range []int{3, 1, 2} {
		counted[i].SetIdle()
	}
	counted[3].SetUsed()
	counted[3].SetIdle()
	for _, next := range []int{1, 2, 3} {
		c, within, _ := add(b, true)
		assert.Assert(t, within)
		for i := range closed {
			assert.Equal(t, closed[i](), i == 1 || i == 2 && next != 1 || i == 3 && next == 3, "%d at %d", i, next)
		}
		counted[next].Remove() // Its owner sees the end of the connection.
		counted = append(counted, c)
	}
	_, within, _ := add(b, true)
	assert.Assert(t, !within, "no connection is idle")
	for _, c := range counted {
		c.Remove()
		c.Remove()
	}
	for range 13 {
		_, within, _ := add(b, true)
		assert.Assert(t, within)
	}
	_, within, _ = add(b, true)
	assert.Assert(t, !within)
}

// Guards against a process that may open more connections than its memory holds.
func TestMemoryBoundsConnections(t *testing.T) {
	b := conns.New(conns.Config{
		Descriptors: 1000,
		Memory:      1 << 20,
	})
	for range 21 { // Half of the memory, 24 KB each.
		_, within, _ := add(b, true)
		assert.Assert(t, within)
	}
	_, within, _ := add(b, true)
	assert.Assert(t, !within)
}

// Guards against closing a new connection whose first request is on the way, and against keeping ones that never send any.
func TestNewConnectionIsKeptForItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		var first func() bool
		for i := range 14 {
			c, _, wasClosed := add(b, true)
			c.SetNew()
			if i == 0 {
				first = wasClosed
			}
		}
		time.Sleep(299 * time.Millisecond)
		_, within, _ := add(b, true)
		assert.Assert(t, !within, "all others may have a request on the way")
		assert.Assert(t, !first())
		time.Sleep(time.Millisecond)
		_, within, _ = add(b, true)
		assert.Assert(t, within)
		assert.Assert(t, first())
	})
}

// Guards against a connection that is kept as a new one after its first request, while a new caller waits.
func TestConnectionIsNotNewAfterItsFirstRequest(t *testing.T) {
	b := newBudget()
	var first func() bool
	for i := range 14 {
		c, _, wasClosed := add(b, true)
		c.SetNew()
		if i == 0 {
			c.SetUsed()
			c.SetIdle()
			first = wasClosed
		}
	}
	_, within, _ := add(b, true)
	assert.Assert(t, within)
	assert.Assert(t, first())
}

// Guards against a connection that is counted as closed although it has come into use again.
func TestConnectionInUseAgainIsNotClosed(t *testing.T) {
	b := newBudget()
	for range 14 {
		c, _, _ := add(b, false)
		c.SetIdle()
	}
	_, within, _ := add(b, true)
	assert.Assert(t, !within)
}

// brokenListener fails to accept until a connection was closed.
type brokenListener struct {
	net.Listener
	fails func() bool
}

func (l *brokenListener) Accept() (net.Conn, error) {
	if l.fails() {
		return nil, &net.OpError{
			Op:  "accept",
			Err: os.NewSyscallError("accept4", syscall.EMFILE),
		}
	}
	return l.Listener.Accept()
}

// Guards against accepts that go on failing, or stop, when descriptors run out before the limit or when the limit is reached.
func TestListenerMakesRoom(t *testing.T) {
	for _, c := range []struct {
		name        string
		connections int
		broken      bool
	}{
		{name: "descriptors run out", connections: 3, broken: true},
		{name: "limit is reached", connections: 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBudget()
			var first func() bool
			for i := range c.connections {
				counted, _, wasClosed := add(b, true)
				if i == 0 {
					first = wasClosed
					time.AfterFunc(50*time.Millisecond, counted.SetIdle)
				}
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			l := b.Listen(&brokenListener{
				Listener: listener,
				fails:    func() bool { return c.broken && !first() },
			})
			defer func() { assert.NilError(t, l.Close()) }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { assert.NilError(t, caller.Close()) }()
			accepted, err := l.Accept()
			assert.NilError(t, err)
			assert.NilError(t, accepted.Close())
			assert.Assert(t, first())
		})
	}
}

// Guards against a listener that waits for room after it was closed.
func TestClosedListenerStopsWaiting(t *testing.T) {
	b := newBudget()
	for range 15 {
		add(b, false)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := b.Listen(listener)
	time.AfterFunc(50*time.Millisecond, func() { _ = l.Close() })
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
