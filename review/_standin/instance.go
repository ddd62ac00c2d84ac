package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is one request that reached an instance.
type arrival struct {
	at       time.Time
	instance string
	id       string
	path     string
	ran      bool
}

// ending is the end of one run.
type ending struct {
	began, at time.Time
	id        string
	dropped   bool // The connection was closed meanwhile.
}

// instance is a stand-in for one back end. It runs each request for a fixed time and signs its answers.
type instance struct {
	id, service, zone string
	slots             int
	work              time.Duration
	report            func(arrival)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	address  string
	born     time.Time
	state    string
	seq      int
	running  int
	leaving  bool          // Answers say that the instance leaves.
	busyFor  time.Duration // If set, requests are turned away with 503 and Retry-After.

	warmupLeft time.Duration // How long it stays cold, as it says of itself.
	coldLimit  int           // Requests in one second at which it crashes while it is cold.
	recent     []time.Time   // Requests of the last second.
	ended      func(ending)
}

func startInstance(id, service, zone string, work time.Duration, report func(arrival)) *instance {
	s := &instance{id: id, service: service, zone: zone, slots: 9, work: work, report: report, state: "ready", conns: map[net.Conn]bool{}}
	s.listen()
	return s
}

func (s *instance) listen() {
	l := listen()
	s.mu.Lock()
	s.listener, s.address, s.born = l, l.Addr().String(), time.Now()
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

// entry is what the instance says of itself in the store.
func (s *instance) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "warmup-left-s": s.warmupLeft.Seconds(), "seq": s.seq, "born": s.born.UnixMilli()}
}

// crash ends the instance as the loss of its process does: its connections are reset, and its port has no listener.
func (s *instance) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
}

func (s *instance) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // Idle connections are closed after ten seconds.
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, reader, r) {
			return
		}
	}
}

// answer runs a request and writes its answer. It reports whether the connection stays open.
func (s *instance) answer(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("X-Monsoonhub-Request-Id")
	if want := r.Header.Get("X-Monsoonhub-Expected-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Monsoonhub-Instance-Id: %s\r\nX-Monsoonhub-Not-Executed: 1\r\n"+
			"X-Monsoonhub-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		return err == nil
	}
	s.mu.Lock()
	busy, leaving := s.busyFor, s.leaving
	if busy == 0 {
		s.running++
	}
	running := s.running
	now := time.Now()
	s.recent = append(s.recent, now)
	for now.Sub(s.recent[0]) > time.Second {
		s.recent = s.recent[1:]
	}
	crashes := s.warmupLeft > 0 && s.coldLimit > 0 && len(s.recent) > s.coldLimit
	s.mu.Unlock()
	head := fmt.Sprintf("X-Monsoonhub-Request-Id: %s\r\nKeep-Alive: timeout=10\r\nX-Monsoonhub-Server-Load: %d,%d,%d\r\n", id,
		min(running, s.slots), max(0, running-s.slots), s.slots)
	if leaving {
		head += "Server-Leaving: 1\r\n"
	}
	s.report(arrival{at: time.Now(), instance: s.id, id: id, path: r.URL.Path, ran: busy == 0})
	if crashes {
		s.crash()
		return false
	}
	if busy > 0 {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Monsoonhub-Not-Executed: 1\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n",
			head, busy.Seconds())
		return err == nil
	}
	began := time.Now()
	dropped := !s.worked(c, reader)
	s.mu.Lock()
	s.running--
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		ended(ending{began: began, at: time.Now(), id: id, dropped: dropped})
	}
	if dropped {
		return false
	}
	body := strings.Repeat("x", 200) + " " + s.id + " " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Monsoonhub-Server-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, s.id, id, len(body), body)
	return err == nil
}

// worked lets the work of one request pass. It reports false if the connection was closed meanwhile, which drops the request.
func (s *instance) worked(c net.Conn, reader *bufio.Reader) bool {
	end := time.Now().Add(s.work)
	_ = c.SetReadDeadline(end)
	_, err := reader.Peek(1)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		return false
	}
	time.Sleep(time.Until(end)) // The caller may have sent its next request early.
	return true
}
