package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/edge/pass"
	"monsoonhub.example/steer/internal/edge/place"
)

// maxExplanationBytes bounds the answer of a host. A few dozen targets take some 20 KB.
const maxExplanationBytes = 1 << 20

// edgeFlags are the flags of explain for hosts of serve.
type edgeFlags struct {
	metrics string
	json    bool
	query   pass.ExplainQuery
}

func (f *edgeFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.metrics, "metrics", "", "metrics-listen address of a host of serve, IP:port")
	c.Flags().StringVar(&f.query.Host, "host", "", "with --metrics: host name of the request")
	c.Flags().StringVar(&f.query.Class, "class", "", "with --metrics: name of the route")
	c.Flags().StringVar(&f.query.Object, "object", "", "with --metrics: object that the request is about")
	c.Flags().StringVar(&f.query.Region, "region", "", "with --metrics: the only region in which the request may run")
	c.Flags().BoolVar(&f.json, "json", false, "with --metrics: same as --output json")
}

// check returns a usage error if flags of the two kinds of hosts are mixed or a required one is missing.
func (f *edgeFlags) check(c *cobra.Command) error {
	other, problem := []string{"admin", "client", "method"}, "does not go with --metrics"
	if f.metrics == "" && !c.Flags().Changed("metrics") {
		other, problem = []string{"host", "class", "object", "region", "json"}, "needs --metrics, the metrics-listen address of a host of serve"
	}
	for _, name := range other {
		if c.Flags().Changed(name) {
			return newUsageError(fmt.Errorf("--%s: %s", name, problem))
		}
	}
	if !c.Flags().Changed("metrics") {
		return nil
	}
	if _, err := parseAddress("--metrics", f.metrics); err != nil {
		return err
	}
	if c.Flags().Changed("path") != (f.query.Host != "") {
		return newUsageError(errors.New("--host: --host and --path are given together"))
	}
	if f.query.Host == "" && f.query.Class == "" && !c.Flags().Changed("service") {
		return newUsageError(errors.New("--host: --host and --path, --class or --service is required with --metrics"))
	}
	return nil
}

// run asks the host and prints its answer. The given query holds the flags that both kinds of hosts have.
func (f *edgeFlags) run(c *cobra.Command, common pass.ExplainQuery, asJSON bool) error {
	q := f.query
	q.Service, q.Customer = common.Service, common.Customer
	if q.Host != "" {
		q.Path = common.Path
	}
	x, err := fetchExplanation(c.Context(), f.metrics, q)
	if err != nil {
		return err
	}
	if f.json || asJSON {
		return printJSON(c.OutOrStdout(), x)
	}
	return printEdgeExplanation(c.OutOrStdout(), x)
}

// fetchExplanation asks the host of serve with the given metrics-listen address.
func fetchExplanation(ctx context.Context, metrics string, q pass.ExplainQuery) (*pass.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := url.URL{
		Scheme:   "http",
		Host:     metrics,
		Path:     pass.ExplainPath,
		RawQuery: q.Values().Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		var transport *url.Error
		if errors.As(err, &transport) {
			err = transport.Err
		}
		return nil, fmt.Errorf("ask host at %s: %w; check that the host runs and that --metrics is its metrics-listen address", metrics, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("ask host at %s: %w", metrics, err)
	}
	if response.StatusCode != http.StatusOK {
		var refusal pass.ExplainError
		if json.Unmarshal(body, &refusal) == nil && refusal.Message != "" {
			return nil, fmt.Errorf("host at %s: %w", metrics, &refusal)
		}
		return nil, fmt.Errorf("host at %s: status %d; check that --metrics is the metrics-listen address of a host of serve, and that "+
			"its build has explain", metrics, response.StatusCode)
	}
	var x pass.Explanation
	if err := json.Unmarshal(body, &x); err != nil {
		return nil, fmt.Errorf("host at %s: the answer is not an explanation: %w", metrics, err)
	}
	return &x, nil
}

// printEdgeExplanation prints one line for each decision, and a table of the targets.
func printEdgeExplanation(w io.Writer, x *pass.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(table, format+"\n", a...) }
	r := x.Route
	line("host %s in %s, plan %d", x.HostID, x.DataCentre, x.PlanVersion)
	if !x.Listed {
		line("warning: the host has not listed the targets yet")
	}
	line("route %s: %s%s, %s, objective %v, timeout %v, attempts %d, priority %d", r.Name, r.Host, r.Prefix, r.Kind, r.Objective, r.Timeout,
		r.Attempts, x.Priority)
	line("service %s, of %s", x.Service, servicesText(r.Services))
	line("customer %s", customerText(&x.Customer))
	switch {
	case x.Refusal != nil:
		line("refused before a target is chosen: %s, status %d", x.Refusal.Reason, x.Refusal.Status)
	case x.Placement != nil:
		printPlacement(table, x)
	}
	for _, t := range x.LeftOut {
		line("left out: %s, %s", t.ID, t.Cause)
	}
	if x.MoreLeftOut > 0 {
		line("left out: %d more", x.MoreLeftOut)
	}
	return table.Flush()
}

