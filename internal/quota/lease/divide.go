package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

// Share is the share of one quota that a configuration assigns to one data centre.
type Share struct {
	PerSlot   bucket.RateShare `cbor:"slot"`    // Share of each slot that has one, for a rate.
	RateSlots int              `cbor:"holders"` // Number of slots that have a share, for a rate.
	Burst     float64          `cbor:"burst"`   // Burst of the whole fleet, for a rate.
	Units     int              `cbor:"units"`   // Units of the whole data centre, for concurrent work.
	Slots     int              `cbor:"slots"`   // Number of host slots of the data centre.
	Timeout   time.Duration    `cbor:"timeout"` // Maximum duration of a request, for concurrent work.
	Work      bool             `cbor:"work"`    // Whether the quota is for concurrent work.
	Offset    int              `cbor:"offset"`  // Position of slot 0 in the order for shares and left-over units.
}

// RateOf returns the rate share of a slot, zero for a slot without a share or one that the data centre does not have.
func (s Share) RateOf(slot int) bucket.RateShare {
	if slot < 0 || slot >= s.Slots || (slot+s.Offset)%s.Slots >= s.RateSlots {
		return bucket.RateShare{}
	}
	return s.PerSlot
}

// UnitsOf returns the units of a slot, zero for a slot that the data centre does not have. Units left over by the division
// go to consecutive slots. The first one depends on the service name, so that the left-over units of all services do not
// go to the same host.
func (s Share) UnitsOf(slot int) int {
	if slot < 0 || slot >= s.Slots {
		return 0
	}
	units := s.Units / s.Slots
	if position := (slot + s.Offset) % s.Slots; position < s.Units%s.Slots {
		units++
	}
	return units
}

// Divide returns the share of every quota that the configuration assigns to a data centre. A data centre that is marked
// down has no share of a rate; the others divide the whole among them. The result is empty for an unknown data centre.
func Divide(config *steer.Config, dataCentre string) map[steer.QuotaName]Share {
	shares := map[steer.QuotaName]Share{}
	at := slices.IndexFunc(config.Fleet.DataCentres, func(d steer.DataCentre) bool { return d.Name == dataCentre })
	if at < 0 {
		return shares
	}
	d := divider{
		config: config,
		own:    config.Fleet.DataCentres[at],
	}
	for _, c := range config.Customers {
		name := steer.CustomerQuota(c.Name)
		shares[name] = d.rate(name, c.Rate, c.Burst, "")
	}
	for _, l := range config.Fleet.Links {
		name := steer.LinkQuota(l.From, l.To)
		shares[name] = d.rate(name, l.Rate, l.Burst, l.From)
	}
	for _, s := range config.Services {
		for _, h := range s.Shifts {
			name := steer.ShiftQuota(s.Name, h.Name)
			shares[name] = d.rate(name, h.Rate, h.Burst, h.From)
		}
		shares[steer.WorkQuota(s.Name, dataCentre)] = d.units(s)
	}
	return shares
}

// divider computes the shares of one data centre.
type divider struct {
	config *steer.Config
	own    steer.DataCentre
}

// minSlotCap is the minimum cap of a slot's share, in tokens. A smaller share could never be spent, since a request takes
// a whole token. A burst that is too small for all slots is divided among fewer slots; the others borrow.
const minSlotCap = 1.0

// rate divides a rate by weight among the data centres of the region, or among all if region is empty.
func (d divider) rate(name steer.QuotaName, rate, burst float64, region string) Share {
	share := Share{
		Slots: d.own.Slots,
		Burst: burst,
	}
	ownFraction := d.fraction(name, burst, region)
	if ownFraction <= 0 {
		return share
	}
	share.RateSlots = min(d.own.Slots, max(1, int(burst*ownFraction/minSlotCap)))
	share.Offset = int(xxhash.Sum64String(string(name)) % uint64(d.own.Slots))
	perSlot := ownFraction / float64(share.RateSlots)
	share.PerSlot = bucket.RateShare{
		Rate: max(0, rate) * perSlot,
		Cap:  max(0, burst) * perSlot,
	}
	return share
}

// fraction returns the data centre's fraction of a quota. The data centres with the smallest weights are left out until
// each remaining one gets at least minSlotCap of the burst; at least one remains.
func (d divider) fraction(name steer.QuotaName, burst float64, region string) float64 {
	var all []steer.DataCentre
	total := 0.0
	for _, c := range d.config.Fleet.DataCentres {
		if !c.Down && c.Slots > 0 && c.Weight > 0 && (region == "" || region == c.Region) {
			all = append(all, c)
			total += c.Weight
		}
	}
	slices.SortFunc(all, func(a, b steer.DataCentre) int {
		// The hash spreads small quotas over data centres of equal weight.
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(dataCentreRank(name, a), dataCentreRank(name, b)),
			cmp.Compare(a.Name, b.Name))
	})
	for len(all) > 1 && burst*all[len(all)-1].Weight/total < minSlotCap {
		total -= all[len(all)-1].Weight
		all = all[:len(all)-1]
	}
	if !slices.ContainsFunc(all, func(c steer.DataCentre) bool { return c.Name == d.own.Name }) {
		return 0
	}
	return d.own.Weight / total
}

// dataCentreRank orders data centres of equal weight, differently for each quota.
func dataCentreRank(name steer.QuotaName, c steer.DataCentre) uint64 {
	return xxhash.Sum64String(string(name) + "/" + c.Name)
}

// units adds up the slots of the service's targets in the data centre, except those of leaving targets.
func (d divider) units(s *steer.Service) Share {
	share := Share{
		Slots:   d.own.Slots,
		Timeout: s.Timeout,
		Work:    true,
	}
	if share.Slots > 0 {
		share.Offset = int(xxhash.Sum64String(s.Name) % uint64(share.Slots))
	}
	for _, t := range s.Targets {
		if t.DataCentre == d.own.Name && !t.Leaving {
			share.Units += max(0, t.Slots)
		}
	}
	return share
}
