package gossip

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/share"
)

// heardSum is the sum that another data centre told.
type heardSum struct {
	message *message
	came    time.Time
}

// rounds tells all links at a time.
func (t *Gossiper) rounds() {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			t.guard.Do("round", func() { t.tellAll(now) })
		}
	}
}

func (t *Gossiper) tellAll(now time.Time) {
	own := t.config.Usage(now)
	notes := t.config.Notes(now)
	hint, reaches := t.config.Hint(now)
	if group := t.tellRound(now, own, notes, hint, reaches); group != nil {
		t.config.OnPeerStatus(now, PeerStatus{
			PeerID:     DataCentrePeerID(t.config.DataCentre),
			ReportedAt: now,
			Usage:      group,
		})
	}
}

// tellRound makes one round. It returns what the other hosts of the data centre use together if this host leads it, else nil.
func (t *Gossiper) tellRound(
	now time.Time, own share.Report, notes []steer.TargetObservation, hint Hint, reaches bool,
) (group share.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left {
		return nil
	}
	t.round++
	t.connect(now)
	t.report(now)
	m := &message{
		Host:              t.config.Host,
		DataCentre:        t.config.DataCentre,
		PlatformReachable: reaches,
		ReachableFor:      hint.ReachableFor.Milliseconds(),
		Emptied:           hint.Emptied,
		Cold:              coldOf(hint.Cold),
	}
	t.seen = collect(now, t.seen, t.config.Host, notes)
	if t.speaks(now) {
		t.tellCentres(now, *m, own)
	}
	m.Notes, m.Passed = notesOf(notes), notesOf(current(now, t.passed))
	t.passed = t.passed[:0]
	var centres []centreReport
	for name, sum := range t.centres {
		centres = append(centres, centreReport{
			name:   name,
			hosts:  sum.message.Hosts,
			report: sum.message.report(sum.message.Usage),
			age:    now.Sub(sum.came),
		})
	}
	clear(t.centres)
	if !reaches && t.foreign != nil && now.Sub(t.came) < hintTime {
		m.PlatformReachable, m.ReachableFor, m.Emptied, m.Cold = true, t.foreign.ReachableFor, t.foreign.Emptied, t.foreign.Cold
	}
	t.tellMates(now, *m, own, centres)
	t.seen = t.seen[:0]
	if t.grouped && t.leads {
		group, _ = t.sum(now)
	}
	return group
}

// report logs who is heard and who speaks, as far as that has changed.
func (t *Gossiper) report(now time.Time) {
	for _, h := range t.heardBy() {
		if silent := now.Sub(h.heard) >= aliveTime; silent != h.silent {
			h.silent = silent
			_ = level.Info(t.logger).Log("msg", "Host of the data centre is heard or silent.", "host", h.entry.ID,
				"silent", silent, "registered", h.lapsed.IsZero())
		}
	}
	if speaks := t.speaks(now); speaks != t.speaker {
		t.speaker = speaks
		_ = level.Info(t.logger).Log("msg", "Speaker of the data centre changed.", "own", speaks)
	}
}

// tellCentres tells one host of each other data centre the sum of this one, and those of the region what was seen of targets.
func (t *Gossiper) tellCentres(now time.Time, m message, own share.Report) {
	sum, hosts := t.centreSum(now, own)
	u := usesOf(sum)
	m.Names, m.Usage, m.Hosts = u.names, u.of(sum), hosts
	var near, far []*host
	for _, list := range t.others() {
		h := list[t.round%len(list)]
		if h.entry.Region == t.config.Region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	t.offer(&m, far)
	m.Notes = notesOf(current(now, t.seen))
	t.offer(&m, near)
}

// centreSum returns what all hosts of the data centre use together, and their number.
func (t *Gossiper) centreSum(now time.Time, own share.Report) (share.Report, int) {
	if t.grouped {
		sum, hosts := t.sum(now)
		if sum == nil {
			return own, 1
		}
		add(sum, own)
		return sum, hosts + 1
	}
	var mates []string
	for _, h := range t.mates() {
		mates = append(mates, h.entry.ID)
	}
	return t.config.Sum(mates)
}
