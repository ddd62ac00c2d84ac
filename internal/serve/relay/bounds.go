package relay

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"monsoonhub.example/steer"
)

const (
	// maxHeaderValues bounds the values of a header that must not occur more than once.
	maxHeaderValues = 1

	// forwardHeaderSize is the size allowed for the headers that a host adds to a forwarded request, in bytes.
	forwardHeaderSize = 2 << 10

	// minKeySize is the minimum length of a key for which headers and the URL are searched; a shorter one would match by
	// chance.
	minKeySize = 8
)

// Causes of refusals for exceeded bounds and malformed requests.
var (
	errTooManyRequests = errors.New("too many requests in progress")
	errHeaderSize      = errors.New("header is too large")
	errBodySize        = errors.New("body is too large")
	errPath            = errors.New("path contains empty or dot segments")
	errDeadline        = errors.New("deadline is not a positive number of milliseconds")
	errDuplicateHeader = errors.New("header occurs more than once")
	errKeyInURL        = errors.New("URL contains the key")
	errMethod          = errors.New("method is not supported")
	errBodyTimeout     = errors.New("timeout while reading the request body")
)

// Bounds limits the resources that callers may use. Zero fields select the defaults given below.
type Bounds struct {
	MaxHeaderSize      int           // Size of a request header in bytes; 16 KiB.
	HeaderReadTimeout  time.Duration // Time for reading a request header; 5 s.
	MaxBodySize        int64         // Size of a request body in bytes; 16 MiB.
	BodyIdleTimeout    time.Duration // Time without a byte of the request body; 5 s.
	ConnIdleTimeout    time.Duration // Time a caller's connection may be idle; 60 s.
	MaxOpenConnections int           // Open connections of each listener; 8,192.
	MaxInFlight        int           // Requests in flight; 4,096.
	MaxRetryBodySize   int           // Bytes of a request body kept so that it can be sent again; 16 KiB.
	DefaultTimeout     time.Duration // Timeout of a service that sets none; 30 s.
	DialTimeout        time.Duration // Time for connecting to a target or host; 1 s.
	ForwardWindow      time.Duration // Clock difference plus delay of a forwarded request; 10 s.
	ReplayCacheSize    int           // Forwarded requests remembered for replay detection; 131,072.
}

func (b Bounds) withDefaults() Bounds {
	setDefault(&b.MaxHeaderSize, 16<<10)
	setDefault(&b.HeaderReadTimeout, 5*time.Second)
	setDefault(&b.MaxBodySize, 16<<20)
	setDefault(&b.BodyIdleTimeout, 5*time.Second)
	setDefault(&b.ConnIdleTimeout, 60*time.Second)
	setDefault(&b.MaxOpenConnections, 8192)
	setDefault(&b.MaxInFlight, 4096)
	setDefault(&b.MaxRetryBodySize, 16<<10)
	setDefault(&b.DefaultTimeout, 30*time.Second)
	setDefault(&b.DialTimeout, time.Second)
	setDefault(&b.ForwardWindow, 10*time.Second)
	setDefault(&b.ReplayCacheSize, 1<<17)
	return b
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Server returns a server for a caller or peer listener. It enforces the bounds that a handler cannot enforce.
func (b Bounds) Server(handler http.Handler) *http.Server {
	b = b.withDefaults()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: b.HeaderReadTimeout,
		IdleTimeout:       b.ConnIdleTimeout,
		WriteTimeout:      b.DefaultTimeout, // Handlers of requests to services replace it with the request's deadline.
		MaxHeaderBytes:    b.MaxHeaderSize,
	}
}

// Listener returns a listener with at most MaxOpenConnections open connections. Further connections wait in the kernel's
// queue.
func (b Bounds) Listener(l net.Listener) net.Listener {
	return netutil.LimitListener(l, b.withDefaults().MaxOpenConnections)
}

// checkBounds refuses a request whose header or declared body size is too large, whose method is not supported, which
// repeats a header, or whose URL contains the key. It runs before the body is read.
func (h *Handler) checkBounds(x *exchange) error {
	r := x.r
	limit := h.conf.Bounds.MaxHeaderSize
	if x.kind != "" {
		limit += forwardHeaderSize
	}
	if headerSize(r) > limit {
		return refuseStatus(http.StatusRequestHeaderFieldsTooLarge, steer.ReasonBounds, errHeaderSize)
	}
	if r.ContentLength > h.conf.Bounds.MaxBodySize {
		return refuseStatus(http.StatusRequestEntityTooLarge, steer.ReasonBounds, errBodySize)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return refuseStatus(http.StatusMethodNotAllowed, steer.ReasonBadRequest, errMethod)
	}
	for _, name := range []string{headerKey, headerTicket, headerDeadline} {
		if len(r.Header[name]) > maxHeaderValues {
			return refuse(steer.NotRun, steer.ReasonBadRequest, errDuplicateHeader)
		}
	}
	if len(x.key) >= minKeySize && (strings.Contains(r.RequestURI, x.key) || strings.Contains(r.URL.Path, x.key)) {
		return refuse(steer.NotRun, steer.ReasonBadRequest, errKeyInURL)
	}
	return nil
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// deadline returns the deadline of a request that started at the given time: after the caller's timeout or the service's,
// whichever is shorter.
func (h *Handler) deadline(now time.Time, r *http.Request, s *steer.Service) (time.Time, error) {
	limit := s.Timeout
	if limit <= 0 {
		limit = h.conf.Bounds.DefaultTimeout
	}
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(limit), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, refuse(steer.NotRun, steer.ReasonBadRequest, errDeadline)
	}
	if ms < limit.Milliseconds() {
		limit = time.Duration(ms) * time.Millisecond
	}
	return now.Add(limit), nil
}
