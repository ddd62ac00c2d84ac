package place

const (
	// bodiesAtTarget is the size of the bodies in progress at one target, from all hosts together, relative to the largest body that
	// the plan allows. A target has to take one of these at any time.
	bodiesAtTarget = 1.0

	// minBodyShare is the least share of one host, in bytes, so that requests with small bodies do not wait for each other where many
	// hosts divide a small limit.
	minBodyShare = 64 << 10
)

// updateMaxBodies sets the bytes of bodies that this host may have in progress at one target.
func (s *service) updateMaxBodies(maxBody int64, hosts int) {
	s.maxBodies = 0
	if s.contested && maxBody > 0 {
		s.maxBodies = max(int64(bodiesAtTarget*float64(maxBody)/float64(hosts)), minBodyShare)
	}
}

// bodiesFull reports whether the body of a request does not fit at a target beside those that this host has in progress there. One
// body fits whatever its size.
func (s *service) bodiesFull(t *targetState, request *Request) bool {
	return s.maxBodies > 0 && request.BodyBytes > 0 && t.bodyBytes > 0 && t.bodyBytes+request.BodyBytes > s.maxBodies
}
