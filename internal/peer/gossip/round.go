package gossip

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/share"
)

// remoteSum is the last message of another data centre with its sum.
type remoteSum struct {
	message           *message
	messageReceivedAt time.Time
}

// runRounds sends a round of messages every gossipInterval until the Gossiper stops.
func (g *Gossiper) runRounds() {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
			g.guard.Do("round", func() { g.runRound(time.Now()) })
		}
	}
}

// ownReports is what this host reports in one round.
type ownReports struct {
	usage     share.Report
	notes     []steer.TargetObservation
	limits    []steer.LimitObservation
	speeds    hostSpeeds
	crashes   []steer.CrashReport
	admission []steer.AdmissionReport
	load      *hostLoad // Nil if there is nothing to report.
	hint      Hint

	platformReachable bool // The hint is set.
}

// collectReports collects the reports of this host.
func (g *Gossiper) collectReports(now time.Time) ownReports {
	r := ownReports{
		usage:     g.config.Usage(now),
		notes:     g.config.Notes(now),
		limits:    g.config.Limits(now),
		speeds:    newHostSpeeds(g.config.Host, now, g.config.Speeds(now)),
		crashes:   g.config.Crashes(now),
		admission: g.config.Admission(now),
	}
	r.hint, r.platformReachable = g.config.Hint(now)
	if load, ok := g.config.Load(now); ok {
		r.load = toWireLoad(load)
	}
	return r
}

// addAge adds the time that has passed since the reports were collected.
func (r *ownReports) addAge(passed time.Duration) {
	for i := range r.notes {
		r.notes[i].Age += passed
	}
	for i := range r.limits {
		r.limits[i].Age += passed
	}
	for i := range r.crashes {
		r.crashes[i].Age += passed
	}
}

// runRound sends one round of messages. A leader reports the sum of the other hosts of its data centre to its own host.
func (g *Gossiper) runRound(now time.Time) {
	if othersUsage := g.sendRound(now, g.collectReports(now)); othersUsage != nil {
		g.config.OnPeerStatus(now, PeerStatus{
			PeerID:     DataCentrePeerID(g.config.DataCentre),
			ReportedAt: now,
			Usage:      othersUsage,
		})
	}
}

// sendRound sends one round of messages with the reports that this host had at collectedAt. If this host is a leader it returns the usage
// of the other hosts of the data centre together, or nil if it is unknown. Otherwise it returns nil.
func (g *Gossiper) sendRound(collectedAt time.Time, r ownReports) (othersUsage share.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil
	}
	now := time.Now() // Read under the mutex, so that no recorded message is later and ages do not shrink.
	r.addAge(now.Sub(collectedAt))
	g.round++
	g.updateLinks(now)
	g.report(now)
	m := &message{
		Host:              g.config.Host,
		DataCentre:        g.config.DataCentre,
		PeerAddress:       addressText(g.config.PeerAddress),
		PlatformReachable: r.platformReachable,
		ReachableFor:      r.hint.ReachableFor.Milliseconds(),
		Emptied:           r.hint.Emptied,
		Cold:              coldMillis(r.hint.Cold),
		Crashes:           toWireCrashes(r.crashes),
		Load:              r.load,
	}
	g.localNotes = appendNotes(now, g.localNotes, g.config.Host, r.notes)
	g.localLimits.add(now, r.limits)
	g.localSpeeds = appendSpeeds(collectedAt, g.localSpeeds, r.speeds)
	if g.isSpeaker(now) {
		g.sendToRemoteDataCentres(now, *m, r.usage)
	}
	m.Admission = toWireAdmission(r.admission)
	g.admission.add(now, g.config.Host, r.admission)
	m.ListingFrom, g.listingFrom = g.listingFrom, ""
	m.Notes, m.RemoteNotes = toWireNotes(r.notes), toWireNotes(currentNotes(now, g.remoteNotes))
	g.remoteNotes = g.remoteNotes[:0]
	m.Limits, m.RemoteLimits = toWireLimits(r.limits), toWireLimits(g.remoteLimits.take(now))
	m.Speeds = currentSpeeds(now, g.localSpeeds, func(host string) bool { return host == g.config.Host })
	m.RemoteSpeeds = currentSpeeds(now, g.remoteSpeeds, allHosts)
	g.remoteSpeeds = g.remoteSpeeds[:0]
	var remoteDataCentres []remoteReport
	for name, sum := range g.remoteDataCentres {
		remoteDataCentres = append(remoteDataCentres, remoteReport{
			name:      name,
			hostCount: sum.message.HostCount,
			report:    sum.message.report(sum.message.Usage),
			load:      sum.message.Load,
			age:       now.Sub(sum.messageReceivedAt),
		})
	}
	clear(g.remoteDataCentres)
	if !r.platformReachable && g.remote != nil && now.Sub(g.messageReceivedAt) < maxHintAge {
		m.PlatformReachable, m.ReachableFor, m.Emptied, m.Cold = true, g.remote.ReachableFor, g.remote.Emptied, g.remote.Cold
	}
	g.sendToLocalHosts(now, *m, r.usage, remoteDataCentres)
	g.localNotes = g.localNotes[:0]
	clear(g.localLimits)
	g.localSpeeds = g.localSpeeds[:0]
	if g.usesLeaders && g.isLeader {
		othersUsage, _ = g.sum(now)
	}
	return othersUsage
}

