package main

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// coldCase lets an instance become cold while one host is cut off from the store, and counts what reaches the instance in any
// second while it is cold.
func coldCase() int {
	const (
		cutTime  = 5500 * time.Millisecond // core_cut: for_s
		warmup   = 3 * time.Second         // warmup-s
		bound    = 15*1.5 + 5              // warmup-per-s x cold-over + cold-slack
		limit    = 2 * 15                  // The instance crashes at more in one second: twice warmup-per-s.
		perRound = 26300 * time.Microsecond
	)
	f := newFleet(map[string]string{"golfo-a": "golfo", "pacifico-a": "pacifico"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.route("bookings", "/reservas/", "unsafe", "reservas")
	f.store.Put("op/config", c.next())
	cold := f.addInstance("i-cold", "reservas", "golfo-a", 40*time.Millisecond)
	f.addInstance("i-warm-0", "reservas", "golfo-a", 40*time.Millisecond)
	f.addInstance("i-warm-1", "reservas", "golfo-a", 40*time.Millisecond)
	f.addInstance("i-warm-2", "reservas", "pacifico-a", 40*time.Millisecond)
	f.addInstance("i-warm-3", "reservas", "pacifico-a", 40*time.Millisecond)
	f.addInstance("i-warm-4", "reservas", "pacifico-a", 40*time.Millisecond)
	f.addHost("front-golfo-a-1", "golfo-a")
	f.addHost("front-pacifico-a-1", "pacifico-a")
	if !f.waitReady() {
		return 2
	}
	h := f.hosts[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	seen := map[string]int{} // Status by request.
	var group sync.WaitGroup
	group.Add(1)
	go func() { // 38 requests a second for each of the three instances of the region.
		defer group.Done()
		ticker := time.NewTicker(perRound / 3)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				group.Add(1)
				go func() {
					defer group.Done()
					x := f.send(h, request{method: "POST", path: "/reservas/1", body: strings.NewReader("booking"), length: 7, deadline: 2 * time.Second})
					mu.Lock()
					seen[x.id] = x.status
					mu.Unlock()
				}()
			}
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble() {
		h.storeProxy.cut.Store(true)
		f.logf("%s is cut off from the store", h.id)
	}
	cutAt := time.Now()
	time.Sleep(time.Second)
	cold.mu.Lock()
	cold.warmupLeft, cold.coldLimit, cold.recent = warmup, limit, nil
	cold.mu.Unlock()
	since := f.register(cold)
	f.logf("instance %s is cold for %v, acknowledged", cold.id, warmup)
	time.Sleep(warmup)
	cold.mu.Lock()
	cold.warmupLeft = 0
	cold.mu.Unlock()
	f.register(cold)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	h.storeProxy.cut.Store(false)
	close(stop)
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Time
	lost := 0
	for _, a := range f.arrivals {
		if a.instance == cold.id && a.at.After(since) && a.at.Before(since.Add(warmup)) {
			times = append(times, a.at)
			if seen[a.id] != 200 {
				lost++
			}
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most := 0
	for i := range times {
		n := sort.Search(len(times), func(j int) bool { return !times[j].Before(times[i].Add(time.Second)) })
		most = max(most, n-i)
	}
	f.logf("%d requests reached %s in the %v that it was cold, at most %d in one second, the bound is %.1f; %d bookings that reached it were lost", len(times),
		cold.id, warmup, most, bound, lost)
	if len(f.arrivals) < 300 {
		return 2
	}
	if float64(most) > bound {
		f.logf("BROKEN: more than the bound")
		return 1
	}
	return 0
}
