package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/poison"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func keyOf(target string) poison.Key { return poison.KeyOf("GET", "h.example", target, nil, nil) }

func targetOf(id string) *steer.Endpoint {
	return &steer.Endpoint{
		ID:          id,
		StartMillis: 7,
	}
}

// Guards against keys that differ between equal requests, or are equal for requests that differ.
func TestKeyIdentifiesRequestOfCustomer(t *testing.T) {
	naviera, other := &steer.PlanCustomer{Name: "naviera"}, &steer.PlanCustomer{Name: "other"}
	key := poison.KeyOf("POST", "h.example", "/b/1?x=2", naviera, []byte("body"))
	assert.Equal(t, key, poison.KeyOf("POST", "h.example", "/b/1?x=2", naviera, []byte("body")))
	for name, differs := range map[string]poison.Key{
		"method":   poison.KeyOf("PUT", "h.example", "/b/1?x=2", naviera, []byte("body")),
		"host":     poison.KeyOf("POST", "i.example", "/b/1?x=2", naviera, []byte("body")),
		"query":    poison.KeyOf("POST", "h.example", "/b/1?x=3", naviera, []byte("body")),
		"customer": poison.KeyOf("POST", "h.example", "/b/1?x=2", other, []byte("body")),
		"body":     poison.KeyOf("POST", "h.example", "/b/1?x=2", naviera, []byte("bodies")),
		"ends":     poison.KeyOf("POST", "h.example/b", "/1?x=2", naviera, []byte("body")),
	} {
		assert.Check(t, differs != key, name)
	}
}

// Guards against requests that are condemned without cause or by one host's losses only, or stay condemned after an answer.
func TestCondemnsOnlyRequestsThatExplainCrashes(t *testing.T) {
	a, b := keyOf("/a"), keyOf("/b")
	crash := func(table *poison.Table, key poison.Key, targets ...string) {
		for _, id := range targets {
			table.RecordCrash(start, key, targetOf(id))
		}
	}
	for _, c := range []struct {
		name     string
		run      func(table, peer *poison.Table)
		rejected []poison.Key
		after    time.Duration
	}{
		{
			name: "two targets",
			run:  func(table, _ *poison.Table) { crash(table, a, "1", "2") },
		},
		{
			name: "one target that closes three connections",
			run:  func(table, _ *poison.Table) { crash(table, a, "1", "1", "1") },
		},
		{
			name:     "three targets",
			run:      func(table, _ *poison.Table) { crash(table, a, "1", "2", "3") },
			rejected: []poison.Key{a},
		},
		{
			name: "three targets, seen by two hosts",
			run: func(table, peer *poison.Table) {
				crash(table, a, "1")
				crash(peer, a, "2", "3")
				table.Merge(start, peer.Reports(start))
			},
			rejected: []poison.Key{a},
		},
		{
			name: "beside a request that explains all but two",
			run: func(table, _ *poison.Table) {
				crash(table, b, "1", "2", "3", "4")
				crash(table, a, "1", "2", "3", "4", "5", "6")
			},
			rejected: []poison.Key{a},
		},
		{
			name: "two requests with targets of their own",
			run: func(table, _ *poison.Table) {
				crash(table, a, "1", "2", "3", "4")
				crash(table, b, "4", "5", "6", "7")
			},
			rejected: []poison.Key{a, b},
		},
		{
			name: "answered after the crashes",
			run: func(table, _ *poison.Table) {
				crash(table, a, "1", "2")
				table.RecordAnswer(start, a)
				crash(table, a, "3")
			},
		},
		{
			name: "answered after it was condemned, at another host",
			run: func(table, peer *poison.Table) {
				crash(table, a, "1", "2", "3")
				peer.Merge(start, table.Reports(start))
				peer.RecordAnswer(start.Add(time.Second), a)
				table.Merge(start.Add(time.Second), peer.Reports(start.Add(time.Second)))
			},
			after: time.Second,
		},
		{
			name:  "long after the last crash",
			run:   func(table, _ *poison.Table) { crash(table, a, "1", "2", "3") },
			after: 11 * time.Minute,
		},
		{
			name: "crash long after it was condemned",
			run: func(table, _ *poison.Table) {
				crash(table, a, "1", "2", "3")
				table.RecordCrash(start.Add(11*time.Minute), a, targetOf("4"))
			},
			after:    12 * time.Minute,
			rejected: []poison.Key{a},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, peer := poison.New(poison.Config{}), poison.New(poison.Config{})
			c.run(table, peer)
			var rejected []poison.Key
			for _, key := range []poison.Key{a, b} {
				if _, ok := table.Rejects(start.Add(c.after), key); ok {
					rejected = append(rejected, key)
				}
			}
			assert.DeepEqual(t, rejected, c.rejected)
		})
	}
}

