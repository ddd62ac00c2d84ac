package kvhttp

import (
	"context"
	"errors"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/http/store/server"
	"monsoonhub.example/steer/internal/api/gen/store"
)

// maxBody bounds a request body: a value of the largest size in base64, with room for the other attributes.
const maxBody = steer.MaxValueSize*4/3 + 4096

// maxWait bounds the wait of a watch.
const maxWait = 5 * time.Minute

var errorsByName = map[string]error{
	"not-found":   steer.ErrNotFound,
	"conflict":    steer.ErrConflict,
	"lease-lost":  steer.ErrLeaseLost,
	"unchanged":   steer.ErrUnchanged,
	"unavailable": steer.ErrDown,
	"too-large":   steer.ErrTooLarge,
}

// Handler serves a store under /v1/store. A call whose outcome is unknown gets no answer: its connection is closed.
func Handler(s steer.Store) http.Handler {
	mux := goahttp.NewMuxer()
	h := server.New(
		store.NewEndpoints(&service{
			store: s,
		}),
		mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil,
	)
	server.Mount(mux, h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		mux.ServeHTTP(w, r)
	})
}

// service implements the goa service over a steer.Store.
type service struct {
	store steer.Store
}

var _ store.Service = (*service)(nil)

// Get implements store.Service.
func (s *service) Get(ctx context.Context, p *store.GetPayload) (*store.StoreEntry, error) {
	e, err := s.store.Get(ctx, p.Key)
	return wire(e), named(err)
}

// Swap implements store.Service.
func (s *service) Swap(ctx context.Context, p *store.SwapPayload) (uint64, error) {
	var lease steer.LeaseID
	if p.Lease != nil {
		lease = steer.LeaseID(*p.Lease)
	}
	written, err := s.store.Swap(ctx, p.Key, p.Revision, p.Value, lease)
	return written, named(err)
}

// Remove implements store.Service.
func (s *service) Remove(ctx context.Context, p *store.RemovePayload) error {
	return named(s.store.Remove(ctx, p.Key, p.Revision))
}

// Grant implements store.Service.
func (s *service) Grant(ctx context.Context, p *store.GrantPayload) (string, error) {
	id, err := s.store.Grant(ctx, time.Duration(p.TermMs)*time.Millisecond)
	return string(id), named(err)
}

// Renew implements store.Service.
func (s *service) Renew(ctx context.Context, p *store.RenewPayload) error {
	return named(s.store.Renew(ctx, steer.LeaseID(p.Lease)))
}

// Revoke implements store.Service.
func (s *service) Revoke(ctx context.Context, p *store.RevokePayload) error {
	return named(s.store.Revoke(ctx, steer.LeaseID(p.Lease)))
}

// Watch implements store.Service.
func (s *service) Watch(ctx context.Context, p *store.WatchPayload) (*store.StoreEntry, error) {
	wait := min(time.Duration(max(p.WaitMs, 0))*time.Millisecond, maxWait)
	e, err := s.store.Watch(ctx, p.Key, p.After, wait)
	return wire(e), named(err)
}

func wire(e steer.Entry) *store.StoreEntry {
	if e.Value == nil {
		e.Value = []byte{} // JSON null fails the client's check of the required attribute.
	}
	return &store.StoreEntry{
		Key:      e.Key,
		Value:    e.Value,
		Revision: e.Revision,
	}
}

// named gives an error of the root package its name in the API.
func named(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, steer.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	for name, known := range errorsByName {
		if errors.Is(err, known) {
			return goa.NewServiceError(known, name, false, false, false)
		}
	}
	return err
}
