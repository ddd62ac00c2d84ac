package relay

import (
	"cmp"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

// view is a configuration in the form used to serve requests. It is immutable and built once for each configuration.
type view struct {
	config     *steer.Config
	services   map[string]*service
	openWeight float64 // Weight of requests without a customer: the mean rate of the customers.
}

// service is a service with its routes in matching order and its sites by distance.
type service struct {
	*steer.Service
	routes          []route
	sites           []site // This data centre, then this region, then other regions by delay.
	hasLocalTargets bool   // Whether this data centre has targets that are not leaving.
}

// site is a data centre that has targets of a service.
type site struct {
	dataCentre string
	region     string
	delay      time.Duration // Link delay from this region.
}

// currentView returns the view of the current configuration, or nil if there is none yet.
func (h *Handler) currentView() *view {
	config := h.conf.Source.Current()
	if config == nil {
		return nil
	}
	v := h.view.Load()
	if v != nil && v.config == config {
		return v
	}
	next := h.newView(config)
	// A failed swap means that another request has stored a view. The next request compares that view's configuration again.
	if h.view.CompareAndSwap(v, next) {
		h.pool.sweep(time.Now())
	}
	return next
}

func (h *Handler) newView(c *steer.Config) *view {
	v := &view{
		config:     c,
		services:   make(map[string]*service, len(c.Services)),
		openWeight: 1,
	}
	total := 0.0
	for _, cu := range c.Customers {
		total += cu.Rate
	}
	if total > 0 {
		v.openWeight = total / float64(len(c.Customers))
	}
	for name, s := range c.Services {
		sites := h.sitesOf(c, s)
		v.services[name] = &service{
			Service:         s,
			routes:          newRoutes(s.Routes),
			sites:           sites,
			hasLocalTargets: len(sites) > 0 && sites[0].dataCentre == h.conf.DataCentre,
		}
	}
	return v
}

// sitesOf returns the data centres that are not down and have targets that are not leaving: first this one, then those of
// this region, then those of other regions by delay.
func (h *Handler) sitesOf(c *steer.Config, s *steer.Service) []site {
	hasTargets := make(map[string]bool)
	for _, t := range s.Targets {
		if !t.Leaving {
			hasTargets[t.DataCentre] = true
		}
	}
	delays := make(map[string]time.Duration)
	for _, l := range c.Fleet.Links {
		if l.From == h.conf.Region {
			delays[l.To] = l.Delay
		}
	}
	var sites []site
	for _, dc := range c.Fleet.DataCentres {
		if hasTargets[dc.Name] && !dc.Down {
			sites = append(sites, site{
				dataCentre: dc.Name,
				region:     dc.Region,
				delay:      delays[dc.Region],
			})
		}
	}
	slices.SortStableFunc(sites, func(a, b site) int {
		return cmp.Or(
			cmp.Compare(h.distance(a), h.distance(b)),
			cmp.Compare(a.delay, b.delay),
			cmp.Compare(a.region, b.region),
			cmp.Compare(a.dataCentre, b.dataCentre),
		)
	})
	return sites
}

// distance returns 0 for this data centre, 1 for this region and 2 for other regions.
func (h *Handler) distance(s site) int {
	switch {
	case s.dataCentre == h.conf.DataCentre:
		return 0
	case s.region == h.conf.Region:
		return 1
	default:
		return 2
	}
}

// weight returns the weight of a customer when capacity is short: its rate, or the mean rate for requests without a customer.
func (v *view) weight(customer string) float64 {
	if cu := v.config.Customers[customer]; cu != nil && cu.Rate > 0 {
		return cu.Rate
	}
	return v.openWeight
}
