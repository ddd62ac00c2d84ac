package join_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

const (
	hostPrefix = "hosts/"

	// storeTick is the precision with which leases end.
	storeTick = 5 * time.Millisecond
)

// outage is a way in which a leaseStore is down.
type outage struct {
	refuses bool // Calls fail at once. Otherwise they get no answer.
	lapse   bool // Leases run on. Otherwise they stand still.
}

// leaseStore is a platform in memory whose leases end while it runs and, depending on the outage, while it is down.
type leaseStore struct {
	mu      sync.Mutex
	history []steer.Fact
	entries map[string]steer.Fact
	leaseOf map[string]steer.LeaseID // By key.
	leases  map[steer.LeaseID]*lease
	granted int
	outage  *outage       // Nil while the store is up.
	changed chan struct{} // Closed at the next change.
}

type lease struct {
	term time.Duration
	left time.Duration
}

// newLeaseStore returns a store that runs until ctx ends.
func newLeaseStore(ctx context.Context) *leaseStore {
	s := &leaseStore{
		entries: map[string]steer.Fact{},
		leaseOf: map[string]steer.LeaseID{},
		leases:  map[steer.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
	go func() {
		ticker := time.NewTicker(storeTick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.runLeases()
			}
		}
	}()
	return s
}

func (s *leaseStore) runLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage != nil && !s.outage.lapse {
		return
	}
	for id, l := range s.leases {
		if l.left -= storeTick; l.left <= 0 {
			s.end(id)
		}
	}
}

// end ends a lease and removes its entries. The caller holds mu.
func (s *leaseStore) end(id steer.LeaseID) {
	delete(s.leases, id)
	for key, owner := range s.leaseOf {
		if owner == id {
			delete(s.leaseOf, key)
			s.write(steer.Fact{
				Key:     key,
				Removed: true,
			})
		}
	}
}

// write records a change. The caller holds mu.
func (s *leaseStore) write(fact steer.Fact) {
	fact.Revision = uint64(len(s.history) + 1)
	s.history = append(s.history, fact)
	if fact.Removed {
		delete(s.entries, fact.Key)
	} else {
		s.entries[fact.Key] = fact
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *leaseStore) setOutage(o *outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *leaseStore) grants() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// registered reports whether a host has a registration.
func (s *leaseStore) registered(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.entries[hostPrefix+id]
	return ok
}

// storeClient is the store as one host reaches it.
type storeClient struct {
	steer.Catalog
	store *leaseStore

	mu     sync.Mutex
	silent bool // Calls get no answer: the process is paused, cut off or gone.
}

func (c *storeClient) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

func (c *storeClient) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// callTimeout bounds the calls of a storeClient, as it does those of the client of the platform.
const callTimeout = 1500 * time.Millisecond

var errNoAnswer = errors.New("no answer")

// call locks the store. A call that gets no answer fails after the timeout or with ctx, and has no effect.
func (c *storeClient) call(ctx context.Context, timeout time.Duration) error {
	c.store.mu.Lock()
	if o := c.store.outage; o != nil && o.refuses {
		c.store.mu.Unlock()
		return errors.Join(steer.ErrUnknown, errNoAnswer)
	}
	if c.store.outage == nil && !c.isSilent() {
		return nil
	}
	c.store.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return errors.Join(steer.ErrUnknown, errNoAnswer)
}

func (c *storeClient) Grant(ctx context.Context, term time.Duration) (steer.Lease, error) {
	if err := c.call(ctx, callTimeout); err != nil {
		return steer.Lease{}, err
	}
	defer c.store.mu.Unlock()
	c.store.granted++
	id := steer.LeaseID(fmt.Sprint(c.store.granted))
	c.store.leases[id] = &lease{
		term: term,
		left: term,
	}
	return steer.Lease{
		ID: id,
	}, nil
}

func (c *storeClient) Renew(ctx context.Context, l steer.Lease) error {
	if err := c.call(ctx, callTimeout); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	known := c.store.leases[l.ID]
	if known == nil {
		return steer.ErrLeaseLost
	}
	known.left = known.term
	return nil
}

func (c *storeClient) Revoke(ctx context.Context, l steer.Lease) error {
	if err := c.call(ctx, callTimeout); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	c.store.end(l.ID)
	return nil
}

func (c *storeClient) Announce(ctx context.Context, host steer.HostEntry, l steer.Lease) error {
	if err := c.call(ctx, callTimeout); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	if c.store.leases[l.ID] == nil {
		return steer.ErrLeaseLost
	}
	c.store.leaseOf[hostPrefix+host.ID] = l.ID
	c.store.write(steer.Fact{
		Key:  hostPrefix + host.ID,
		Host: &host,
	})
	return nil
}

func (c *storeClient) List(ctx context.Context) ([]steer.Fact, steer.Position, error) {
	if err := c.call(ctx, callTimeout); err != nil {
		return nil, steer.Position{}, err
	}
	defer c.store.mu.Unlock()
	var facts []steer.Fact
	for _, fact := range c.store.entries {
		facts = append(facts, fact)
	}
	return facts, steer.Position{
		Revision: uint64(len(c.store.history)),
	}, nil
}

func (c *storeClient) Snapshot(context.Context) ([]byte, error) { return nil, nil }

func (c *storeClient) Changes(ctx context.Context, after steer.Position, wait time.Duration) ([]steer.Fact, steer.Position, error) {
	const margin = 600 * time.Millisecond // As that of the client of the platform.
	end := time.Now().Add(wait)
	for {
		if err := c.call(ctx, time.Until(end)+margin); err != nil {
			return nil, steer.Position{}, err
		}
		facts := slices.Clone(c.store.history[after.Revision:])
		changed := c.store.changed
		c.store.mu.Unlock()
		if len(facts) > 0 || !time.Now().Before(end) {
			return facts, steer.Position{
				Revision: after.Revision + uint64(len(facts)),
			}, nil
		}
		timer := time.NewTimer(time.Until(end))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, steer.Position{}, errors.Join(steer.ErrDown, ctx.Err())
		}
	}
}
