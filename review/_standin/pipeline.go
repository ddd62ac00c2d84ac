package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// pipelineCase lets a client send safe requests ahead of the answers and leave. It counts the instances that still work on them
// half a second later.
func pipelineCase() int {
	const (
		ahead = 20
		work  = 3 * time.Second
		leave = 300 * time.Millisecond
	)
	f := newFleet(map[string]string{"golfo-a": "golfo"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("queries", "/reservas/", "safe", "reservas")
	f.store.Put("op/config", c.next())
	for i := range 6 {
		f.addInstance(fmt.Sprintf("i-%d", i), "reservas", "golfo-a", work)
	}
	f.addHost("front-golfo-a-1", "golfo-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(2 * time.Second)
	conn, err := net.Dial("tcp", f.hosts[0].front)
	check(err)
	var text strings.Builder
	for i := range ahead {
		fmt.Fprintf(&text, "GET /reservas/%d HTTP/1.1\r\nHost: client.example\r\nX-Monsoonhub-Request-Id: b%015x\r\n"+
			"X-Monsoonhub-Deadline-Ms: 8000\r\n\r\n", i, i)
	}
	_, err = conn.Write([]byte(text.String()))
	check(err)
	f.logf("a client has sent %d requests ahead on one connection", ahead)
	time.Sleep(leave)
	left := time.Now()
	if trouble() {
		check(conn.Close())
		f.logf("the client has closed its connection")
	}
	time.Sleep(work + 2*time.Second)
	if !trouble() {
		check(conn.Close())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	lasting, working := 0, 0
	for _, e := range f.ends {
		if e.began.After(left) || e.began.Add(work).Before(left.Add(500*time.Millisecond)) {
			continue // Would not have lasted so long.
		}
		lasting++
		if e.at.After(left.Add(500 * time.Millisecond)) {
			working++
		}
	}
	f.logf("%d of %d requests in progress were still worked on half a second later", working, lasting)
	if lasting < 8 {
		return 2
	}
	if trouble() && 4*working > lasting {
		f.logf("BROKEN: more than a quarter")
		return 1
	}
	return 0
}
