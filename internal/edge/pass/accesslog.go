package pass

import (
	"context"
	"fmt"
	"slices"
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
	// maxLinesPerSecond bounds the lines about requests that failed, were refused, were retried or missed their objective.
	maxLinesPerSecond = 40

	// sampleEvery is the sampling interval of all other requests: one in sampleEvery gets a line.
	sampleEvery = 200

	// histogramSize and histogramDecay configure the sample of the latency histogram, with the values that its library
	// recommends.
	histogramSize  = 1028
	histogramDecay = 0.015
)

// accessLog counts all requests, and logs those that need an explanation and a sample of the others.
type accessLog struct {
	logger  log.Logger
	metrics metrics.Registry
	latency metrics.Histogram

	mu          sync.Mutex
	second      int64 // Unix time of the current second.
	lines       int   // Lines written in that second.
	omitted     int   // Lines omitted since the last one written.
	sinceSample int   // Unremarkable requests since the last one logged.
}

func newAccessLog(logger log.Logger, registry metrics.Registry) *accessLog {
	return &accessLog{
		logger:  log.With(logger, "part", "pass"),
		metrics: registry,
		latency: metrics.GetOrRegisterHistogram("pass-latency-us", registry,
			metrics.NewExpDecaySample(histogramSize, histogramDecay)),
	}
}

// record counts a request and logs it if it needs an explanation or is sampled.
func (l *accessLog) record(ctx context.Context, now time.Time, j *job, response front.Response, refusal *steer.Refusal) {
	elapsed := now.Sub(j.request.Arrived)
	l.latency.Update(elapsed.Microseconds())
	outcome := classifyOutcome(ctx, response, refusal)
	metrics.GetOrRegisterCounter("pass-"+outcome, l.metrics).Inc(1)
	for range max(len(j.attempts)-1, 0) {
		metrics.GetOrRegisterCounter("pass-repeated", l.metrics).Inc(1)
	}
	for _, a := range j.attempts {
		if !a.firstChoice {
			metrics.GetOrRegisterCounter("pass-alternate", l.metrics).Inc(1)
		}
		if a.limit.Limited {
			metrics.GetOrRegisterCounter("pass-limited", l.metrics).Inc(1)
		}
	}
	if refusal != nil && refusal.Reason == steer.ReasonTargetMemory {
		metrics.GetOrRegisterCounter("pass-target-memory", l.metrics).Inc(1)
	}
	missedObjective := j.route != nil && j.route.Objective > 0 && elapsed > j.route.Objective
	sampled := outcome == "answered" && len(j.attempts) == 1 && !missedObjective && response.Status < 500
	omitted, ok := l.allow(now, sampled)
	if !ok {
		return
	}
	keyvals := []any{"msg", "Request " + outcome + ".", "id", j.id, "status", response.Status,
		"took", elapsed.Round(time.Microsecond), "version", j.version, "late", missedObjective}
	if j.route != nil {
		keyvals = append(keyvals, "route", j.route.Name, "service", j.service, "priority", j.priority, "object", j.affinityKey)
	}
	if j.customer != nil {
		keyvals = append(keyvals, "customer", j.customer.Name)
	}
	if refusal != nil {
		keyvals = append(keyvals, "reason", refusal.Reason, "verdict", refusal.Verdict, "retry-after", refusal.RetryAfter)
	}
	if j.admission.Refused {
		keyvals = append(keyvals, "level", fmt.Sprintf("%.3f", j.admission.Level), "share", fmt.Sprintf("%.3f", j.admission.Share))
	}
	rejected := refusal != nil && refusal.Reason == steer.ReasonDeadly
	if rejected || slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.broke }) {
		keyvals = append(keyvals, "request-key", j.key())
	}
	if len(j.attempts) > 0 {
		keyvals = append(keyvals, "tries", describeAttempts(j.attempts))
	}
	if omitted > 0 {
		keyvals = append(keyvals, "lines-omitted", omitted)
	}
	_ = level.Info(l.logger).Log(keyvals...)
}

func classifyOutcome(ctx context.Context, response front.Response, refusal *steer.Refusal) string {
	switch {
	case ctx.Err() != nil:
		return "abandoned"
	case refusal == nil && response.Status < 500:
		return "answered"
	case refusal == nil:
		return "failed-by-target"
	case refusal.Verdict == steer.NotRun:
		return "refused"
	default:
		return "failed"
	}
}

// allow reports whether a request may be logged, and how many lines were omitted before it. Of the requests with sampled set
// it allows one in sampleEvery.
func (l *accessLog) allow(now time.Time, sampled bool) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sampled {
		l.sinceSample++
		if l.sinceSample < sampleEvery {
			return 0, false
		}
		l.sinceSample = 0
	}
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= maxLinesPerSecond {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted := l.omitted
	l.omitted = 0
	return omitted, true
}

// describeAttempts formats the attempts of a request: the target, its estimated load with the age of the load report, and the
// outcome.
func describeAttempts(attempts []attempt) string {
	var b strings.Builder
	for i, t := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s load=%.1f load-age=%s home=%t reused=%t status=%d verdict=%s took=%s", t.target, t.estimatedLoad,
			t.loadAge.Round(time.Millisecond), t.firstChoice, t.reused, t.status, t.verdict, t.elapsed.Round(time.Microsecond))
		if t.broke {
			b.WriteString(" broke=true")
		}
		if t.limit.Limited {
			fmt.Fprintf(&b, " limit=%g", t.limit.PerSecond)
		}
		if t.err != nil {
			fmt.Fprintf(&b, " err=%q", t.err.Error())
		}
	}
	return b.String()
}
