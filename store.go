package steer

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. After ErrUnknown a write may or may not have taken effect.
var (
	ErrNotFound  = errors.New("store key not found")
	ErrConflict  = errors.New("store revision conflict")
	ErrLeaseLost = errors.New("store lease lost")
	ErrUnchanged = errors.New("store key unchanged")
	ErrUnknown   = errors.New("store write outcome unknown")
	ErrDown      = errors.New("store not reachable")
	ErrTooLarge  = errors.New("store value too large")
)

// MaxValueSize is the maximum size, in bytes, of a value in the platform's key-value service.
const MaxValueSize = 1 << 20

// Entry is a key of the store with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // Revision of the last write. Revisions increase across all keys of the store.
}

// LeaseID identifies a lease granted by the store.
type LeaseID string

// Store is the platform's key-value service. Every call counts towards its rate limits; a watch counts as one call, however
// long it waits. Reads fail with ErrDown if the store is not reachable. Writes fail with ErrUnknown if the answer was lost.
type Store interface {
	// Get returns the entry of a key. It fails with ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes a key if its revision matches, and returns the new revision. Revision 0 creates the key.
	// The entry is removed when the lease ends; without a lease it stays. It fails with ErrConflict or ErrLeaseLost.
	Swap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (uint64, error)
	// Remove deletes a key if its revision matches. It fails with ErrConflict or ErrNotFound.
	Remove(ctx context.Context, key string, revision uint64) error
	// Grant creates a lease with the given term.
	Grant(ctx context.Context, term time.Duration) (LeaseID, error)
	// Renew restarts the term of a lease. It fails with ErrLeaseLost.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its entries. It fails with ErrLeaseLost.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until the revision of the entry is greater than after, and returns the entry. It fails with ErrUnchanged
	// when wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
}
