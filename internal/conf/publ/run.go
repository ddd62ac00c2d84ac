package publ

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/manif"
)

// Backoff between calls to a store that is slow or down.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// repairLimit is the time for which a store that holds an older version than the base record is read again. Hosts
// repair such a store within seconds.
const repairLimit = 5 * time.Second

var (
	errOlder   = errors.New("the store holds an older version")
	errMissing = errors.New("the store lacks a part of the manifest")
	errTooFar  = errors.New("too many other publications since the lost answer")
)

// run is one publication under way.
type run struct {
	Config
	logger log.Logger
	parts  files.Parts
	known  *base // Base record, nil without one.

	base    PartHashes
	newest  uint64 // Highest version read from the store or the base record.
	bodies  map[string][]byte
	written map[string]bool // Hashes of the parts written.
	builder *files.Builder
	pending *pending
	settled *manif.Manifest // Manifest that holds the outcome.
	changed []string        // Names of the parts in the last attempt.
	waiting bool            // Whether the store did not answer a call, for one log line.
}

// pending is a swap whose answer was lost.
type pending struct {
	revision uint64 // Revision that the swap replaces.
	version  uint64 // Version that it makes.
	cause    error
}

func newRun(c Config, logger log.Logger, parts files.Parts, known *base) *run {
	r := &run{
		Config:  c,
		logger:  logger,
		parts:   parts,
		known:   known,
		bodies:  map[string][]byte{},
		written: map[string]bool{},
		builder: files.NewBuilder(),
	}
	if known != nil {
		r.base = known.Parts
		r.newest = known.Version
	}
	for _, p := range parts {
		r.bodies[p.Hash] = p.Body
	}
	return r
}

