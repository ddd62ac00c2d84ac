package kvmem

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

// MaxTerm is the longest lease that Grant accepts.
const MaxTerm = time.Hour

// Config configures a Store.
type Config struct {
	Seed    uint64           // Seeds the choice of lost answers.
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Store implements steer.Store in memory. The zero value is not usable; see New.
type Store struct {
	logger   log.Logger
	random   *rand.Rand // Guarded by mu.
	reads    metrics.Counter
	writes   metrics.Counter
	watches  metrics.Counter
	mu       sync.Mutex
	data     data
	faults   Faults
	restored uint64        // Copies restored, so that lease ids of the lost past are not given out again.
	changed  chan struct{} // Closed and replaced after every change that a watch may wait for.
}

var _ steer.Store = (*Store)(nil)

// data is what a copy of the store holds.
type data struct {
	revision uint64
	granted  uint64
	entries  map[string]entry
	leases   map[steer.LeaseID]lease
}

type entry struct {
	value    []byte
	revision uint64
	lease    steer.LeaseID
}

type lease struct {
	term time.Duration
	ends time.Time
}

// New returns an empty store without faults.
func New(c Config) *Store {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Store{
		logger:  log.With(c.Logger, "part", "kvmem"),
		random:  rand.New(rand.NewPCG(c.Seed, 0)),
		reads:   metrics.GetOrRegisterCounter("store-reads", c.Metrics),
		writes:  metrics.GetOrRegisterCounter("store-writes", c.Metrics),
		watches: metrics.GetOrRegisterCounter("store-watches", c.Metrics),
		data:    newData(),
		changed: make(chan struct{}),
	}
}

func newData() data {
	return data{
		entries: map[string]entry{},
		leases:  map[steer.LeaseID]lease{},
	}
}

// Get implements steer.Store.
func (s *Store) Get(ctx context.Context, key string) (steer.Entry, error) {
	s.reads.Inc(1)
	if err := s.arrive(ctx); err != nil {
		return steer.Entry{}, err
	}
	s.mu.Lock()
	e, ok := s.data.at(time.Now()).entries[key]
	s.mu.Unlock()
	if err := s.answer(ctx, steer.ErrDown); err != nil {
		return steer.Entry{}, err
	}
	if !ok {
		return steer.Entry{}, steer.ErrNotFound
	}
	return e.public(key), nil
}

// Swap implements steer.Store.
func (s *Store) Swap(
	ctx context.Context, key string, revision uint64, value []byte, lease steer.LeaseID,
) (uint64, error) {
	var written uint64
	err := s.write(ctx, func(d *data) error {
		if len(value) > steer.MaxValueSize {
			return steer.ErrTooLarge
		}
		if _, ok := d.leases[lease]; lease != "" && !ok {
			return steer.ErrLeaseLost
		}
		if d.entries[key].revision != revision {
			return steer.ErrConflict
		}
		d.revision++
		written = d.revision
		d.entries[key] = entry{
			value:    slices.Clone(value),
			revision: written,
			lease:    lease,
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

// Remove implements steer.Store.
func (s *Store) Remove(ctx context.Context, key string, revision uint64) error {
	return s.write(ctx, func(d *data) error {
		e, ok := d.entries[key]
		if !ok {
			return steer.ErrNotFound
		}
		if e.revision != revision {
			return steer.ErrConflict
		}
		d.revision++
		delete(d.entries, key)
		return nil
	})
}

// Grant implements steer.Store. The term is positive and at most MaxTerm.
func (s *Store) Grant(ctx context.Context, term time.Duration) (steer.LeaseID, error) {
	if term <= 0 || term > MaxTerm {
		return "", eris.Errorf("lease term %v is not between 0 and %v", term, MaxTerm)
	}
	var id steer.LeaseID
	err := s.write(ctx, func(d *data) error {
		d.granted++
		id = steer.LeaseID(strconv.FormatUint(s.restored, 10) + "-" + strconv.FormatUint(d.granted, 10))
		d.leases[id] = lease{
			term: term,
			ends: time.Now().Add(term),
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// Renew implements steer.Store.
func (s *Store) Renew(ctx context.Context, id steer.LeaseID) error {
	return s.write(ctx, func(d *data) error {
		l, ok := d.leases[id]
		if !ok {
			return steer.ErrLeaseLost
		}
		l.ends = time.Now().Add(l.term)
		d.leases[id] = l
		return nil
	})
}

// Revoke implements steer.Store.
func (s *Store) Revoke(ctx context.Context, id steer.LeaseID) error {
	return s.write(ctx, func(d *data) error {
		if _, ok := d.leases[id]; !ok {
			return steer.ErrLeaseLost
		}
		d.end(id)
		return nil
	})
}

// Watch implements steer.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (steer.Entry, error) {
	s.watches.Inc(1)
	if err := s.arrive(ctx); err != nil {
		return steer.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		e := s.data.at(time.Now()).entries[key]
		faults, changed := s.faults, s.changed
		s.mu.Unlock()
		if faults.Down {
			return steer.Entry{}, steer.ErrDown
		}
		if e.revision > after && !faults.SilentWatches {
			return e.public(key), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.expire(ctx)
		case <-ctx.Done():
			return steer.Entry{}, eris.Wrap(steer.ErrDown, ctx.Err().Error())
		}
	}
}

// expire ends a watch whose wait is over. A silent watch never answers, not even that nothing changed.
func (s *Store) expire(ctx context.Context) (steer.Entry, error) {
	if !s.Faults().SilentWatches {
		return steer.Entry{}, steer.ErrUnchanged
	}
	<-ctx.Done()
	return steer.Entry{}, eris.Wrap(steer.ErrDown, ctx.Err().Error())
}

// write counts a write, applies it atomically and then answers, unless a fault stops either.
func (s *Store) write(ctx context.Context, apply func(*data) error) error {
	s.writes.Inc(1)
	if err := s.arrive(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	err := apply(s.data.at(time.Now()))
	if err == nil {
		s.notify()
	}
	s.mu.Unlock()
	if lost := s.answer(ctx, steer.ErrUnknown); lost != nil {
		level.Debug(s.logger).Log("msg", "Answer to a write lost.")
		return lost
	}
	return err
}

// notify wakes the waiting watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// at ends the leases that lapsed by now. It returns d for chaining.
func (d *data) at(now time.Time) *data {
	for id, l := range d.leases {
		if !now.Before(l.ends) {
			d.end(id)
		}
	}
	return d
}

func (d *data) end(id steer.LeaseID) {
	delete(d.leases, id)
	for k, e := range d.entries {
		if e.lease == id {
			d.revision++
			delete(d.entries, k)
		}
	}
}

func (e entry) public(key string) steer.Entry {
	return steer.Entry{
		Key:      key,
		Value:    slices.Clone(e.value),
		Revision: e.revision,
	}
}
