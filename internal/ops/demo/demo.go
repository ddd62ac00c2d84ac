package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
)

// Defaults of a run.
const (
	DefaultDuration     = 12 * time.Second
	DefaultLoadFraction = 0.2
)

// Config selects what the demo does.
type Config struct {
	Directory    string        // Steering files.
	Duration     time.Duration // Time for which load is sent.
	LoadFraction float64       // Fraction of each customer's rate that it sends, above 0 and at most 1.
	Seed         uint64
	KeepServing  bool // Go on serving after the run until the context ends.
	Output       io.Writer
	Logger       log.Logger // Nil means no logging.
}

// errViolated is the result of a run that broke a promise.
var errViolated = errors.New("a promise was violated")

// Run starts the fleet, sends load, stops one host and drains one target on the way, and prints a report. It fails
// when a part did not start or a promise was violated.
func Run(ctx context.Context, c Config) error {
	if c.LoadFraction <= 0 || c.LoadFraction > 1 {
		return fmt.Errorf("load %v is not between 0 and 1", c.LoadFraction)
	}
	parts, problems := files.Check(c.Directory)
	if len(problems) > 0 {
		return fmt.Errorf("steering files: %v", problems[0])
	}
	config, err := files.Assemble(1, parts)
	if err != nil {
		return fmt.Errorf("steering files: %w", err)
	}
	f := &fleet{
		config:   c,
		steering: config,
	}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return err
	}
	report, err := f.exercise(ctx)
	if err != nil {
		return err
	}
	violations := report.print(c.Output)
	if c.KeepServing {
		f.describe(c.Output)
		<-ctx.Done()
	}
	if violations > 0 {
		return errViolated
	}
	return nil
}

// exercise sends load. After a quarter of the time one host is stopped, after the half one target is drained by a
// change of the steering files.
func (f *fleet) exercise(ctx context.Context) (*report, error) {
	report := newReport()
	loadContext, stop := context.WithTimeout(ctx, f.config.Duration)
	defer stop()
	load := startLoad(loadContext, f, report)
	quarter := f.config.Duration / 4
	stopped := make(chan error, 1)
	if err := pause(ctx, quarter); err != nil {
		return nil, err
	}
	go func() { stopped <- f.stopHost(ctx, report) }()
	if err := pause(ctx, quarter); err != nil {
		return nil, err
	}
	if err := f.drainTarget(ctx, report); err != nil {
		return nil, err
	}
	load.Wait()
	if err := <-stopped; err != nil {
		report.violate("graceful-stop", "shutdown of "+f.hosts[0].name+": "+err.Error())
	}
	report.check(f)
	return report, nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (f *fleet) stopHost(ctx context.Context, r *report) error {
	start := time.Now()
	err := f.hosts[0].Shutdown(ctx)
	r.note("host %s was shut down in %v", f.hosts[0].name, time.Since(start).Round(time.Millisecond))
	return err
}

func (f *fleet) drainTarget(ctx context.Context, r *report) error {
	name := serviceNames(f.steering)[0]
	drained := f.steering.Services[name].Targets[0]
	accepted, err := f.publishLeaving(ctx, drained)
	if err != nil {
		return err
	}
	r.drained = drained.ID
	r.drainedAt = accepted
	r.note("target %s was drained by a publication", drained.ID)
	return nil
}

func serviceNames(c *steer.Config) []string {
	return sortedKeys(c.Services)
}
