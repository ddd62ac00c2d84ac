package follow

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

const (
	// reportLimit is the age up to which the report of a member tells whether it reaches the store.
	reportLimit = 2 * time.Second

	// lostAfter is the time after which a version that nobody has, and that the store no longer knows, is given up.
	lostAfter = 10 * time.Second

	// oldestEvidence bounds the age in a heartbeat, so that the arithmetic cannot overflow.
	oldestEvidence = 24 * time.Hour

	// peerWait is the time for which a host waits for a peer to have a newer version before it asks the store.
	peerWait = time.Second
)

// observe looks at the members in a fixed interval.
func (f *Follower) observe(ctx context.Context) {
	for {
		now := time.Now()
		members := f.Peers.Members()
		for _, m := range members {
			age := min(max(0, m.State.EvidenceAge), oldestEvidence)
			f.claim(m.State.NewestVersion, m.LastHeard.Add(-age))
		}
		f.nobodyReaches(now, members)
		f.plan(now, members)
		if !sleep(ctx, f.MemberPollInterval, nil) {
			return
		}
	}
}

// claim takes the evidence that the version was the newest at the time.
func (f *Follower) claim(version uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == 0 {
		return
	}
	if f.manifest != nil && version == f.manifest.Version {
		f.refresh(at)
	}
	switch {
	case version == f.newest && at.After(f.newestAt):
		f.newestAt = at
	case version > f.newest && !at.Before(f.freshAt().Add(-lostAfter)):
		f.newest = version
		f.newestAt = at
	}
}

// refresh is called with the lock held.
func (f *Follower) refresh(at time.Time) {
	offset := int64(at.Sub(f.start))
	if offset == 0 {
		offset = 1
	}
	if old := f.fresh.Load(); old == 0 || offset > old {
		f.fresh.Store(offset)
	}
}

// freshAt returns the time of the evidence for the version in force, long before the start without any.
func (f *Follower) freshAt() time.Time {
	at := f.fresh.Load()
	if at == 0 {
		return f.start.Add(-oldestEvidence)
	}
	return f.start.Add(time.Duration(at))
}

// nobodyReaches takes the evidence of the rule "nobody reaches the store".
func (f *Follower) nobodyReaches(now time.Time, members []steer.Member) {
	config := f.Current()
	f.mu.Lock()
	reachable := f.reading.reachable || !f.reading.tried
	newest := f.newest
	f.mu.Unlock()
	if config == nil || reachable {
		return
	}
	version, at, ok := DetectStoreOutage(now, f.DataCentre, config.Fleet, members)
	if ok {
		f.count("evidence-store-unreached")
		f.claim(max(version, newest), at)
	}
}

// DetectStoreOutage decides the rule "nobody reaches the store" for a host of the data centre that does not reach it:
// every data centre of the fleet reports, and all members have reported within 2 s that they do not reach the store. A
// member that is not heard from is left out when its data centre reports through another host: partitions run between
// data centres, so it is dead or paused. A host without any member decides so only in a fleet of one slot, because it may
// have lost its peers together with the store. It returns the newest version that any of them knows and the time of the
// oldest report, up to which no host can have learnt of a newer version.
func DetectStoreOutage(now time.Time, own string, fleet steer.Fleet, members []steer.Member) (uint64, time.Time, bool) {
	reports := map[string]bool{
		own: true,
	}
	version := uint64(0)
	at := now
	for _, m := range members {
		version = max(version, m.State.NewestVersion, m.State.Version)
		if m.Suspect || now.Sub(m.LastHeard) >= reportLimit {
			continue
		}
		if m.State.StoreReachable {
			return 0, time.Time{}, false
		}
		reports[m.DataCentre] = true
		if m.LastHeard.Before(at) {
			at = m.LastHeard
		}
	}
	hosts := 0
	for _, d := range fleet.DataCentres {
		if !d.Down && !reports[d.Name] {
			return 0, time.Time{}, false
		}
		hosts += d.Slots
	}
	return version, at, len(members) > 0 || hosts == 1
}

// plan decides what the other goroutines do next.
func (f *Follower) plan(now time.Time, members []steer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest > f.version() && f.manifest != nil && f.freshAt().Sub(f.newestAt) > lostAfter {
		level.Warn(f.logger).Log("msg", "A version is given up: the store lost it and no host has it.", "version", f.newest)
		f.newest = f.version()
		f.newestAt = f.freshAt()
	}
	f.reading.watcher = isWatcher(f.Host, f.DataCentre, members)
	served := false
	f.reading.doubt = false
	for _, m := range members {
		served = served || m.State.Version > f.version()
		if m.DataCentre == f.DataCentre && !m.Suspect && !m.State.StoreReachable {
			f.reading.doubt = true
		}
	}
	switch {
	case f.newest <= f.version():
		f.behind = time.Time{}
	case f.behind.IsZero():
		f.behind = now
	case !served && now.Sub(f.behind) > peerWait:
		f.reading.demand(now)
	}
	if served || f.target != nil {
		wake(f.wakeFetcher)
	}
	if f.reading.due(now, f.newestAt, f.StaleAfter) {
		wake(f.wakeReader)
	}
}

// isWatcher reports whether the host is the first of its data centre among those that reach the store. It watches the
// manifest all the time, and the others read only when their evidence is stale.
func isWatcher(host, dataCentre string, members []steer.Member) bool {
	for _, m := range members {
		ready := m.State.StoreReachable && !m.State.Stopping && !m.Suspect
		if ready && m.DataCentre == dataCentre && m.ID < host {
			return false
		}
	}
	return true
}
