package main

import (
	"encoding/json"
	"strings"
	"time"
)

// writerCase lets another writer put an entry without some fields in the place of an instance's entry. Such an entry names no
// instance to use. It counts the requests that then run at a service to which no configuration sends them.
func writerCase() int {
	const heartbeat = 1500 * time.Millisecond // heartbeat-s
	f := newFleet(map[string]string{"golfo-a": "golfo"})
	defer f.stop(true)
	c := newConfig()
	c.service("reservas")
	c.service("convoyes")
	c.route("bookings", "/reservas/", "unsafe", "reservas")
	c.route("convoys", "/convoyes/", "unsafe", "convoyes")
	f.store.Put("op/config", c.next())
	f.addInstance("i-reservas-0", "reservas", "golfo-a", 20*time.Millisecond)
	f.addInstance("i-reservas-1", "reservas", "golfo-a", 20*time.Millisecond)
	target := f.addInstance("i-convoyes-0", "convoyes", "golfo-a", 20*time.Millisecond)
	f.addInstance("i-convoyes-1", "convoyes", "golfo-a", 20*time.Millisecond)
	f.addHost("front-golfo-a-1", "golfo-a")
	if !f.waitReady() {
		return 2
	}
	time.Sleep(4 * time.Second) // contact-s after the start.
	if trouble() {
		entry := target.entry()
		entry["service"] = "reservas"
		for _, field := range []string{"version", "warmup-left-s", "born"} {
			delete(entry, field)
		}
		text, err := json.Marshal(entry)
		check(err)
		f.store.Put("servers/"+target.id, entry)
		f.logf("another writer puts %s under servers/%s", text, target.id)
		time.AfterFunc(heartbeat, func() {
			f.register(target)
			f.logf("instance %s writes its entry again", target.id)
		})
	}
	sent := map[string]bool{}
	for began := time.Now(); time.Since(began) < 2*heartbeat; {
		x := f.send(f.hosts[0], request{method: "POST", path: "/reservas/1", body: strings.NewReader("booking"), length: 7, deadline: time.Second})
		sent[x.id] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := 0
	for _, a := range f.arrivals {
		if sent[a.id] && a.ran && strings.HasPrefix(a.instance, "i-convoyes") {
			broken++
			f.logf("BROKEN: booking %s for the service reservas ran at %s of the service convoyes", a.id, a.instance)
		}
	}
	f.logf("%d of %d bookings ran at a service to which no configuration sends them", broken, len(sent))
	if len(sent) < 50 {
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}
