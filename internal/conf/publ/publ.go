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

// Defaults of a Config.
const (
	defaultCallLimit = 2 * time.Second
	defaultTimeLimit = 30 * time.Second
)

// Config is one publication.
type Config struct {
	Store       steer.Store
	Dir         string           // Directory of the steering files and of the base record.
	ID          string           // Never used before; 1 to 64 letters, digits and hyphens; empty makes a new one.
	CallTimeout time.Duration    // Longest time for one store call; default 2 s.
	Timeout     time.Duration    // Longest time for the whole publication, retries included; default 30 s.
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
}

// Outcome is what became of a publication.
type Outcome string

// Outcomes.
const (
	Accepted  Outcome = "accepted"  // The change is in the store.
	Refused   Outcome = "refused"   // Nothing was changed.
	Unknown   Outcome = "unknown"   // The answer was lost and reading back failed.
	Unchanged Outcome = "unchanged" // The directory holds no change.
)

// Conflict is a part that another publication changed since the base.
type Conflict struct {
	Part          string
	Version       uint64 // Version of the other change; 0 when it is no longer listed.
	PublicationID string // Id of the other publication; empty when it is no longer listed.
	Removed       bool   // The other change removed the part.
	Hash          string // Content hash of the part now; empty when removed.
}

// Result says what became of a publication.
type Result struct {
	Outcome       Outcome
	Version       uint64          // Accepted: the version of the change. Unchanged: the version in the store.
	PublicationID string          // Id of this publication.
	ChangedParts  []string        // Names of the parts to change, sorted.
	Conflicts     []Conflict      // Refused: the parts that changed since the base.
	Problems      []files.Problem // Refused: errors in the steering files or in the merged configuration.
	Reason        string          // One sentence for the operator.
	RerunHint     string          // What running the command again will do.
	Cause         error           // Last error of the store when it decided the outcome; nil otherwise.
}

// Sentences for the operator about running the command again.
const (
	rerunNothing = "Running it again changes nothing."
	rerunCorrect = "Correct the files and run it again; until then it is refused again."
	rerunTry     = "Running it again tries the same change."
	rerunSafe    = "Running it again is safe: it finds no change if this publication was accepted, and otherwise " +
		"publishes it, or refuses it if the parts have changed since."
	rerunConflict = "It is refused again until the other changes are settled. Take them over into the files together with " +
		"the base record of the other operator, or set these parts in %s to the hashes above; then run it again."
	rerunElsewhere = "It is refused again until the named parts fit. Publish the change of a part that is not in this " +
		"directory first, from the directory that holds it, or put its file into this directory."
	rerunBase = "Restore %s and run it again. Without it, the next run takes the parts in the store as the base and " +
		"overwrites what others have published of the parts in this directory."
)

// Publish checks the steering files, merges them into the manifest and publishes the result. The error says that the
// base record could not be read or written; the outcome in the Result holds nevertheless.
func Publish(ctx context.Context, c Config) (Result, error) {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallLimit
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeLimit
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
	known, err := readBase(c.Dir)
	if err != nil {
		return Result{
			Outcome:   Refused,
			Reason:    "The base record cannot be read.",
			RerunHint: fmt.Sprintf(rerunBase, filepath.Join(c.Dir, BaseFile)),
		}, err
	}
	r := newRun(c, logger, parts, known)
	result := r.publish(ctx)
	if result.ChangedParts == nil {
		result.ChangedParts = r.changed
	}
	if result.Outcome != Accepted && result.Outcome != Unchanged {
		return result, nil
	}
	next := &base{
		Version: result.Version,
		Parts:   rebase(r.settled, parts),
	}
	if next.Version == 0 {
		return result, nil
	}
	return result, next.write(c.Dir)
}

// isLost reports whether a write that failed with err may have taken effect.
func isLost(err error) bool {
	for _, known := range []error{steer.ErrConflict, steer.ErrDown, steer.ErrTooLarge, steer.ErrNotFound} {
		if errors.Is(err, known) {
			return false
		}
	}
	return err != nil
}
