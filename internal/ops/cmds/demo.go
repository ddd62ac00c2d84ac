package cmds

import (
	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/ops/demo"
	"monsoonhub.example/steer/internal/ops/telem"
)

func newDemoCommand() *cobra.Command {
	var c demo.Config
	var verbose bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet with stand-ins on loopback addresses",
		Long: "Starts a store stand-in, target stand-ins and entry hosts in one process, publishes example steering " +
			"files, sends look-ups and requests, stops one host and drains one target while they run, and prints where " +
			"requests were sent. It fails if a guarantee was violated.",
		Example: "  monsoonhub demo\n  monsoonhub demo --deployment examples/ente --duration 20s\n  monsoonhub demo --keep",
		Args:    asUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Output = cmd.OutOrStdout()
			minimum := "error"
			if verbose {
				minimum = "info"
			}
			c.Logger = telem.NewLogger(cmd.ErrOrStderr(), minimum)
			return demo.Run(cmd.Context(), c)
		},
	}
	command.Flags().StringVar(&c.Directory, "deployment", "examples/rompehielos", "directory of steering files")
	command.Flags().DurationVar(&c.Duration, "duration", demo.DefaultDuration, "time for which load is sent")
	command.Flags().Float64Var(&c.Load, "load", demo.DefaultLoad, "fraction of its rate that each customer sends, above 0 and at most 1")
	command.Flags().Uint64Var(&c.Seed, "seed", 1, "seed of all random choices")
	command.Flags().BoolVar(&c.Keep, "keep", false, "keep serving after the run until interrupted")
	command.Flags().BoolVar(&verbose, "verbose", false, "write the logs of all hosts to standard error")
	return command
}
