package slots_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/quota/slots"
)

// Guards against two spenders and lost slots when any fault occurs in any store call of a host that takes, keeps, loses
// or releases slots.
func TestEveryFaultAtEveryStoreCall(t *testing.T) {
	for _, f := range faults {
		for at := range 16 {
			for victim := range 4 {
				t.Run(fmt.Sprint(f, " at call ", at, " of host ", victim), func(t *testing.T) {
					t.Parallel()
					runFleet(t, 3, uint64(at), func(t *testing.T, fl *fleet) { runLifecycle(t, fl, victim, at, f) })
				})
			}
		}
	}
}

// runLifecycle starts three hosts, kills one, replaces it, and stops another as planned. The host with index victim gets
// the fault in the given store call.
func runLifecycle(t *testing.T, f *fleet, victim, at int, fault fault) {
	faultAt := func(index int) func(*host) {
		return func(h *host) {
			h.fault = fault
			if index == victim {
				h.faultyCall = at
			}
		}
	}
	a := f.start("a", 1, faultAt(0))
	b := f.start("b", 1, faultAt(1))
	time.Sleep(5 * time.Second)
	f.start("c", 1, faultAt(2))
	time.Sleep(20 * time.Second)
	a.kill()
	time.Sleep(3 * time.Second)
	f.start("a", 2, faultAt(3))
	time.Sleep(20 * time.Second)
	_ = b.release() // This fails under some faults; the slots lapse then.
	time.Sleep(time.Minute)
	assert.Equal(t, f.usableSlots(), 3)
}

// Guards against two spenders when faults combine, over many random sequences of faults.
func TestFaultsCombine(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runFleet(t, 4, seed, runRandomFaults)
		})
	}
}

func runRandomFaults(t *testing.T, f *fleet) {
	hosts := []*host{f.start("a", 1), f.start("b", 1), f.start("c", 1), f.start("d", 1)}
	backup := f.store.Snapshot()
	for step := range 120 {
		i := f.random.IntN(len(hosts))
		h := hosts[i]
		switch f.random.IntN(9) {
		case 0:
			h.kill()
			hosts[i] = f.start(h.id, h.incarnation+1)
		case 1:
			h.freeze()
			f.after(time.Duration(f.random.IntN(25))*time.Second, h.unfreeze)
		case 2:
			h.setStoreCut(true)
			f.after(time.Duration(f.random.IntN(25))*time.Second, func() { h.setStoreCut(false) })
		case 3:
			f.store.SetFaults(kvmem.Faults{
				Down: f.random.IntN(2) == 0,
			})
		case 4:
			f.store.SetFaults(kvmem.Faults{
				Delay: time.Duration(f.random.IntN(4000)) * time.Millisecond,
			})
		case 5:
			f.store.SetFaults(kvmem.Faults{
				LoseProbability: 0.3,
			})
		case 6:
			if step%5 == 0 {
				backup = f.store.Snapshot()
			}
		case 7:
			f.store.SetFaults(kvmem.Faults{})
		case 8:
			if f.random.IntN(4) == 0 && !h.isFrozen() {
				f.store.Restore(backup)
			}
		}
		time.Sleep(time.Duration(f.random.IntN(8000)) * time.Millisecond)
	}
	f.store.SetFaults(kvmem.Faults{})
	time.Sleep(2 * time.Minute)
	assert.Equal(t, f.usableSlots(), 4)
}

// Guards against a data centre that stops serving when all its hosts are cut off from the store, and against a host that
// goes on spending when it alone is cut off.
func TestCutOff(t *testing.T) {
	cases := []struct {
		name string
		cut  []int // Hosts cut off from the store.
		want []int // Slots that each host may spend on after 100 s.
	}{
		{
			name: "the whole data centre keeps its slots",
			cut:  []int{0, 1, 2},
			want: []int{1, 1, 1},
		},
		{
			name: "a host alone loses its slot to another",
			cut:  []int{0},
			want: []int{0, 2, 1},
		},
		{
			name: "two hosts lose their slots to the one that reaches the store",
			cut:  []int{0, 1},
			want: []int{0, 0, 3},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, 3, 7, func(t *testing.T, f *fleet) {
				hosts := []*host{f.start("a", 1), f.start("b", 1), f.start("c", 1)}
				time.Sleep(10 * time.Second)
				assert.Equal(t, f.usableSlots(), 3)
				for _, i := range c.cut {
					hosts[i].setStoreCut(true)
				}
				time.Sleep(100 * time.Second)
				for i, h := range hosts {
					count := len(h.keeper.Held(time.Now()))
					if h.keeper.UsableUntil(time.Now()).IsZero() {
						count = 0
					}
					assert.Equal(t, count, c.want[i], "host %s", h.id)
				}
				for _, h := range hosts {
					h.setStoreCut(false)
				}
				time.Sleep(time.Minute)
				for _, h := range hosts {
					assert.Equal(t, len(h.keeper.Held(time.Now())), 1, "host %s", h.id)
				}
			})
		})
	}
}

