package slots_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/quota/slots"
)

// Guards against two spenders and lost slots when any fault strikes any store call of a host that takes, keeps, loses
// or gives back slots.
func TestEveryFaultAtEveryStoreCall(t *testing.T) {
	for _, f := range faults {
		for at := range 16 {
			for victim := range 4 {
				t.Run(fmt.Sprint(f, " at call ", at, " of host ", victim), func(t *testing.T) {
					t.Parallel()
					inFleet(t, 3, uint64(at), func(t *testing.T, fl *fleet) { runLifecycle(t, fl, victim, at, f) })
				})
			}
		}
	}
}

// runLifecycle starts three hosts, kills one, replaces it, and stops another as planned.
func runLifecycle(t *testing.T, f *fleet, victim, at int, fault fault) {
	strike := func(number int) func(*host) {
		return func(h *host) {
			h.fault = fault
			if number == victim {
				h.at = at
			}
		}
	}
	a := f.start("a", 1, strike(0))
	b := f.start("b", 1, strike(1))
	time.Sleep(5 * time.Second)
	f.start("c", 1, strike(2))
	time.Sleep(20 * time.Second)
	a.die()
	time.Sleep(3 * time.Second)
	f.start("a", 2, strike(3))
	time.Sleep(20 * time.Second)
	_ = b.leave() // It fails under some faults; the slots then lapse.
	time.Sleep(time.Minute)
	assert.Equal(t, f.usable(), 3)
}

// Guards against two spenders when faults combine, over many histories.
func TestFaultsCombine(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			inFleet(t, 4, seed, runRandomFaults)
		})
	}
}

func runRandomFaults(t *testing.T, f *fleet) {
	hosts := []*host{f.start("a", 1), f.start("b", 1), f.start("c", 1), f.start("d", 1)}
	older := f.store.Snapshot()
	for step := range 120 {
		i := f.random.IntN(len(hosts))
		h := hosts[i]
		switch f.random.IntN(9) {
		case 0:
			h.die()
			hosts[i] = f.start(h.id, h.number+1)
		case 1:
			h.freeze()
			f.after(time.Duration(f.random.IntN(25))*time.Second, h.unfreeze)
		case 2:
			h.setCut(true)
			f.after(time.Duration(f.random.IntN(25))*time.Second, func() { h.setCut(false) })
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
				older = f.store.Snapshot()
			}
		case 7:
			f.store.SetFaults(kvmem.Faults{})
		case 8:
			if f.random.IntN(4) == 0 && !h.isFrozen() {
				f.store.Restore(older)
			}
		}
		time.Sleep(time.Duration(f.random.IntN(8000)) * time.Millisecond)
	}
	f.store.SetFaults(kvmem.Faults{})
	time.Sleep(2 * time.Minute)
	assert.Equal(t, f.usable(), 4)
}

// Guards against a data centre that stops serving because it is cut off from the platform, and against a host that
// goes on alone.
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
			inFleet(t, 3, 7, func(t *testing.T, f *fleet) {
				hosts := []*host{f.start("a", 1), f.start("b", 1), f.start("c", 1)}
				time.Sleep(10 * time.Second)
				assert.Equal(t, f.usable(), 3)
				for _, i := range c.cut {
					hosts[i].setCut(true)
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
					h.setCut(false)
				}
				time.Sleep(time.Minute)
				for _, h := range hosts {
					assert.Equal(t, len(h.keeper.Held(time.Now())), 1, "host %s", h.id)
				}
			})
		})
	}
}

// Guards against replacements that spend without the store, and against slots lost after it comes back, with and
// without reachable peers.
func TestAllHostsReplacedDuringOutage(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprint("without peers ", alone), func(t *testing.T) {
			inFleet(t, 3, 3, func(t *testing.T, f *fleet) {
				var hosts []*host
				for _, id := range []string{"a", "b", "c"} {
					hosts = append(hosts, f.start(id, 1))
				}
				time.Sleep(10 * time.Second)
				f.store.SetFaults(kvmem.Faults{
					Down: true,
				})
				time.Sleep(20 * time.Second)
				assert.Equal(t, f.usable(), 3)
				for _, h := range hosts {
					h.die()
					f.start(h.id, 2, func(h *host) { h.alone = alone })
					time.Sleep(15 * time.Second)
				}
				assert.Equal(t, f.usable(), 0)
				f.store.SetFaults(kvmem.Faults{})
				time.Sleep(time.Minute)
				assert.Equal(t, f.usable(), 3)
			})
		})
	}
}

// Guards against permission that outlives a pause: whenever the pause begins, a resumed host has no stale permission.
func TestFrozenBeyondLease(t *testing.T) {
	for begin := range 8 {
		inFleet(t, 2, uint64(begin), func(t *testing.T, f *fleet) {
			a := f.start("a", 1)
			f.start("b", 1)
			time.Sleep(10*time.Second + time.Duration(begin)*550*time.Millisecond)
			a.freeze()
			time.Sleep(40 * time.Second)
			assert.Assert(t, a.keeper.UsableUntil(time.Now()).IsZero())
			a.unfreeze()
			time.Sleep(30 * time.Second)
			assert.Equal(t, f.usable(), 2)
		})
	}
}

