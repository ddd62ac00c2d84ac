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

// Bounds of the backoff between calls to a store that is slow or down.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// maxRepairWait is how long a publication waits for the repair of a store that holds an older version than the base record.
// Hosts repair such a store within seconds.
const maxRepairWait = 5 * time.Second

var (
	errOlderStore          = errors.New("the store holds an older version")
	errMissingPart         = errors.New("the store lacks a part of the manifest")
	errTooManyPublications = errors.New("too many other publications since the lost answer")
)

// run is the state of one publication.
type run struct {
	Config
	logger log.Logger
	parts  files.Parts
	record *base // Base record of the directory; nil if there is none.

	base            PartHashes        // Parts that the directory is compared with; the store's own if there is no base record.
	newestVersion   uint64            // Highest version read from the store or the base record.
	bodies          map[string][]byte // Bodies of parts by content hash.
	written         map[string]bool   // Hashes of the parts that this run has written.
	builder         *files.Builder
	lostSwap        *lostSwap
	settledManifest *manif.Manifest // Manifest that shows the outcome; set for Accepted and Unchanged.
	changedParts    []string        // Names of the parts that the last attempt changes.
	warnedStoreDown bool            // Whether the warning about a store that is down was logged.
}

// lostSwap is a swap whose answer was lost, so that it may still take effect.
type lostSwap struct {
	revision uint64 // Revision of the manifest that the swap replaces.
	version  uint64 // Version of the manifest that the swap writes.
	cause    error
}

func newRun(c Config, logger log.Logger, parts files.Parts, record *base) *run {
	r := &run{
		Config:  c,
		logger:  logger,
		parts:   parts,
		record:  record,
		bodies:  map[string][]byte{},
		written: map[string]bool{},
		builder: files.NewBuilder(),
	}
	if record != nil {
		r.base = record.Parts
		r.newestVersion = record.Version
	}
	for _, p := range parts {
		r.bodies[p.Hash] = p.Body
	}
	return r
}

