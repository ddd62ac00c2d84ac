package relay

import (
	"errors"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

const (
	// typicalSites is the number of data centres of a service up to which the order needs no allocation.
	typicalSites = 12

	// hostsPerSite is the most hosts of one data centre that a request is forwarded to. The second one is for a host
	// that dies or stops at this moment.
	hostsPerSite = 2
)

// Causes of refusals of sites.
var (
	errNoReady  = errors.New("no target of the data centre may take new work")
	errNoMember = errors.New("no host of the data centre is known to be serving")
	errNoLink   = errors.New("link budget is used up")
)

// bySite tries the sites of the service in order until one takes the request.
func (h *Handler) bySite(x *exchange) (*reply, error) {
	now := h.conf.Now()
	moved := h.shift(now, x.service, h.conf.Random(), h.conf.Limiter.TryTake)
	var space [typicalSites]site
	order := h.order(space[:0], x.service, moved, h.conf.Random())
	first := error(refuse(steer.NotRun, steer.ReasonNoTarget, nil))
	for i, s := range order {
		// The tokens of the shift pay for its first crossing only.
		paid := moved != nil && i == 0
		rp, err := h.trySite(x, s, paid, i+1 < len(order))
		if err == nil {
			return rp, nil
		}
		if i == 0 {
			first = err
		}
		if !h.mayRetryTarget(x, err) {
			return nil, err
		}
	}
	return nil, first
}

// mayRetry reports whether the request may be sent again after a failed attempt: on proof that it did not run, or, if
// it is idempotent, from the retry budget.
func (h *Handler) mayRetry(x *exchange, err error) bool {
	verdict := steer.VerdictOf(err)
	if verdict != steer.NotRun {
		x.mayHaveRun = true
	}
	if x.ctx.Err() != nil || !h.conf.Now().Before(x.deadline) || !x.body.resendable() {
		return false
	}
	if verdict == steer.NotRun {
		return true
	}
	if !x.idempotent || !h.conf.Chooser.Retry(x.name) {
		return false
	}
	h.counts.retries.Inc(1)
	return true
}

// shift decides whether a request moves to another region. The draw, uniform in [0,1), falls into the fraction of at
// most one shift. A moved request takes a token of the shift and one of the link; without both it stays.
func (h *Handler) shift(now time.Time, s *service, draw float64, take func(time.Time, steer.QuotaName) bool) *steer.Shift {
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

// order appends the sites of a service in the order to try them: those of the region a shift moves to, the own data
// centre, the own region, other regions. Data centres of a region are rotated by the draw to spread the load.
func (h *Handler) order(list []site, s *service, moved *steer.Shift, draw float64) []site {
	if moved != nil {
		for _, group := range regions(s.sites) {
			if group[0].region == moved.To {
				list = rotate(list, group, draw)
			}
		}
	}
	rest := s.sites
	if s.local {
		list = append(list, rest[0])
		rest = rest[1:]
	}
	for _, group := range regions(rest) {
		if moved == nil || group[0].region != moved.To {
			list = rotate(list, group, draw)
		}
	}
	return list
}

// regions iterates over runs of sites of the same region.
func regions(sites []site) func(func(int, []site) bool) {
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

// trySite sends the request to targets of the own data centre or forwards it to a host of another one.
func (h *Handler) trySite(x *exchange, s site, paid, more bool) (*reply, error) {
	if s.dataCentre == h.conf.DataCentre {
		if h.conf.Chooser.Ready(h.conf.Now(), x.name) == 0 {
			return nil, refuse(steer.NotRun, steer.ReasonNoTarget, errNoReady)
		}
		wait := x.service.QueueLimit
		if more {
			// Leaves half of the wait's time for the other sites.
			wait /= 2
		}
		return h.local(x, wait)
	}
	return h.remote(x, s, paid)
}

// remote forwards the request to a host of another data centre.
func (h *Handler) remote(x *exchange, s site, paid bool) (*reply, error) {
	err := error(refuse(steer.NotRun, steer.ReasonNoTarget, errNoMember))
	var tried [hostsPerSite]string
	for i := range hostsPerSite {
		m := h.member(s.dataCentre, tried[:i])
		if m == nil {
			return nil, err
		}
		tried[i] = m.ID
		if !h.takeLinkToken(s, paid && i == 0) {
			return nil, refuse(steer.NotRun, steer.ReasonCapacity, errNoLink)
		}
		var rp *reply
		rp, err = h.forward(x, *m, forwardSite)
		if err == nil {
			return rp, nil
		}
		// Only a host that was not there at all is replaced; a host that answers speaks for its data centre.
		r := asRefusal(err)
		gone := r.Reason == steer.ReasonForwardFailed || r.Reason == steer.ReasonStopping
		if r.Verdict != steer.NotRun || !gone || x.ctx.Err() != nil || !x.body.resendable() {
			return nil, err
		}
	}
	return nil, err
}

// takeLinkToken takes a token of the link when the site is in another region.
func (h *Handler) takeLinkToken(s site, paid bool) bool {
	if paid || s.region == h.conf.Region {
		return true
	}
	return h.conf.Limiter.TryTake(h.conf.Now(), steer.LinkQuota(h.conf.Region, s.region))
}

// member picks a random host of a data centre that is neither stopping nor suspect nor tried, nil if there is none.
func (h *Handler) member(dataCentre string, tried []string) *steer.Member {
	members := h.conf.Peers.Members()
	seen := 0
	var picked *steer.Member
	for i := range members {
		m := &members[i]
		if m.DataCentre != dataCentre || m.State.Stopping || m.Suspect || slices.Contains(tried, m.ID) {
			continue
		}
		seen++
		// Reservoir sampling gives each of the hosts the same chance.
		if h.conf.Random()*float64(seen) < 1 {
			picked = m
		}
	}
	return picked
}
