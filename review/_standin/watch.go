package main

import (
	"fmt"
	"strings"
	"time"
)

// watchCase cuts one of two hosts off from the store while large configurations come in quick succession, and looks at what that
// host does once it has been back for longer than contact-s.
//
// Each data centre has one host, as four of the six in the site file have. The last configuration moves a route to another service.
func watchCase() int {
	const (
		routes      = 2400 // Seven times big_config of 350 routes. The value stays below value-bytes.
		versions    = 12   // config_storm: for 4 s, a version each 0.33 s.
		cutTime     = 5500 * time.Millisecond
		contact     = 3 * time.Second         // contact-s
		configApply = 2500 * time.Millisecond // config-apply-s
		drain       = 2500 * time.Millisecond // drain-s
	)
	f := newFleet(map[string]string{"golfo-a": "golfo", "pacifico-a": "pacifico"})
	defer f.stop(true)
	c := newConfig()
	c.service("old")
	c.service("new")
	c.route("moves", "/moves/", "safe", "old")
	f.store.Put("op/config", c.next())
	for i := range 3 {
		f.addInstance(fmt.Sprintf("i-old-%d", i), "old", "golfo-a", 50*time.Millisecond)
		f.addInstance(fmt.Sprintf("i-new-%d", i), "new", "golfo-a", 50*time.Millisecond)
	}
	f.addHost("front-golfo-a-1", "golfo-a")
	f.addHost("front-pacifico-a-1", "pacifico-a")
	if !f.waitReady() {
		return 2
	}
	for i := range routes {
		name := fmt.Sprintf("r-%06d", i)
		c.route(name, "/"+name+"/", "safe", "old", "golfo", "pacifico")
		if (i+1)%350 == 0 || i+1 == routes { // The configuration grows by 350 routes at a time.
			f.store.Put("op/config", c.next())
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	f.logf("configuration of %d routes is acknowledged, its entry has %d bytes", len(c.routes), len(f.store.value("op/config")))
	cutHost := f.hosts[1]
	if trouble() {
		cutHost.storeProxy.cut.Store(true)
		f.logf("%s is cut off from the store", cutHost.id)
	}
	cutAt := time.Now()
	time.Sleep(time.Second)
	var moved time.Time
	for i := range versions {
		if i == versions-1 {
			c.route("moves", "/moves/", "safe", "new")
		}
		moved = f.store.Put("op/config", c.next())
		time.Sleep(330 * time.Millisecond)
	}
	f.logf("the last of %d versions, %08x, moves the route to the service new; acknowledged %.3f s ago", versions, c.version,
		time.Since(moved).Seconds())
	leaving := f.instances[0]
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	left := f.register(leaving)
	f.logf("instance %s is draining, acknowledged", leaving.id)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	healed := time.Now()
	cutHost.storeProxy.cut.Store(false)
	f.logf("%s reaches the store again", cutHost.id)
	inTouch := healed.Add(contact)
	broken, late, total := 0, 0, 0
	for time.Since(healed) < 25*time.Second {
		for _, h := range f.hosts {
			x := f.send(h, request{method: "GET", path: "/moves/1", deadline: 2 * time.Second})
			if !x.sent.After(inTouch) || !x.sent.After(moved.Add(configApply)) {
				continue
			}
			total++
			if x.status == 200 && strings.Contains(x.body, "i-old-") {
				broken++
				f.logf("BROKEN: request %s was sent %.3f s after the acknowledgement of the move and %.3f s after the cut, and ran at the old service",
					x.id, x.sent.Sub(moved).Seconds(), x.sent.Sub(healed).Seconds())
				if strings.Contains(x.body, " "+leaving.id+" ") && x.sent.After(left.Add(drain)) {
					late++
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.store.mu.Lock()
	largest := f.store.largestWatch
	f.store.mu.Unlock()
	f.logf("%d of %d requests that count were handled as only an older version allows, %d of them at the leaving instance; "+
		"largest answer to a watch %d bytes", broken, total, late, largest)
	if total == 0 {
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}
