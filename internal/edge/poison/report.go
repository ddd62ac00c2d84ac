package poison

import (
	"cmp"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

const (
	// reportTime is the time for which a crash or an answer is reported after this host learned of it: some rounds of messages,
	// because each may be lost.
	reportTime = time.Second

	// repeatInterval is the time between repeated reports of condemned requests, from which restarted hosts learn of them.
	repeatInterval = 2 * time.Second

	// maxReports bounds the reports of one message, in about 2 KB.
	maxReports = 64
)

// Merge adds what other hosts reported.
func (t *Table) Merge(now time.Time, reports []steer.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decisive := false
	for _, r := range reports {
		key, at := Key(r.Request), now.Add(-r.Age)
		switch {
		case key == 0 || r.Age < 0 || r.Age > crashRetention:
		case r.Answered:
			t.exonerate(now, at, key)
		default:
			decisive = t.add(now, at, key, r.Target) || decisive
		}
	}
	if decisive {
		t.condemn(now)
	}
}

// Reports returns what is to be reported to other hosts now: what this host has learned lately and, from time to time, the
// crashes of condemned requests.
func (t *Table) Reports(now time.Time) []steer.CrashReport {
	if !t.InUse() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	repeat := now.Sub(t.repeatedAt) >= repeatInterval
	if repeat {
		t.repeatedAt = now
	}
	type ranked struct {
		report  steer.CrashReport
		crashes int // Of the request.
	}
	var list []ranked
	for key, r := range t.requests {
		for target, c := range r.crashes {
			if now.Sub(c.learnedAt) >= reportTime && !(repeat && r.condemned) {
				continue
			}
			list = append(list, ranked{
				report: steer.CrashReport{
					Request: uint64(key),
					Target:  target,
					Age:     now.Sub(c.at),
				},
				crashes: len(r.crashes),
			})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.report.Age, b.report.Age))
	})
	reports := make([]steer.CrashReport, 0, min(len(list), maxReports))
	for _, entry := range list[:min(len(list), maxReports)] {
		reports = append(reports, entry.report)
	}
	for key, a := range t.answers {
		if now.Sub(a.learnedAt) < reportTime && len(reports) < 2*maxReports {
			reports = append(reports, steer.CrashReport{
				Request:  uint64(key),
				Age:      now.Sub(a.at),
				Answered: true,
			})
		}
	}
	return reports
}
