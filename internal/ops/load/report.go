package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Report holds the outcome of a run, with one result for each address.
type Report struct {
	Mode    Mode     `json:"mode"`
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
}

// Result holds the counts and latencies of the requests to one address. Latencies are in microseconds from the time at
// which a request was due. They include only answers with a status below 400.
type Result struct {
	Address      netip.AddrPort   `json:"address"`
	Succeeded    int64            `json:"answered"`   // Answers with a status below 400.
	Failed       int64            `json:"failed"`     // All other exchanges.
	StatusCounts map[string]int64 `json:"counts"`     // Exchanges by status; "error" counts those without an answer.
	Rate         float64          `json:"rate-per-s"` // Succeeded per second.
	Mean         float64          `json:"mean-us"`
	P50          float64          `json:"p50-us"`
	P90          float64          `json:"p90-us"`
	P99          float64          `json:"p99-us"`
	P999         float64          `json:"p99.9-us"`
	Max          float64          `json:"max-us"`
	FirstError   string           `json:"failure,omitempty"` // Error of the first exchange without an answer.
}

// result returns the outcome. It must be called after all senders have merged their records.
func (e *endpoint) result() Result {
	microseconds := func(n int64) float64 { return float64(n) / float64(time.Microsecond) }
	h := e.latency
	r := Result{
		Address:      e.address,
		StatusCounts: e.statusCounts,
		Mean:         h.Mean() / float64(time.Microsecond),
		P50:          microseconds(h.ValueAtQuantile(50)),
		P90:          microseconds(h.ValueAtQuantile(90)),
		P99:          microseconds(h.ValueAtQuantile(99)),
		P999:         microseconds(h.ValueAtQuantile(99.9)),
		Max:          microseconds(h.Max()),
	}
	for name, n := range e.statusCounts {
		if status, err := strconv.Atoi(name); err == nil && status < http.StatusBadRequest {
			r.Succeeded += n
		} else {
			r.Failed += n
		}
	}
	if elapsed := e.lastEnd.Sub(e.recordFrom); elapsed > 0 {
		r.Rate = float64(r.Succeeded) / elapsed.Seconds()
	}
	if e.firstError != nil {
		r.FirstError = e.firstError.Error()
	}
	return r
}

// WriteJSON writes the report as one JSON document.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table. If there are two addresses, the last row, added, shows the latencies of the first
// minus those of the second.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "mode %s, seed %d, latency in microseconds\n", r.Mode, r.Seed)
	_, _ = fmt.Fprintln(table, "address\tanswered\tfailed\trate/s\tmean\tp50\tp90\tp99\tp99.9\tmax\tstatus")
	for _, x := range r.Results {
		_, _ = fmt.Fprintf(table, "%v\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", x.Address, x.Succeeded,
			x.Failed, x.Rate, x.Mean, x.P50, x.P90, x.P99, x.P999, x.Max, x.statusSummary())
	}
	if len(r.Results) == 2 {
		a, b := r.Results[0], r.Results[1]
		_, _ = fmt.Fprintf(table, "added\t\t\t\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", a.Mean-b.Mean, a.P50-b.P50,
			a.P90-b.P90, a.P99-b.P99, a.P999-b.P999, a.Max-b.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, x := range r.Results {
		if x.FirstError != "" {
			if _, err := fmt.Fprintf(w, "%v: first failure: %s\n", x.Address, x.FirstError); err != nil {
				return err
			}
		}
	}
	return nil
}

// statusSummary lists the number of exchanges by status, such as 200:17 429:3.
func (r Result) statusSummary() string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(r.StatusCounts)) {
		all = append(all, fmt.Sprintf("%s:%d", name, r.StatusCounts[name]))
	}
	return strings.Join(all, " ")
}
