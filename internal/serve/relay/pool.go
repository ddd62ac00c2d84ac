package relay

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/answer"
)

const (
	// idleConnTimeout is how long a pooled connection may be idle. The longer it is idle, the likelier it is silently dead.
	idleConnTimeout = 30 * time.Second

	// maxIdleConns bounds the idle connections kept for one address.
	maxIdleConns = 32

	// maxResponseHeaderSize bounds the header of a response, in bytes.
	maxResponseHeaderSize = 64 << 10

	// transportTTL is how long the transports of an address are kept without use.
	transportTTL = time.Minute
)

// newTransport returns a transport whose connections check the request's deadline before each write.
func newTransport(dial steer.Dial, dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{
				Conn: answer.NewConn(c),
			}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
	}
}

// pool holds separate transports for each address, so that all idle connections to one address can be closed at once and
// requests to different targets share no lock. The zero value is ready for use once dial and dialTimeout are set.
type pool struct {
	dial        steer.Dial
	dialTimeout time.Duration
	transports  sync.Map // netip.AddrPort to *transportPair.
}

// transportPair holds the two transports of one address; the embedded one reuses connections.
type transportPair struct {
	*http.Transport
	singleUse *http.Transport // Uses each connection once.
	lastUsed  atomic.Int64    // Unix time in nanoseconds.
}

// get returns a transport for an address. With singleUse, each request gets a new connection, otherwise a pooled one if
// there is one.
func (p *pool) get(now time.Time, address netip.AddrPort, singleUse bool) *http.Transport {
	found, ok := p.transports.Load(address)
	if !ok {
		t := &transportPair{
			Transport: newTransport(p.dial, p.dialTimeout),
			singleUse: newTransport(p.dial, p.dialTimeout),
		}
		t.singleUse.DisableKeepAlives = true
		found, _ = p.transports.LoadOrStore(address, t)
	}
	t := found.(*transportPair)
	t.lastUsed.Store(now.UnixNano())
	if singleUse {
		return t.singleUse
	}
	return t.Transport
}

// closeIdleTo closes the idle connections to an address. When one of them is dead, the others are likely dead as well.
func (p *pool) closeIdleTo(address netip.AddrPort) {
	if found, ok := p.transports.Load(address); ok {
		found.(*transportPair).CloseIdleConnections()
	}
}

// sweep removes the transports of addresses that have not been used for transportTTL.
func (p *pool) sweep(now time.Time) {
	p.transports.Range(func(address, found any) bool {
		t := found.(*transportPair)
		if now.UnixNano()-t.lastUsed.Load() > int64(transportTTL) {
			p.transports.Delete(address)
			t.CloseIdleConnections()
		}
		return true
	})
}

func (p *pool) closeAllIdle() {
	p.transports.Range(func(_, found any) bool {
		found.(*transportPair).CloseIdleConnections()
		return true
	})
}

// Constants of the quantile estimation by stochastic approximation. A sample above the estimate raises the estimate by the
// fraction stepUp, any other sample lowers it by the fraction stepDown. The two balance when one sample in 20 is above.
const (
	stepUp   = 0.095
	stepDown = 0.005
)

// quantile estimates the 95th percentile of latencies without a lock. A lost update only drops one sample.
type quantile struct {
	seconds atomic.Uint64 // The estimate as the bits of a float64; 0 before the first sample.
}

func (q *quantile) add(d time.Duration) {
	sample := d.Seconds()
	estimate := math.Float64frombits(q.seconds.Load())
	switch {
	case estimate == 0:
		estimate = 2 * sample
	case sample > estimate:
		estimate *= 1 + stepUp
	default:
		estimate *= 1 - stepDown
	}
	q.seconds.Store(math.Float64bits(estimate))
}

func (q *quantile) value() time.Duration {
	return time.Duration(math.Float64frombits(q.seconds.Load()) * float64(time.Second))
}
