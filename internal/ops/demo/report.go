package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/target"
)

const (
	// drainLimit is the time after the announcement in which a leaving target may still get new work
	// (docs/design.md, section 1).
	drainLimit = 2 * time.Second

	// startSlack is the longest time by which the start at a target may lag the admission at a host: the queue limit
	// of the examples and the forwarding.
	startSlack = 250 * time.Millisecond

	maxViolationsShown = 20
)

// report collects what happened.
type report struct {
	mu         sync.Mutex
	results    []result
	lookups    *hdrhistogram.Histogram // Microseconds.
	unsent     int
	notes      []string
	violations []string
	loud       string // Customer that sends more than its rate.
	drained    string // Target id.
	drainedAt  time.Time
	steered    map[string]int // Runs by service and data centre of the target.
}

func newReport() *report {
	return &report{
		lookups: newHistogram(),
		steered: map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func (r *report) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, x)
}

func (r *report) addLookup(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lookups.RecordValue(max(1, d.Microseconds()))
}

func (r *report) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *report) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

func (r *report) violate(promise, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, promise+": "+what)
}

// check compares the callers' results with the targets' records.
func (r *report) check(f *fleet) {
	runs := map[string][]target.Run{} // By request id.
	starts := map[string][]time.Time{}
	var lastAtDrained time.Time
	for _, name := range serviceNames(f.steering) {
		for _, t := range f.steering.Services[name].Targets {
			for _, run := range f.targets[t.ID].Record() {
				if len(runs[run.RequestID]) == 0 && run.Customer != "" {
					starts[run.Customer] = append(starts[run.Customer], run.Started)
				}
				runs[run.RequestID] = append(runs[run.RequestID], run)
				r.steered[name+" in "+t.DataCentre]++
				r.checkKey(t.ID, run)
				if t.ID == r.drained && run.Started.After(lastAtDrained) {
					lastAtDrained = run.Started
				}
			}
		}
	}
	if late := lastAtDrained.Sub(r.drainedAt); late > drainLimit {
		r.violate("leaving-target", fmt.Sprintf("%s got new work %v after the publication", r.drained, late))
	}
	for customer, times := range starts {
		r.checkRate(f.steering.Customers[customer], times)
	}
	for _, x := range r.results {
		r.checkResult(x, runs[x.id])
	}
}

func (r *report) checkKey(id string, run target.Run) {
	for name, values := range run.Header {
		if strings.EqualFold(name, "Steering-Key") || strings.Contains(strings.Join(values, " "), "demo-key-") {
			r.violate("key-hidden", id+" saw a key in header "+name)
		}
	}
}

// checkRate tests every window that starts and ends with a request.
func (r *report) checkRate(customer *steer.Customer, times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	// With x(i) = i - rate * t(i), the window from i to j has too many requests when x(j) - x(i) + 1 exceeds the
	// burst, so that one pass with the smallest x so far finds the worst window.
	low := 0.0
	for i, t := range times {
		x := float64(i) - customer.Rate*t.Sub(times[0]).Seconds()
		low = min(low, x)
		if x-low+1 > customer.Burst+customer.Rate*startSlack.Seconds() {
			r.violate("customer-rate", customer.Name+" got more than its rate and burst")
			return
		}
	}
}

func (r *report) checkResult(x result, runs []target.Run) {
	switch {
	case x.err != nil:
		r.violate("graceful-stop", fmt.Sprintf("%s %s at %s was cut: %v", x.request.method, x.request.service, x.host,
			x.err))
	case x.status < 400 && !x.whole:
		r.violate("whole-answer", "answer to "+x.id+" is not whole")
	case x.verdict == steer.NotRun && len(runs) > 0:
		r.violate("not-run-true", "request "+x.id+" ran")
	}
	if x.request.once && len(runs) > 1 {
		r.violate("at-most-once", "request "+x.id+" ran more than once")
	}
	for _, run := range runs {
		if x.request.keyed && run.Customer != x.customer {
			r.violate("key-customer", fmt.Sprintf("request %s of %s ran for %q", x.id, x.customer, run.Customer))
		}
	}
}

// print writes the report and returns the number of violations.
func (r *report) print(w io.Writer) int {
	for _, line := range r.notes {
		_, _ = fmt.Fprintln(w, line)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nCUSTOMER\tREQUESTS\tANSWERED\tREFUSED\tMOST FREQUENT REFUSAL\tP50\tP99\tMAX")
	for _, line := range r.customerLines() {
		_, _ = fmt.Fprintln(table, line)
	}
	_, _ = fmt.Fprintln(table, "\nSTEERED TO\tREQUESTS")
	for _, site := range sortedKeys(r.steered) {
		_, _ = fmt.Fprintf(table, "%s\t%d\n", site, r.steered[site])
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "\nlook-ups: %d, p50 %v, p99 %v; requests not sent: %d\n", r.lookups.TotalCount(),
		quantile(r.lookups, 50), quantile(r.lookups, 99), r.unsent)
	for i, v := range r.violations {
		if i == maxViolationsShown {
			_, _ = fmt.Fprintf(w, "... and %d more\n", len(r.violations)-i)
			break
		}
		_, _ = fmt.Fprintln(w, "VIOLATED", v)
	}
	_, _ = fmt.Fprintf(w, "violations: %d\n", len(r.violations))
	return len(r.violations)
}

func (r *report) customerLines() []string {
	byCustomer := map[string][]result{}
	for _, x := range r.results {
		byCustomer[x.customer] = append(byCustomer[x.customer], x)
	}
	var lines []string
	for _, name := range sortedKeys(byCustomer) {
		h := newHistogram()
		reasons := map[string]int{}
		answered := 0
		for _, x := range byCustomer[name] {
			if x.err != nil || x.status >= 400 {
				reasons[x.reason]++
				continue
			}
			answered++
			_ = h.RecordValue(max(1, x.latency.Microseconds()))
		}
		label := name
		if name == r.loud {
			label += fmt.Sprintf(" (sends %d times its rate)", loudFactor)
		}
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d\t%s\t%v\t%v\t%v", label, len(byCustomer[name]), answered,
			len(byCustomer[name])-answered, mostFrequent(reasons), quantile(h, 50), quantile(h, 99), quantile(h, 100)))
	}
	return lines
}

func mostFrequent(counts map[string]int) string {
	best := "-"
	for _, reason := range sortedKeys(counts) {
		if best == "-" || counts[reason] > counts[best] {
			best = reason
		}
	}
	return best
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(10 * time.Microsecond)
}
