package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/place"
)

// newBodyPlacers returns the placers of a fleet with one target, under a plan that allows bodies of 64 MB.
func newBodyPlacers(t *testing.T, hosts int, contested bool) []*place.Placer {
	t.Helper()
	view := newView(t, newTarget(1, "golfo-a"))
	view.Index.Plan.Limits.BodyBytes = 64 << 20
	var placers []*place.Placer
	for range hosts {
		p := place.New(place.Config{
			DataCentre: "golfo-a",
			Region:     "golfo",
			Regions:    regions,
			Deployment: steer.Deployment{ContestedCapacity: contested},
		})
		p.Update(start, view, place.Fleet{Hosts: hosts})
		placers = append(placers, p)
	}
	return placers
}

func newBodyRequest(bytes int64) place.Request {
	r := newRequest("1")
	r.BodyBytes = bytes
	return r
}

// Guards against a target that crashes because all hosts send it large bodies at once. Load: each of 83 hosts sends up to eight
// bodies of one size for the same object at the same time.
func TestBodiesAtOneTargetAreBounded(t *testing.T) {
	const hosts = 83
	for _, c := range []struct {
		name      string
		bytes     int64
		contested bool
		most      int64 // Bytes of bodies at the target.
		least     int64
	}{
		{name: "100 KB", bytes: 100 << 10, contested: true, most: 64 << 20, least: 56 << 20},
		{name: "300 KB", bytes: 300 << 10, contested: true, most: 64 << 20, least: 48 << 20},
		{name: "1 MB, one of each host", bytes: 1 << 20, contested: true, most: hosts << 20, least: hosts << 20},
		{name: "1 MB, capacity is not contested", bytes: 1 << 20, most: 8 * hosts << 20, least: 8 * hosts << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			total := int64(0)
			for _, p := range newBodyPlacers(t, hosts, c.contested) {
				for range 8 {
					_, refusal := p.Pick(start, newBodyRequest(c.bytes))
					if refusal != nil {
						assert.Equal(t, refusal.Reason, steer.ReasonTargetMemory)
						assert.Equal(t, refusal.Verdict, steer.NotRun)
						break
					}
					total += c.bytes
				}
			}
			assert.Assert(t, total <= c.most && total >= c.least, "%d KB at the target", total>>10)
		})
	}
}

// Guards against bodies that are counted after their request has ended, and against requests that are refused for the bodies of
// others although they have none, or a small one.
func TestBodiesAreFreed(t *testing.T) {
	p := newBodyPlacers(t, 83, true)[0]
	first, refusal := p.Pick(start, newBodyRequest(5<<20))
	assert.Assert(t, refusal == nil, "one body is always allowed")
	_, refusal = p.Pick(start, newBodyRequest(1<<20))
	assert.Equal(t, refusal.Reason, steer.ReasonTargetMemory)
	_, refusal = p.Pick(start, newRequest("1"))
	assert.Assert(t, refusal == nil, "a request without a body")
	p.Done(start.Add(time.Second), first, place.Outcome{Latency: 100 * time.Millisecond})
	for range 5 {
		_, refusal = p.Pick(start.Add(time.Second), newBodyRequest(20<<10))
		assert.Assert(t, refusal == nil)
	}
}

// Guards against small bodies that are sent one after the other where many hosts share a target and the plan allows small bodies only.
func TestSmallBodiesAreSentTogether(t *testing.T) {
	view := newView(t, newTarget(1, "golfo-a"))
	view.Index.Plan.Limits.BodyBytes = 1 << 20
	p := newBodyPlacers(t, 1, true)[0]
	p.Update(start, view, place.Fleet{Hosts: 470})
	for i := range 6 {
		_, refusal := p.Pick(start, newBodyRequest(10<<10))
		assert.Assert(t, refusal == nil, "request %d", i)
	}
}
