package kvhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/http/store/client"
	"monsoonhub.example/steer/internal/api/gen/store"
	"monsoonhub.example/steer/internal/edge/answer"
	"monsoonhub.example/steer/internal/edge/meter"
)

const (
	defaultTimeout = 3 * time.Second
	idleConns      = 4
	idleTimeout    = time.Minute
	maxHeadBytes   = 64 << 10 // Of a response.
	sampleSize     = 1024     // Calls in the histogram; a metrics.Timer would leave a goroutine behind.
)

// Config configures a Client.
type Config struct {
	Address netip.AddrPort   // Store listener.
	Timeout time.Duration    // Longest time for one call, added to the wait of a watch; 0 selects 3 s.
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Client implements steer.Store over HTTP.
type Client struct {
	logger    log.Logger
	timeout   time.Duration
	transport *http.Transport
	calls     metrics.Histogram
	failed    metrics.Counter
	endpoints *store.Client
}

var _ steer.Store = (*Client)(nil)

// New returns a client. It connects on first use.
func New(c Config) *Client {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext: answer.Dial((&net.Dialer{
			Timeout: c.Timeout,
		}).DialContext),
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	doer := meter.LimitBodies(&http.Client{
		Transport: answer.Transport{
			Base: transport,
		},
	}, maxBody)
	h := client.NewClient("http", c.Address.String(), doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{
		logger:    log.With(c.Logger, "part", "kvhttp"),
		timeout:   c.Timeout,
		transport: transport,
		calls:     metrics.GetOrRegisterHistogram("store-call-microseconds", c.Metrics, metrics.NewUniformSample(sampleSize)),
		failed:    metrics.GetOrRegisterCounter("store-call-failed", c.Metrics),
		endpoints: store.NewClient(h.Get(), h.Swap(), h.Remove(), h.Grant(), h.Renew(), h.Revoke(), h.Watch()),
	}
}

// Stop closes idle connections.
func (c *Client) Stop() { c.transport.CloseIdleConnections() }

// Get implements steer.Store.
func (c *Client) Get(ctx context.Context, key string) (steer.Entry, error) {
	var found *store.StoreEntry
	err := c.call(ctx, c.timeout, steer.ErrDown, func(ctx context.Context) (err error) {
		found, err = c.endpoints.Get(ctx, &store.GetPayload{
			Key: key,
		})
		return err
	})
	return public(found), err
}

// Swap implements steer.Store.
func (c *Client) Swap(
	ctx context.Context, key string, revision uint64, value []byte, lease steer.LeaseID,
) (uint64, error) {
	if len(value) > steer.MaxValueSize {
		return 0, steer.ErrTooLarge
	}
	if value == nil {
		value = []byte{} // JSON null fails the check of the required attribute.
	}
	var leaseID *string
	if lease != "" {
		leaseID = (*string)(&lease)
	}
	var written uint64
	err := c.call(ctx, c.timeout, steer.ErrUnknown, func(ctx context.Context) (err error) {
		written, err = c.endpoints.Swap(ctx, &store.SwapPayload{
			Key:      key,
			Revision: revision,
			Value:    value,
			Lease:    leaseID,
		})
		return err
	})
	return written, err
}

// Remove implements steer.Store.
func (c *Client) Remove(ctx context.Context, key string, revision uint64) error {
	return c.call(ctx, c.timeout, steer.ErrUnknown, func(ctx context.Context) error {
		return c.endpoints.Remove(ctx, &store.RemovePayload{
			Key:      key,
			Revision: revision,
		})
	})
}

// Grant implements steer.Store.
func (c *Client) Grant(ctx context.Context, term time.Duration) (steer.LeaseID, error) {
	var id string
	err := c.call(ctx, c.timeout, steer.ErrUnknown, func(ctx context.Context) (err error) {
		id, err = c.endpoints.Grant(ctx, &store.GrantPayload{
			TermMs: term.Milliseconds(),
		})
		return err
	})
	return steer.LeaseID(id), err
}

// Renew implements steer.Store.
func (c *Client) Renew(ctx context.Context, lease steer.LeaseID) error {
	return c.call(ctx, c.timeout, steer.ErrUnknown, func(ctx context.Context) error {
		return c.endpoints.Renew(ctx, &store.RenewPayload{
			Lease: string(lease),
		})
	})
}

// Revoke implements steer.Store.
func (c *Client) Revoke(ctx context.Context, lease steer.LeaseID) error {
	return c.call(ctx, c.timeout, steer.ErrUnknown, func(ctx context.Context) error {
		return c.endpoints.Revoke(ctx, &store.RevokePayload{
			Lease: string(lease),
		})
	})
}

// Watch implements steer.Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (steer.Entry, error) {
	var found *store.StoreEntry
	err := c.call(ctx, c.timeout+wait, steer.ErrDown, func(ctx context.Context) (err error) {
		found, err = c.endpoints.Watch(ctx, &store.WatchPayload{
			Key:    key,
			After:  after,
			WaitMs: wait.Milliseconds(),
		})
		return err
	})
	return public(found), err
}

// call makes one call within the limit and maps its error. A call without a usable answer gives lost.
func (c *Client) call(
	ctx context.Context, limit time.Duration, lost error, do func(context.Context) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	start := time.Now()
	err := do(traced)
	c.calls.Update(time.Since(start).Microseconds())
	if err == nil {
		return nil
	}
	mapped := mapError(err, lost, connected.Load())
	if errors.Is(mapped, steer.ErrDown) || errors.Is(mapped, steer.ErrUnknown) {
		c.failed.Inc(1)
		level.Debug(c.logger).Log("msg", "Store call failed.", "err", err)
	}
	return mapped
}

// mapError translates an error of the goa client. Without a connection nothing was sent, so a write had no effect.
func mapError(err, lost error, connected bool) error {
	var named *goa.ServiceError
	if errors.As(err, &named) {
		if known, ok := errorsByName[named.GoaErrorName()]; ok {
			return known
		}
	}
	if !connected {
		return eris.Wrap(steer.ErrDown, err.Error())
	}
	return eris.Wrap(lost, err.Error())
}

func public(e *store.StoreEntry) steer.Entry {
	if e == nil {
		return steer.Entry{}
	}
	return steer.Entry{
		Key:      e.Key,
		Value:    e.Value,
		Revision: e.Revision,
	}
}
