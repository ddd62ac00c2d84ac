package publ_test

import (
	"context"
	"sync"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/manif"
)

// store is a linearizable in-memory store with faults. The hooks run without the lock, so that they may call the store.
type store struct {
	mu       sync.Mutex
	entries  map[string]steer.Entry
	revision uint64
	history  []*manif.Manifest // Every manifest that was in force.

	before func(op, key string) error // If it returns an error, the call fails without effect.
	after  func(op, key string) error // If it returns an error, the call takes effect and then fails.
}

func newStore() *store {
	return &store{
		entries: map[string]steer.Entry{},
	}
}

func callHook(f func(op, key string) error, op, key string) error {
	if f == nil {
		return nil
	}
	return f(op, key)
}

func (s *store) Get(_ context.Context, key string) (steer.Entry, error) {
	if err := callHook(s.before, "get", key); err != nil {
		return steer.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, steer.ErrNotFound
	}
	return e, nil
}

func (s *store) Swap(_ context.Context, key string, revision uint64, value []byte, _ steer.LeaseID) (uint64, error) {
	if err := callHook(s.before, "swap", key); err != nil {
		return 0, err
	}
	newRevision, err := s.swap(key, revision, value)
	if err != nil {
		return 0, err
	}
	return newRevision, callHook(s.after, "swap", key)
}

func (s *store) swap(key string, revision uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return 0, steer.ErrConflict
	}
	if len(value) > steer.MaxValueSize {
		return 0, steer.ErrTooLarge
	}
	s.revision++
	s.entries[key] = steer.Entry{
		Key:      key,
		Value:    value,
		Revision: s.revision,
	}
	if key == manif.Key {
		m, err := manif.Decode(value)
		if err != nil {
			panic(err)
		}
		s.history = append(s.history, m)
	}
	return s.revision, nil
}

func (s *store) manifest() *manif.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history[len(s.history)-1]
}

func (*store) Remove(context.Context, string, uint64) error { return steer.ErrDown }

func (*store) Grant(context.Context, time.Duration) (steer.LeaseID, error) { return "", steer.ErrDown }

func (*store) Renew(context.Context, steer.LeaseID) error { return steer.ErrDown }

func (*store) Revoke(context.Context, steer.LeaseID) error { return steer.ErrDown }

func (*store) Watch(context.Context, string, uint64, time.Duration) (steer.Entry, error) {
	return steer.Entry{}, steer.ErrDown
}
