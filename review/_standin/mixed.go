package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// mixedCase lets an instance break off one answer within its header, and send a second copy of the answer before it late, on the same
// connection. It looks at what the client of the broken answer gets.
func mixedCase() int {
	f := newFleet(map[string]string{"golfo-a": "golfo"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("queries", "/reservas/", "safe", "reservas")
	f.store.Put("op/config", c.next())
	for _, id := range []string{"i-garbles", "i-sound"} {
		g := &garbler{fleet: f, id: id, faulty: id == "i-garbles"}
		f.store.Put("servers/"+id, map[string]any{"service": "reservas", "address": g.start(), "zone": "golfo-a", "version": "v1",
			"slots": 9, "state": "ready", "warmup-left-s": 0, "seq": 1, "born": time.Now().UnixMilli()})
	}
	f.addHost("front-golfo-a-1", "golfo-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(4 * time.Second) // contact-s after the start.
	if trouble() {
		garbling.Store(true)
		time.AfterFunc(garbleTime, func() { garbling.Store(false) })
		f.logf("i-garbles spoils one in %d of its answers for %v", spoiledEach, garbleTime)
	}
	var mu sync.Mutex
	served, broken, total := 0, 0, 0
	var group sync.WaitGroup
	end := time.Now().Add(garbleTime + time.Second)
	for w := range 10 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; time.Now().Before(end); i++ {
				path := fmt.Sprintf("/reservas/cliente-%d-%d", w, i)
				x := f.send(f.hosts[0], request{method: "GET", path: path, deadline: time.Second})
				mu.Lock()
				total++
				if x.status == http.StatusOK {
					served++
					if x.body != "answer to "+x.id+" for "+path {
						broken++
						f.logf("BROKEN: request %s for %s got 200 with %q, request ids %q, signatures %q", x.id, path, x.body,
							x.header.Values("X-Monsoonhub-Request-Id"), x.header.Values("X-Monsoonhub-Server-Signature"))
					}
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	f.logf("%d of %d answers with status 200 belonged to another request; %d requests", broken, served, total)
	if served < 200 {
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}

// Limits of garble in the site file: share 0.6 of the instances, x 0.03 of their answers, for 5 s.
const (
	garbleTime  = 5 * time.Second
	spoiledEach = 34
)

var garbling atomic.Bool

// garbler is an instance that echoes the path of each request. While garbling is set, it spoils some of its answers if it is faulty.
type garbler struct {
	fleet  *fleet
	id     string
	faulty bool

	slots        int64 // Requests that it runs at once; more are refused. 0 means any number.
	afterRefusal bool  // It spoils only answers that follow a refusal on their connection.

	running atomic.Int64
	answers atomic.Int64
	spoiled atomic.Int64
}

// spoils reports whether the next answer is to be spoiled, within the limits of garble.
func (g *garbler) spoils(last string) bool {
	g.answers.Add(1)
	if !g.faulty || last == "" || !garbling.Load() || g.afterRefusal && !strings.HasPrefix(last, "HTTP/1.1 503") {
		return false
	}
	n := g.spoiled.Add(1)
	if n*spoiledEach > g.answers.Load() {
		g.spoiled.Add(-1)
		return false
	}
	return true
}

func (g *garbler) start() string {
	l := listen()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return l.Addr().String()
}

func (g *garbler) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // Its end is all that matters.
	var mu sync.Mutex
	write := func(data string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(c, data) // The next read shows an error.
	}
	reader, last := bufio.NewReader(c), ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // Idle connections are closed after ten seconds.
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Monsoonhub-Request-Id")
		if r.Header.Get("X-Monsoonhub-Expected-Instance") != g.id {
			write("HTTP/1.1 421 Misdirected Request\r\nX-Monsoonhub-Instance-Id: " + g.id + "\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if n := g.running.Add(1); g.slots > 0 && n > g.slots {
			g.running.Add(-1)
			g.answers.Add(1)
			last = "HTTP/1.1 503 Service Unavailable\r\nX-Monsoonhub-Request-Id: " + id + "\r\nX-Monsoonhub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			write(last)
			continue
		}
		g.fleet.arrive(arrival{at: time.Now(), instance: g.id, id: id, path: r.URL.Path, ran: true})
		time.Sleep(10 * time.Millisecond)
		g.running.Add(-1)
		body := "answer to " + id + " for " + r.URL.Path
		head := "HTTP/1.1 200 OK\r\nX-Monsoonhub-Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n"
		answer := fmt.Sprintf("%sX-Monsoonhub-Server-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, g.id, id, len(body), body)
		if g.spoils(last) {
			g.fleet.logf("instance %s breaks off its answer to %s in its header, and sends a second copy of the answer before it", g.id, id)
			write(strings.TrimSuffix(head, "\r\n"))
			time.Sleep(30 * time.Millisecond)
			write(last)
			last = ""
			continue
		}
		write(answer)
		last = answer
	}
}
