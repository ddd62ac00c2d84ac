package back

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"monsoonhub.example/steer/internal/edge/answer"
	"monsoonhub.example/steer/internal/edge/conns"
	"monsoonhub.example/steer/internal/edge/meter"
)

// conn is a connection to a target.
type conn struct {
	targetID  string
	counted   *conns.Conn // In the budget of the host.
	socket    *answer.Conn
	meter     *meter.Reader
	traffic   *meter.Traffic
	reader    *bufio.Reader
	address   netip.AddrPort
	keep      time.Duration // Maximum idle time, from the last answer.
	idleSince time.Time     // Start of the current idle time.
	idleUntil time.Time     // Time from which it must not be used any more.
	reusable  bool          // The last exchange is complete and the connection can be used for another.
	served    bool          // The connection was used for an exchange before the current one.

	recentIDs [recentIDCount]string // IDs of the last requests, of which late copies of answers may come.
	idCount   int
}

// recentIDCount is the number of requests of a connection whose IDs are remembered.
const recentIDCount = 8

// recordID remembers the ID of a request that is sent.
func (c *conn) recordID(id string) {
	c.recentIDs[c.idCount%recentIDCount] = id
	c.idCount++
}

// identifies reports whether the ID of a request would tell its answer from late copies of earlier ones.
func (c *conn) identifies(id string) bool {
	return c.idCount == 0 || id != "" && !slices.Contains(c.recentIDs[:], id)
}

// start initialises the connection when its socket is open.
func (c *conn) start(socket net.Conn, address netip.AddrPort) {
	c.socket, c.address = answer.NewConn(socket), address
	c.meter = meter.New(c.socket)
	c.meter.CountIn(c.traffic)
	c.reader = bufio.NewReaderSize(c.meter, 4<<10)
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(defaultIdleTimeout)
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	control := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(control, err)
}

func (c *conn) close() {
	_ = c.socket.Close() // The connection is not used any more, so its error does not matter.
	c.counted.Remove()
}

// interrupt makes the exchange in progress fail by a deadline in the past.
func (c *conn) interrupt() { _ = c.socket.SetDeadline(time.Unix(1, 0)) }

// awaitMore waits until at least one more byte is buffered, for a limited time. It reports whether the target has closed the
// connection instead.
func (c *conn) awaitMore(wait time.Duration) (closed bool) {
	if c.socket.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false // The next use of the connection shows the error.
	}
	_, err := c.reader.Peek(1)
	_ = c.socket.SetReadDeadline(time.Time{})
	return err != nil && closedByPeer(err)
}

// healthy reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, err := syscall.Read(int(descriptor), one[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
