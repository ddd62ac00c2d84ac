package join_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/join"
)

// Guards against a host that stays unregistered after its lease expired during an outage, and against one that stays
// registered after it left.
func TestStaysRegisteredUntilLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLeaseStore(t.Context())
		m := join.New(join.Config{
			Catalog: &storeClient{
				store: store,
			},
			Host: steer.HostEntry{
				ID: "host-1",
			},
		})
		time.Sleep(time.Minute)
		assert.Equal(t, store.grants(), 1, "a renewed lease must not be replaced")
		store.setOutage(&outage{
			refuses: true,
			lapse:   true,
		})
		time.Sleep(30 * time.Second)
		assert.Assert(t, !store.registered("host-1"))
		store.setOutage(nil)
		time.Sleep(time.Second)
		assert.Assert(t, store.registered("host-1"))
		m.Leave(context.Background())
		assert.Assert(t, !store.registered("host-1"))
	})
}
