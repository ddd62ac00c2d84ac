package cmds

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/operator"
	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/publ"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/internal/plat/kvhttp"
)

// pollInterval is the time between two questions to a host while publish waits for the version.
const pollInterval = 100 * time.Millisecond

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR",
		Short:   "Check all steering files below a directory",
		Long:    "Reads all steering files below DIR and reports every error. It changes nothing.",
		Example: "  monsoonhub check examples/rompehielos",
		Args:    directory,
		RunE: func(c *cobra.Command, args []string) error {
			parts, problems := files.Check(args[0])
			for _, p := range problems {
				_, _ = fmt.Fprintln(c.OutOrStdout(), p)
			}
			if len(problems) > 0 {
				return badInput(errors.New(countProblems(len(problems))))
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "ok: %d parts\n", len(parts))
			return nil
		},
	}
}

// idPattern is the form of a publication id.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)

type publishFlags struct {
	store string
	admin string
	id    string
	wait  time.Duration
}

func newPublish() *cobra.Command {
	var flags publishFlags
	c := &cobra.Command{
		Use:   "publish DIR --store ADDRESS",
		Short: "Publish the steering files below a directory",
		Long: "Checks the steering files below DIR and publishes them by compare-and-swap. It prints accepted with the " +
			"version, refused with the reason, unchanged when DIR holds no change, or unknown when the answer of the store " +
			"was lost, and what running it again will do. It writes the base record " + publ.BaseFile + " into DIR; keep it " +
			"with the files, since it shows a later run what other operators have changed. It gives up after 30 s without " +
			"the store.",
		Example: "  monsoonhub publish examples/rompehielos --store 127.0.0.1:7000\n" +
			"  monsoonhub publish DIR --store 127.0.0.1:7000 --wait 10s --admin 127.0.0.1:8082",
		Args: directory,
		RunE: func(c *cobra.Command, args []string) error {
			return runPublish(c, args[0], flags)
		},
	}
	c.Flags().StringVar(&flags.store, "store", "", "address of the store, IP:port (required)")
	c.Flags().StringVar(&flags.admin, "admin", "", "admin address of a host, used by --wait")
	c.Flags().StringVar(&flags.id, "id", "", "publication id, never used before: 1 to 64 letters, digits and hyphens; a new one by default")
	c.Flags().DurationVar(&flags.wait, "wait", 0, "longest time to wait until the version is in force everywhere")
	return c
}

// check refuses flags that could only fail after the publication.
func (f publishFlags) check() error {
	if f.id != "" && !idPattern.MatchString(f.id) {
		return badInput(fmt.Errorf("--id: %q must be 1 to 64 letters, digits and hyphens", f.id))
	}
	if f.wait <= 0 {
		return nil
	}
	if f.admin == "" {
		return badInput(errors.New("--wait needs --admin, the admin-listen address of a running host"))
	}
	_, err := parseAddress("--admin", f.admin)
	return err
}

func runPublish(c *cobra.Command, dir string, flags publishFlags) error {
	address, err := parseAddress("--store", flags.store)
	if err != nil {
		return err
	}
	if err := flags.check(); err != nil {
		return err
	}
	store := kvhttp.New(kvhttp.Config{
		Address: address,
	})
	defer store.Stop()
	result, err := publ.Publish(c.Context(), publ.Config{
		Store:  store,
		Dir:    dir,
		ID:     flags.id,
		Logger: telem.NewLogger(c.ErrOrStderr(), "warn"),
	})
	printResult(c, result)
	if err != nil {
		return err
	}
	switch result.Outcome {
	case publ.Accepted, publ.Unchanged:
		return waitInForce(c, flags, result.Version)
	case publ.Refused:
		if len(result.Problems) > 0 {
			return badInput(errors.New("refused"))
		}
	}
	return errors.New(string(result.Outcome))
}

func printResult(c *cobra.Command, r publ.Result) {
	out := c.OutOrStdout()
	for _, p := range r.Problems {
		_, _ = fmt.Fprintln(out, p)
	}
	for _, x := range r.Conflicts {
		_, _ = fmt.Fprintln(out, conflictLine(x))
	}
	switch r.Outcome {
	case publ.Accepted:
		_, _ = fmt.Fprintf(out, "accepted: version %d, publication %s\nchanged: %s\n", r.Version, r.PublicationID,
			strings.Join(r.ChangedParts, ", "))
	case publ.Unchanged:
		_, _ = fmt.Fprintf(out, "unchanged: version %d\n", r.Version)
	default:
		_, _ = fmt.Fprintf(out, "%s: publication %s\n", r.Outcome, r.PublicationID)
	}
	reason := r.Reason
	if r.Outcome == publ.Accepted {
		reason = "" // The first line says it.
	}
	for _, line := range []string{reason, r.RerunHint} {
		if line != "" {
			_, _ = fmt.Fprintln(out, line)
		}
	}
	if errors.Is(r.Cause, steer.ErrDown) {
		_, _ = fmt.Fprintln(out, "Check that --store is the address of the store and that it can be reached from here.")
	}
}

// conflictLine has the hash that the base record needs when the other change is taken over by hand.
func conflictLine(x publ.Conflict) string {
	line := "conflict: " + x.Part + " was changed by another publication"
	if x.Version > 0 {
		line = fmt.Sprintf("conflict: %s was changed in version %d", x.Part, x.Version)
	}
	if x.PublicationID != "" {
		line += " by publication " + x.PublicationID
	}
	if x.Removed {
		return line + "; it is removed now"
	}
	return line + "; its hash is " + x.Hash
}

func waitInForce(c *cobra.Command, flags publishFlags, version uint64) error {
	if flags.wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Context(), flags.wait)
	defer cancel()
	start := time.Now()
	behind := []string{"all (no answer from the host at " + flags.admin + ")"}
	for {
		status, err := fetchStatus(ctx, flags.admin)
		if err == nil {
			behind = dataCentresBehind(status, version)
		}
		if err == nil && len(behind) == 0 {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "in force everywhere after %v\n", time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is accepted, and not seen in force within %v in: %s; hosts there take it over as "+
				"soon as they can, and status --admin %s shows the progress", version, flags.wait, strings.Join(behind, ", "),
				flags.admin)
		case <-time.After(pollInterval):
		}
	}
}

func dataCentresBehind(s *operator.HostStatus, version uint64) []string {
	var behind []string
	for _, d := range s.DataCentres {
		switch {
		case d.Down:
			// The operator states that nothing runs there, so no host will ever report the version.
		case d.Hosts == 0:
			behind = append(behind, d.Name+" (no host heard)")
		case d.LowestVersion < version:
			behind = append(behind, fmt.Sprintf("%s (version %d)", d.Name, d.LowestVersion))
		}
	}
	if len(s.DataCentres) == 0 {
		behind = append(behind, "all (no configuration in force)")
	}
	return behind
}
