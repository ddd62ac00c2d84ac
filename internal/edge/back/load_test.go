package back_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// Guards against load reports that are lost whole because targets report more figures than this version knows: hosts then do not
// know what other hosts have sent to a target.
func TestLoadReports(t *testing.T) {
	report := func(workFactor float64) *steer.TargetLoad {
		return &steer.TargetLoad{
			Running:    3,
			Waiting:    1,
			Slots:      9,
			WorkFactor: workFactor,
		}
	}
	for _, c := range []struct {
		value string
		load  *steer.TargetLoad
	}{
		{value: "3,1,9", load: report(0)},
		{value: "3,1,9,100", load: report(1)},
		{value: "3, 1, 9, 250", load: report(2.5)},
		{value: "3,1,9,250,7,x", load: report(2.5)},
		{value: "3,1,9,", load: report(0)},
		{value: "3,1,9,fast", load: report(0)},
		{value: "3,1,9,-5", load: report(0)},
		{value: "3,1,9,NaN", load: report(0)},
		{value: "3,1,9,1", load: report(0.01)},
		{value: "3,1,9,1e9", load: report(1e7)},
		{value: "3,1,9,Inf", load: report(0)},
		{value: "3,1"},
		{value: "3,x,9,100"},
		{value: "3,-1,9"},
		{value: ""},
	} {
		s := newScriptedTarget(t, func(int, int) string { return strings.Replace(ok("abc"), "3,1,9", c.value, 1) })
		result := newPool(t).Do(context.Background(), newCall(s, "1"))
		assert.NilError(t, result.Err)
		result.Discard()
		assert.DeepEqual(t, result.Load, c.load)
	}
}
