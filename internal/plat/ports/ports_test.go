package ports_test

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/plat/ports"
)

// Guards against a closed listener whose port another socket gets, so that what should be refused reaches somebody else.
func TestClosedPortIsRefusedAndHeld(t *testing.T) {
	l := ports.Listen(t)
	address := l.Addr().String()
	caller, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, caller.Close())
	assert.NilError(t, l.Close())
	_, err = net.Dial("tcp", address)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", address)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
}
