package lease

import (
	"cmp"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

const (
	// startHold is how long a new process waits for all data centres to confirm its first version, or for a peer that
	// knows the versions before. It does not know them itself, so a part that the first version enlarged could be used
	// twice until then.
	startHold = 3 * time.Second

	// silentHold is how long a member that is no longer heard may still use its slots: the slot lease plus one
	// heartbeat.
	silentHold = 12*time.Second + 500*time.Millisecond
)

// version is one configuration that may still be in use somewhere.
type version struct {
	number     uint64
	config     *steer.Config // Nil for a version learned from a peer.
	shares     map[steer.QuotaName]Share
	superseded time.Time // When every data centre had confirmed a later known version; zero before.
}

// versions keeps the configurations from the oldest that some data centre may still use to the newest.
type versions struct {
	dataCentre string
	start      time.Time
	ready      bool // Whether parts may be used at all.
	settled    bool // Whether the parts in force are those of a single version.
	known      []*version
	confirmed  map[string]uint64 // By data centre, never decreasing.
	holders    map[string]steer.Member
	unsettled  time.Time // Last time at which some member knew a version that this host does not know.
}

func newVersions(dataCentre string, now time.Time) *versions {
	return &versions{
		dataCentre: dataCentre,
		start:      now,
		confirmed:  map[string]uint64{},
		holders:    map[string]steer.Member{},
	}
}

// add makes a configuration the newest known one. Lower versions than the newest are ignored.
func (v *versions) add(config *steer.Config) {
	if len(v.known) > 0 && config.Version <= v.newest().Version {
		return
	}
	v.known = append(v.known, &version{
		number: config.Version,
		config: config,
		shares: Divide(config, v.dataCentre),
	})
}

// old returns the shares of a data centre under all known versions. It reports false if they are not all known.
func (v *versions) old(dataCentre string) ([]OldVersion, bool) {
	if !v.ready {
		return nil, false
	}
	var all []OldVersion
	for _, k := range v.known {
		shares := k.shares
		if dataCentre != v.dataCentre {
			if k.config == nil {
				return nil, false
			}
			shares = Divide(k.config, dataCentre)
		}
		all = append(all, OldVersion{
			Version: k.number,
			Shares:  shares,
		})
	}
	return all, len(all) > 0
}

// learn adds the versions from before this process that a peer knows to be in use.
func (v *versions) learn(versions []OldVersion) {
	if v.ready || len(v.known) == 0 {
		return
	}
	var older []*version
	for _, o := range versions {
		if o.Version < v.known[0].number {
			older = append(older, &version{
				number: o.Version,
				shares: o.Shares,
			})
		}
	}
	slices.SortFunc(older, func(a, b *version) int { return cmp.Compare(a.number, b.number) })
	v.known = append(older, v.known...)
	v.ready = true
}

func (v *versions) newest() *steer.Config { return v.known[len(v.known)-1].config }

// observe learns from the reports of members which versions are confirmed, and forgets versions that no data centre
// uses any more.
func (v *versions) observe(now time.Time, members []steer.Member) {
	if len(v.known) == 0 {
		return
	}
	newest := v.newest()
	v.remember(now, members)
	least := map[string]uint64{
		v.dataCentre: newest.Version,
	}
	for _, m := range members {
		if max(m.State.Version, m.State.NewestVersion) > newest.Version {
			v.unsettled = now
		}
		// A member without a version has not reported yet; it may hold slots.
		if _, known := least[m.DataCentre]; !known && m.State.Version > 0 {
			least[m.DataCentre] = newest.Version
		}
	}
	for _, h := range v.holders {
		if low, heard := least[h.DataCentre]; heard {
			least[h.DataCentre] = min(low, h.State.Version)
		}
	}
	for dataCentre, low := range least {
		v.confirmed[dataCentre] = max(v.confirmed[dataCentre], low)
	}
	v.supersede(now)
}

// remember keeps the last report of each member that holds slots. A member that is no longer heard counts until its
// slots have lapsed or were taken by others.
func (v *versions) remember(now time.Time, members []steer.Member) {
	type place struct {
		dataCentre string
		slot       int
	}
	generations := map[place]uint64{}
	for _, m := range members {
		if m.State.Version == 0 {
			continue
		}
		delete(v.holders, m.ID)
		if len(m.State.Slots) > 0 {
			v.holders[m.ID] = m
		}
		for _, c := range m.State.Slots {
			at := place{
				dataCentre: m.DataCentre,
				slot:       c.Slot,
			}
			generations[at] = max(generations[at], c.Generation)
		}
	}
	for id, h := range v.holders {
		taken := true
		for _, c := range h.State.Slots {
			at := place{
				dataCentre: h.DataCentre,
				slot:       c.Slot,
			}
			taken = taken && generations[at] > c.Generation
		}
		if taken || now.Sub(h.LastHeard) > silentHold {
			delete(v.holders, id)
		}
	}
}

// supersede marks and forgets versions that every data centre has left. A data centre marked down is not waited for.
func (v *versions) supersede(now time.Time) {
	oldest := v.newest().Version
	for _, d := range v.newest().Fleet.DataCentres {
		if !d.Down {
			oldest = min(oldest, v.confirmed[d.Name])
		}
	}
	if oldest >= v.known[0].number || now.Sub(v.start) >= startHold {
		v.ready = true
	}
	longest := bucket.MaxHold
	for i, k := range v.known {
		for _, s := range k.shares {
			longest = max(longest, s.Timeout)
		}
		if i+1 < len(v.known) && v.known[i+1].number <= oldest && k.superseded.IsZero() {
			k.superseded = now
		}
	}
	for len(v.known) > 1 && v.left(now, v.known[0], longest) {
		v.known = v.known[1:]
	}
}

// left reports whether a version has been out of use for the hold. Loans made under it have ended by then. While some
// member knows a version that this host does not know, nothing is left: that version may be the smaller one.
func (v *versions) left(now time.Time, k *version, hold time.Duration) bool {
	if k.superseded.IsZero() {
		return false
	}
	since := k.superseded
	if v.unsettled.After(since) {
		since = v.unsettled
	}
	return now.Sub(since) >= hold
}

// part returns the smallest rate part of a slot over all versions that may be in use. A version without the quota
// gives nobody a part of it, so it does not limit the others.
func (v *versions) part(now time.Time, name steer.QuotaName, slot int) bucket.RateShare {
	newest, ok := v.known[len(v.known)-1].shares[name]
	if !ok || !v.ready {
		return bucket.RateShare{}
	}
	part := newest.Of(slot)
	for _, k := range v.known[:len(v.known)-1] {
		old, ok := k.shares[name]
		if ok && !v.left(now, k, bucket.MaxHold) {
			part.Rate = min(part.Rate, old.Of(slot).Rate)
			part.Cap = min(part.Cap, old.Of(slot).Cap)
		}
	}
	return part
}

// units returns the smallest number of units of a slot over all versions that may be in use. When the number of slots
// changed, units move between slots; then requests that run under the old version are waited for as well.
func (v *versions) units(now time.Time, name steer.QuotaName, slot int) int {
	newest, ok := v.known[len(v.known)-1].shares[name]
	if !ok || !v.ready {
		return 0
	}
	units := newest.UnitsOf(slot)
	for _, k := range v.known[:len(v.known)-1] {
		old, ok := k.shares[name]
		if !ok {
			continue
		}
		hold := bucket.MaxHold
		if old.Slots != newest.Slots {
			hold = max(hold, old.Timeout)
		}
		if !v.left(now, k, hold) {
			units = min(units, old.UnitsOf(slot))
		}
	}
	return units
}