// report logs hosts that fell silent or are heard again, and whether this host has become the speaker or no longer is.
func (g *Gossiper) report(now time.Time) {
	for _, h := range g.localPeers() {
		if silent := now.Sub(h.lastHeard) >= aliveTimeout; silent != h.silent {
			h.silent = silent
			_ = level.Info(g.logger).Log("msg", "Host of the data centre is heard or silent.", "host", h.entry.ID,
				"silent", silent, "registered", h.lapsedAt.IsZero())
		}
	}
	if isSpeaker := g.isSpeaker(now); isSpeaker != g.wasSpeaker {
		g.wasSpeaker = isSpeaker
		_ = level.Info(g.logger).Log("msg", "Speaker of the data centre changed.", "own", isSpeaker)
	}
}

// sendToRemoteDataCentres sends one host of each other data centre the sum of this one. It includes the limits
// of targets that its hosts saw. Hosts of the same region also get the notes of this data centre.
func (g *Gossiper) sendToRemoteDataCentres(now time.Time, m message, ownUsage share.Report) {
	sum, hostCount := g.dataCentreSum(now, ownUsage)
	u := newUsageEncoder(sum)
	m.Customers, m.Usage, m.HostCount = u.customers, u.encode(sum), hostCount
	var sameRegion, otherRegions []*host
	for _, list := range g.remoteRecipients() {
		h := list[g.round%len(list)]
		if h.entry.Region == g.config.Region {
			sameRegion = append(sameRegion, h)
		} else {
			otherRegions = append(otherRegions, h)
		}
	}
	m.Limits = toWireLimits(g.localLimits.list(now))
	g.setPending(&m, otherRegions)
	m.Notes = toWireNotes(currentNotes(now, g.localNotes))
	m.Speeds = currentSpeeds(now, g.localSpeeds, allHosts)
	g.setPending(&m, sameRegion)
}

// dataCentreSum returns the usage of all hosts of the data centre together, and their number. A leader that does not know the
// sum returns the usage of this host alone.
func (g *Gossiper) dataCentreSum(now time.Time, ownUsage share.Report) (share.Report, int) {
	if g.usesLeaders {
		sum, hostCount := g.sum(now)
		if sum == nil {
			return ownUsage, 1
		}
		add(sum, ownUsage)
		return sum, hostCount + 1
	}
	var localHosts []string
	for _, h := range g.localHosts() {
		localHosts = append(localHosts, h.entry.ID)
	}
	return g.config.Sum(localHosts)
}
