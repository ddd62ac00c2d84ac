package relay

import (
	"errors"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

const (
	// inlineSites is the number of data centres of a service up to which siteOrder does not allocate.
	inlineSites = 12

	// maxHostsPerSite bounds the hosts of one data centre that a request is forwarded to. A second host is tried because the
	// first may have just failed or stopped.
	maxHostsPerSite = 2
)

// Causes of refusals by a site.
var (
	errNoReadyTarget = errors.New("no target of the data centre may take new work")
	errNoMember      = errors.New("no host of the data centre is known to be serving")
	errLinkBudget    = errors.New("link budget is used up")
)

// trySites tries the sites of the service in order until one accepts the request or the request must not be retried. If
// all sites fail, it returns the error of the first.
func (h *Handler) trySites(x *exchange) (*response, error) {
	now := h.conf.Now()
	activeShift := h.chooseShift(now, x.service, h.conf.Random(), h.conf.Limiter.TryTake)
	var backing [inlineSites]site
	siteOrder := h.siteOrder(backing[:0], x.service, activeShift, h.conf.Random())
	firstErr := error(refuse(steer.NotRun, steer.ReasonNoTarget, nil))
	for i, s := range siteOrder {
		// The link token taken with the shift covers the first site only.
		linkPaid := activeShift != nil && i == 0
		rp, err := h.trySite(x, s, linkPaid, i+1 < len(siteOrder))
		if err == nil {
			return rp, nil
		}
		if i == 0 {
			firstErr = err
		}
		if !h.mayRetryTarget(x, err) {
			return nil, err
		}
	}
	return nil, firstErr
}

// mayRetry reports whether the request may be sent again after a failed attempt. It may if it certainly did not run, or
// if it is idempotent and the retry budget has a token, which mayRetry takes.
func (h *Handler) mayRetry(x *exchange, err error) bool {
	verdict := steer.VerdictOf(err)
	if verdict != steer.NotRun {
		x.mayHaveRun = true
	}
	if x.ctx.Err() != nil || !h.conf.Now().Before(x.deadline) || !x.body.rewindable() {
		return false
	}
	if verdict == steer.NotRun {
		return true
	}
	if !x.idempotent || !h.conf.Chooser.Retry(x.serviceName) {
		return false
	}
	h.counts.retries.Inc(1)
	return true
}

// chooseShift returns the shift that moves a request to another region, or nil if the request stays. The draw is uniform in
// [0,1) and falls into the fraction of at most one shift. A shifted request takes one token of the shift and one of the
// link; if either is missing, the request stays.
func (h *Handler) chooseShift(now time.Time, s *service, draw float64, take func(time.Time, steer.QuotaName) bool) *steer.Shift {
	for i := range s.Shifts {
		sh := &s.Shifts[i]
		if sh.From != h.conf.Region {
			continue
		}
		if draw >= sh.Fraction {
			draw -= sh.Fraction
			continue
		}
		if !take(now, steer.ShiftQuota(s.Name, sh.Name)) || !take(now, steer.LinkQuota(sh.From, sh.To)) {
			return nil
		}
		return sh
	}
	return nil
}

// siteOrder appends the sites of a service to list in the order in which they are tried: the region that the shift moves
// to, this data centre, this region, other regions. The data centres of a region are rotated by the draw to spread the load.
func (h *Handler) siteOrder(list []site, s *service, activeShift *steer.Shift, draw float64) []site {
	if activeShift != nil {
		for _, group := range byRegion(s.sites) {
			if group[0].region == activeShift.To {
				list = rotate(list, group, draw)
			}
		}
	}
	rest := s.sites
	if s.hasLocalTargets {
		list = append(list, rest[0])
		rest = rest[1:]
	}
	for _, group := range byRegion(rest) {
		if activeShift == nil || group[0].region != activeShift.To {
			list = rotate(list, group, draw)
		}
	}
	return list
}

// byRegion iterates over runs of consecutive sites in the same region.
func byRegion(sites []site) func(func(int, []site) bool) {
	return func(yield func(int, []site) bool) {
		for i := 0; i < len(sites); {
			j := i + 1
			for j < len(sites) && sites[j].region == sites[i].region {
				j++
			}
			if !yield(i, sites[i:j]) {
				return
			}
			i = j
		}
	}
}

func rotate(list, group []site, draw float64) []site {
	start := int(draw * float64(len(group)))
	list = append(list, group[start:]...)
	return append(list, group[:start]...)
}

// trySite sends the request to targets of this data centre or forwards it to a host of another one. If linkPaid is set,
// the link token has been taken already. If moreSites is set, other sites can be tried after this one.
func (h *Handler) trySite(x *exchange, s site, linkPaid, moreSites bool) (*response, error) {
	if s.dataCentre == h.conf.DataCentre {
		if h.conf.Chooser.Ready(h.conf.Now(), x.serviceName) == 0 {
			return nil, refuse(steer.NotRun, steer.ReasonNoTarget, errNoReadyTarget)
		}
		wait := x.service.QueueLimit
		if moreSites {
			// Leaves half of the waiting time for the other sites.
			wait /= 2
		}
		return h.sendLocal(x, wait)
	}
	return h.forwardToSite(x, s, linkPaid)
}

// forwardToSite forwards the request to a host of another data centre.
func (h *Handler) forwardToSite(x *exchange, s site, linkPaid bool) (*response, error) {
	err := error(refuse(steer.NotRun, steer.ReasonNoTarget, errNoMember))
	var tried [maxHostsPerSite]string
	for i := range maxHostsPerSite {
		m := h.pickMember(s.dataCentre, tried[:i])
		if m == nil {
			return nil, err
		}
		tried[i] = m.ID
		if !h.takeLinkToken(s, linkPaid && i == 0) {
			return nil, refuse(steer.NotRun, steer.ReasonCapacity, errLinkBudget)
		}
		var rp *response
		rp, err = h.forward(x, *m, forwardSite)
		if err == nil {
			return rp, nil
		}
		// Another host is tried only if this one could not be reached or is stopping. Any other refusal applies to the whole
		// data centre.
		r := asRefusal(err)
		unreachable := r.Reason == steer.ReasonForwardFailed || r.Reason == steer.ReasonStopping
		if r.Verdict != steer.NotRun || !unreachable || x.ctx.Err() != nil || !x.body.rewindable() {
			return nil, err
		}
	}
	return nil, err
}

// takeLinkToken takes a token of the link if the site is in another region and linkPaid is not set. It reports whether the
// request may be sent to the site.
func (h *Handler) takeLinkToken(s site, linkPaid bool) bool {
	if linkPaid || s.region == h.conf.Region {
		return true
	}
	return h.conf.Limiter.TryTake(h.conf.Now(), steer.LinkQuota(h.conf.Region, s.region))
}

// pickMember returns a random host of a data centre that is neither stopping nor suspect nor in tried, or nil if there is
// none.
func (h *Handler) pickMember(dataCentre string, tried []string) *steer.Member {
	members := h.conf.Peers.Members()
	seen := 0
	var picked *steer.Member
	for i := range members {
		m := &members[i]
		if m.DataCentre != dataCentre || m.State.Stopping || m.Suspect || slices.Contains(tried, m.ID) {
			continue
		}
		seen++
		// Reservoir sampling selects each host with the same probability.
		if h.conf.Random()*float64(seen) < 1 {
			picked = m
		}
	}
	return picked
}
