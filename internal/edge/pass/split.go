package pass

import (
	"slices"
	"sync"

	"monsoonhub.example/steer"
)

// trafficSplits distributes the requests of each route among its services by smooth weighted round robin: after any number of
// requests each service has got its share to within one request.
type trafficSplits struct {
	mu     sync.Mutex
	routes map[string]*trafficSplit
}

// trafficSplit is the state of the round robin of one route.
type trafficSplit struct {
	services []steer.WeightedService
	deficits []float64 // By index in services: the requests by which a service is behind its share.
}

func newTrafficSplits() *trafficSplits {
	return &trafficSplits{
		routes: map[string]*trafficSplit{},
	}
}

// next returns the name of the service that gets the next request of a route.
func (s *trafficSplits) next(route *steer.PlanRoute) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.routes[route.Name]
	if p == nil || !slices.Equal(p.services, route.WeightedServices) {
		p = &trafficSplit{
			services: route.WeightedServices,
			deficits: make([]float64, len(route.WeightedServices)),
		}
		s.routes[route.Name] = p
	}
	totalWeight, best := 0.0, 0
	for _, service := range p.services {
		totalWeight += service.Weight
	}
	for i, service := range p.services {
		p.deficits[i] += service.Weight / totalWeight
		if p.deficits[i] > p.deficits[best] {
			best = i
		}
	}
	p.deficits[best]--
	return p.services[best].Service
}
