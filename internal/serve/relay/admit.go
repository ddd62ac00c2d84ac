package relay

import (
	"go.opentelemetry.io/otel/trace"

	"monsoonhub.example/steer"
)

// authenticate verifies the key of a request and sets the customer. It does nothing on open routes.
func (h *Handler) authenticate(x *exchange) error {
	if x.route.open {
		return nil
	}
	customer, err := h.conf.Auth.Authenticate(h.conf.Now(), x.view.config, x.service.Service, x.key)
	if err != nil {
		return err
	}
	x.customer = customer.Name
	return nil
}

// takeRateToken takes one token from the customer's rate quota. Open routes have no customer and take no token.
func (h *Handler) takeRateToken(x *exchange) error {
	if x.customer == "" {
		return nil
	}
	ctx, span := h.conf.Tracer.Start(x.ctx, "admit", trace.WithSpanKind(trace.SpanKindInternal))
	defer span.End()
	err := h.conf.Limiter.Take(ctx, steer.CustomerQuota(x.customer))
	if err != nil && x.ctx.Err() != nil {
		return refuse(steer.NotRun, steer.ReasonDeadline, err)
	}
	return err
}
