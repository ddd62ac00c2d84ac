package entry

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

// maxAddresses bounds the addresses in an answer of the directory.
const maxAddresses = 64

// Config configures a Selector.
type Config struct {
	Host       string // ID of this host.
	DataCentre string // Of this host.
	Mode       steer.Mode
	Deployment steer.Deployment
	Logger     log.Logger       // Nil means no logging.
	Metrics    metrics.Registry // Nil means a private registry.
}

// Selector selects the hosts that the directory names. It is safe for concurrent use.
type Selector struct {
	config Config
	logger log.Logger

	named metrics.Gauge
	known metrics.Gauge

	mu      sync.Mutex
	reports map[string]report       // Last reports of other hosts of the data centre, by id.
	local   extra                   // Narrow hosts that are named for the data centre.
	remote  map[string]remoteReport // Last reports of other data centres, by name.
	logged  []string                // IDs of the named hosts of the data centre that were last logged.

	updatedAt time.Time // Of the last Update.
	decides   bool      // This host knows what the others name and takes part in the decision.

	// undecidedAt is when this host last had no report of another one. It is used only while this host does not take part.
	undecidedAt time.Time
}

// remoteReport is the number of narrow hosts that the hosts of another data centre name for it.
type remoteReport struct {
	extraHosts int
	receivedAt time.Time
}

// New returns a Selector.
func New(c Config) *Selector {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Selector{
		config:  c,
		logger:  log.With(c.Logger, "part", "entry"),
		reports: map[string]report{},
		remote:  map[string]remoteReport{},

		named: metrics.GetOrRegisterGauge("entry-named", c.Metrics),
		known: metrics.GetOrRegisterGauge("entry-known", c.Metrics),
	}
}

// Addresses returns the addresses of the hosts that callers of a data centre should use: hosts of the data centre, if there are
// none hosts of the region, else any. The hosts are the known ones, in the order in which they are to be returned. The result is
// empty only if no host is known. The plan is nil before the first one.
func (s *Selector) Addresses(now time.Time, hosts []*steer.HostEntry, plan *steer.Plan, region, dataCentre string) []netip.AddrPort {
	nearest := nearestHosts(hosts, region, dataCentre)
	if s.enabled(plan) {
		nearest = selectHosts(nearest, func(dataCentre string) int { return s.extraHosts(now, dataCentre) })
	}
	nearest = nearest[:min(len(nearest), maxAddresses)]
	addresses := make([]netip.AddrPort, 0, len(nearest))
	for _, h := range nearest {
		addresses = append(addresses, h.Address)
	}
	return addresses
}

// extraHosts returns the number of narrow hosts that are named for a data centre.
func (s *Selector) extraHosts(now time.Time, dataCentre string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dataCentre == s.config.DataCentre {
		return s.local.count
	}
	if r, ok := s.remote[dataCentre]; ok && now.Sub(r.receivedAt) <= removeAfter {
		return r.extraHosts
	}
	return 0
}

// enabled reports whether hosts are selected by capacity. That the links of hosts differ is a part of the selection itself, which
// names all hosts of a data centre whose links do not.
func (s *Selector) enabled(plan *steer.Plan) bool {
	calledFor := s.config.Deployment.ContestedCapacity || plan != nil &&
		slices.ContainsFunc(plan.Routes, func(r steer.PlanRoute) bool { return r.Kind == steer.KindLarge })
	return s.config.Mode.Enabled(calledFor)
}

// nearestHosts returns the hosts in a data centre. If there are none it returns those in the region, else all hosts.
func nearestHosts(hosts []*steer.HostEntry, region, dataCentre string) []*steer.HostEntry {
	for _, matches := range []func(h *steer.HostEntry) bool{
		func(h *steer.HostEntry) bool { return h.DataCentre == dataCentre },
		func(h *steer.HostEntry) bool { return h.Region == region },
	} {
		var list []*steer.HostEntry
		for _, h := range hosts {
			if matches(h) {
				list = append(list, h)
			}
		}
		if len(list) > 0 {
			return list
		}
	}
	return hosts
}

// selectHosts returns the named hosts of each data centre, in the given order. If there are more than an answer holds, those of the
// largest capacity come first. The function extraHosts returns the number of narrow hosts to be named for a data centre.
func selectHosts(hosts []*steer.HostEntry, extraHosts func(dataCentre string) int) []*steer.HostEntry {
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b *steer.HostEntry) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	named := make(map[*steer.HostEntry]bool, len(hosts))
	for len(sorted) > 0 {
		dataCentre := sorted[0].DataCentre
		end := slices.IndexFunc(sorted, func(h *steer.HostEntry) bool { return h.DataCentre != dataCentre })
		if end < 0 {
			end = len(sorted)
		}
		count := sortByCapacity(sorted[:end])
		if count < end {
			count = min(count+extraHosts(dataCentre), end)
		}
		for _, h := range sorted[:count] {
			named[h] = true
		}
		sorted = sorted[end:]
	}
	if len(named) == len(hosts) {
		return hosts
	}
	selected := slices.DeleteFunc(slices.Clone(hosts), func(h *steer.HostEntry) bool { return !named[h] })
	if len(selected) > maxAddresses {
		slices.SortFunc(selected, compareCapacity)
	}
	return selected
}

