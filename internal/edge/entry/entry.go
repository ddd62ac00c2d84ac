package entry

import (
	"cmp"
	"net/netip"
	"slices"
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

	named  metrics.Gauge
	known  metrics.Gauge
	mu     sync.Mutex
	logged []string // IDs of the named hosts of the data centre that were last logged.
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
		config: c,
		logger: log.With(c.Logger, "part", "entry"),
		named:  metrics.GetOrRegisterGauge("entry-named", c.Metrics),
		known:  metrics.GetOrRegisterGauge("entry-known", c.Metrics),
	}
}

// Addresses returns the addresses of the hosts that callers of a data centre should use: hosts of the data centre, if there are
// none hosts of the region, else any. The hosts are the known ones, in the order in which they are to be returned. The result is
// empty only if no host is known. The plan is nil before the first one.
func (s *Selector) Addresses(_ time.Time, hosts []*steer.HostEntry, plan *steer.Plan, region, dataCentre string) []netip.AddrPort {
	nearest := nearestHosts(hosts, region, dataCentre)
	if s.enabled(plan) {
		nearest = s.selectHosts(nearest)
	}
	nearest = nearest[:min(len(nearest), maxAddresses)]
	addresses := make([]netip.AddrPort, 0, len(nearest))
	for _, h := range nearest {
		addresses = append(addresses, h.Address)
	}
	return addresses
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
// largest capacity come first.
func (s *Selector) selectHosts(hosts []*steer.HostEntry) []*steer.HostEntry {
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b *steer.HostEntry) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	named := make(map[*steer.HostEntry]bool, len(hosts))
	for len(sorted) > 0 {
		end := slices.IndexFunc(sorted, func(h *steer.HostEntry) bool { return h.DataCentre != sorted[0].DataCentre })
		if end < 0 {
			end = len(sorted)
		}
		for _, h := range sorted[:sortByCapacity(sorted[:end])] {
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

// Update logs a change of the named hosts of this host's data centre, and updates the metrics.
func (s *Selector) Update(_ time.Time, hosts []*steer.HostEntry, plan *steer.Plan) {
	var local []*steer.HostEntry
	for _, h := range hosts {
		if h.DataCentre == s.config.DataCentre {
			local = append(local, h)
		}
	}
	selected := local
	if s.enabled(plan) {
		selected = s.selectHosts(local)
	}
	ids := make([]string, 0, len(selected))
	for _, h := range selected {
		ids = append(ids, h.ID)
	}
	slices.Sort(ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named.Update(int64(len(selected)))
	s.known.Update(int64(len(local)))
	if slices.Equal(ids, s.logged) {
		return
	}
	_ = level.Info(s.logger).Log("msg", "Named hosts of the data centre changed.", "named", len(ids), "known", len(local),
		"added", difference(ids, s.logged), "removed", difference(s.logged, ids))
	s.logged = ids
}

// difference returns the ids in a that are not in b, separated by commas.
func difference(a, b []string) string {
	out := ""
	for _, id := range a {
		if slices.Contains(b, id) {
			continue
		}
		if out != "" {
			out += ","
		}
		out += id
	}
	return out
}
