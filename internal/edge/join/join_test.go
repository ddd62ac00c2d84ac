package join_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/join"
)

// fakeCatalog is a platform held in memory that keeps leases and the hosts registered under them.
type fakeCatalog struct {
	steer.Catalog
	mu      sync.Mutex
	granted int
	ends    map[steer.Lease]time.Time
	term    time.Duration
	hosts   map[steer.Lease]string
	down    bool
}

func (l *fakeCatalog) isAlive(id steer.Lease) bool { return time.Now().Before(l.ends[id]) }

func (l *fakeCatalog) Grant(_ context.Context, term time.Duration) (steer.Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return steer.Lease{}, steer.ErrUnknown
	}
	l.granted++
	id := steer.Lease{
		ID: steer.LeaseID(rune('a' + l.granted)),
	}
	l.term = term
	l.ends[id] = time.Now().Add(term)
	return id, nil
}

func (l *fakeCatalog) Renew(_ context.Context, id steer.Lease) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return steer.ErrUnknown
	}
	if !l.isAlive(id) {
		return steer.ErrLeaseLost
	}
	l.ends[id] = time.Now().Add(l.term)
	return nil
}

func (l *fakeCatalog) Revoke(_ context.Context, id steer.Lease) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ends, id)
	return nil
}

func (l *fakeCatalog) Announce(_ context.Context, host steer.HostEntry, id steer.Lease) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isAlive(id) {
		return steer.ErrLeaseLost
	}
	l.hosts[id] = host.ID
	return nil
}

func (l *fakeCatalog) grants() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

func (l *fakeCatalog) registered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.hosts {
		if l.isAlive(id) {
			return true
		}
	}
	return false
}

func (l *fakeCatalog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Guards against a host that stays unregistered after its lease expired during an outage, and against one that stays
// registered after it left.
func TestStaysRegisteredUntilLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &fakeCatalog{
			ends:  map[steer.Lease]time.Time{},
			hosts: map[steer.Lease]string{},
		}
		m := join.New(join.Config{
			Catalog: platform,
			Host: steer.HostEntry{
				ID: "host-1",
			},
		})
		time.Sleep(time.Minute)
		assert.Equal(t, platform.grants(), 1, "a renewed lease must not be replaced")
		platform.setDown(true)
		time.Sleep(30 * time.Second)
		assert.Assert(t, !platform.registered())
		platform.setDown(false)
		time.Sleep(time.Second)
		assert.Assert(t, platform.registered())
		m.Leave(context.Background())
		assert.Assert(t, !platform.registered())
	})
}
