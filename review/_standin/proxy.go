package main

import (
	"net"
	"sync/atomic"
	"time"
)

// proxy passes connections on to one address. While it is cut, it delivers no bytes in either direction and answers nothing, as a
// partition does. Bytes that are held up are delivered when the cut ends.
type proxy struct {
	listener net.Listener
	to       string
	cut      atomic.Bool
}

func newProxy(to string) *proxy {
	l := listen()
	p := &proxy{listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// pass waits while the proxy is cut.
func (p *proxy) pass() {
	for p.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // Its end is all that matters.
	p.pass()
	u, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = u.Close() }()
	done := make(chan struct{}, 2)
	move := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			p.pass()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		done <- struct{}{}
	}
	go move(u, c)
	go move(c, u)
	<-done
	<-done
}