// Guards against tables that grow without bound, or forget a condemned request for others that came later.
func TestTableIsBounded(t *testing.T) {
	table := poison.New(poison.Config{})
	deadly := keyOf("/deadly")
	for i := range 3 {
		table.RecordCrash(start, deadly, targetOf(fmt.Sprint(i)))
	}
	for i := range 20_000 {
		table.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), keyOf(fmt.Sprint(i)), targetOf("x"))
	}
	now := start.Add(20 * time.Second)
	_, rejected := table.Rejects(now, deadly)
	assert.Assert(t, rejected)
	assert.Assert(t, len(table.Reports(now)) <= 128)
	table.Reports(now.Add(2 * time.Hour))
	assert.Assert(t, !table.InUse())
}

// fleet plays hosts that get requests and exchange reports in rounds, as package gossip does.
type fleet struct {
	hosts   []*poison.Table
	size    int                     // Hosts of a data centre.
	link    func(from, to int) bool // Whether messages arrive.
	pending [][]steer.CrashReport   // Reports on their way, by recipient.
	running map[time.Time][]func()  // Ends of requests.
	random  *rand.Rand
	started []time.Time // Starts of hosts during the play.
	crashes []sentCrash
	targets int // Targets that have run so far; each restarts as another process.
}

// sentCrash is a send of the deadly request.
type sentCrash struct {
	at      time.Time
	counted bool // The host had run for contact.
}

const (
	// contact is the time after the third crash, and after the start of a host, from which sends count, as the platform's pages
	// say.
	contact = 3 * time.Second

	// allowed is the number of sends that they allow from then on.
	allowed = 3

	// ordinary is the number of other requests that come again.
	ordinary = 500
)

// ordinaryKeys are the keys of requests that crash no targets.
var ordinaryKeys = func() (keys []poison.Key) {
	for i := range ordinary {
		keys = append(keys, keyOf(fmt.Sprint("/", i)))
	}
	return keys
}()

func newFleet(hosts, dataCentres int, seed uint64) *fleet {
	f := &fleet{
		size:    hosts / dataCentres,
		link:    func(int, int) bool { return true },
		pending: make([][]steer.CrashReport, hosts),
		running: map[time.Time][]func(){},
		random:  rand.New(rand.NewPCG(seed, 0)),
	}
	f.hosts, f.started = make([]*poison.Table, hosts), make([]time.Time, hosts)
	for i := range hosts {
		f.restart(start.Add(-time.Minute), i)
	}
	return f
}

func (f *fleet) restart(now time.Time, host int) {
	f.hosts[host], f.started[host] = poison.New(poison.Config{}), now
}

// exchange plays one round: hosts report to the two leaders of their data centre, leaders to all its hosts, and the first of
// them to the leaders of the others. Reports arrive in the next round.
func (f *fleet) exchange(now time.Time) {
	arrived := f.pending
	f.pending = make([][]steer.CrashReport, len(f.hosts))
	for i, reports := range arrived {
		f.hosts[i].Merge(now, reports)
	}
	for from, table := range f.hosts {
		reports := table.Reports(now)
		if len(reports) == 0 {
			continue
		}
		for _, to := range f.recipients(from) {
			if to != from && f.link(from, to) {
				f.pending[to] = append(f.pending[to], reports...)
			}
		}
	}
}

// recipients returns the hosts to which a host reports.
func (f *fleet) recipients(from int) []int {
	first := from - from%f.size
	if from%f.size > 1 {
		return []int{first, first + 1}
	}
	var list []int
	for i := range f.size {
		list = append(list, first+i)
	}
	if from == first {
		for other := 0; other < len(f.hosts); other += f.size {
			list = append(list, other, other+1)
		}
	}
	return list
}

