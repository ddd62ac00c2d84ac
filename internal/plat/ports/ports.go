package ports

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Listen listens on a free TCP port of 127.0.0.1. Once the listener is closed, the port refuses connections until the end of the
// test: another socket, which does not listen, stays bound to it.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	holder, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, unix.Close(holder)) })
	assert.NilError(t, sharePort(holder))
	assert.NilError(t, unix.Bind(holder, &unix.SockaddrInet4{
		Addr: [4]byte{127, 0, 0, 1},
	}))
	bound, err := unix.Getsockname(holder)
	assert.NilError(t, err)
	listening := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			control := raw.Control(func(descriptor uintptr) { err = sharePort(int(descriptor)) })
			return errors.Join(control, err)
		},
	}
	l, err := listening.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port))
	assert.NilError(t, err)
	return l
}

// sharePort lets sockets of this user that also ask for it bind to the same port. The kernel gives out such a port to no other.
func sharePort(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}
