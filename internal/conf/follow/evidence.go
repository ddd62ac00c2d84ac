package follow

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

const (
	// maxReportAge is the age from which a heartbeat no longer tells whether its sender reaches the store.
	maxReportAge = 2 * time.Second

	// lostVersionTimeout is the time after which the host gives up on a version that no host has and that the store has
	// lost.
	lostVersionTimeout = 10 * time.Second

	// maxEvidenceAge bounds the evidence age in a heartbeat, so that computing with it cannot overflow.
	maxEvidenceAge = 24 * time.Hour

	// peerFetchWait is how long a host that is behind waits for a peer to have a newer version before it asks the store.
	peerFetchWait = time.Second
)

// pollMembers reads the member table at a fixed interval, records the evidence in the heartbeats and wakes the goroutines
// that read the store and fetch versions when they have work.
func (f *Follower) pollMembers(ctx context.Context) {
	for {
		now := time.Now()
		members := f.Peers.Members()
		for _, m := range members {
			age := min(max(0, m.State.EvidenceAge), maxEvidenceAge)
			f.recordEvidence(m.State.NewestVersion, m.LastHeard.Add(-age))
		}
		f.recordStoreOutage(now, members)
		f.schedule(now, members)
		if !sleep(ctx, f.MemberPollInterval, nil) {
			return
		}
	}
}

// recordEvidence records that the version was the newest accepted one at the given time. It ignores version 0, and a
// higher version whose evidence is older than that for the version in force by more than lostVersionTimeout.
func (f *Follower) recordEvidence(version uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == 0 {
		return
	}
	if f.manifest != nil && version == f.manifest.Version {
		f.advanceCurrentEvidence(at)
	}
	switch {
	case version == f.newestVersion && at.After(f.newestEvidenceAt):
		f.newestEvidenceAt = at
	case version > f.newestVersion && !at.Before(f.currentEvidenceAt().Add(-lostVersionTimeout)):
		f.newestVersion = version
		f.newestEvidenceAt = at
	}
}

// advanceCurrentEvidence records evidence for the version in force, unless there is fresher evidence already. The caller
// must hold the lock.
func (f *Follower) advanceCurrentEvidence(at time.Time) {
	offset := int64(at.Sub(f.start))
	if offset == 0 {
		offset = 1
	}
	if old := f.currentEvidence.Load(); old == 0 || offset > old {
		f.currentEvidence.Store(offset)
	}
}

// currentEvidenceAt returns the time of the freshest evidence for the version in force. Without any, it returns a time
// maxEvidenceAge before the start.
func (f *Follower) currentEvidenceAt() time.Time {
	at := f.currentEvidence.Load()
	if at == 0 {
		return f.start.Add(-maxEvidenceAge)
	}
	return f.start.Add(time.Duration(at))
}

// recordStoreOutage records evidence for the newest known version while no host reaches the store: during such an outage
// no host can learn of a newer version.
func (f *Follower) recordStoreOutage(now time.Time, members []steer.Member) {
	config := f.Current()
	f.mu.Lock()
	reachable := f.reader.reachable || !f.reader.hasResult
	newestVersion := f.newestVersion
	f.mu.Unlock()
	if config == nil || reachable {
		return
	}
	version, at, ok := DetectStoreOutage(now, f.DataCentre, config.Fleet, members)
	if ok {
		f.count("evidence-store-unreached")
		f.recordEvidence(max(version, newestVersion), at)
	}
}

// DetectStoreOutage decides whether no host of the fleet reaches the store. The caller is a host of the given data centre
// that does not reach the store itself. An outage needs a report from every other data centre that is not marked down, and
// every report of the last 2 s must say that the store is unreachable. A member that is not heard from is ignored if another
// host of its data centre reports: partitions run between data centres, so that member is dead or paused. A host without
// members detects an outage only in a fleet of one slot, because it may have lost its peers together with the store.
// DetectStoreOutage returns the newest version that any member knows, the time of the oldest report, and whether there is
// an outage. No host can have learnt of a newer version up to that time.
func DetectStoreOutage(now time.Time, dataCentre string, fleet steer.Fleet, members []steer.Member) (uint64, time.Time, bool) {
	reporting := map[string]bool{
		dataCentre: true,
	}
	version := uint64(0)
	at := now
	for _, m := range members {
		version = max(version, m.State.NewestVersion, m.State.Version)
		if m.Suspect || now.Sub(m.LastHeard) >= maxReportAge {
			continue
		}
		if m.State.StoreReachable {
			return 0, time.Time{}, false
		}
		reporting[m.DataCentre] = true
		if m.LastHeard.Before(at) {
			at = m.LastHeard
		}
	}
	slots := 0
	for _, d := range fleet.DataCentres {
		if !d.Down && !reporting[d.Name] {
			return 0, time.Time{}, false
		}
		slots += d.Slots
	}
	return version, at, len(members) > 0 || slots == 1
}

// schedule gives up on a lost version and decides whether the reading and the fetching goroutine have work now.
func (f *Follower) schedule(now time.Time, members []steer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newestVersion > f.version() && f.manifest != nil &&
		f.currentEvidenceAt().Sub(f.newestEvidenceAt) > lostVersionTimeout {
		level.Warn(f.logger).Log("msg", "Gave up on a version: the store lost it and no host has it.", "version", f.newestVersion)
		f.newestVersion = f.version()
		f.newestEvidenceAt = f.currentEvidenceAt()
	}
	f.reader.watcher = isWatcher(f.Host, f.DataCentre, members)
	newerAtPeer := false
	f.reader.localPeerCutOff = false
	for _, m := range members {
		newerAtPeer = newerAtPeer || m.State.Version > f.version()
		if m.DataCentre == f.DataCentre && !m.Suspect && !m.State.StoreReachable {
			f.reader.localPeerCutOff = true
		}
	}
	switch {
	case f.newestVersion <= f.version():
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince = now
	case !newerAtPeer && now.Sub(f.behindSince) > peerFetchWait:
		f.reader.requestFullRead(now)
	}
	if newerAtPeer || f.pendingManifest != nil {
		wake(f.wakeFetcher)
	}
	if f.reader.due(now, f.newestEvidenceAt, f.StaleAfter) {
		wake(f.wakeReader)
	}
}

// isWatcher reports whether the host has the lowest id among the hosts of its data centre that reach the store. This host
// watches the manifest all the time; the others read it only when their evidence is stale.
func isWatcher(host, dataCentre string, members []steer.Member) bool {
	for _, m := range members {
		ready := m.State.StoreReachable && !m.State.Stopping && !m.Suspect
		if ready && m.DataCentre == dataCentre && m.ID < host {
			return false
		}
	}
	return true
}
