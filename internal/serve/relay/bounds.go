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
	// maxCopies bounds the occurrences of one header that must be single.
	maxCopies = 1

	// forwardSize is the room for the headers that a host adds to a forwarded request, in bytes.
	forwardSize = 2 << 10

	// minKeySize is the shortest key that is searched for in other headers; a shorter one would match by chance.
	minKeySize = 8
)

// Causes of refusals for bounds and malformed requests.
var (
	errInProgress  = errors.New("too many requests in progress")
	errHeaderSize  = errors.New("header is too large")
	errBodySize    = errors.New("body is too large")
	errPath        = errors.New("path has empty or dot segments")
	errDeadline    = errors.New("deadline is not a positive number of milliseconds")
	errRepeated    = errors.New("header must occur once")
	errKeyInURL    = errors.New("key occurs in the URL")
	errMethod      = errors.New("method is not supported")
	errBodyTimeout = errors.New("body arrives too slowly")
)

// Bounds limits what callers may use. Zero fields select defaults.
type Bounds struct {
	MaxHeaderSize      int           // Request header; 16 KiB.
	HeaderReadTimeout  time.Duration // Longest time for a request header to arrive; 5 s.
	MaxBodySize        int64         // Request body; 16 MiB.
	BodyIdleTimeout    time.Duration // Longest time without a byte of the request body; 5 s.
	ConnIdleTimeout    time.Duration // Longest time a caller's connection may be idle; 60 s.
	MaxOpenConnections int           // Open connections for each listener; 8,192.
	MaxInFlight        int           // Requests in progress; 4,096.
	MaxRetryBodySize   int           // Body kept to send it again after proof that it did not run; 16 KiB.
	DefaultTimeout     time.Duration // Deadline of a service without its own; 30 s.
	DialTimeout        time.Duration // Connection to a target or host; 1 s.
	ForwardWindow      time.Duration // Largest difference of clocks between hosts, with the delay; 10 s.
	ReplayCacheSize    int           // Forwarded requests remembered against replay; 131,072.
}

func (b Bounds) withDefaults() Bounds {
	fill(&b.MaxHeaderSize, 16<<10)
	fill(&b.HeaderReadTimeout, 5*time.Second)
	fill(&b.MaxBodySize, 16<<20)
	fill(&b.BodyIdleTimeout, 5*time.Second)
	fill(&b.ConnIdleTimeout, 60*time.Second)
	fill(&b.MaxOpenConnections, 8192)
	fill(&b.MaxInFlight, 4096)
	fill(&b.MaxRetryBodySize, 16<<10)
	fill(&b.DefaultTimeout, 30*time.Second)
	fill(&b.DialTimeout, time.Second)
	fill(&b.ForwardWindow, 10*time.Second)
	fill(&b.ReplayCacheSize, 1<<17)
	return b
}

func fill[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Server returns a server for a caller or peer listener with the bounds that a handler cannot enforce.
func (b Bounds) Server(handler http.Handler) *http.Server {
	b = b.withDefaults()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: b.HeaderReadTimeout,
		IdleTimeout:       b.ConnIdleTimeout,
		WriteTimeout:      b.DefaultTimeout, // Requests to services set their own deadline in place of this one.
		MaxHeaderBytes:    b.MaxHeaderSize,
	}
}

// Listener bounds the open connections of a listener. Further connections wait in the kernel's queue.
func (b Bounds) Listener(l net.Listener) net.Listener {
	return netutil.LimitListener(l, b.withDefaults().MaxOpenConnections)
}

// checkBounds refuses a request whose header or announced body is too large, before the body is read.
func (h *Handler) checkBounds(x *exchange) error {
	r := x.r
	limit := h.conf.Bounds.MaxHeaderSize
	if x.kind != "" {
		limit += forwardSize
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
		if len(r.Header[name]) > maxCopies {
			return refuse(steer.NotRun, steer.ReasonBadRequest, errRepeated)
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

// deadline returns the end of the request: the caller's limit, or that of the service if it is earlier.
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
