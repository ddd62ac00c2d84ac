package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// reloadCase stops one of two hosts with SIGTERM while it works on bookings, and sends it SIGHUP half a second later, as for a
// change of the settings file. It counts the bookings that an instance ran and whose connection ended without an answer.
func reloadCase() int {
	const (
		work   = 480 * time.Millisecond
		reload = 500 * time.Millisecond
		rounds = 3
	)
	f := newFleet(map[string]string{"golfo-a": "golfo", "pacifico-a": "pacifico"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("bookings", "/reservas/", "unsafe", "reservas")
	f.store.Put("op/config", c.next())
	for _, id := range []string{"i-0", "i-1", "i-2", "i-3"} {
		f.addInstance(id, "reservas", "golfo-a", work)
	}
	f.addHost("front-golfo-a-1", "golfo-a")
	f.addHost("front-pacifico-a-1", "pacifico-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(4 * time.Second) // contact-s after the start.
	total, cut := 0, 0
	for range rounds {
		h := f.hosts[0]
		var mu sync.Mutex
		var seen []response
		var group sync.WaitGroup
		signalled := time.Now().Add(time.Second)
		for i := range 60 { // 30 bookings a second, until half a second after SIGHUP.
			group.Add(1)
			time.Sleep(time.Until(signalled.Add(time.Duration(i-30) * 33 * time.Millisecond)))
			if i == 30 {
				check(h.command.Process.Signal(syscall.SIGTERM))
				f.logf("%s gets SIGTERM", h.id)
			}
			if i == 30+int(reload/(33*time.Millisecond)) && trouble() {
				check(h.command.Process.Signal(syscall.SIGHUP))
				f.logf("%s gets SIGHUP", h.id)
			}
			go func() {
				defer group.Done()
				x := f.send(h, request{method: "POST", path: "/reservas/1", body: strings.NewReader("booking"), length: 7, deadline: 2500 * time.Millisecond})
				mu.Lock()
				seen = append(seen, x)
				mu.Unlock()
			}()
		}
		group.Wait()
		ran := map[string]bool{}
		f.mu.Lock()
		for _, a := range f.arrivals {
			ran[a.id] = ran[a.id] || a.ran
		}
		f.mu.Unlock()
		for _, x := range seen {
			total++
			if x.status == 0 && ran[x.id] {
				cut++
				f.logf("BROKEN: booking %s was passed on to an instance, and its connection ended without an answer", x.id)
			}
		}
		select {
		case <-h.exited:
		case <-time.After(graceSeconds * time.Second):
		}
		f.restart(h)
		if !f.waitReady() {
			return 2
		}
		time.Sleep(4 * time.Second)
	}
	f.logf("%d of %d bookings around %d planned stops were cut off after they had been passed on", cut, total, rounds)
	if total < 100 {
		return 2
	}
	if cut > 0 {
		return 1
	}
	return 0
}