// Guards against replacement hosts that spend while the store is down, and against slots lost after it comes back, with
// and without reachable peers.
func TestAllHostsReplacedDuringOutage(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprint("without peers ", alone), func(t *testing.T) {
			runFleet(t, 3, 3, func(t *testing.T, f *fleet) {
				var hosts []*host
				for _, id := range []string{"a", "b", "c"} {
					hosts = append(hosts, f.start(id, 1))
				}
				time.Sleep(10 * time.Second)
				f.store.SetFaults(kvmem.Faults{
					Down: true,
				})
				time.Sleep(20 * time.Second)
				assert.Equal(t, f.usableSlots(), 3)
				for _, h := range hosts {
					h.kill()
					f.start(h.id, 2, func(h *host) { h.isolated = alone })
					time.Sleep(15 * time.Second)
				}
				assert.Equal(t, f.usableSlots(), 0)
				f.store.SetFaults(kvmem.Faults{})
				time.Sleep(time.Minute)
				assert.Equal(t, f.usableSlots(), 3)
			})
		})
	}
}

// Guards against a host that may still spend after a pause longer than its lease, whenever the pause begins.
func TestFrozenBeyondLease(t *testing.T) {
	for begin := range 8 {
		runFleet(t, 2, uint64(begin), func(t *testing.T, f *fleet) {
			a := f.start("a", 1)
			f.start("b", 1)
			time.Sleep(10*time.Second + time.Duration(begin)*550*time.Millisecond)
			a.freeze()
			time.Sleep(40 * time.Second)
			assert.Assert(t, a.keeper.UsableUntil(time.Now()).IsZero())
			a.unfreeze()
			time.Sleep(30 * time.Second)
			assert.Equal(t, f.usableSlots(), 2)
		})
	}
}

// Guards against two holders after the store is restored from a copy in which another host or no host held the slots.
func TestRestoredStore(t *testing.T) {
	for _, copied := range []int{0, 6, 33, 41} {
		t.Run(fmt.Sprint("copied at ", copied, " s"), func(t *testing.T) {
			runFleet(t, 3, uint64(copied), func(t *testing.T, f *fleet) {
				var older kvmem.Copy
				for second := range 75 {
					if second == copied {
						older = f.store.Snapshot()
					}
					switch second {
					case 0:
						f.start("a", 1)
						f.start("b", 1)
					case 35:
						f.hosts[0].kill()
					case 50:
						f.start("a", 2)
						f.start("d", 1)
					}
					time.Sleep(time.Second)
				}
				f.store.Restore(older)
				time.Sleep(2 * time.Minute)
				assert.Equal(t, f.usableSlots(), 3)
			})
		})
	}
}

// Guards against a host that cannot reach the store and goes on spending by rule (b) although another member reaches the
// store.
func TestHostWithoutStoreStopsWithLease(t *testing.T) {
	runFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		a := f.start("a", 1)
		f.start("b", 1)
		time.Sleep(10 * time.Second)
		a.setStoreCut(true)
		cut := time.Now()
		for range 20 {
			time.Sleep(time.Second)
			assert.Assert(t, !a.keeper.UsableUntil(time.Now()).After(cut.Add(slots.LeaseTerm)))
		}
	})
}

// Guards against a host that takes over a slot without waiting for a holder that may still spend by rule (b), because the
// reports it received are less than 2 s old.
func TestTakeoverWaitsForReports(t *testing.T) {
	for offset := range 5 {
		runFleet(t, 2, uint64(offset), func(t *testing.T, f *fleet) {
			a, b := f.start("a", 1), f.start("b", 1)
			time.Sleep(10 * time.Second)
			c := f.start("c", 1)
			for _, h := range f.hosts {
				h.setStoreCut(true)
			}
			time.Sleep(30*time.Second + time.Duration(offset)*100*time.Millisecond)
			assert.Equal(t, f.usableSlots(), 2)
			a.isolate()
			b.isolate()
			c.setStoreCut(false)
			time.Sleep(20 * time.Second)
			assert.Assert(t, len(c.keeper.Held(time.Now())) > 0)
		})
	}
}

