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

// repairPause is the time before the store is read again after a repair that failed.
const repairPause = 500 * time.Millisecond

// repair writes the manifest in force back to a store that does not include it. If the store also holds publications that
// are not in force, both are merged into a new version. A late answer of the store that looks like an older copy does no
// harm, because the swap fails on its revision.
func (f *Follower) repair(ctx context.Context, mine, theirs *manif.Manifest, revision uint64) {
	f.count("store-repairs")
	level.Warn(f.logger).Log("msg", "The store holds an older version and is repaired.", "mine", mine, "theirs", theirs)
	next, bodies, err := f.repaired(ctx, mine, theirs)
	if err == nil {
		err = f.writeBack(ctx, next, bodies, revision)
	}
	if err != nil {
		level.Warn(f.logger).Log("msg", "The store was not repaired.", "err", err)
		f.mu.Lock()
		f.reading.next = time.Now().Add(repairPause/2 + f.drawJitter())
		f.mu.Unlock()
		return
	}
	level.Warn(f.logger).Log("msg", "The store was repaired.", "version", next.Version)
}

// repaired returns the manifest to write with the bodies of its parts.
func (f *Follower) repaired(ctx context.Context, mine, theirs *manif.Manifest) (*manif.Manifest, map[string][]byte, error) {
	if mine.Includes(theirs) {
		_, bodies, err := f.collect(ctx, mine)
		return mine, bodies, err
	}
	first, second := mine, theirs
	if theirs.MergesBefore(mine) {
		first, second = theirs, mine
	}
	next, lost := first.Merge(second)
	if len(lost) > 0 {
		level.Error(f.logger).Log("msg", "Parts changed on both copies keep one change.", "parts", len(lost), "first", lost[0])
	}
	parts, bodies, err := f.collect(ctx, next)
	if err != nil {
		return nil, nil, err
	}
	if _, err := files.Assemble(next.Version, parts); err == nil {
		return next, bodies, nil
	}
	level.Error(f.logger).Log("msg", "The merged copies are not valid; the changes of one are dropped.", "kept", first)
	next = first.Supersede(second)
	_, bodies, err = f.collect(ctx, next)
	return next, bodies, err
}

// collect returns the parts of a manifest, those that are not in force from the store.
func (f *Follower) collect(ctx context.Context, m *manif.Manifest) (files.Parts, map[string][]byte, error) {
	bodies := map[string][]byte{}
	var parts files.Parts
	for _, p := range m.LiveParts() {
		body, err := f.body(ctx, p, nil, nil)
		if err != nil {
			return nil, nil, err
		}
		bodies[p.Hash] = body
		parts = append(parts, files.Part{
			Name: p.Name,
			Body: body,
			Hash: p.Hash,
		})
	}
	return parts, bodies, nil
}

// writeBack writes parts and manifest.
func (f *Follower) writeBack(ctx context.Context, next *manif.Manifest, bodies map[string][]byte, revision uint64) error {
	for _, p := range next.LiveParts() {
		if _, err := f.swap(ctx, manif.PartKey(p.Hash), 0, bodies[p.Hash]); err != nil && !errors.Is(err, steer.ErrConflict) {
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
	f.take(ctx, next, revision, sent)
	return nil
}

func (f *Follower) swap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	return call(ctx, f, &f.storeCalls, longestCall, func(ctx context.Context) (uint64, error) {
		return f.Store.Swap(ctx, key, revision, value, "")
	})
}
