package gossip

import (
	"time"

	"monsoonhub.example/steer"
)

// take handles a message of another host.
func (t *Gossiper) take(now time.Time, m *message) {
	if m.Entries != nil {
		t.config.Changes(now, m.Host, m.Entries.changes())
		return
	}
	foreign := m.DataCentre != t.config.DataCentre
	notes := targetNotes(t.unseen(m))
	t.config.OnNotes(now, append(targetNotes(m.Passed), notes...))
	t.note(now, m, notes, foreign)
	news, ok := t.news(now, m, foreign)
	if !ok {
		return
	}
	t.config.OnPeerStatus(now, news)
	t.hearCentres(now, m)
}

// news returns what a message means for quotas and hints. It reports false for one that means nothing to this host.
func (t *Gossiper) news(now time.Time, m *message, foreign bool) (PeerStatus, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := PeerStatus{
		PeerID:            m.Host,
		ReportedAt:        now,
		Usage:             m.report(m.Usage),
		Leaving:           m.Leaving,
		PlatformReachable: m.PlatformReachable,
		Hint:              m.hint(),
	}
	switch {
	case foreign:
		news.PeerID = DataCentrePeerID(m.DataCentre)
	case t.grouped && m.Hosts > 0:
		news.PeerID, news.Usage = DataCentrePeerID(m.DataCentre), without(news.Usage, t.told)
	case t.grouped && m.Leaving:
		delete(t.reports, m.Host)
	case t.grouped:
		t.reports[m.Host] = report{
			use: news.Usage,
			at:  now,
		}
		news.PeerID, news.Usage = "", nil
	}
	return news, t.grouped || foreign || m.Hosts == 0
}

// hearCentres takes what a message passes on of other data centres.
func (t *Gossiper) hearCentres(now time.Time, m *message) {
	for _, c := range m.Centres {
		if c.DataCentre == t.config.DataCentre {
			continue
		}
		t.config.OnPeerStatus(now, PeerStatus{
			PeerID:     DataCentrePeerID(c.DataCentre),
			ReportedAt: now.Add(-time.Duration(c.Age) * time.Millisecond),
			Usage:      m.report(c.Usage),
		})
	}
}

// note keeps what a message says for the next round.
func (t *Gossiper) note(now time.Time, m *message, notes []steer.TargetObservation, foreign bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[m.Host]; h != nil {
		h.heard = now
	}
	if m.PlatformReachable {
		t.foreign, t.came = m, now
	}
	if !foreign {
		t.seen = collect(now, t.seen, m.Host, notes)
		return
	}
	t.passed = collect(now, t.passed, m.Host, notes)
	if m.Hosts > 0 {
		t.centres[m.DataCentre] = &heardSum{
			message: m,
			came:    now,
		}
	}
}