// retry repeats a call until it succeeds, fails for good or ctx is done. Each call is bounded by the call limit.
func retry[T any](ctx context.Context, r *run, call func(context.Context) (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	var last error
	value, err := backoff.Retry(ctx, func() (T, error) {
		one, cancel := context.WithTimeout(ctx, r.CallTimeout)
		defer cancel()
		value, err := call(one)
		last = err
		if err != nil && !r.waiting && errors.Is(err, steer.ErrDown) {
			r.waiting = true
			level.Warn(r.logger).Log("msg", "The store does not answer; trying again.", "limit", r.Timeout, "err", err)
		}
		return value, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(r.Timeout))
	if err != nil && last != nil && ctx.Err() != nil {
		// The error of the store says more than that of the context.
		return value, last
	}
	return value, err
}

// read returns the manifest and its revision; version 0 and revision 0 when the store has none.
func (r *run) read(ctx context.Context) (*manif.Manifest, uint64, error) {
	entry, err := retry(ctx, r, func(ctx context.Context) (steer.Entry, error) {
		entry, err := r.Store.Get(ctx, manif.Key)
		if errors.Is(err, steer.ErrNotFound) {
			return steer.Entry{}, nil
		}
		return entry, err
	})
	if err != nil {
		return nil, 0, err
	}
	if entry.Revision == 0 {
		return &manif.Manifest{}, 0, nil
	}
	m, err := manif.Decode(entry.Value)
	return m, entry.Revision, err
}

// publish repeats reading, merging and swapping until the outcome is settled.
func (r *run) publish(ctx context.Context) Result {
	rounds := metrics.GetOrRegisterCounter("publish-rounds", r.Metrics)
	for {
		rounds.Inc(1)
		m, revision, err := r.readNewest(ctx)
		if err != nil {
			return r.failed(err)
		}
		if p, ok := m.FindPublication(r.ID); ok {
			r.settled = m
			return r.accepted(p.Version)
		}
		if err := r.settle(m, revision); err != nil {
			return r.failed(err)
		}
		if r.base == nil {
			r.base = hashesOf(m)
		}
		changes, conflicts := Merge(r.base, m, r.parts)
		if len(conflicts) > 0 {
			return r.conflict(conflicts, changes)
		}
		if len(changes) == 0 {
			r.settled = m
			r.changed = nil
			return Result{
				Outcome:   Unchanged,
				Version:   m.Version,
				Reason:    "The directory holds no change.",
				RerunHint: rerunNothing,
			}
		}
		r.changed = slices.Sorted(maps.Keys(changes))
		result, done := r.attempt(ctx, m.Next(r.ID, changes), revision, changes)
		if done {
			return result
		}
	}
}

// readNewest reads again while the store holds an older version than one known to be accepted. Publishing on top of it
// would lose the later versions.
func (r *run) readNewest(ctx context.Context) (*manif.Manifest, uint64, error) {
	limit, cancel := context.WithTimeout(ctx, repairLimit)
	defer cancel()
	for first := true; ; first = false {
		m, revision, err := r.read(ctx)
		if err != nil {
			return nil, 0, err
		}
		if m.Version >= r.newest {
			r.newest = m.Version
			return m, revision, nil
		}
		if first {
			level.Warn(r.logger).Log("msg", "The store holds an older version; waiting for a repair.", "version", m.Version,
				"newest", r.newest, "limit", repairLimit)
		}
		select {
		case <-limit.Done():
			return nil, 0, eris.Wrapf(errOlder, "version %d in the store, version %d accepted before", m.Version, r.newest)
		case <-time.After(firstPause * 4):
		}
	}
}

// settle finds out from a manifest without this publication whether a swap with a lost answer can still take effect.
// It cannot once the revision that it replaces is gone.
func (r *run) settle(m *manif.Manifest, revision uint64) error {
	if r.pending == nil || revision == r.pending.revision {
		return nil
	}
	if len(m.Publications) == manif.MaxPublications && m.Publications[0].Version > r.pending.version {
		return eris.Wrapf(errTooFar, "version %d now, version %d then", m.Version, r.pending.version)
	}
	r.pending = nil
	return nil
}

// attempt validates the merged whole, writes the parts and swaps the manifest. It returns false when the manifest has to
// be read again.
func (r *run) attempt(ctx context.Context, next *manif.Manifest, revision uint64, changes PartHashes) (Result, bool) {
	problems, err := r.validate(ctx, next)
	if err != nil {
		return r.failed(err), true
	}
	if len(problems) > 0 {
		return r.invalid(problems), true
	}
	if err := r.writeParts(ctx, changes); err != nil {
		return r.failed(err), true
	}
	value, err := next.Encode()
	if err != nil {
		return r.failed(err), true
	}
	one, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	_, err = r.Store.Swap(one, manif.Key, revision, value, "")
	switch {
	case err == nil:
		r.settled = next
		return r.accepted(next.Version), true
	case errors.Is(err, steer.ErrConflict):
		return Result{}, false
	case isLost(err):
		level.Warn(r.logger).Log("msg", "The answer of the store was lost.", "version", next.Version, "err", err)
		r.pending = &pending{
			revision: revision,
			version:  next.Version,
			cause:    err,
		}
	case !errors.Is(err, steer.ErrDown):
		return r.failed(err), true
	}
	return r.pause(ctx, err)
}

// pause waits before the manifest is read again.
func (r *run) pause(ctx context.Context, cause error) (Result, bool) {
	select {
	case <-ctx.Done():
		return r.failed(cause), true
	case <-time.After(firstPause):
		return Result{}, false
	}
}

// validate checks the merged whole, with the parts of other directories from the store.
func (r *run) validate(ctx context.Context, next *manif.Manifest) ([]files.Problem, error) {
	own := map[string]files.Part{}
	for _, p := range r.parts {
		own[p.Hash] = p
	}
	var all files.Parts
	for _, p := range next.LiveParts() {
		if mine, ok := own[p.Hash]; ok && mine.Name == p.Name {
			all = append(all, mine)
			continue
		}
		body, err := r.body(ctx, p)
		if err != nil {
			return nil, err
		}
		all = append(all, files.Part{
			Name: p.Name,
			Body: body,
			Hash: p.Hash,
		})
	}
	_, err := r.builder.Assemble(next.Version, all)
	var invalid *files.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems, nil
	}
	return nil, err
}

func (r *run) body(ctx context.Context, p manif.Part) ([]byte, error) {
	if body, ok := r.bodies[p.Hash]; ok {
		return body, nil
	}
	entry, err := retry(ctx, r, func(ctx context.Context) (steer.Entry, error) {
		entry, err := r.Store.Get(ctx, manif.PartKey(p.Hash))
		if errors.Is(err, steer.ErrNotFound) {
			return entry, backoff.Permanent(eris.Wrap(errMissing, p.Name))
		}
		return entry, err
	})
	if err != nil {
		return nil, err
	}
	if manif.Hash(entry.Value) != p.Hash {
		return nil, eris.Wrapf(errMissing, "%s has another content", p.Name)
	}
	r.bodies[p.Hash] = entry.Value
	return entry.Value, nil
}

// writeParts writes the changed parts. Their keys are content hashes, so a part that exists already is the same.
func (r *run) writeParts(ctx context.Context, changes PartHashes) error {
	for _, hash := range changes {
		if hash == "" || r.written[hash] {
			continue
		}
		_, err := retry(ctx, r, func(ctx context.Context) (uint64, error) {
			revision, err := r.Store.Swap(ctx, manif.PartKey(hash), 0, r.bodies[hash], "")
			switch {
			case errors.Is(err, steer.ErrConflict):
				return 0, nil
			case errors.Is(err, steer.ErrTooLarge):
				return 0, backoff.Permanent(err)
			}
			return revision, err
		})
		if err != nil {
			return eris.Wrap(err, "write part")
		}
		r.written[hash] = true
	}
	return nil
}

func (r *run) accepted(version uint64) Result {
	return Result{
		Outcome:   Accepted,
		Version:   version,
		Reason:    fmt.Sprintf("Accepted as version %d.", version),
		RerunHint: rerunNothing,
	}
}

func (r *run) refused(reason, rerun string) Result {
	return Result{
		Outcome:   Refused,
		Reason:    reason,
		RerunHint: rerun,
	}
}

// invalid is the outcome when the merged whole has problems. A problem without a line is in a part that is not in the
// directory, and cannot be corrected there.
func (r *run) invalid(problems []files.Problem) Result {
	result := r.refused("The merged configuration is not valid.", rerunCorrect)
	result.Problems = problems
	if slices.ContainsFunc(problems, func(p files.Problem) bool { return p.Line == 0 }) {
		result.Reason = "The merged configuration is not valid: parts that are not in this directory do not fit the change."
		result.RerunHint = rerunElsewhere
	}
	return result
}

func (r *run) conflict(conflicts []Conflict, changes PartHashes) Result {
	var names []string
	for _, c := range conflicts {
		names = append(names, c.Part)
	}
	result := r.refused("Another publication has changed "+strings.Join(names, ", ")+".",
		fmt.Sprintf(rerunConflict, filepath.Join(r.Dir, BaseFile)))
	result.Conflicts = conflicts
	result.ChangedParts = slices.Sorted(slices.Values(append(names, slices.Collect(maps.Keys(changes))...)))
	return result
}

// failed is the outcome after an error of the store: unknown while a swap may still take effect.
func (r *run) failed(err error) Result {
	if r.pending != nil {
		return Result{
			Outcome:   Unknown,
			Reason:    "The answer of the store was lost, and reading back failed: " + err.Error() + ".",
			RerunHint: rerunSafe,
			Cause:     err,
		}
	}
	result := r.refused("Nothing was published: "+err.Error()+".", rerunTry)
	if errors.Is(err, errOlder) {
		result.RerunHint = "Hosts bring the later versions back when they reach the store; then run it again. " +
			"If this is another store, delete " + filepath.Join(r.Dir, BaseFile) + " and run it again."
	}
	result.Cause = err
	return result
}
