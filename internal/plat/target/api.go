package target

import (
	"context"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"

	"monsoonhub.example/steer/internal/api/gen/http/target/server"
	"monsoonhub.example/steer/internal/api/gen/target"
)

// isControl reports whether a path belongs to the control and report endpoints.
func isControl(path string) bool { return strings.HasPrefix(path, "/target/") }

// api implements the goa service target.
type api struct {
	t *Target
}

var _ target.Service = (*api)(nil)

func newAPI(t *Target) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := target.NewEndpoints(&api{
		t: t,
	})
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	return mux
}

// Health implements target.Service.
func (a *api) Health(context.Context) (*target.TargetHealth, error) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	state := "ready"
	if a.t.mode == Drain || a.t.isClosed() {
		state = "draining"
	}
	return &target.TargetHealth{
		State: state,
	}, nil
}

// Load implements target.Service.
func (a *api) Load(context.Context) (*target.TargetLoad, error) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	load := &target.TargetLoad{
		Busy:   len(a.t.slots),
		Queued: a.t.queued,
		Slots:  a.t.config.Slots,
	}
	if a.t.mode == LieLoad {
		load.Busy = 0
		load.Queued = 0
	}
	return load, nil
}

// Runs implements target.Service.
func (a *api) Runs(context.Context) ([]*target.TargetRun, error) {
	var list []*target.TargetRun
	for _, r := range a.t.Record() {
		list = append(list, &target.TargetRun{
			RequestID: r.RequestID,
			Customer:  r.Customer,
			Method:    r.Method,
			Path:      r.Path,
			StartedMs: r.Started.UnixMilli(),
			Finished:  r.Finished,
		})
	}
	return list, nil
}

// Control implements target.Service.
func (a *api) Control(_ context.Context, p *target.ControlPayload) error {
	a.t.SetMode(Mode(p.Mode))
	return nil
}
