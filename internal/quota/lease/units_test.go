package lease_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/lease"
)

// serviceConfig returns a configuration with one service that has the given number of targets in dc-0, each with 9 slots.
// All but the first three are leaving.
func serviceConfig(version uint64, claims, targets int) *steer.Config {
	s := &steer.Service{
		Name:    "reservas",
		Timeout: 5 * time.Second,
		Shifts: []steer.Shift{
			{
				Name:  "east",
				From:  "region-0",
				To:    "region-1",
				Rate:  80,
				Burst: 40,
			},
		},
	}
	for i := range targets {
		s.Targets = append(s.Targets, steer.Target{
			ID:         fmt.Sprintf("target-%d", i),
			DataCentre: "dc-0",
			Address:    netip.AddrPort{},
			Slots:      9,
			Leaving:    i >= 3,
		})
	}
	return &steer.Config{
		Version: version,
		Fleet:   sixDataCentres(claims),
		Services: map[string]*steer.Service{
			s.Name: s,
		},
	}
}

// The shares of a quota must add up to the whole, even if it does not divide evenly, and go only to the data centres that
// the quota belongs to.
func TestDivideSharesSumToWhole(t *testing.T) {
	c := serviceConfig(1, 4, 5)
	c.Fleet.DataCentres[1].Weight = 3
	c.Fleet.DataCentres[2].Down = true
	c.Fleet.Links = []steer.Link{
		{
			From:  "region-1",
			To:    "region-0",
			Rate:  12,
			Burst: 8,
		},
	}
	c.Customers = customerConfig(1, 90, 45, 4).Customers
	rates := map[steer.QuotaName][]float64{}
	for _, d := range c.Fleet.DataCentres {
		for name, share := range lease.Divide(c, d.Name) {
			rates[name] = append(rates[name], share.RateOf(0).Rate*4)
			assert.Equal(t, share.RateOf(4).Rate, 0.0, "a slot beyond the number of slots has no share")
		}
	}
	// Weights 1, 3, none (down), 1, 1, 1.
	for name, want := range map[steer.QuotaName]string{
		alfa:                                    "[12.9 38.6 0.0 12.9 12.9 12.9]",
		steer.LinkQuota("region-1", "region-0"): "[0.0 0.0 0.0 12.0 0.0 0.0]",
		steer.ShiftQuota("reservas", "east"):    "[20.0 60.0 0.0 0.0 0.0 0.0]",
	} {
		assert.Equal(t, fmt.Sprintf("%.1f", rates[name]), want, name)
	}
	work := lease.Divide(c, "dc-0")[steer.WorkQuota("reservas", "dc-0")]
	units := []int{work.UnitsOf(0), work.UnitsOf(1), work.UnitsOf(2), work.UnitsOf(3)}
	slices.Sort(units)
	assert.DeepEqual(t, units, []int{6, 7, 7, 7})
}

// acquireAll acquires units until none is free, and returns the functions that release them.
func (h *host) acquireAll(deadline time.Duration) (release []func()) {
	for {
		r, ok := h.manager.TryAcquire(time.Now(), steer.WorkQuota("reservas", h.dataCentre), time.Now().Add(deadline))
		if !ok {
			return release
		}
		release = append(release, r)
	}
}

// Units must be lent to a host of the same data centre that lacks them, and must never be used twice. Freed must report
// them.
func TestUnitsAreLentWithinDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(1, serviceConfig(1, 2, 3))
		a := w.startHost("a", 0, slotClaim(0, 1))
		b := w.startHost("b", 0, slotClaim(1, 1))
		far := w.startHost("far", 1, slotClaim(0, 1))
		time.Sleep(4 * time.Second)
		freed := a.manager.Freed()
		used := a.acquireAll(time.Second)
		assert.Assert(t, len(used) == 13 || len(used) == 14, len(used))
		<-freed
		more := a.acquireAll(time.Second)
		assert.Assert(t, len(more) > 0)
		assert.Equal(t, len(a.acquireAll(5*time.Second)), 0, "work that outlasts the loan")
		rest := b.acquireAll(time.Second)
		assert.Assert(t, len(used)+len(more)+len(rest) <= 27)
		assert.Equal(t, far.quota(steer.WorkQuota("reservas", "dc-0")).Cap, 0.0)
		for _, r := range slices.Concat(used, more, rest) {
			r()
		}
		time.Sleep(3 * time.Second)
		name := steer.WorkQuota("reservas", "dc-0")
		assert.Equal(t, a.quota(name).Level+b.quota(name).Level, 27.0)
		w.stop()
	})
}

// After an unplanned takeover, requests of the previous holder may still run for the service's timeout, so the units of
// the slot must not be used before.
func TestUnitsWaitAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(1, serviceConfig(1, 1, 3))
		a := w.startHost("a", 0)
		time.Sleep(4 * time.Second)
		w.mu.Lock()
		a.takenOver = time.Now()
		w.mu.Unlock()
		a.setSlots(time.Now().Add(forever), slotClaim(0, 2))
		time.Sleep(4999 * time.Millisecond)
		assert.Equal(t, len(a.acquireAll(time.Second)), 0)
		freed := a.manager.Freed()
		<-freed
		assert.Equal(t, len(a.acquireAll(time.Second)), 27)
		w.stop()
	})
}
