package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	goahttp "goa.design/goa/v3/http"

	"monsoonhub.example/steer/internal/api/gen/http/operator/client"
	"monsoonhub.example/steer/internal/api/gen/operator"
	"monsoonhub.example/steer/internal/edge/pass"
)

// suspectAfterMs is the time in milliseconds without a heartbeat after which a member is suspected to have failed.
const suspectAfterMs = 2000

// callTimeout bounds one call to the admin API of a host.
const callTimeout = 5 * time.Second

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func operatorClient(admin string) (*operator.Client, error) {
	if _, err := parseAddress("--admin", admin); err != nil {
		return nil, err
	}
	httpClient := &http.Client{
		Timeout: callTimeout,
	}
	h := client.NewClient("http", admin, httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(h.Status(), h.Explain()), nil
}

// explainCallError adds the address of the host and a hint at the likely cause to an error of a call. Usage errors are
// returned unchanged.
func explainCallError(admin string, err error) error {
	var usage *usageError
	if errors.As(err, &usage) {
		return err
	}
	var transport *url.Error
	if errors.As(err, &transport) {
		return fmt.Errorf("ask host at %s: %w; check that the host runs and that --admin is its admin-listen address", admin,
			transport.Err)
	}
	text := strings.TrimSpace(err.Error())
	return fmt.Errorf("ask host at %s: %s; check that --admin is the admin-listen address of the host", admin, text)
}

func fetchStatus(ctx context.Context, admin string) (*operator.HostStatus, error) {
	api, err := operatorClient(admin)
	if err != nil {
		return nil, err
	}
	return api.Status(ctx)
}

// queryFlags are the flags of the commands that query one host.
type queryFlags struct {
	admin  string
	output string
}

func (f *queryFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.admin, "admin", "127.0.0.1:8082", "admin address of the host, IP:port")
	c.Flags().StringVar(&f.output, "output", outputText, "output format: text or json")
}

func (f *queryFlags) check() error {
	if f.output != outputText && f.output != outputJSON {
		return newUsageError(errors.New("--output: must be text or json"))
	}
	return nil
}

func newStatusCommand() *cobra.Command {
	var flags queryFlags
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of a host and what it knows about the fleet",
		Example: "  monsoonhub status --admin 127.0.0.1:8082 --output json",
		Args:    asUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			status, err := fetchStatus(c.Context(), flags.admin)
			if err != nil {
				return explainCallError(flags.admin, err)
			}
			if flags.output == outputJSON {
				return printJSON(c.OutOrStdout(), status)
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
	flags.register(c)
	return c
}

func newExplainCommand() *cobra.Command {
	var flags queryFlags
	var payload operator.ExplainPayload
	var customer, caller string
	var edge edgeFlags
	c := &cobra.Command{
		Use:   "explain --service NAME",
		Short: "Explain how a host would handle a request now",
		Long: "Explains which hosts a look-up would return and why, and which customer, target or refusal a request " +
			"would get and why. The host answers with the code that serves requests. With --metrics it asks a host of " +
			"serve, for the request with --host and --path, or for a route by --class or --service.",
		Example: "  monsoonhub explain --service reservas --customer naviera-austral --method POST --path /slots\n" +
			"  monsoonhub explain --metrics 127.0.0.1:7640 --host h.example --path /b/ --customer naviera --object 17",
		Args: asUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			if err := edge.check(c); err != nil {
				return err
			}
			if edge.metrics != "" {
				return edge.run(c, pass.ExplainQuery{
					Service:  payload.Service,
					Customer: customer,
					Path:     payload.Path,
				}, flags.output == outputJSON)
			}
			if err := checkPayload(&payload, caller); err != nil {
				return err
			}
			api, err := operatorClient(flags.admin)
			if err != nil {
				return err
			}
			payload.Customer = &customer
			payload.Client = &caller
			explanation, err := api.Explain(c.Context(), &payload)
			if err != nil {
				return explainCallError(flags.admin, err)
			}
			if flags.output == outputJSON {
				return printJSON(c.OutOrStdout(), explanation)
			}
			return printExplanation(c.OutOrStdout(), explanation)
		},
	}
	flags.register(c)
	c.Flags().StringVar(&payload.Service, "service", "", "service name (required)")
	c.Flags().StringVar(&customer, "customer", "", "customer name; empty for a request without a key")
	c.Flags().StringVar(&caller, "client", "", "IP address of the caller; shows the look-up answer too")
	c.Flags().StringVar(&payload.Method, "method", http.MethodGet, "HTTP method")
	c.Flags().StringVar(&payload.Path, "path", "/", "path below the service, starting with /; with --metrics the whole path")
	edge.register(c)
	return c
}

