package front

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection that neither side has closed, as the kernel numbers it.
const tcpEstablished = 1

// socketState returns how long ago the last bytes of a caller arrived in the kernel, and whether the caller has closed the
// connection, which reading shows only after all bytes. It returns zero values if the kernel does not tell.
func socketState(socket net.Conn) (age time.Duration, closed bool) {
	var info *unix.TCPInfo
	err := control(socket, func(descriptor int) (err error) {
		info, err = unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return 0, false // Reading or writing shows an error of the connection itself.
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, info.State != tcpEstablished
}

// boundUnsent bounds the bytes that the kernel holds for a caller and has not sent. The bytes in flight are not bounded, so a
// caller that reads is served as fast as without the bound.
func boundUnsent(socket net.Conn) {
	_ = control(socket, func(descriptor int) error { // Without the bound the connection works as well.
		return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}

// hasPendingConns reports whether connections wait to be accepted.
func hasPendingConns(listener net.Listener) bool {
	hasPending := false
	err := control(listener, func(descriptor int) error {
		events := []unix.PollFd{{
			Fd:     int32(descriptor),
			Events: unix.POLLIN,
		}}
		n, err := unix.Poll(events, 0)
		hasPending = n > 0 && events[0].Revents&unix.POLLIN != 0
		return err
	})
	return err == nil && hasPending
}

// control calls a function with the descriptor of a listener or connection.
func control(socket any, f func(descriptor int) error) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(descriptor uintptr) { result = f(int(descriptor)) })
	return errors.Join(err, result)
}
