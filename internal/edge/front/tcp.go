package front

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection that neither side has closed, as the kernel numbers it.
const tcpEstablished = 1

// socketState returns how long ago the last bytes of a caller arrived in the kernel, and whether the caller has closed the
// connection since, which reading it would show only after the bytes before. It returns zero values for what is no TCP
// connection.
func socketState(socket net.Conn) (age time.Duration, closed bool) {
	tcp, ok := socket.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, true
	}
	var info *unix.TCPInfo
	err = raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO) // Nil after an error.
	})
	if err != nil {
		return 0, true
	}
	if info == nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, info.State != tcpEstablished
}