// send sends the deadly request to a host and ordinary ones beside it, which are lost with the target.
func (f *fleet) send(now time.Time, deadly poison.Key, host int) {
	if _, rejected := f.hosts[host].Rejects(now, deadly); rejected {
		return
	}
	f.targets++
	target := targetOf(fmt.Sprint(f.targets))
	end := now.Add(100 * time.Millisecond)
	f.running[end] = append(f.running[end], func() {
		f.crashes = append(f.crashes, sentCrash{
			at:      now,
			counted: now.Sub(f.started[host]) > contact,
		})
		f.hosts[host].RecordCrash(end, deadly, target)
		for range 9 {
			f.hosts[f.random.IntN(len(f.hosts))].RecordCrash(end, ordinaryKeys[f.random.IntN(ordinary)], target)
		}
	})
}

// play plays ten seconds in which the deadly request comes at random hosts, and other requests are answered.
func (f *fleet) play(deadly poison.Key, perSecond int, disturb func(now time.Time)) {
	const tick = 50 * time.Millisecond
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(tick) {
		disturb(now)
		if now.Sub(start)%(250*time.Millisecond) == 0 {
			f.exchange(now)
		}
		for range f.random.IntN(2*perSecond/20 + 1) {
			f.send(now, deadly, f.random.IntN(len(f.hosts)))
		}
		for range 20 {
			f.hosts[f.random.IntN(len(f.hosts))].RecordAnswer(now, ordinaryKeys[f.random.IntN(ordinary)])
		}
		for _, ends := range f.running[now] {
			ends()
		}
	}
}

// Guards against a request that goes on crashing targets because hosts do not learn, or forget, what other hosts saw, and
// against ordinary requests that are rejected for the crashes of another.
func TestFleetRejectsDeadlyRequest(t *testing.T) {
	deadly := keyOf("/deadly")
	for _, c := range []struct {
		name               string
		hosts, dataCentres int
		perSecond          int
		disturb            func(f *fleet, now time.Time)
	}{
		{name: "8 hosts", hosts: 8, dataCentres: 4, perSecond: 14},
		{name: "72 hosts", hosts: 72, dataCentres: 9, perSecond: 30},
		{name: "470 hosts", hosts: 470, dataCentres: 10, perSecond: 30},
		{name: "470 hosts, rare", hosts: 470, dataCentres: 10, perSecond: 10},
		{
			name: "half of the hosts restart", hosts: 72, dataCentres: 9, perSecond: 30,
			disturb: func(f *fleet, now time.Time) {
				for i := range f.hosts {
					if i%2 == 0 && now.Equal(start.Add(5*time.Second)) {
						f.restart(now, i)
					}
				}
			},
		},
		{
			name: "hosts restart one after the other, twice", hosts: 12, dataCentres: 6, perSecond: 30,
			disturb: func(f *fleet, now time.Time) {
				if n := int(now.Sub(start) / (350 * time.Millisecond)); now.Sub(start)%(350*time.Millisecond) == 0 {
					f.restart(now, n%len(f.hosts))
				}
			},
		},
		{
			name: "two regions lose each other", hosts: 72, dataCentres: 9, perSecond: 30,
			disturb: func(f *fleet, _ time.Time) {
				f.link = func(from, to int) bool { return from/24 == to/24 || from/24 == 2 || to/24 == 2 }
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				f := newFleet(c.hosts, c.dataCentres, seed)
				f.play(deadly, c.perSecond, func(now time.Time) {
					if c.disturb != nil {
						c.disturb(f, now)
					}
				})
				assert.Assert(t, len(f.crashes) >= 3, "seed %d: %d crashes", seed, len(f.crashes))
				late := 0
				for _, c := range f.crashes[3:] {
					if c.counted && c.at.Sub(f.crashes[2].at) > contact {
						late++
					}
				}
				t.Logf("seed %d: %d crashes, %d late", seed, len(f.crashes), late)
				assert.Check(t, late <= allowed, "seed %d: %d sends later than %v", seed, late, contact)
				end := start.Add(10 * time.Second)
				for i, table := range f.hosts {
					for _, key := range ordinaryKeys {
						if _, rejected := table.Rejects(end, key); rejected {
							t.Errorf("seed %d: host %d rejects an ordinary request", seed, i)
						}
					}
				}
			}
		})
	}
}
