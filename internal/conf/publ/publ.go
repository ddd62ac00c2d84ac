package publ

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
)

// Defaults of Config.
const (
	defaultCallTimeout = 2 * time.Second
	defaultTimeout     = 30 * time.Second
)

// Config holds the settings of one publication.
type Config struct {
	Store       steer.Store      // Store to publish to.
	Dir         string           // Directory of the steering files and of the base record.
	ID          string           // Publication id never used before, 1 to 64 letters, digits and hyphens; empty means a new one.
	CallTimeout time.Duration    // Timeout of one store call; default 2 s.
	Timeout     time.Duration    // Timeout of the whole publication, retries included; default 30 s.
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
}

// Outcome is the outcome of a publication.
type Outcome string

// Outcomes of a publication.
const (
	Accepted  Outcome = "accepted"  // The store holds the change.
	Refused   Outcome = "refused"   // Nothing was changed.
	Unknown   Outcome = "unknown"   // The answer of the store was lost, and reading the manifest back failed.
	Unchanged Outcome = "unchanged" // The directory has no changes to publish.
)

// Conflict is a part that both the directory and another publication changed since the base.
type Conflict struct {
	Part          string // Name of the part.
	Version       uint64 // Version of the other change; 0 if the manifest no longer lists it.
	PublicationID string // Id of the other publication; empty if the manifest no longer lists it.
	Removed       bool   // Whether the other change removed the part.
	Hash          string // Content hash of the part in the manifest; empty if it was removed.
}

// Result describes the outcome of a publication.
type Result struct {
	Outcome       Outcome
	Version       uint64          // Accepted: the version of the change. Unchanged: the version in the store.
	PublicationID string          // Id of this publication.
	ChangedParts  []string        // Sorted names of the parts that the publication changes or tried to change.
	Conflicts     []Conflict      // Refused: the parts that another publication changed since the base.
	Problems      []files.Problem // Refused: errors in the steering files or in the merged configuration.
	Reason        string          // Reason of the outcome, one sentence for the operator.
	RerunHint     string          // What running the command again will do, and what to do before.
	Cause         error           // The error that decided the outcome, usually the last one of the store; nil otherwise.
}

// Hints for the operator about running the command again.
const (
	rerunNoChange = "Running it again changes nothing."
	rerunCorrect  = "Correct the files and run it again; until then it is refused again."
	rerunRetry    = "Running it again tries the same change."
	rerunSafe     = "Running it again is safe: it finds no change if this publication was accepted, and otherwise " +
		"publishes it, or refuses it if the parts have changed since."
	rerunConflict = "It is refused again until the other changes are settled. Take them over into the files together with " +
		"the base record of the other operator, or set these parts in %s to the hashes above; then run it again."
	rerunOtherDirectory = "It is refused again until the named parts fit. Publish the change of a part that is not in this " +
		"directory first, from the directory that holds it, or put its file into this directory."
	rerunBaseUnreadable = "Restore %s and run it again. Without it, the next run takes the parts in the store as the base and " +
		"overwrites what others have published of the parts in this directory."
)

// Publish checks the steering files of the directory, merges them into the manifest and publishes the result. It returns an
// error only if the base record could not be read or written; the Result is valid even then.
func Publish(ctx context.Context, c Config) (Result, error) {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	logger := log.With(c.Logger, "part", "publ")
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	result, err := publish(ctx, c, logger)
	result.PublicationID = c.ID
	metrics.GetOrRegisterCounter("publish-"+string(result.Outcome), c.Metrics).Inc(1)
	level.Info(logger).Log("msg", "Publication ended.", "outcome", result.Outcome, "version", result.Version,
		"publication", c.ID, "reason", result.Reason)
	return result, err
}

func publish(ctx context.Context, c Config, logger log.Logger) (Result, error) {
	parts, problems := files.Check(c.Dir)
	if len(problems) > 0 {
		return Result{
			Outcome:   Refused,
			Problems:  problems,
			Reason:    "The steering files are not valid.",
			RerunHint: rerunCorrect,
		}, nil
	}
	record, err := readBase(c.Dir)
	if err != nil {
		return Result{
			Outcome:   Refused,
			Reason:    "The base record cannot be read.",
			RerunHint: fmt.Sprintf(rerunBaseUnreadable, filepath.Join(c.Dir, BaseFile)),
		}, err
	}
	r := newRun(c, logger, parts, record)
	result := r.publish(ctx)
	if result.ChangedParts == nil {
		result.ChangedParts = r.changedParts
	}
	if result.Outcome != Accepted && result.Outcome != Unchanged {
		return result, nil
	}
	next := &base{
		Version: result.Version,
		Parts:   nextBase(r.settledManifest, parts),
	}
	if next.Version == 0 {
		return result, nil
	}
	return result, next.write(c.Dir)
}

// mayHaveApplied reports whether a write that returned err may have taken effect.
func mayHaveApplied(err error) bool {
	for _, notApplied := range []error{steer.ErrConflict, steer.ErrDown, steer.ErrTooLarge, steer.ErrNotFound} {
		if errors.Is(err, notApplied) {
			return false
		}
	}
	return err != nil
}
