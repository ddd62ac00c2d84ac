package lookup_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// Guards against answers that name hosts out of quota, and against empty answers when all hosts are out of quota: open
// routes need no quota.
func TestHostsOutOfQuota(t *testing.T) {
	f := newFleet(2)
	f.change("golfo-1-b", func(m *steer.Member) { m.State.OutOfQuota = true })
	finder := f.finder()
	for range 50 {
		answer, err := find(finder, "10.0.0.1", false)
		assert.NilError(t, err)
		for _, h := range answer.Hosts {
			assert.Assert(t, h.ID != "golfo-1-b")
		}
	}
	f = newFleet(2)
	f.self.State.OutOfQuota = true
	for i := range f.members {
		f.members[i].State.OutOfQuota = true
	}
	answer, err := find(f.finder(), "10.0.0.1", false)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Hosts), 4)
}
