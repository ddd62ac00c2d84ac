package pass

import (
	"slices"
	"sync"

	"monsoonhub.example/steer"
)

// splits divides the requests of routes among their services by smooth weighted round robin: after any number of requests
// each service has its part to within one request.
type splits struct {
	mu     sync.Mutex
	routes map[string]*split
}

type split struct {
	parts []steer.WeightedService
	owed  []float64 // Requests that each part is behind by.
}

func newSplits() *splits {
	return &splits{
		routes: map[string]*split{},
	}
}

// next returns the service of the next request of a route.
func (s *splits) next(route *steer.PlanRoute) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.routes[route.Name]
	if p == nil || !slices.Equal(p.parts, route.WeightedServices) {
		p = &split{
			parts: route.WeightedServices,
			owed:  make([]float64, len(route.WeightedServices)),
		}
		s.routes[route.Name] = p
	}
	sum, best := 0.0, 0
	for _, part := range p.parts {
		sum += part.Weight
	}
	for i, part := range p.parts {
		p.owed[i] += part.Weight / sum
		if p.owed[i] > p.owed[best] {
			best = i
		}
	}
	p.owed[best]--
	return p.parts[best].Service
}
