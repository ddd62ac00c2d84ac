package pass

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/front"
)

const (
	// linesPerSecond bounds the lines on requests that failed, were refused, were repeated or came late.
	linesPerSecond = 40

	// sampleEvery is the number of other requests for each that gets a line.
	sampleEvery = 200

	// histogramSize and histogramDecay set the sample behind the latency histograms, as recommended by their library.
	histogramSize  = 1028
	histogramDecay = 0.015
)

// book writes one line for each request that needs an explanation, and counts all.
type book struct {
	logger  log.Logger
	metrics metrics.Registry
	latency metrics.Histogram

	mu      sync.Mutex
	second  int64 // Unix time of the current second.
	lines   int   // Written in it.
	omitted int   // Lines left out since the last one.
	good    int   // Requests since the last sample.
}

func newBook(logger log.Logger, registry metrics.Registry) *book {
	return &book{
		logger:  log.With(logger, "part", "pass"),
		metrics: registry,
		latency: metrics.GetOrRegisterHistogram("pass-latency-us", registry,
			metrics.NewExpDecaySample(histogramSize, histogramDecay)),
	}
}

// enter counts a request and writes its line.
func (b *book) enter(ctx context.Context, now time.Time, j *job, answer front.Response, refusal *steer.Refusal) {
	took := now.Sub(j.request.Arrived)
	b.latency.Update(took.Microseconds())
	outcome := outcomeOf(ctx, answer, refusal)
	metrics.GetOrRegisterCounter("pass-"+outcome, b.metrics).Inc(1)
	for range max(len(j.tries)-1, 0) {
		metrics.GetOrRegisterCounter("pass-repeated", b.metrics).Inc(1)
	}
	late := j.route != nil && j.route.Objective > 0 && took > j.route.Objective
	plain := outcome == "answered" && len(j.tries) == 1 && !late && answer.Status < 500
	omitted, ok := b.allow(now, plain)
	if !ok {
		return
	}
	line := []any{"msg", "Request " + outcome + ".", "id", j.id, "status", answer.Status, "took", took.Round(time.Microsecond),
		"version", j.version, "late", late}
	if j.route != nil {
		line = append(line, "route", j.route.Name, "service", j.service, "priority", j.priority, "object", j.object)
	}
	if j.customer != nil {
		line = append(line, "customer", j.customer.Name)
	}
	if refusal != nil {
		line = append(line, "reason", refusal.Reason, "verdict", refusal.Verdict, "retry-after", refusal.RetryAfter)
	}
	if len(j.tries) > 0 {
		line = append(line, "tries", describe(j.tries))
	}
	if omitted > 0 {
		line = append(line, "lines-omitted", omitted)
	}
	_ = level.Info(b.logger).Log(line...)
}

func outcomeOf(ctx context.Context, answer front.Response, refusal *steer.Refusal) string {
	switch {
	case ctx.Err() != nil:
		return "abandoned"
	case refusal == nil && answer.Status < 500:
		return "answered"
	case refusal == nil:
		return "failed-by-target"
	case refusal.Verdict == steer.NotRun:
		return "refused"
	default:
		return "failed"
	}
}

// allow reports whether a line may be written, and how many were left out before it.
func (b *book) allow(now time.Time, plain bool) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if plain {
		b.good++
		if b.good < sampleEvery {
			return 0, false
		}
		b.good = 0
	}
	if second := now.Unix(); second != b.second {
		b.second, b.lines = second, 0
	}
	if b.lines >= linesPerSecond {
		b.omitted++
		return 0, false
	}
	b.lines++
	omitted := b.omitted
	b.omitted = 0
	return omitted, true
}

// describe writes the attempts of a request: target, estimated load with the age of the report behind it, outcome.
func describe(tries []try) string {
	var b strings.Builder
	for i, t := range tries {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s load=%.1f load-age=%s home=%t reused=%t status=%d verdict=%s took=%s", t.target, t.estimate,
			t.age.Round(time.Millisecond), t.home, t.reused, t.status, t.verdict, t.took.Round(time.Microsecond))
		if t.err != nil {
			fmt.Fprintf(&b, " err=%q", t.err.Error())
		}
	}
	return b.String()
}
