package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// twiceCase sends bookings to instances that are full at times. One of them breaks off some of its answers within their header, and
// sends a second copy of the answer before, a refusal, late. It counts the bookings that run more than once.
func twiceCase() int {
	f := newFleet(map[string]string{"golfo-a": "golfo"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("bookings", "/reservas/", "unsafe", "reservas")
	f.store.Put("op/config", c.next())
	for _, id := range []string{"i-garbles", "i-sound"} {
		g := &garbler{fleet: f, id: id, faulty: id == "i-garbles", slots: 4, afterRefusal: true}
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
		f.logf("i-garbles spoils at most one in %d of its answers for %v", spoiledEach, garbleTime)
	}
	var mu sync.Mutex
	seen := map[string]response{}
	var group sync.WaitGroup
	end := time.Now().Add(garbleTime + time.Second)
	for w := range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; time.Now().Before(end); i++ {
				x := f.send(f.hosts[0], request{method: "POST", path: fmt.Sprintf("/reservas/cliente-%d-%d", w, i),
					body: strings.NewReader("booking"), length: 7, deadline: time.Second})
				mu.Lock()
				seen[x.id] = x
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, a := range f.arrivals {
		if a.ran {
			runs[a.id]++
		}
	}
	twice, refused := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			f.logf("BROKEN: booking %s ran %d times, its client got %d", id, n, seen[id].status)
		}
		if seen[id].status == http.StatusServiceUnavailable {
			refused++
			f.logf("BROKEN: booking %s ran, and its client got 503", id)
		}
	}
	f.logf("%d of %d bookings that ran, ran twice; %d more were answered with 503 (REFUSED); %d bookings sent", twice, len(runs), refused, len(seen))
	if len(runs) < 200 {
		return 2
	}
	if twice+refused > 0 {
		return 1
	}
	return 0
}
