package steer_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// An error without a verdict must not be reported as "not run".
func TestVerdictOfErrorWithoutVerdictIsMayHaveRun(t *testing.T) {
	assert.Equal(t, steer.VerdictOf(errors.New("reset")), steer.MayHaveRun)
	refusal := &steer.Refusal{
		Verdict: steer.NotRun,
		Reason:  steer.ReasonRate,
	}
	assert.Equal(t, steer.VerdictOf(fmt.Errorf("admit: %w", refusal)), steer.NotRun)
}

// A verdict must stay the same when a header carries it between hosts.
func TestParseVerdictIsInverseOfString(t *testing.T) {
	for _, v := range []steer.Verdict{steer.MayHaveRun, steer.NotRun, steer.Ran} {
		assert.Equal(t, steer.ParseVerdict(v.String()), v)
	}
}
