package join_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/join"
)

// sampleInterval is the time between two looks at which hosts are named.
const sampleInterval = 20 * time.Millisecond

// registeredHost is a host that is registered and follows which others are.
type registeredHost struct {
	client   *storeClient
	member   *join.Member
	follower *belief.Follower
}

// names reports whether the directory of this host names another one.
func (h *registeredHost) names(id string) bool {
	return slices.ContainsFunc(h.follower.View().Hosts, func(e steer.HostEntry) bool { return e.ID == id })
}

// registeredFleet is some hosts with their store. Each watches the store itself.
type registeredFleet struct {
	store *leaseStore
	hosts map[string]*registeredHost // By id.
	stop  context.CancelFunc
}

// startFleet starts hosts that learn within the settle time after an outage which others have ended.
func startFleet(settle time.Duration, ids ...string) *registeredFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &registeredFleet{
		store: newLeaseStore(ctx),
		hosts: map[string]*registeredHost{},
		stop:  cancel,
	}
	for i, id := range ids {
		client := &storeClient{
			store: f.store,
		}
		h := &registeredHost{
			client: client,
			follower: belief.New(belief.Config{
				Catalog:       client,
				Host:          id,
				HostLeaseTerm: join.LeaseTerm(settle),
			}),
		}
		h.member = join.New(join.Config{
			Catalog: client,
			Host: steer.HostEntry{
				ID: id,
			},
			Term:   join.LeaseTerm(settle),
			Failed: h.follower.NoteFailedCall,
			Missing: func() bool {
				view := h.follower.View()
				return view.Listed && view.Reachable && !h.names(id)
			},
		})
		f.hosts[id] = h
		time.Sleep(time.Duration(i+1) * 170 * time.Millisecond) // Hosts renew their leases at different moments.
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *registeredFleet) shutDown() {
	f.store.setOutage(nil)
	for _, h := range f.hosts {
		h.client.setSilent(false)
		h.member.Leave(context.Background())
		h.follower.Stop()
	}
	f.stop()
}

// unnamed samples for some time which hosts are named, and returns for how long some directory lacked one of the ids.
func (f *registeredFleet) unnamed(d time.Duration, ids ...string) time.Duration {
	var missing time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sampleInterval) {
		synctest.Wait()
		for id, h := range f.hosts {
			if slices.ContainsFunc(ids, func(other string) bool { return other != id && !h.names(other) }) {
				missing += sampleInterval
				break
			}
		}
	}
	return missing
}

// phases are the times by which a test shifts its disruption against the renewals of leases.
func phases() []time.Duration {
	var list []time.Duration
	for d := time.Duration(0); d < 1300*time.Millisecond; d += 130 * time.Millisecond {
		list = append(list, d)
	}
	return list
}

// outages are the ways in which the store is down.
var outages = map[string]outage{
	"no answer, leases stand still": {},
	"refused, leases stand still": {
		refuses: true,
	},
	"no answer, leases run": {
		lapse: true,
	},
	"refused, leases run": {
		refuses: true,
		lapse:   true,
	},
}

// Guards against directories that name a host that is gone, after an outage in which leases stand still: with a settle time of 3 s, callers
// may not be sent there from 3 s after the outage and 6 s after the end of the host on.
func TestDirectoryDropsHostThatEndsAroundOutage(t *testing.T) {
	const length = 4500 * time.Millisecond
	for name, o := range outages {
		for _, endsAfter := range []time.Duration{-500 * time.Millisecond, 0, time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s, host ends %v after its begin", name, endsAfter), func(t *testing.T) {
				for _, settle := range []time.Duration{3 * time.Second, 4 * time.Second} {
					for _, phase := range phases() {
						synctest.Test(t, func(t *testing.T) { checkDropped(t, o, length, endsAfter, settle, phase) })
					}
				}
			})
		}
	}
}

