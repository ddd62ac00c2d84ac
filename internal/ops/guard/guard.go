// Package guard recovers from panics, so that an unexpected value ends one request or one step of a loop and not the process.
// Every goroutine that handles input from outside runs its steps through Guard.Do. A Guard logs and counts panics and keeps no
// other state.
package guard

import (
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
)

// Config configures a Guard.
type Config struct {
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Guard runs functions and recovers from their panics.
type Guard struct {
	logger log.Logger
	panics metrics.Counter
}

// New returns a guard that logs and counts panics as configured.
func New(c Config) *Guard {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Guard{
		logger: log.With(c.Logger, "part", "guard"),
		panics: metrics.GetOrRegisterCounter("guard-panics", c.Metrics),
	}
}

// Do runs work and reports whether it returned without a panic. A panic is counted, and logged with the name, the stack and
// the additional keys and values.
func (g *Guard) Do(name string, work func(), keyvals ...any) (ok bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		ok = false
		g.panics.Inc(1)
		entry := append([]any{"msg", "Panic contained.", "work", name, "panic", value}, keyvals...)
		_ = level.Error(g.logger).Log(append(entry, "stack", string(debug.Stack()))...)
	}()
	work()
	return true
}