func servicesText(services []pass.WeightedService) string {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf("%s (weight %g, %.3g %%)", s.Service, s.Weight, 100*s.Fraction))
	}
	return strings.Join(list, ", ")
}

func customerText(c *pass.CustomerExplanation) string {
	if c.Name == "" {
		return string(c.Verdict)
	}
	text := fmt.Sprintf("%s: %s", c.Name, c.Verdict)
	if len(c.Regions) > 0 {
		text += ", in " + strings.Join(c.Regions, ", ") + " only"
	}
	if c.Rate == 0 {
		return text + ", no quota"
	}
	return text + fmt.Sprintf(", quota %g/s with a burst of %g, share of this host %.2f, balance %.1f, demand here %.1f/s", c.Rate, c.Burst,
		c.Share, c.Balance, c.Demand)
}

// printPlacement prints the choice of a target.
func printPlacement(w io.Writer, x *pass.Explanation) {
	p := x.Placement
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(w, format+"\n", a...) }
	var shares []string
	for _, s := range p.Shares {
		shares = append(shares, fmt.Sprintf("%s %.3f (goal %.3f, capacity %.4g)", s.Region, s.Fraction, s.Goal, s.Capacity))
	}
	line("shares %s", strings.Join(shares, ", "))
	object := "object " + x.Object
	if x.Object == "" {
		object = "no object, so each request goes to a target of its own, for example"
	}
	line("%s: region of the key %s, looked for in %s", object, orNone(p.KeyRegion), orNone(p.Region))
	line("first %s, alternate %s", orNone(p.First), orNone(p.Alternate))
	if p.Target != "" {
		line("goes to %s by rule %s", p.Target, p.Rule)
	} else {
		line("refused: %s, retry after %v", p.Reason, p.RetryAfter)
	}
	if len(p.Targets) == 0 {
		return
	}
	line("\nTARGET\tDATA CENTRE\tSTATE\tLOAD\tAGE\tSLOTS\tPER SLOT\tLIMIT\tSLOWNESS\tCAPACITY\tWEIGHT\tEXPECTED\tNOTES")
	for i := range p.Targets {
		printTarget(w, &p.Targets[i])
	}
	if p.Omitted > 0 {
		line("and %d more", p.Omitted)
	}
}

func printTarget(w io.Writer, t *place.TargetExplanation) {
	age := "-"
	if t.ReportAge >= 0 {
		age = t.ReportAge.Round(time.Millisecond).String()
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%v\t%s\n", t.ID, t.DataCentre, t.State, t.Load, age,
		t.Slots, t.LoadPerSlot, t.LoadLimit, t.Slowness, t.Capacity, t.Weight, t.Expected.Round(time.Millisecond), targetNotes(t))
}

// targetNotes lists what is unusual about a target.
func targetNotes(t *place.TargetExplanation) string {
	var notes []string
	if t.Cold {
		notes = append(notes, "cold")
	}
	if t.Limited {
		notes = append(notes, fmt.Sprintf("limited to %.3g/s, %.3g/s here", t.LimitPerSecond, t.LimitShare))
	}
	if t.Ejected {
		notes = append(notes, "ejected until "+t.EjectedUntil.UTC().Format("15:04:05.000"))
	}
	if t.Draining {
		notes = append(notes, "draining")
	}
	if !t.KnowsObject {
		notes = append(notes, "object unknown")
	}
	return strings.Join(notes, ", ")
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
