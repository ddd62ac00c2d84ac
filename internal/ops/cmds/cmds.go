package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/ops/sigs"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// daemonAnnotation marks the commands that serve requests, whose signals the command itself takes over.
const daemonAnnotation = "daemon"

// usageError is an error in the command line, the settings file or the steering files. Run returns exitUsage for it.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func newUsageError(err error) error {
	return &usageError{
		cause: err,
	}
}

// Run executes the command line args, without the program name, and returns the exit code: 0 for success, 1 for a failure,
// 2 for bad usage or bad input. Cancelling the context stops the command.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "monsoonhub:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "monsoonhub",
		Short: "Global traffic steering",
		Long: "monsoonhub steers callers to healthy targets. Operators change its configuration by editing steering " +
			"files and publishing them; no other command changes anything.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          asUsageError(cobra.NoArgs),
		PersistentPreRun: func(c *cobra.Command, _ []string) {
			if _, daemon := c.Annotations[daemonAnnotation]; !daemon {
				c.SetContext(sigs.WithHangup(c.Context()))
			}
		},
		RunE: func(c *cobra.Command, _ []string) error {
			return c.Help()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return newUsageError(err) })
	root.AddCommand(newHostCommand(), newServeCommand(), newCheckCommand(), newPublishCommand(), newStatusCommand(),
		newExplainCommand(), newDemoCommand())
	return root
}

// asUsageError returns a check of the positional arguments whose errors are usage errors.
func asUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return newUsageError(err)
		}
		return nil
	}
}

// requireDirectory checks that there is exactly one positional argument, the directory of the steering files.
func requireDirectory(_ *cobra.Command, args []string) error {
	if len(args) == 1 {
		return nil
	}
	return newUsageError(fmt.Errorf("needs one argument, the directory of the steering files; got %d", len(args)))
}

// parseAddress parses value as an IP address and a port. Errors are usage errors and name the flag.
func parseAddress(flag, value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	if value == "" {
		return address, newUsageError(fmt.Errorf("%s: is required, as an IP address and a port", flag))
	}
	if err != nil {
		return address, newUsageError(fmt.Errorf("%s: %q must be an IP address and a port, such as 127.0.0.1:7000; "+
			"host names are not resolved", flag, value))
	}
	return address, nil
}

func problemSummary(n int) string {
	if n == 1 {
		return "1 problem in the steering files"
	}
	return fmt.Sprintf("%d problems in the steering files", n)
}
