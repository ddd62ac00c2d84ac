package admin

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/http/operator/server"
	"monsoonhub.example/steer/internal/api/gen/operator"
	"monsoonhub.example/steer/internal/conf/follow"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/internal/quota/lease"
	"monsoonhub.example/steer/internal/route/choose"
	"monsoonhub.example/steer/internal/route/lookup"
	"monsoonhub.example/steer/internal/serve/keys"
	"monsoonhub.example/steer/internal/serve/relay"
)

// Config holds the components of the host whose state is shown.
type Config struct {
	Self     func() steer.Member
	Follower *follow.Follower
	Manager  *lease.Manager
	Picker   *choose.Picker
	Finder   *lookup.Finder
	Relay    *relay.Handler
	Peers    steer.Peers
	Metrics  metrics.Registry
}

// Server implements the goa service operator.
type Server struct {
	config Config
}

var _ operator.Service = (*Server)(nil)

// New returns a Server that shows the state of the components in c.
func New(c Config) *Server {
	return &Server{
		config: c,
	}
}

// Handler returns a handler of the operator API, of /metrics in the Prometheus text format, and of /healthz. The latter
// answers 200 while the host has a configuration in force and is not stopping, else 503.
func (s *Server) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := operator.NewEndpoints(s)
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	mux.Handle(http.MethodGet, "/metrics", telem.MetricsHandler(s.config.Metrics).ServeHTTP)
	mux.Handle(http.MethodGet, "/healthz", s.serveHealth)
	return mux
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	self := s.config.Self()
	switch {
	case self.State.Stopping:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case self.State.Version == 0:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// Status implements operator.Service.
func (s *Server) Status(context.Context) (*operator.HostStatus, error) {
	now := time.Now()
	self := s.config.Self()
	state := s.config.Follower.State(now)
	members := s.config.Peers.Members()
	return &operator.HostStatus{
		ID:             self.ID,
		DataCentre:     self.DataCentre,
		Region:         self.Region,
		Version:        state.Version,
		Isolated:       keys.Isolated(s.config.Follower.EvidenceAge(now), nil, nil),
		EvidenceAgeMs:  state.EvidenceAge.Milliseconds(),
		StoreReachable: state.StoreReachable,
		Stopping:       self.State.Stopping,
		Slots:          slotNumbers(self.State.Slots),
		DataCentres:    dataCentreStatuses(s.config.Follower.Current(), append([]steer.Member{self}, members...)),
		Members:        memberStatuses(now, members),
		Targets:        targetStatuses(s.config.Picker.State(now)),
		Quotas:         quotaStatuses(s.config.Manager.Snapshot(now)),
	}, nil
}

func slotNumbers(claims []steer.SlotClaim) []int {
	numbers := make([]int, 0, len(claims))
	for _, c := range claims {
		numbers = append(numbers, c.Slot)
	}
	return numbers
}

// dataCentreStatuses returns the hosts and lowest version of each data centre. It ignores hosts that are suspect. Without a
// configuration the list is empty.
func dataCentreStatuses(config *steer.Config, hosts []steer.Member) []*operator.DataCentreStatus {
	if config == nil {
		return []*operator.DataCentreStatus{}
	}
	statuses := make([]*operator.DataCentreStatus, 0, len(config.Fleet.DataCentres))
	for _, d := range config.Fleet.DataCentres {
		status := &operator.DataCentreStatus{
			Name:   d.Name,
			Region: d.Region,
			Down:   d.Down,
		}
		for _, h := range hosts {
			if h.DataCentre != d.Name || h.Suspect {
				continue
			}
			if status.Hosts == 0 || h.State.Version < status.LowestVersion {
				status.LowestVersion = h.State.Version
			}
			status.Hosts++
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func memberStatuses(now time.Time, members []steer.Member) []*operator.MemberStatus {
	statuses := make([]*operator.MemberStatus, 0, len(members))
	for _, m := range members {
		statuses = append(statuses, &operator.MemberStatus{
			ID:             m.ID,
			DataCentre:     m.DataCentre,
			Version:        m.State.Version,
			Stopping:       m.State.Stopping,
			StoreReachable: m.State.StoreReachable,
			HeardMs:        now.Sub(m.LastHeard).Milliseconds(),
			Slots:          slotNumbers(m.State.Slots),
		})
	}
	return statuses
}

func targetStatuses(targets []choose.Status) []*operator.TargetStatus {
	statuses := make([]*operator.TargetStatus, 0, len(targets))
	for _, t := range targets {
		age := int64(-1) // No report.
		if t.ReportAge >= 0 {
			age = t.ReportAge.Milliseconds()
		}
		statuses = append(statuses, &operator.TargetStatus{
			ID:           t.ID,
			Service:      t.Service,
			State:        string(t.State),
			InFlight:     t.InFlight,
			LatencyUs:    t.Latency.Microseconds(),
			ReportedLoad: t.ReportedLoad,
			ReportAgeMs:  age,
		})
	}
	return statuses
}

func quotaStatuses(quotas []lease.Quota) []*operator.QuotaStatus {
	statuses := make([]*operator.QuotaStatus, 0, len(quotas))
	for _, q := range quotas {
		statuses = append(statuses, &operator.QuotaStatus{
			Name:     string(q.Name),
			Level:    q.Level,
			Cap:      q.Cap,
			Rate:     q.Rate,
			Lent:     q.Lent,
			Borrowed: q.Borrowed,
		})
	}
	return statuses
}

// Explain implements operator.Service.
func (s *Server) Explain(_ context.Context, p *operator.ExplainPayload) (*operator.Explanation, error) {
	now := time.Now()
	self := s.config.Self()
	steps := []*operator.ExplainStep{}
	if p.Client != nil && *p.Client != "" {
		client, err := netip.ParseAddr(*p.Client)
		if err != nil {
			return nil, goa.NewServiceError(err, "bad-request", false, false, false)
		}
		steps = append(steps, s.config.Finder.Explain(now, p.Service, client)...)
	}
	probe := relay.ExplainRequest{
		Service: p.Service,
		Method:  p.Method,
		Path:    p.Path,
	}
	if p.Customer != nil {
		probe.Customer = *p.Customer
	}
	for _, step := range s.config.Relay.Explain(now, probe) {
		steps = append(steps, &operator.ExplainStep{
			Step:    step.Name,
			Outcome: step.Outcome,
			Reason:  step.Reason,
		})
	}
	return &operator.Explanation{
		Host:    self.ID,
		Version: self.State.Version,
		Steps:   steps,
	}, nil
}
