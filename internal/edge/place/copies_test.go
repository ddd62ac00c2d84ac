package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/place"
)

// newCopiesPlacer returns the placer of a host in golfo-a, with two targets in each data centre of its region.
func newCopiesPlacer(t *testing.T, mode steer.Mode) *place.Placer {
	t.Helper()
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
		Features: steer.Features{
			ObjectCopies: mode,
		},
	})
	p.Update(start, newView(t, newTarget(1, "golfo-a"), newTarget(2, "golfo-a"), newTarget(3, "golfo-b"), newTarget(4, "golfo-b")),
		place.Fleet{Hosts: 1})
	return p
}

// pickTargets sends n requests for an object without an answer, and returns the number of requests of each target.
func pickTargets(t *testing.T, p *place.Placer, request place.Request, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		c, refusal := p.Pick(start, request)
		if refusal == nil {
			counts[c.Target.ID]++
		}
	}
	return counts
}

// Guards against hashing that gives some targets more objects than they can serve while others of the region are free: their
// requests wait or are refused. Load: 12 hosts, two data centres with 10 targets of 9 slots each, 60 objects, 420 requests a
// second, 81 % of what the targets carry once they know the objects.
func TestCopiesEvenOutTheLoadOfTargets(t *testing.T) {
	l := fleetLoad{
		hosts:         12,
		objects:       60,
		rate:          420,
		exchangeNotes: true,
		warmup:        5 * time.Second,
	}
	for i := range 10 {
		l.targets = append(l.targets, newTarget(i, "golfo-a"), newTarget(i, "golfo-b"))
	}
	single := l.run(t)
	l.objectCopies = steer.ModeOn
	double := l.run(t)
	t.Logf("in time %.3f, refused %.3f; with one target for each object %.3f, %.3f", double.inTime, double.refused, single.inTime, single.refused)
	assert.Assert(t, double.inTime > 0.9)
	assert.Assert(t, double.inTime > single.inTime)
	assert.Assert(t, double.refused < 0.02)
}

// Guards against a second target that takes requests for an object while the first has free slots: it would have to load the
// object for nothing.
func TestAlternateIsUsedOnlyWhileTheFirstTargetIsBusy(t *testing.T) {
	p := newCopiesPlacer(t, steer.ModeOn)
	assert.Equal(t, len(pickTargets(t, p, newRequest("17"), slots)), 1)
}

// Guards against requests that wait in the queue of the first target until they are late while the alternate is idle.
func TestAlternateTakesRequestsThatWouldBeLate(t *testing.T) {
	p := newCopiesPlacer(t, steer.ModeOn)
	request := newRequest("17")
	for range 5 { // The work of a request becomes known: 200 ms of an objective of 300 ms.
		c, refusal := p.Pick(start, request)
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: 200 * time.Millisecond})
	}
	counts := pickTargets(t, p, request, 3*slots)
	assert.Equal(t, len(counts), 2)
	for id, n := range counts {
		assert.Assert(t, n >= slots, "%s: %d", id, n)
	}
}

// Guards against large answers that cross data centres although a target in the host's data centre has free slots.
func TestLargeAnswersStayInTheDataCentre(t *testing.T) {
	p := newCopiesPlacer(t, steer.ModeOn)
	crossed := 0
	for i := range 200 {
		request := newRequest(fmt.Sprint(i))
		request.LargeAnswer = true
		c, refusal := p.Pick(start, request)
		assert.Assert(t, refusal == nil)
		if c.Target.DataCentre != "golfo-a" {
			crossed++
		}
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
	}
	assert.Equal(t, crossed, 0)
}

// Guards against a data centre that is emptied, or whose targets all fail, and still gets requests as that of the alternate.
func TestCopiesAreInUsableDataCentres(t *testing.T) {
	p := newCopiesPlacer(t, steer.ModeOn)
	view := newView(t, newTarget(1, "golfo-a"), newTarget(2, "golfo-a"), newTarget(3, "golfo-b"), newTarget(4, "golfo-b"))
	view.Emptied["golfo-a"] = true
	p.Update(start, view, place.Fleet{Hosts: 1})
	for i := range 50 {
		c, refusal := p.Pick(start, newRequest(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.Target.DataCentre, "golfo-b")
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
	}
}

// Guards against a change of placement in deployments that do not call for it: without contested capacity, and while targets
// report no work factor, auto does what off does.
func TestCopiesAreUsedOnlyWhereCalledFor(t *testing.T) {
	request := newRequest("17")
	assert.Equal(t, len(pickTargets(t, newCopiesPlacer(t, steer.ModeOff), request, 3*slots)), 1)
	p := newCopiesPlacer(t, steer.ModeAuto)
	assert.Equal(t, len(pickTargets(t, p, request, 3*slots)), 1)

	p = newCopiesPlacer(t, steer.ModeAuto)
	for range 5 {
		c, refusal := p.Pick(start, request)
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{
			Latency: 200 * time.Millisecond,
			Load: &steer.TargetLoad{
				Slots:      slots,
				WorkFactor: 1,
			},
		})
	}
	assert.Equal(t, len(pickTargets(t, p, request, 3*slots)), 2)
}

// Shows what a decision costs with 150 targets in the region, as in a fleet of 470 hosts.
func BenchmarkPickWithCopies(b *testing.B) {
	for _, mode := range []steer.Mode{steer.ModeOff, steer.ModeOn} {
		b.Run(string(mode), func(b *testing.B) {
			var targets []*belief.RegisteredTarget
			for i := range 75 {
				targets = append(targets, newTarget(i, "golfo-a"), newTarget(i, "golfo-b"))
			}
			p := place.New(place.Config{
				DataCentre: "golfo-a",
				Region:     "golfo",
				Regions:    regions,
				Features: steer.Features{
					ObjectCopies: mode,
				},
			})
			p.Update(start, newView(&testing.T{}, targets...), place.Fleet{Hosts: 470})
			i := 0
			for b.Loop() {
				i++
				c, refusal := p.Pick(start, newRequest(fmt.Sprint(i%800)))
				if refusal != nil {
					b.Fatal(refusal)
				}
				p.Done(start, c, place.Outcome{Latency: time.Millisecond})
			}
		})
	}
}
