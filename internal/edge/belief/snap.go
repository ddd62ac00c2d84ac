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
	// snapshotFormat is the version of the snapshot format. A host that finds another version lists the platform instead.
	snapshotFormat = 1

	// snapshotAgeFraction is the fraction of the platform's history retention after which the snapshot is replaced. Changes
	// since the snapshot must still be there when a host starts from it, and the platform may drop them early.
	snapshotAgeFraction = 0.4

	// minSnapshotInterval is the minimum time between two snapshots. It takes effect when the plan changes.
	minSnapshotInterval = 1500 * time.Millisecond

	// maxSnapshotBytes bounds the size of a compressed snapshot, below what the platform holds in one entry. Hosts that find
	// no snapshot list the platform.
	maxSnapshotBytes = 700 << 10

	// maxDecompressedBytes bounds the size of a decompressed snapshot.
	maxDecompressedBytes = 32 << 20

	// catchUpWait is the maximum wait for changes since the snapshot. There is at least one, the write of the snapshot. The
	// first watch after a pause uses it too.
	catchUpWait = time.Millisecond
)

// snapshot holds the entries of the platform at one revision.
type snapshot struct {
	Format   int          `cbor:"format"`
	Fields   int          `cbor:"fields,omitempty"` // snapshotFields of the writer; 0 if the entries may lack fields.
	Era      uint64       `cbor:"era,omitempty"`
	Revision uint64       `cbor:"revision"`
	Facts    []steer.Fact `cbor:"facts"`
}

// snapshotFields is raised when entries get new fields. A host of an older build drops these from the snapshots that it writes, so such
// snapshots are not used: the fields would stay unknown until the entries are written again.
const snapshotFields = 1

func (s *snapshot) encode() ([]byte, error) {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if err := cbor.NewEncoder(compressor).Encode(s); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	return buffer.Bytes(), nil
}

func decodeSnapshot(data []byte) (*snapshot, error) {
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	var s snapshot
	if err := cbor.Unmarshal(decompressed, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Format != snapshotFormat || s.Revision == 0 {
		return nil, fmt.Errorf("snapshot has format %d and revision %d", s.Format, s.Revision)
	}
	return &s, nil
}

// snapshot returns the entries that hosts need from the platform. It returns nil while these are not certain: after an
// outage, the table keeps entries that may no longer exist.
func (t *table) snapshot(now time.Time, position steer.Position) *snapshot {
	if !t.listed || !t.reachable || len(t.lapseDeadlines) > 0 || len(t.held) > 0 || now.Sub(t.regainedAt) < reregisterGrace || t.index == nil {
		return nil
	}
	s := &snapshot{
		Format:   snapshotFormat,
		Era:      position.Era,
		Revision: position.Revision,
	}
	for key, fact := range t.facts {
		switch {
		case key == t.planKey:
			if fact.Problem != nil || fact.Revision != t.planRevision {
				return nil
			}
			fact.Plan = t.index.Plan
		case fact.Endpoint == nil && fact.Host == nil && fact.Emptied == "" && fact.Rejected == 0:
			continue
		}
		s.Facts = append(s.Facts, fact)
	}
	return s
}

// isSnapshotWriter reports whether a host writes snapshots, which the registered host with the lowest id does. Two hosts may
// do so for a moment, which does no harm, because each snapshot is correct for its revision.
func (t *table) isSnapshotWriter(host string) bool {
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

// writeSnapshot writes a snapshot to the platform if this host writes snapshots and one is due.
func (f *Follower) writeSnapshot(ctx context.Context) {
	s := f.dueSnapshot(time.Now())
	if s == nil {
		return
	}
	data, err := s.encode()
	if err == nil && len(data) > maxSnapshotBytes {
		err = errors.New("snapshot exceeds the size limit")
	}
	if err == nil {
		err = f.catalog.SaveSnapshot(ctx, data)
	}
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "Snapshot not written.", "revision", s.Revision, "bytes", len(data), "err", err)
		return
	}
	_ = level.Info(f.logger).Log("msg", "Snapshot written.", "era", s.Era, "revision", s.Revision, "version", f.lastSnapshot.planVersion,
		"entries", len(s.Facts), "bytes", len(data))
}

// lastSnapshot describes the last snapshot that this host tried to write; zero before the first. Used by the loop only.
type lastSnapshot struct {
	at          time.Time
	planVersion uint64 // Of its plan.
	era         uint64
}

// dueSnapshot returns the snapshot to write now, and nil if none is due.
func (f *Follower) dueSnapshot(now time.Time) *snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	planVersion := f.planVersion()
	age := now.Sub(f.lastSnapshot.at)
	outdated := planVersion != f.lastSnapshot.planVersion || f.position.Era != f.lastSnapshot.era
	if age < minSnapshotInterval || !outdated && age < f.snapshotInterval || !f.table.isSnapshotWriter(f.host) {
		return nil
	}
	s := f.table.snapshot(now, f.position)
	if s != nil && !f.partial {
		s.Fields = snapshotFields
	}
	if s != nil {
		f.lastSnapshot = lastSnapshot{
			at:          now,
			planVersion: planVersion,
			era:         f.position.Era,
		}
	}
	return s
}

// loadSnapshot returns the snapshot and the changes since. It fails if there is no usable snapshot.
func (f *Follower) loadSnapshot(ctx context.Context) (*snapshot, *steer.Changes, error) {
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
	if s.Fields < snapshotFields {
		return nil, nil, errPartial
	}
	facts, position, err := f.catalog.Changes(ctx, steer.Position{
		Era:      s.Era,
		Revision: s.Revision,
	}, catchUpWait)
	if err != nil {
		return nil, nil, fmt.Errorf("changes since revision %d: %w", s.Revision, err)
	}
	if position.Era != s.Era {
		return nil, nil, fmt.Errorf("snapshot of era %d: %w: era %d", s.Era, errRestored, position.Era)
	}
	if position.Revision <= s.Revision {
		return nil, nil, errNoChanges
	}
	return s, &steer.Changes{
		From:  s.Revision,
		To:    position,
		Facts: facts,
	}, nil
}

var (
	errNoSnapshot = errors.New("platform holds no snapshot")

	// errPartial means that a host of an older build wrote the snapshot.
	errPartial = errors.New("entries of the snapshot lack fields")

	// errNoChanges means that not even the write of the snapshot is among the changes, so others may be missing as well.
	errNoChanges = errors.New("no changes since the snapshot")
)

// loadInitial loads the entries of the platform for the first time: from the snapshot, which is one small entry for all
// hosts, or else from a listing. The entries of a snapshot take effect only together with the changes since.
func (f *Follower) loadInitial(ctx context.Context) error {
	s, changes, err := f.loadSnapshot(ctx)
	if err != nil {
		_ = level.Info(f.logger).Log("msg", "No usable snapshot, listing the entries.", "err", err)
		return f.list(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.noteReached(now)
	_, problems := f.table.list(now, s.Facts, s.Revision)
	f.logProblems(problems)
	f.position, f.firstEra = changes.To, changes.To.Era
	f.applyChanges(now, changes.Facts, changes.To)
	f.awaitRelay(now)
	_ = level.Info(f.logger).Log("msg", "Started from the snapshot.", "entries", len(s.Facts), "era", s.Era,
		"revision", s.Revision, "changes", len(changes.Facts), "now", changes.To.Revision, "version", f.planVersion())
	return nil
}
