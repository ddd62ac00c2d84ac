package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/place"
)

// Guards against a region with most of the demand that keeps all of its requests while the targets of other regions are free, and
// against another division of requests where the feature is off.
func TestSharesUseTheMeanDemand(t *testing.T) {
	for _, c := range []struct {
		mode steer.Mode
		kept float64 // Fraction of golfo's requests that stay there.
	}{
		{mode: steer.ModeOff, kept: 1},
		{mode: steer.ModeAuto, kept: 1}, // The deployment does not call for it.
		{mode: steer.ModeOn, kept: 1.0 / 3 / 0.6},
	} {
		p := place.New(place.Config{
			DataCentre: "golfo-a",
			Region:     "golfo",
			Regions:    regions,
			Features: steer.Features{
				DemandShares: c.mode,
			},
		})
		view := newView(t, newTarget(1, "golfo-a"), newTarget(1, "pacifico-a"), newTarget(1, "altiplano-a"))
		p.Update(start, view, place.Fleet{Hosts: 1})
		p.SetDemand(map[string]float64{"golfo": 0.6, "pacifico": 0.2, "altiplano": 0.2})
		now := start
		stayed, all := 0, 0
		for i := range 4000 {
			now = now.Add(10 * time.Millisecond)
			choice, refusal := p.Pick(now, newRequest(fmt.Sprint(i)))
			assert.Assert(t, refusal == nil)
			p.Done(now, choice, place.Outcome{Latency: time.Millisecond})
			if i < 2000 { // Shares move by 2.5 % a second.
				continue
			}
			all++
			if choice.Target.HomeRegion == "golfo" {
				stayed++
			}
		}
		kept := float64(stayed) / float64(all)
		assert.Assert(t, kept > c.kept-0.05 && kept < c.kept+0.05, "%s: %.3f", c.mode, kept)
	}
}
