package main

import (
	"strings"
	"time"
)

// leavingCase lets an instance leave while one host is cut off from the store. The instance says so in all its answers. The host
// passes such answers on and must send the instance nothing later than drain-s after the first one.
func leavingCase() int {
	const (
		cutTime = 5500 * time.Millisecond // core_cut: for_s
		drain   = 2500 * time.Millisecond // drain-s
	)
	f := newFleet(map[string]string{"golfo-a": "golfo", "pacifico-a": "pacifico"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("bookings", "/reservas/", "unsafe", "reservas")
	f.store.Put("op/config", c.next())
	leaving := f.addInstance("i-leaving", "reservas", "golfo-a", 100*time.Millisecond)
	f.addInstance("i-stays-0", "reservas", "golfo-a", 100*time.Millisecond)
	f.addInstance("i-stays-1", "reservas", "pacifico-a", 100*time.Millisecond)
	f.addHost("front-golfo-a-1", "golfo-a")
	f.addHost("front-pacifico-a-1", "pacifico-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(2 * time.Second)
	h := f.hosts[0]
	if trouble() {
		h.storeProxy.cut.Store(true)
		f.logf("%s is cut off from the store", h.id)
	}
	cutAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	leaving.mu.Lock()
	leaving.state, leaving.leaving = "draining", true
	leaving.mu.Unlock()
	f.register(leaving)
	f.logf("instance %s is draining, acknowledged; its answers say Server-Leaving", leaving.id)
	var told time.Time // When a client had the first such answer.
	broken, total := 0, 0
	for time.Since(cutAt) < cutTime {
		x := f.send(h, request{method: "POST", path: "/reservas/1", body: strings.NewReader("booking"), length: 7, deadline: 2 * time.Second})
		total++
		if x.header.Get("Server-Leaving") == "1" {
			if told.IsZero() {
				told = x.sent.Add(x.took)
				f.logf("the first answer with Server-Leaving has been passed on")
			} else if x.sent.After(told.Add(drain)) {
				broken++
				f.logf("BROKEN: request %s was sent %.3f s after that answer and ran at %s", x.id, x.sent.Sub(told).Seconds(), leaving.id)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.storeProxy.cut.Store(false)
	f.logf("%d of %d requests reached the leaving instance later than drain-s after %s had passed its word on", broken, total, h.id)
	if total < 20 || trouble() && told.IsZero() {
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}
