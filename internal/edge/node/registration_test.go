package node_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// Guards against a host that renews its lease while the platform has no registration of it, or that of an earlier process.
func TestHostWritesItsRegistrationAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(platform *catalog, own steer.HostEntry)
	}{
		{name: "removed", spoil: func(platform *catalog, own steer.HostEntry) {
			platform.put(steer.Fact{
				Key:     "hosts/" + own.ID,
				Removed: true,
			})
		}},
		{name: "replaced by that of an earlier process", spoil: func(platform *catalog, own steer.HostEntry) {
			own.Incarnation--
			platform.put(steer.Fact{
				Key:  "hosts/" + own.ID,
				Host: &own,
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			platform := newCatalog(t, 0)
			host, functions, _ := newHost(t, "host-a", "golfo-a", "golfo", platform)
			defer func() { assert.NilError(t, host.Shutdown(context.Background())) }()
			registered := func() *steer.HostEntry { return platform.fact("hosts/host-a").Host }
			waitUntil(t, "the host is ready and registered", func() bool { return functions.ready() && registered() != nil })
			own := *registered()
			c.spoil(platform, own)
			waitUntil(t, "the platform has the registration again", func() bool {
				entry := registered()
				return entry != nil && entry.Incarnation == own.Incarnation
			})
		})
	}
}