// checkPayload returns a usage error if no request could match the payload.
func checkPayload(p *operator.ExplainPayload, caller string) error {
	if p.Service == "" {
		return newUsageError(errors.New("--service: is required"))
	}
	if !strings.HasPrefix(p.Path, "/") {
		return newUsageError(fmt.Errorf("--path: %q must start with /", p.Path))
	}
	if _, err := netip.ParseAddr(caller); caller != "" && err != nil {
		return newUsageError(fmt.Errorf("--client: %q must be an IP address without a port", caller))
	}
	return nil
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printExplanation(w io.Writer, e *operator.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "host %s, version %d\n", e.Host, e.Version)
	for _, s := range e.Steps {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", s.Step, s.Outcome, s.Reason)
	}
	return table.Flush()
}

// settingsWarnings describes likely mistakes in the settings of the host. Nothing else reports them.
func settingsWarnings(s *operator.HostStatus) []string {
	if len(s.DataCentres) == 0 {
		return []string{"no configuration is in force; check the store and the peers of the settings"}
	}
	var warnings []string
	i := slices.IndexFunc(s.DataCentres, func(d *operator.DataCentreStatus) bool { return d.Name == s.DataCentre })
	switch {
	case i < 0:
		warnings = append(warnings,
			"data centre "+s.DataCentre+" of the settings is not in the fleet file; the host has no targets and no quota")
	case s.DataCentres[i].Region != s.Region:
		warnings = append(warnings, fmt.Sprintf("region %s of the settings is %s in the fleet file", s.Region,
			s.DataCentres[i].Region))
	}
	reachable := slices.ContainsFunc(s.Members, func(m *operator.MemberStatus) bool { return m.HeardMs < suspectAfterMs })
	if !reachable && len(s.DataCentres) > 1 {
		warnings = append(warnings,
			"no other host is heard: this one is cut off, or peers, fleet secret or host-id of its settings are wrong")
	}
	return warnings
}

func printStatus(w io.Writer, s *operator.HostStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "host %s in %s (%s), version %d, slots %v\n", s.ID, s.DataCentre, s.Region, s.Version,
		s.Slots)
	evidence := fmt.Sprintf("evidence %d ms old", s.EvidenceAgeMs)
	if s.Version == 0 {
		evidence = "no evidence"
	}
	_, _ = fmt.Fprintf(table, "isolated %t, %s, store reachable %t, stopping %t\n", s.Isolated, evidence, s.StoreReachable,
		s.Stopping)
	for _, w := range settingsWarnings(s) {
		_, _ = fmt.Fprintln(table, "warning:", w)
	}
	_, _ = fmt.Fprintln(table, "\nDATA CENTRE\tREGION\tHOSTS\tLOWEST VERSION")
	for _, d := range s.DataCentres {
		name := d.Name
		if d.Down {
			name += " (down)"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", name, d.Region, d.Hosts, d.LowestVersion)
	}
	_, _ = fmt.Fprintln(table, "\nMEMBER\tDATA CENTRE\tVERSION\tSLOTS\tSTORE\tSTOPPING\tHEARD MS")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%t\t%t\t%d\n", m.ID, m.DataCentre, m.Version, m.Slots,
			m.StoreReachable, m.Stopping, m.HeardMs)
	}
	_, _ = fmt.Fprintln(table, "\nTARGET\tSERVICE\tSTATE\tIN FLIGHT\tLATENCY US\tREPORTED LOAD\tREPORT AGE MS")
	for _, t := range s.Targets {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%.2f\t%d\n", t.ID, t.Service, t.State, t.InFlight, t.LatencyUs,
			t.ReportedLoad, t.ReportAgeMs)
	}
	_, _ = fmt.Fprintln(table, "\nQUOTA\tLEVEL\tCAP\tRATE\tLENT\tBORROWED")
	for _, q := range s.Quotas {
		_, _ = fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", q.Name, q.Level, q.Cap, q.Rate, q.Lent,
			q.Borrowed)
	}
	return table.Flush()
}
