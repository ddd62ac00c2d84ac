package gossip

import (
	"time"

	"monsoonhub.example/steer"
)

// take handles a message of another host.
func (t *Teller) take(now time.Time, m *message) {
	if m.Entries != nil {
		t.config.Changes(now, m.Host, m.Entries.changes())
		return
	}
	foreign := m.DataCentre != t.config.DataCentre
	notes := targetNotes(t.unseen(m))
	t.config.Noted(now, append(targetNotes(m.Passed), notes...))
	t.note(now, m, notes, foreign)
	news, ok := t.news(now, m, foreign)
	if !ok {
		return
	}
	t.config.Heard(now, news)
	t.hearCentres(now, m)
}

// news returns what a message means for quotas and hints. It reports false for one that means nothing to this host.
func (t *Teller) news(now time.Time, m *message, foreign bool) (News, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := News{
		Peer:    m.Host,
		Made:    now,
		Use:     m.report(m.Use),
		Leaving: m.Leaving,
		Reaches: m.Reaches,
		Hint:    m.hint(),
	}
	switch {
	case foreign:
		news.Peer = CentrePeer(m.DataCentre)
	case t.grouped && m.Hosts > 0:
		news.Peer, news.Use = CentrePeer(m.DataCentre), without(news.Use, t.told)
	case t.grouped && m.Leaving:
		delete(t.reports, m.Host)
	case t.grouped:
		t.reports[m.Host] = report{
			use: news.Use,
			at:  now,
		}
		news.Peer, news.Use = "", nil
	}
	return news, t.grouped || foreign || m.Hosts == 0
}

// hearCentres takes what a message passes on of other data centres.
func (t *Teller) hearCentres(now time.Time, m *message) {
	for _, c := range m.Centres {
		if c.DataCentre == t.config.DataCentre {
			continue
		}
		t.config.Heard(now, News{
			Peer: CentrePeer(c.DataCentre),
			Made: now.Add(-time.Duration(c.Age) * time.Millisecond),
			Use:  m.report(c.Use),
		})
	}
}

// note keeps what a message says for the next round.
func (t *Teller) note(now time.Time, m *message, notes []steer.TargetObservation, foreign bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[m.Host]; h != nil {
		h.heard = now
	}
	if m.Reaches {
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
