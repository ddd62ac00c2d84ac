package follow

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/manif"
)

// repairRetryPause sets the pause before the store is read again after a failed repair: half of it plus the jitter.
const repairRetryPause = 500 * time.Millisecond

// repair writes the manifest in force back to a store that does not include it. If the store also holds publications that
// are not in force, it merges both into a new version. A late answer of the store can look like an older copy; it does no
// harm, because the revision in it is outdated and the swap fails.
func (f *Follower) repair(ctx context.Context, current, stored *manif.Manifest, revision uint64) {
	f.count("store-repairs")
	level.Warn(f.logger).Log("msg", "The store holds an older version; repairing it.", "mine", current, "theirs", stored)
	next, partBodies, err := f.repairedManifest(ctx, current, stored)
	if err == nil {
		err = f.writeBack(ctx, next, partBodies, revision)
	}
	if err != nil {
		level.Warn(f.logger).Log("msg", "Failed to repair the store.", "err", err)
		f.mu.Lock()
		f.reader.next = time.Now().Add(repairRetryPause/2 + f.randomJitter())
		f.mu.Unlock()
		return
	}
	level.Warn(f.logger).Log("msg", "The store was repaired.", "version", next.Version)
}

// repairedManifest returns the manifest to write and the bodies of its parts by hash. If the merged configuration is not
// valid, the changes of one of the two manifests are dropped.
func (f *Follower) repairedManifest(ctx context.Context, current, stored *manif.Manifest) (*manif.Manifest,
	map[string][]byte, error) {
	if current.Includes(stored) {
		_, partBodies, err := f.collectParts(ctx, current)
		return current, partBodies, err
	}
	first, second := current, stored
	if stored.MergesBefore(current) {
		first, second = stored, current
	}
	next, conflicting := first.Merge(second)
	if len(conflicting) > 0 {
		level.Error(f.logger).Log("msg", "Parts were changed in both copies; one change of each is lost.", "parts",
			len(conflicting), "first", conflicting[0])
	}
	parts, partBodies, err := f.collectParts(ctx, next)
	if err != nil {
		return nil, nil, err
	}
	if _, err := files.Assemble(next.Version, parts); err == nil {
		return next, partBodies, nil
	}
	level.Error(f.logger).Log("msg", "The merged configuration is not valid; the changes of one copy are dropped.", "kept",
		first)
	next = first.Supersede(second)
	_, partBodies, err = f.collectParts(ctx, next)
	return next, partBodies, err
}

// collectParts returns the parts of a manifest, and their bodies by hash. It reads the parts that are not in force from the
// store.
func (f *Follower) collectParts(ctx context.Context, m *manif.Manifest) (files.Parts, map[string][]byte, error) {
	partBodies := map[string][]byte{}
	var parts files.Parts
	for _, p := range m.LiveParts() {
		body, err := f.body(ctx, p, nil, nil)
		if err != nil {
			return nil, nil, err
		}
		partBodies[p.Hash] = body
		parts = append(parts, files.Part{
			Name: p.Name,
			Body: body,
			Hash: p.Hash,
		})
	}
	return parts, partBodies, nil
}

// writeBack writes the parts and then swaps the manifest if the store still has the given revision.
func (f *Follower) writeBack(ctx context.Context, next *manif.Manifest, partBodies map[string][]byte, revision uint64) error {
	for _, p := range next.LiveParts() {
		if _, err := f.swap(ctx, manif.PartKey(p.Hash), 0, partBodies[p.Hash]); err != nil && !errors.Is(err, steer.ErrConflict) {
			return eris.Wrap(err, "write part "+p.Name)
		}
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	sent := time.Now()
	revision, err = f.swap(ctx, manif.Key, revision, value)
	if err != nil {
		return eris.Wrap(err, "write manifest")
	}
	f.handleManifest(ctx, next, revision, sent)
	return nil
}

func (f *Follower) swap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	return call(ctx, f, &f.openStoreCalls, maxCallTimeout, func(ctx context.Context) (uint64, error) {
		return f.Store.Swap(ctx, key, revision, value, "")
	})
}
