package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

// handleMessage processes a message of another host.
func (g *Gossiper) handleMessage(now time.Time, m *message) {
	if m.EntryChanges != nil {
		g.config.Changes(now, m.Host, m.EntryChanges.toChanges())
		return
	}
	remote := m.DataCentre != g.config.DataCentre
	notes := fromWireNotes(g.notesOfOthers(m))
	g.config.OnNotes(now, append(fromWireNotes(m.RemoteNotes), notes...))
	limits := fromWireLimits(m.Limits)
	g.config.OnLimits(now, append(fromWireLimits(m.RemoteLimits), limits...))
	m.Speeds, m.RemoteSpeeds = g.newSpeeds(m.Speeds), g.newSpeeds(m.RemoteSpeeds)
	for _, s := range append(slices.Clip(m.Speeds), m.RemoteSpeeds...) {
		g.config.OnSpeeds(now, s.observations())
	}
	if m.ListingFrom == g.config.Host {
		g.config.OnAsked(m.Host)
	}
	if len(m.Crashes) > 0 {
		g.config.OnCrashes(now, fromWireCrashes(m.Crashes))
	}
	g.handleLoads(now, m)
	if !remote {
		g.handleAdmission(now, m)
	}
	g.recordMessage(now, m, notes, limits, remote)
	peerStatus, ok := g.peerStatus(now, m, remote)
	if !ok {
		return
	}
	g.config.OnPeerStatus(now, peerStatus)
	g.handleRemoteUsage(now, m)
}

// handleLoads reports the load of the sender of a message, and those of other data centres that it passes on.
func (g *Gossiper) handleLoads(now time.Time, m *message) {
	if m.Load != nil && m.Host != g.config.Host {
		g.config.OnLoad(now, LoadReport{
			Host:       m.Host,
			DataCentre: m.DataCentre,
			Load:       m.Load.toLoad(),
		})
	}
	for _, c := range m.RemoteDataCentres {
		if c.ExtraHosts == nil || c.DataCentre == g.config.DataCentre {
			continue
		}
		g.config.OnLoad(now.Add(-time.Duration(c.Age)*time.Millisecond), LoadReport{
			DataCentre: c.DataCentre,
			Load: steer.HostLoad{
				ExtraHosts: *c.ExtraHosts,
			},
		})
	}
}

// peerStatus returns the usage and hint of a message. It reports false if this host must ignore both: the message is a sum of
// this data centre, and its hosts report to each other.
func (g *Gossiper) peerStatus(now time.Time, m *message, remote bool) (PeerStatus, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peerStatus := PeerStatus{
		PeerID:            m.Host,
		ReportedAt:        now,
		Usage:             m.report(m.Usage),
		Leaving:           m.Leaving,
		PlatformReachable: m.PlatformReachable,
		Hint:              m.hint(),
	}
	switch {
	case remote:
		peerStatus.PeerID = DataCentrePeerID(m.DataCentre)
	case g.usesLeaders && m.HostCount > 0:
		peerStatus.PeerID, peerStatus.Usage = DataCentrePeerID(m.DataCentre), subtract(peerStatus.Usage, g.sentUsage)
	case g.usesLeaders && m.Leaving:
		delete(g.reports, m.Host)
	case g.usesLeaders:
		g.reports[m.Host] = report{
			usage:      peerStatus.Usage,
			receivedAt: now,
		}
		peerStatus.PeerID, peerStatus.Usage = "", nil
	}
	return peerStatus, g.usesLeaders || remote || m.HostCount == 0
}

// handleRemoteUsage reports the usage of other data centres that a message passes on.
func (g *Gossiper) handleRemoteUsage(now time.Time, m *message) {
	for _, c := range m.RemoteDataCentres {
		if c.DataCentre == g.config.DataCentre {
			continue
		}
		g.config.OnPeerStatus(now, PeerStatus{
			PeerID:     DataCentrePeerID(c.DataCentre),
			ReportedAt: now.Add(-time.Duration(c.Age) * time.Millisecond),
			Usage:      m.report(c.Usage),
		})
	}
}

// recordMessage stores the time of a message, and the parts of it that are passed on in the next round.
func (g *Gossiper) recordMessage(now time.Time, m *message, notes []steer.TargetObservation, limits []steer.LimitObservation, remote bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.hosts[m.Host]
	if h == nil && !remote && !m.Leaving {
		h = g.addUnregistered(now, m)
	}
	if h != nil {
		h.lastHeard = now
	}
	if m.PlatformReachable {
		g.remote, g.messageReceivedAt = m, now
	}
	if !remote {
		g.localNotes = appendNotes(now, g.localNotes, m.Host, notes)
		g.localLimits.add(now, limits)
		for _, s := range m.Speeds {
			g.localSpeeds = appendSpeeds(now, g.localSpeeds, s)
		}
		return
	}
	g.remoteNotes = appendNotes(now, g.remoteNotes, m.Host, notes)
	g.remoteLimits.add(now, limits)
	for _, s := range m.Speeds {
		g.remoteSpeeds = appendSpeeds(now, g.remoteSpeeds, s)
	}
	if m.HostCount > 0 {
		g.remoteDataCentres[m.DataCentre] = &remoteSum{
			message:           m,
			messageReceivedAt: now,
		}
	}
}

// addUnregistered adds a host of the data centre of whose registration this host has not learned, for example because it does
// not reach the platform. Without its address in the message, it returns nil.
func (g *Gossiper) addUnregistered(now time.Time, m *message) *host {
	address, err := netip.ParseAddrPort(m.PeerAddress)
	if err != nil {
		return nil
	}
	h := &host{
		entry: steer.HostEntry{
			ID:          m.Host,
			DataCentre:  m.DataCentre,
			Region:      g.config.Region,
			PeerAddress: address,
		},
		lapsedAt: now,
	}
	g.hosts[m.Host] = h
	_ = level.Info(g.logger).Log("msg", "Host is heard before its registration.", "host", m.Host, "address", address)
	return h
}
