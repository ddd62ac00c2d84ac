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
	// knows the earlier versions. The process does not know them itself, so a share that the first version enlarged could
	// be used twice until then.
	startHold = 3 * time.Second

	// silentHold is how long a member may still use its slots after its last heartbeat: the slot lease plus one heartbeat
	// interval.
	silentHold = 12*time.Second + 500*time.Millisecond
)

// version is a configuration that may still be in use at some host.
type version struct {
	number     uint64
	config     *steer.Config // Nil for a version learned from a peer.
	shares     map[steer.QuotaName]Share
	superseded time.Time // When all data centres had confirmed a later known version; zero before.
}

// versions keeps the configurations from the oldest that a data centre may still use to the newest, in that order.
type versions struct {
	dataCentre       string
	start            time.Time
	ready            bool // Whether shares may be used at all.
	settled          bool // Whether the shares in force are those of a single version.
	known            []*version
	confirmed        map[string]uint64       // Confirmed version of each data centre, never decreasing.
	slotHolders      map[string]steer.Member // Last report of each member that holds slots, by host ID.
	unknownVersionAt time.Time               // Last time at which a member knew a newer version than this host.
}

func newVersions(dataCentre string, now time.Time) *versions {
	return &versions{
		dataCentre:  dataCentre,
		start:       now,
		confirmed:   map[string]uint64{},
		slotHolders: map[string]steer.Member{},
	}
}

// add appends a configuration as the newest version. It ignores versions that are not higher than the newest.
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

// sharesOf returns the shares of a data centre under all versions that may be in use, and false if not all are known.
func (v *versions) sharesOf(dataCentre string) ([]VersionShares, bool) {
	if !v.ready {
		return nil, false
	}
	var all []VersionShares
	for _, k := range v.known {
		shares := k.shares
		if dataCentre != v.dataCentre {
			if k.config == nil {
				return nil, false
			}
			shares = Divide(k.config, dataCentre)
		}
		all = append(all, VersionShares{
			Version: k.number,
			Shares:  shares,
		})
	}
	return all, len(all) > 0
}

// addOlder adds the versions from before the start of this process that a peer reports as in use.
func (v *versions) addOlder(versions []VersionShares) {
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

// observe updates the confirmed versions from the reports of members, and removes versions that no data centre uses any
// more.
func (v *versions) observe(now time.Time, members []steer.Member) {
	if len(v.known) == 0 {
		return
	}
	newest := v.newest()
	v.recordHolders(now, members)
	lowest := map[string]uint64{
		v.dataCentre: newest.Version,
	}
	for _, m := range members {
		if max(m.State.Version, m.State.NewestVersion) > newest.Version {
			v.unknownVersionAt = now
		}
		// A member without a version has not reported yet and may hold slots, so it confirms nothing.
		if _, known := lowest[m.DataCentre]; !known && m.State.Version > 0 {
			lowest[m.DataCentre] = newest.Version
		}
	}
	for _, h := range v.slotHolders {
		if low, reported := lowest[h.DataCentre]; reported {
			lowest[h.DataCentre] = min(low, h.State.Version)
		}
	}
	for dataCentre, low := range lowest {
		v.confirmed[dataCentre] = max(v.confirmed[dataCentre], low)
	}
	v.supersede(now)
}

// recordHolders keeps the last report of each member that holds slots. A member without recent heartbeats counts until
// its slots have expired or were taken over by others.
func (v *versions) recordHolders(now time.Time, members []steer.Member) {
	type slotKey struct {
		dataCentre string
		slot       int
	}
	generations := map[slotKey]uint64{}
	for _, m := range members {
		if m.State.Version == 0 {
			continue
		}
		delete(v.slotHolders, m.ID)
		if len(m.State.Slots) > 0 {
			v.slotHolders[m.ID] = m
		}
		for _, c := range m.State.Slots {
			at := slotKey{
				dataCentre: m.DataCentre,
				slot:       c.Slot,
			}
			generations[at] = max(generations[at], c.Generation)
		}
	}
	for id, h := range v.slotHolders {
		taken := true
		for _, c := range h.State.Slots {
			at := slotKey{
				dataCentre: h.DataCentre,
				slot:       c.Slot,
			}
			taken = taken && generations[at] > c.Generation
		}
		if taken || now.Sub(h.LastHeard) > silentHold {
			delete(v.slotHolders, id)
		}
	}
}

// supersede marks versions that every data centre has replaced by a later one, and removes them when they are out of use.
// It does not wait for data centres that are marked down.
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
	for len(v.known) > 1 && v.outOfUse(now, v.known[0], longest) {
		v.known = v.known[1:]
	}
}

// outOfUse reports whether a version has been out of use for the hold; loans made under it have ended by then. While a
// member knows a newer version than this host, no version counts as out of use: the unknown one may give smaller shares.
func (v *versions) outOfUse(now time.Time, k *version, hold time.Duration) bool {
	if k.superseded.IsZero() {
		return false
	}
	since := k.superseded
	if v.unknownVersionAt.After(since) {
		since = v.unknownVersionAt
	}
	return now.Sub(since) >= hold
}

// rateShare returns the smallest rate share of a slot over all versions that may be in use. A version without the quota
// gives no host a share of it, so it does not limit the others.
func (v *versions) rateShare(now time.Time, name steer.QuotaName, slot int) bucket.RateShare {
	newest, ok := v.known[len(v.known)-1].shares[name]
	if !ok || !v.ready {
		return bucket.RateShare{}
	}
	share := newest.RateOf(slot)
	for _, k := range v.known[:len(v.known)-1] {
		old, ok := k.shares[name]
		if ok && !v.outOfUse(now, k, bucket.MaxHold) {
			share.Rate = min(share.Rate, old.RateOf(slot).Rate)
			share.Cap = min(share.Cap, old.RateOf(slot).Cap)
		}
	}
	return share
}

// units returns the smallest number of units of a slot over all versions that may be in use. If the number of slots
// changed, units move between slots, so an old version also counts until requests that started under it have ended.
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
		if !v.outOfUse(now, k, hold) {
			units = min(units, old.UnitsOf(slot))
		}
	}
	return units
}