func checkDropped(t *testing.T, o outage, length, endsAfter, settle, phase time.Duration) {
	f := startFleet(settle, "a", "b", "c")
	defer f.shutDown()
	time.Sleep(phase)
	begin := time.Now().Add(max(0, -endsAfter))
	ended := begin.Add(endsAfter)
	go func() {
		time.Sleep(time.Until(ended))
		f.hosts["b"].client.setSilent(true)
	}()
	time.Sleep(time.Until(begin))
	f.store.setOutage(&o)
	time.Sleep(length)
	f.store.setOutage(nil)
	limit := time.Now().Add(settle)
	if other := ended.Add(settle + 3*time.Second); other.After(limit) {
		limit = other
	}
	time.Sleep(time.Until(limit))
	synctest.Wait()
	assert.Assert(t, !f.hosts["a"].names("b") && !f.hosts["c"].names("b"), "settle time %v, phase %v", settle, phase)
	assert.Assert(t, f.hosts["a"].names("c") && f.hosts["c"].names("a"), "settle time %v, phase %v", settle, phase)
}

// Guards against running hosts that drop out of the directory: in an outage of the store, since their leases end during it or their renewals
// come too late after it, and while their process is paused or cut off from the store.
func TestDirectoryNamesRunningHosts(t *testing.T) {
	type disruption func(f *registeredFleet)
	down := func(o outage, lengths ...time.Duration) disruption {
		return func(f *registeredFleet) {
			for _, length := range lengths {
				f.store.setOutage(&o)
				time.Sleep(length)
				f.store.setOutage(nil)
				time.Sleep(700 * time.Millisecond)
			}
		}
	}
	silent := func(id string, length time.Duration) disruption {
		return func(f *registeredFleet) {
			f.hosts[id].client.setSilent(true)
			time.Sleep(length)
			f.hosts[id].client.setSilent(false)
		}
	}
	type row struct {
		name    string
		disrupt disruption
		named   []string // Hosts that each directory must name.
	}
	all := []string{"a", "b", "c"}
	rows := []row{
		{
			// A silent host stays known for 4 s after a renewal, and renews every 1.17 s or more often.
			name:    "a host is paused for 2.5 s",
			disrupt: silent("b", 2500*time.Millisecond),
			named:   all,
		},
		{
			name:    "a directory is paused for 8 s",
			disrupt: silent("a", 8*time.Second),
			named:   []string{"b", "c"}, // The lease of the paused host itself ends.
		},
	}
	for name, o := range outages {
		rows = append(rows, row{
			name:    "outage of 4.5 s, " + name,
			disrupt: down(o, 4500*time.Millisecond),
			named:   all,
		}, row{
			name:    "three outages, " + name,
			disrupt: down(o, 2*time.Second, time.Second, 3*time.Second),
			named:   all,
		})
	}
	for _, c := range rows {
		t.Run(c.name, func(t *testing.T) {
			for _, settle := range []time.Duration{3 * time.Second, 4 * time.Second} {
				var missing time.Duration
				for _, phase := range phases() {
					synctest.Test(t, func(*testing.T) {
						f := startFleet(settle, "a", "b", "c")
						defer f.shutDown()
						time.Sleep(phase)
						go c.disrupt(f)
						missing += f.unnamed(15*time.Second, c.named...)
					})
				}
				assert.Equal(t, missing, time.Duration(0), "settle time %v: time in %d runs in which a running host was not named", settle, len(phases()))
			}
		})
	}
}

// Guards against a host that leaves and stays named as if its lease had only not been renewed in time.
func TestLeavingHostIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(3*time.Second, "a", "b")
		defer f.shutDown()
		f.hosts["b"].member.Leave(t.Context())
		time.Sleep(300 * time.Millisecond) // The pause of a watch after a change.
		synctest.Wait()
		assert.Assert(t, !f.hosts["a"].names("b"))
	})
}

// Guards against a host that renews its lease while its registration has ended with an earlier lease: the call that wrote it under that lease
// was carried out late.
func TestMissingRegistrationIsWrittenAgain(t *testing.T) {
	for _, phase := range phases() {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(3*time.Second, "a", "b")
			defer f.shutDown()
			time.Sleep(phase)
			earlier, err := f.hosts["b"].client.Grant(t.Context(), time.Second)
			assert.NilError(t, err)
			f.store.mu.Lock()
			f.store.leaseOf[hostPrefix+"b"] = earlier.ID
			f.store.mu.Unlock()
			assert.Equal(t, f.unnamed(10*time.Second, "b"), time.Duration(0), "phase %v", phase)
		})
	}
}
