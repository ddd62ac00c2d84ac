package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

// Share is what one configuration gives to one data centre of one quota.
type Share struct {
	Slot    bucket.RateShare `cbor:"slot"`    // Of each slot that has a part, for a rate.
	Holders int              `cbor:"holders"` // Slots that have a part, for a rate.
	Burst   float64          `cbor:"burst"`   // Of the whole fleet, for a rate.
	Units   int              `cbor:"units"`   // Of the whole data centre, for concurrent work.
	Slots   int              `cbor:"slots"`   // Number of host slots of the data centre.
	Timeout time.Duration    `cbor:"timeout"` // Longest time for one request, for concurrent work.
	Work    bool             `cbor:"work"`    // Whether it is concurrent work.
	Offset  int              `cbor:"offset"`  // Place of slot 0 in the order in which slots get a part or a unit left over.
}

// Of returns the rate part of a slot, zero for a slot that the data centre does not have.
func (s Share) Of(slot int) bucket.RateShare {
	if slot < 0 || slot >= s.Slots || (slot+s.Offset)%s.Slots >= s.Holders {
		return bucket.RateShare{}
	}
	return s.Slot
}

// UnitsOf returns the units of a slot. Units left over by the division go to consecutive slots, starting with one
// chosen by the name of the service, so that they do not all go to the same host.
func (s Share) UnitsOf(slot int) int {
	if slot < 0 || slot >= s.Slots {
		return 0
	}
	units := s.Units / s.Slots
	if place := (slot + s.Offset) % s.Slots; place < s.Units%s.Slots {
		units++
	}
	return units
}

// Divide returns the share of every quota that a data centre has by the configuration. A data centre that is marked
// down has none; the others divide the whole among them.
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

// divider divides quotas for one data centre.
type divider struct {
	config *steer.Config
	own    steer.DataCentre
}

// leastPart is the smallest cap of a part, in tokens: a smaller one can never be spent, since a request takes a whole
// token. A burst that is too small for all slots is divided among fewer; the others borrow.
const leastPart = 1.0

// rate divides a rate over the data centres of the region by weight, over all when the region is empty.
func (d divider) rate(name steer.QuotaName, rate, burst float64, region string) Share {
	share := Share{
		Slots: d.own.Slots,
		Burst: burst,
	}
	part := d.fraction(name, burst, region)
	if part <= 0 {
		return share
	}
	share.Holders = min(d.own.Slots, max(1, int(burst*part/leastPart)))
	share.Offset = int(xxhash.Sum64String(string(name)) % uint64(d.own.Slots))
	each := part / float64(share.Holders)
	share.Slot = bucket.RateShare{
		Rate: max(0, rate) * each,
		Cap:  max(0, burst) * each,
	}
	return share
}

// fraction returns what the data centre has of a quota. Only as many data centres take part, those of the largest
// weight first, as each get the least part of the burst; one does in any case.
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
		// The hash spreads the small quotas over data centres of equal weight.
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(place(name, a), place(name, b)),
			cmp.Compare(a.Name, b.Name))
	})
	for len(all) > 1 && burst*all[len(all)-1].Weight/total < leastPart {
		total -= all[len(all)-1].Weight
		all = all[:len(all)-1]
	}
	if !slices.ContainsFunc(all, func(c steer.DataCentre) bool { return c.Name == d.own.Name }) {
		return 0
	}
	return d.own.Weight / total
}

func place(name steer.QuotaName, c steer.DataCentre) uint64 {
	return xxhash.Sum64String(string(name) + "/" + c.Name)
}

// units sums the slots of the service's targets in the data centre that are not leaving.
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