// Guards against a host that takes over a slot from a restored store while the holder that it knows of is paused and its
// lease has not ended.
func TestRestoredWhileHolderPaused(t *testing.T) {
	runFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		empty := f.store.Snapshot()
		a := f.start("a", 1)
		time.Sleep(5 * time.Second)
		f.start("c", 1)
		time.Sleep(25 * time.Second)
		a.freeze()
		a.setStoreCut(true) // Otherwise its next renewal would reveal the lost lease at once.
		f.store.Restore(empty)
		f.after(7*time.Second, a.unfreeze)
		time.Sleep(time.Minute)
		assert.Equal(t, f.usableSlots(), 1)
	})
}

// Guards against a host that trusts a lease brought back by a restored store, although another host took its slot in
// between.
func TestLeaseBroughtBack(t *testing.T) {
	runFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		a := f.start("a", 1)
		time.Sleep(5 * time.Second)
		older := f.store.Snapshot()
		c := f.start("c", 1)
		time.Sleep(5 * time.Second)
		a.freeze()
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(c.keeper.Held(time.Now())), 1)
		f.store.Restore(older)
		time.Sleep(time.Second)
		a.unfreeze()
		time.Sleep(time.Minute)
		assert.Equal(t, f.usableSlots(), 1)
	})
}

// Guards against hosts that block each other when all start at once.
func TestConcurrentStart(t *testing.T) {
	runFleet(t, 8, 5, func(t *testing.T, f *fleet) {
		for i := range 8 {
			f.start(fmt.Sprint("h", i), 1)
		}
		time.Sleep(15 * time.Second)
		for _, h := range f.hosts {
			assert.Equal(t, len(h.keeper.Held(time.Now())), 1, "host %s", h.id)
		}
	})
}

// Guards against more store calls in steady state than one renewal per host and third of the lease term.
func TestSteadyStateCallsPerHost(t *testing.T) {
	runFleet(t, 6, 5, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.start(fmt.Sprint("h", i), 1)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, f.usableSlots(), 6)
		before := f.store.Counters()
		time.Sleep(400 * time.Second)
		after := f.store.Counters()
		assert.Assert(t, after.Writes-before.Writes <= 3*101, "writes %d", after.Writes-before.Writes)
		assert.Equal(t, after.Reads, before.Reads)
	})
}

// Guards against capacity used twice: FreshTakeover must be zero only if no other host held the slot or it was released
// as planned, so that the units of a slot are usable at once only then. The loans of the previous holder must have ended
// first.
func TestFreshTakeoverOnlyIfUnplanned(t *testing.T) {
	runFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		a := f.start("a", 1)
		time.Sleep(5 * time.Second)
		assert.Assert(t, a.keeper.UnplannedTakeover(0).IsZero())
		b := f.start("b", 1)
		time.Sleep(5 * time.Second)
		assert.NilError(t, a.release())
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(b.keeper.Held(time.Now())), 1)
		assert.Assert(t, b.keeper.UnplannedTakeover(0).IsZero())
		c := f.start("c", 1)
		b.kill()
		died := time.Now()
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(c.keeper.Held(time.Now())), 1)
		assert.Assert(t, c.keeper.UnplannedTakeover(0).After(died.Add(7*time.Second)))
	})
}

// Guards against a host that keeps an extra slot while a new host has none, and against a handover that does not wait
// for loans.
func TestHandoverToNewHost(t *testing.T) {
	runFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		a := f.start("a", 1, func(h *host) { h.loans = 1500 * time.Millisecond })
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(a.keeper.Held(time.Now())), 2)
		b := f.start("b", 1)
		changed := a.keeper.Changed()
		select {
		case <-changed:
		case <-time.After(time.Minute):
			t.Fatal("no handover")
		}
		releasedAt := time.Now()
		for len(b.keeper.Held(time.Now())) == 0 && time.Since(releasedAt) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(releasedAt) >= 3*time.Second-20*time.Millisecond, "after %v", time.Since(releasedAt))
		assert.Assert(t, time.Since(releasedAt) < 6*time.Second, "after %v", time.Since(releasedAt))
		assert.Equal(t, len(a.keeper.Held(time.Now())), 1)
	})
}

// Guards against a host that spends on a slot under an old configuration. Publications do not wait for a vacant slot to
// confirm a version, so a new holder must first know the newest one.
func TestSlotWaitsForEvidence(t *testing.T) {
	runFleet(t, 1, 1, func(t *testing.T, f *fleet) {
		f.start("a", 1, func(h *host) { h.evidenceAge = 4 * time.Second })
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.usableSlots(), 0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.usableSlots(), 1)
	})
}