// Receive records the report of another host, which was received or, if it was passed on, made at the given time. The host is empty in
// the report of another data centre that is passed on.
func (s *Selector) Receive(at time.Time, dataCentre, host string, load steer.HostLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dataCentre != s.config.DataCentre {
		if load.ExtraHosts >= 0 && at.After(s.remote[dataCentre].receivedAt) {
			s.remote[dataCentre] = remoteReport{
				extraHosts: load.ExtraHosts,
				receivedAt: at,
			}
		}
		return
	}
	if host != s.config.Host {
		s.reports[host] = report{
			load:       load,
			receivedAt: at,
		}
	}
}

// Update decides which hosts of this host's data centre are named, given the load of this host, and logs a change. It is called once
// in each round of messages. It returns the report of this host, and false if there is nothing to report: hosts are not selected, or the
// data centre has no narrow hosts.
func (s *Selector) Update(now time.Time, hosts []*steer.HostEntry, plan *steer.Plan, own steer.HostLoad) (steer.HostLoad, bool) {
	local := slices.DeleteFunc(slices.Clone(hosts), func(h *steer.HostEntry) bool { return h.DataCentre != s.config.DataCentre })
	s.mu.Lock()
	defer s.mu.Unlock()
	fixed := len(local)
	if s.enabled(plan) {
		fixed = sortByCapacity(local)
	}
	selects := fixed < len(local)
	if selects {
		s.decide(now, local, fixed, own)
	} else {
		s.local = extra{}
	}
	s.updatedAt = now
	s.logNamed(local[:fixed+s.local.count], len(local))
	own.ExtraHosts = s.local.count
	if !s.decides {
		own.ExtraHosts = undecided
	}
	return own, selects
}

// undecided is the number of extra hosts in the report of a host that does not take part in the decision.
const undecided = -1

// decide updates the number of narrow hosts that are named. The first host by id that takes part decides for all, so that all
// directories agree. The caller holds mu.
func (s *Selector) decide(now time.Time, hosts []*steer.HostEntry, fixed int, own steer.HostLoad) {
	maps.DeleteFunc(s.reports, func(_ string, r report) bool { return now.Sub(r.receivedAt) > reportTTL })
	loads := make(map[string]steer.HostLoad, len(hosts))
	first := "" // ID of the first other host that takes part.
	for _, h := range hosts {
		r, ok := s.reports[h.ID]
		if !ok {
			continue
		}
		loads[h.ID] = r.load
		if r.load.ExtraHosts >= 0 && now.Sub(r.receivedAt) <= followFor && (first == "" || h.ID < first) {
			first = h.ID
		}
	}
	s.updateDecides(now, len(loads) == 0, first != "")
	if first != "" && (!s.decides || first < s.config.Host) {
		s.decides = true
		s.local.follow(now, min(loads[first].ExtraHosts, len(hosts)-fixed))
		return
	}
	if !s.decides {
		s.local.follow(now, min(s.local.count, len(hosts)-fixed))
		return
	}
	loads[s.config.Host] = own
	s.local.update(now, hosts, fixed, loads, s.quiet(now, hosts[:fixed]))
}

// quiet reports whether none of the hosts has reported in the last rounds though all could: this host takes part in the decision, so it
// hears others, and hosts whose capacity is known run a build that reports. The caller holds mu.
func (s *Selector) quiet(now time.Time, hosts []*steer.HostEntry) bool {
	return !slices.ContainsFunc(hosts, func(h *steer.HostEntry) bool {
		return h.ID == s.config.Host || !(h.LinkMbps > 0) || now.Sub(s.reports[h.ID].receivedAt) <= quietAfter
	})
}

// updateDecides updates whether this host takes part in the decision. A host that has started, was suspended, or hears no other host
// does not: it keeps the number that it knows until it can take over that of another host, since its own would remove hosts that
// callers use. If other hosts report and none of them takes part either, it does so after reportTTL. The caller holds mu.
func (s *Selector) updateDecides(now time.Time, alone, anyTakesPart bool) {
	if alone || now.Sub(s.updatedAt) > reportTTL {
		s.decides, s.undecidedAt = false, now
	}
	if !s.decides && !anyTakesPart && now.Sub(s.undecidedAt) >= reportTTL {
		s.decides = true
	}
}

// logNamed logs a change of the named hosts and updates the metrics. The caller holds mu.
func (s *Selector) logNamed(named []*steer.HostEntry, known int) {
	ids := make([]string, 0, len(named))
	for _, h := range named {
		ids = append(ids, h.ID)
	}
	slices.Sort(ids)
	s.named.Update(int64(len(ids)))
	s.known.Update(int64(known))
	if slices.Equal(ids, s.logged) {
		return
	}
	_ = level.Info(s.logger).Log("msg", "Named hosts of the data centre changed.", "named", len(ids), "known", known,
		"extra", s.local.count, "added", difference(ids, s.logged), "removed", difference(s.logged, ids))
	s.logged = ids
}

// difference returns the ids in a that are not in b, separated by commas.
func difference(a, b []string) string {
	return strings.Join(slices.DeleteFunc(slices.Clone(a), func(id string) bool { return slices.Contains(b, id) }), ",")
}
