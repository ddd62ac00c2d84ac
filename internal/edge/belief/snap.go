package belief

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

const (
	// snapshotFormat is the version of the format. A host lists the platform if it finds another one.
	snapshotFormat = 1

	// historyPart is the part of the platform's history after which the snapshot is written anew: changes since the snapshot
	// must still be there when a host starts from it, and the platform may drop them early.
	historyPart = 0.4

	// snapshotSoonest is the least time between two snapshots, the second of which holds a new plan.
	snapshotSoonest = 1500 * time.Millisecond

	// maxSnapshot bounds a snapshot in bytes, below what the platform holds in one entry. Without a snapshot hosts list.
	maxSnapshot = 700 << 10

	// maxUnpacked bounds the bytes that a snapshot is unpacked to.
	maxUnpacked = 32 << 20

	// catchUpWait is the wait for changes since the snapshot. There is at least one, the snapshot itself.
	catchUpWait = time.Millisecond
)

// snapshot is what the platform held at one revision.
type snapshot struct {
	Format   int          `cbor:"format"`
	Revision uint64       `cbor:"revision"`
	Facts    []steer.Fact `cbor:"facts"`
}

func (s *snapshot) encode() ([]byte, error) {
	var buffer bytes.Buffer
	packer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	if err := cbor.NewEncoder(packer).Encode(s); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := packer.Close(); err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	return buffer.Bytes(), nil
}

func decodeSnapshot(data []byte) (*snapshot, error) {
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpacked))
	if err != nil {
		return nil, fmt.Errorf("unpack snapshot: %w", err)
	}
	var s snapshot
	if err := cbor.Unmarshal(unpacked, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Format != snapshotFormat || s.Revision == 0 {
		return nil, fmt.Errorf("snapshot has format %d and revision %d", s.Format, s.Revision)
	}
	return &s, nil
}

// snapshot returns what the platform holds, as far as hosts need it, nil while that is not certain: after an outage entries are
// kept that may be gone.
func (t *table) snapshot(now time.Time, revision uint64) *snapshot {
	if !t.listed || !t.reachable || len(t.lapsed) > 0 || now.Sub(t.regained) < returnTime || t.index == nil {
		return nil
	}
	s := &snapshot{
		Format:   snapshotFormat,
		Revision: revision,
	}
	for key, fact := range t.facts {
		switch {
		case key == t.planKey:
			if fact.Problem != nil || fact.Revision != t.planRevision {
				return nil
			}
			fact.Plan = t.index.Plan
		case fact.Endpoint == nil && fact.Host == nil && fact.Emptied == "":
			continue
		}
		s.Facts = append(s.Facts, fact)
	}
	return s
}

// keeper reports whether this host writes snapshots: the first one by id that is registered. Two hosts may think so for a
// moment, which does no harm: each snapshot is true for its revision.
func (t *table) keeper(host string) bool {
	registered := false
	for _, fact := range t.facts {
		if fact.Host == nil {
			continue
		}
		if fact.Host.ID < host {
			return false
		}
		registered = registered || fact.Host.ID == host
	}
	return registered
}

// keepSnapshot writes a snapshot if this host is the one that does and it is time for it.
func (f *Follower) keepSnapshot(ctx context.Context) {
	s := f.dueSnapshot(time.Now())
	if s == nil {
		return
	}
	data, err := s.encode()
	if err == nil && len(data) > maxSnapshot {
		err = errors.New("it is too large")
	}
	if err == nil {
		err = f.catalog.SaveSnapshot(ctx, data)
	}
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "Snapshot not written.", "revision", s.Revision, "bytes", len(data), "err", err)
		return
	}
	_ = level.Info(f.logger).Log("msg", "Snapshot written.", "revision", s.Revision, "version", f.kept.version, "entries", len(s.Facts),
		"bytes", len(data))
}

// kept is what is known of the last snapshot that this host wrote. Used by the loop only.
type kept struct {
	at      time.Time
	version uint64 // Of its plan.
}

func (f *Follower) dueSnapshot(now time.Time) *snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.version()
	age := now.Sub(f.kept.at)
	if age < snapshotSoonest || version == f.kept.version && age < f.refresh || !f.table.keeper(f.host) {
		return nil
	}
	s := f.table.snapshot(now, f.revision)
	if s != nil {
		f.kept = kept{
			at:      now,
			version: version,
		}
	}
	return s
}

// load returns the entries of the snapshot and what has changed since. It fails if there is no snapshot that can be used.
func (f *Follower) load(ctx context.Context) (*snapshot, *steer.Changes, error) {
	data, err := f.catalog.Snapshot(ctx)
	switch {
	case err != nil:
		return nil, nil, err
	case data == nil:
		return nil, nil, errNoSnapshot
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, nil, err
	}
	facts, revision, err := f.catalog.Changes(ctx, s.Revision, catchUpWait)
	if err != nil {
		return nil, nil, fmt.Errorf("changes since revision %d: %w", s.Revision, err)
	}
	if revision <= s.Revision {
		return nil, nil, errNoChanges
	}
	return s, &steer.Changes{
		From:  s.Revision,
		To:    revision,
		Facts: facts,
	}, nil
}

var (
	errNoSnapshot = errors.New("no snapshot is kept")

	// errNoChanges means that not even the write of the snapshot came, so others may be missing as well.
	errNoChanges = errors.New("no changes since the snapshot")
)

// begin takes the entries of the platform for the first time: from the snapshot, which is one small entry for all hosts, else
// from a listing. Nothing of a snapshot is in force before the changes since it are.
func (f *Follower) begin(ctx context.Context) error {
	s, changes, err := f.load(ctx)
	if err != nil {
		_ = level.Info(f.logger).Log("msg", "Start without a snapshot, listing.", "err", err)
		return f.list(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.reach(now)
	_, problems := f.table.list(now, s.Facts, s.Revision)
	f.report(problems)
	f.revision = max(f.revision, s.Revision)
	f.take(now, changes.Facts, changes.To)
	f.awaitCover(now)
	_ = level.Info(f.logger).Log("msg", "Started from the snapshot.", "entries", len(s.Facts), "revision", s.Revision, "changes",
		len(changes.Facts), "now", changes.To, "version", f.version())
	return nil
}