// retry repeats a call with backoff until it succeeds, fails permanently or the time is up. Each call is bounded by
// CallTimeout.
func retry[T any](ctx context.Context, r *run, call func(context.Context) (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	var lastErr error
	value, err := backoff.Retry(ctx, func() (T, error) {
		callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
		defer cancel()
		value, err := call(callCtx)
		lastErr = err
		if err != nil && !r.warnedStoreDown && errors.Is(err, steer.ErrDown) {
			r.warnedStoreDown = true
			level.Warn(r.logger).Log("msg", "The store does not answer; trying again.", "limit", r.Timeout, "err", err)
		}
		return value, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(r.Timeout))
	if err != nil && lastErr != nil && ctx.Err() != nil {
		// The error of the store tells more than that of the context.
		return value, lastErr
	}
	return value, err
}

// readManifest returns the manifest and its revision. If the store has none, it returns an empty manifest and revision 0.
func (r *run) readManifest(ctx context.Context) (*manif.Manifest, uint64, error) {
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

// publish repeats reading, merging and swapping until the outcome is known.
func (r *run) publish(ctx context.Context) Result {
	rounds := metrics.GetOrRegisterCounter("publish-rounds", r.Metrics)
	for {
		rounds.Inc(1)
		m, revision, err := r.readNewest(ctx)
		if err != nil {
			return r.failedResult(err)
		}
		if p, ok := m.FindPublication(r.ID); ok {
			r.settledManifest = m
			return r.acceptedResult(p.Version)
		}
		if err := r.checkLostSwap(m, revision); err != nil {
			return r.failedResult(err)
		}
		if r.base == nil {
			r.base = hashesOf(m)
		}
		changes, conflicts := Merge(r.base, m, r.parts)
		if len(conflicts) > 0 {
			return r.conflictResult(conflicts, changes)
		}
		if len(changes) == 0 {
			r.settledManifest = m
			r.changedParts = nil
			return Result{
				Outcome:   Unchanged,
				Version:   m.Version,
				Reason:    "The directory holds no change.",
				RerunHint: rerunNoChange,
			}
		}
		r.changedParts = slices.Sorted(maps.Keys(changes))
		result, done := r.attempt(ctx, m.Next(r.ID, changes), revision, changes)
		if done {
			return result
		}
	}
}

// readNewest returns the manifest and its revision. While the store holds an older version than one known to be accepted,
// it waits for a repair of the store, because a publication on top of the older version would lose the later ones.
func (r *run) readNewest(ctx context.Context) (*manif.Manifest, uint64, error) {
	repairCtx, cancel := context.WithTimeout(ctx, maxRepairWait)
	defer cancel()
	for first := true; ; first = false {
		m, revision, err := r.readManifest(ctx)
		if err != nil {
			return nil, 0, err
		}
		if m.Version >= r.newestVersion {
			r.newestVersion = m.Version
			return m, revision, nil
		}
		if first {
			level.Warn(r.logger).Log("msg", "The store holds an older version; waiting for a repair.", "version", m.Version,
				"newest", r.newestVersion, "limit", maxRepairWait)
		}
		select {
		case <-repairCtx.Done():
			return nil, 0, eris.Wrapf(errOlderStore, "version %d in the store, version %d accepted before", m.Version,
				r.newestVersion)
		case <-time.After(initialBackoff * 4):
		}
	}
}

// checkLostSwap decides whether a swap with a lost answer can still take effect, given a manifest that does not list this
// publication. It cannot once the store no longer has the revision that the swap replaces. If so many other publications
// followed that the list may have dropped this one, checkLostSwap returns errTooManyPublications.
func (r *run) checkLostSwap(m *manif.Manifest, revision uint64) error {
	if r.lostSwap == nil || revision == r.lostSwap.revision {
		return nil
	}
	if len(m.Publications) == manif.MaxPublications && m.Publications[0].Version > r.lostSwap.version {
		return eris.Wrapf(errTooManyPublications, "version %d now, version %d then", m.Version, r.lostSwap.version)
	}
	r.lostSwap = nil
	return nil
}

// attempt validates the merged configuration, writes the parts and swaps the manifest. It returns false if the manifest
// must be read again before the outcome is known.
func (r *run) attempt(ctx context.Context, next *manif.Manifest, revision uint64, changes PartHashes) (Result, bool) {
	problems, err := r.validate(ctx, next)
	if err != nil {
		return r.failedResult(err), true
	}
	if len(problems) > 0 {
		return r.invalidResult(problems), true
	}
	if err := r.writeParts(ctx, changes); err != nil {
		return r.failedResult(err), true
	}
	value, err := next.Encode()
	if err != nil {
		return r.failedResult(err), true
	}
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	_, err = r.Store.Swap(callCtx, manif.Key, revision, value, "")
	switch {
	case err == nil:
		r.settledManifest = next
		return r.acceptedResult(next.Version), true
	case errors.Is(err, steer.ErrConflict):
		return Result{}, false
	case mayHaveApplied(err):
		level.Warn(r.logger).Log("msg", "The answer of the store was lost.", "version", next.Version, "err", err)
		r.lostSwap = &lostSwap{
			revision: revision,
			version:  next.Version,
			cause:    err,
		}
	case !errors.Is(err, steer.ErrDown):
		return r.failedResult(err), true
	}
	return r.pauseBeforeRetry(ctx, err)
}

// pauseBeforeRetry waits before the manifest is read again. If ctx is done first, it returns the final result.
func (r *run) pauseBeforeRetry(ctx context.Context, cause error) (Result, bool) {
	select {
	case <-ctx.Done():
		return r.failedResult(cause), true
	case <-time.After(initialBackoff):
		return Result{}, false
	}
}

// validate checks the merged configuration. It reads the parts that are not in this directory from the store.
func (r *run) validate(ctx context.Context, next *manif.Manifest) ([]files.Problem, error) {
	own := map[string]files.Part{}
	for _, p := range r.parts {
		own[p.Hash] = p
	}
	var all files.Parts
	for _, p := range next.LiveParts() {
		if ownPart, ok := own[p.Hash]; ok && ownPart.Name == p.Name {
			all = append(all, ownPart)
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

// body returns the body of a part, from the store if it is not known yet. It returns errMissingPart if the store does not
// have it or has different content.
func (r *run) body(ctx context.Context, p manif.Part) ([]byte, error) {
	if body, ok := r.bodies[p.Hash]; ok {
		return body, nil
	}
	entry, err := retry(ctx, r, func(ctx context.Context) (steer.Entry, error) {
		entry, err := r.Store.Get(ctx, manif.PartKey(p.Hash))
		if errors.Is(err, steer.ErrNotFound) {
			return entry, backoff.Permanent(eris.Wrap(errMissingPart, p.Name))
		}
		return entry, err
	})
	if err != nil {
		return nil, err
	}
	if manif.Hash(entry.Value) != p.Hash {
		return nil, eris.Wrapf(errMissingPart, "%s has another content", p.Name)
	}
	r.bodies[p.Hash] = entry.Value
	return entry.Value, nil
}

// writeParts writes the changed parts. Their keys are content hashes, so a part that already exists has the same content.
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

func (r *run) acceptedResult(version uint64) Result {
	return Result{
		Outcome:   Accepted,
		Version:   version,
		Reason:    fmt.Sprintf("Accepted as version %d.", version),
		RerunHint: rerunNoChange,
	}
}

func (r *run) refusedResult(reason, rerun string) Result {
	return Result{
		Outcome:   Refused,
		Reason:    reason,
		RerunHint: rerun,
	}
}

// invalidResult returns the result if the merged configuration has problems. A problem without a line is in a part that is
// not in the directory, so the operator cannot correct it there.
func (r *run) invalidResult(problems []files.Problem) Result {
	result := r.refusedResult("The merged configuration is not valid.", rerunCorrect)
	result.Problems = problems
	if slices.ContainsFunc(problems, func(p files.Problem) bool { return p.Line == 0 }) {
		result.Reason = "The merged configuration is not valid: parts that are not in this directory do not fit the change."
		result.RerunHint = rerunOtherDirectory
	}
	return result
}

func (r *run) conflictResult(conflicts []Conflict, changes PartHashes) Result {
	var names []string
	for _, c := range conflicts {
		names = append(names, c.Part)
	}
	result := r.refusedResult("Another publication has changed "+strings.Join(names, ", ")+".",
		fmt.Sprintf(rerunConflict, filepath.Join(r.Dir, BaseFile)))
	result.Conflicts = conflicts
	result.ChangedParts = slices.Sorted(slices.Values(append(names, slices.Collect(maps.Keys(changes))...)))
	return result
}

// failedResult returns the result after an error. The outcome is Unknown while a lost swap may still take effect, and
// Refused otherwise.
func (r *run) failedResult(err error) Result {
	if r.lostSwap != nil {
		return Result{
			Outcome:   Unknown,
			Reason:    "The answer of the store was lost, and reading back failed: " + err.Error() + ".",
			RerunHint: rerunSafe,
			Cause:     err,
		}
	}
	result := r.refusedResult("Nothing was published: "+err.Error()+".", rerunRetry)
	if errors.Is(err, errOlderStore) {
		result.RerunHint = "Hosts bring the later versions back when they reach the store; then run it again. " +
			"If this is another store, delete " + filepath.Join(r.Dir, BaseFile) + " and run it again."
	}
	result.Cause = err
	return result
}
