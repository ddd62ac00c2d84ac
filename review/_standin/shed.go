package main

import (
	"time"
)

// shedCase lets one of three instances turn requests away with 503 and Retry-After for some seconds. The host must leave it alone
// from half a second after the first such answer until the end of that time.
func shedCase() int {
	const (
		retryAfter = 5 * time.Second
		excused    = 2 // Requests that may reach it all the same.
	)
	f := newFleet(map[string]string{"golfo-a": "golfo"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("queries", "/reservas/", "safe", "reservas")
	f.store.Put("op/config", c.next())
	busy := f.addInstance("i-busy", "reservas", "golfo-a", 50*time.Millisecond)
	f.addInstance("i-other-0", "reservas", "golfo-a", 50*time.Millisecond)
	f.addInstance("i-other-1", "reservas", "golfo-a", 50*time.Millisecond)
	f.addHost("front-golfo-a-1", "golfo-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(2 * time.Second)
	if trouble() {
		busy.mu.Lock()
		busy.busyFor = retryAfter
		busy.mu.Unlock()
		f.logf("instance %s turns requests away, with Retry-After %v", busy.id, retryAfter)
	}
	began := time.Now()
	for time.Since(began) < retryAfter {
		f.send(f.hosts[0], request{method: "GET", path: "/reservas/1", deadline: 2 * time.Second})
		time.Sleep(20 * time.Millisecond)
	}
	if trouble() {
		busy.mu.Lock()
		busy.busyFor = 0
		busy.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var first time.Time
	after := 0
	for _, a := range f.arrivals {
		switch {
		case a.instance != busy.id || a.ran:
		case first.IsZero():
			first = a.at
		case a.at.After(first.Add(500*time.Millisecond)) && a.at.Before(first.Add(retryAfter)):
			after++
		}
	}
	f.logf("%d requests reached %s between half a second after its first 503 with Retry-After and the end of that time", after, busy.id)
	if len(f.arrivals) < 50 || trouble() && first.IsZero() {
		return 2
	}
	if after > excused {
		f.logf("BROKEN: more than %d", excused)
		return 1
	}
	return 0
}
