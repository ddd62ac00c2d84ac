package main

import (
	"bytes"
	"time"
)

// largeCase sends bodies of 16 MB, a quarter of what max-body-bytes of the configuration allows, and counts those that the host denies.
func largeCase() int {
	size := 16 << 20
	if !trouble() {
		size = 1 << 20
	}
	f := newFleet(map[string]string{"golfo-a": "golfo"})
	defer f.stop(false)
	c := newConfig()
	c.service("reservas")
	c.route("uploads", "/reservas/", "unsafe", "reservas")
	f.store.Put("op/config", c.next())
	f.addInstance("i-0", "reservas", "golfo-a", 20*time.Millisecond)
	f.addHost("front-golfo-a-1", "golfo-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(4 * time.Second) // contact-s after the start.
	denied := 0
	const requests = 12
	for range requests {
		x := f.send(f.hosts[0], request{method: "POST", path: "/reservas/1", body: bytes.NewReader(make([]byte, size)), length: int64(size),
			deadline: 4 * time.Second})
		if x.status == 413 {
			denied++
		}
	}
	f.logf("%d of %d proper requests with a body of %d bytes were denied with 413; max-body-bytes is 67108864", denied, requests, size)
	if denied > 5 {
		return 1
	}
	return 0
}