// Guards against two holders after the store went back to a copy in which another host, or nobody, held the slots.
func TestRestoredStore(t *testing.T) {
	for _, copied := range []int{0, 6, 33, 41} {
		t.Run(fmt.Sprint("copied at ", copied, " s"), func(t *testing.T) {
			inFleet(t, 3, uint64(copied), func(t *testing.T, f *fleet) {
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
						f.hosts[0].die()
					case 50:
						f.start("a", 2)
						f.start("d", 1)
					}
					time.Sleep(time.Second)
				}
				f.store.Restore(older)
				time.Sleep(2 * time.Minute)
				assert.Equal(t, f.usable(), 3)
			})
		})
	}
}

// Guards against a host without the store that goes on by rule (b) although another member reaches the store.
func TestAloneStopsWithLease(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		a := f.start("a", 1)
		f.start("b", 1)
		time.Sleep(10 * time.Second)
		a.setCut(true)
		cut := time.Now()
		for range 20 {
			time.Sleep(time.Second)
			assert.Assert(t, !a.keeper.UsableUntil(time.Now()).After(cut.Add(slots.LeaseTerm)))
		}
	})
}

// Guards against a taker that does not wait for a holder whose reports, by rule (b), are less than 2 s old.
func TestTakerWaitsForReports(t *testing.T) {
	for offset := range 5 {
		inFleet(t, 2, uint64(offset), func(t *testing.T, f *fleet) {
			a, b := f.start("a", 1), f.start("b", 1)
			time.Sleep(10 * time.Second)
			c := f.start("c", 1)
			for _, h := range f.hosts {
				h.setCut(true)
			}
			time.Sleep(30*time.Second + time.Duration(offset)*100*time.Millisecond)
			assert.Equal(t, f.usable(), 2)
			a.setAlone()
			b.setAlone()
			c.setCut(false)
			time.Sleep(20 * time.Second)
			assert.Assert(t, len(c.keeper.Held(time.Now())) > 0)
		})
	}
}

// Guards against a taker that trusts a restored store while the holder it knows of is paused within its lease.
func TestRestoredWhileHolderPaused(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		empty := f.store.Snapshot()
		a := f.start("a", 1)
		time.Sleep(5 * time.Second)
		f.start("c", 1)
		time.Sleep(25 * time.Second)
		a.freeze()
		a.setCut(true) // Its next renewal would tell it at once.
		f.store.Restore(empty)
		f.after(7*time.Second, a.unfreeze)
		time.Sleep(time.Minute)
		assert.Equal(t, f.usable(), 1)
	})
}

// Guards against a host that trusts a lease brought back by a restored store, although another took its slot meanwhile.
func TestLeaseBroughtBack(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
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
		assert.Equal(t, f.usable(), 1)
	})
}

// Guards against hosts that block each other when all start at once.
func TestRacingTakers(t *testing.T) {
	inFleet(t, 8, 5, func(t *testing.T, f *fleet) {
		for i := range 8 {
			f.start(fmt.Sprint("h", i), 1)
		}
		time.Sleep(15 * time.Second)
		for _, h := range f.hosts {
			assert.Equal(t, len(h.keeper.Held(time.Now())), 1, "host %s", h.id)
		}
	})
}

// Guards against store load that does not stay within one renewal per third of the term and host.
func TestSteadyStateCallsPerHost(t *testing.T) {
	inFleet(t, 6, 5, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.start(fmt.Sprint("h", i), 1)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, f.usable(), 6)
		before := f.store.Counters()
		time.Sleep(400 * time.Second)
		after := f.store.Counters()
		assert.Assert(t, after.Writes-before.Writes <= 3*101, "writes %d", after.Writes-before.Writes)
		assert.Equal(t, after.Reads, before.Reads)
	})
}

// Guards against capacity used twice: only a planned release makes the units of a slot usable at once, and loans of
// the previous holder are waited for.
func TestTakeoverTellsWhetherPlanned(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		a := f.start("a", 1)
		time.Sleep(5 * time.Second)
		assert.Assert(t, a.keeper.UnplannedTakeover(0).IsZero())
		b := f.start("b", 1)
		time.Sleep(5 * time.Second)
		assert.NilError(t, a.leave())
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(b.keeper.Held(time.Now())), 1)
		assert.Assert(t, b.keeper.UnplannedTakeover(0).IsZero())
		c := f.start("c", 1)
		b.die()
		died := time.Now()
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(c.keeper.Held(time.Now())), 1)
		assert.Assert(t, c.keeper.UnplannedTakeover(0).After(died.Add(7*time.Second)))
	})
}

// Guards against a host that keeps an extra slot while a newcomer has none, and against a handover that does not wait
// for loans.
func TestHandoverToNewcomer(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
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
		left := time.Now()
		for len(b.keeper.Held(time.Now())) == 0 && time.Since(left) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(left) >= 3*time.Second-20*time.Millisecond, "after %v", time.Since(left))
		assert.Assert(t, time.Since(left) < 6*time.Second, "after %v", time.Since(left))
		assert.Equal(t, len(a.keeper.Held(time.Now())), 1)
	})
}

// Guards against a host that spends on a slot under an old configuration: others do not wait for a vacant slot to
// confirm a version.
func TestSlotWaitsForEvidence(t *testing.T) {
	inFleet(t, 1, 1, func(t *testing.T, f *fleet) {
		f.start("a", 1, func(h *host) { h.evidenceAge = 4 * time.Second })
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.usable(), 0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.usable(), 1)
	})
}
