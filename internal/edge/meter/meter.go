// Package meter counts and limits the bytes that are read from a peer. A Reader belongs to one connection, and LimitBodies
// limits the responses that an HTTP client reads. Their users choose the limits and handle the errors.
package meter

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// ErrTooLarge means that a peer has sent more bytes than the limit.
var ErrTooLarge = errors.New("more bytes than the limit")

// Reader reads from a source, counts the bytes, and fails once its limit is used up.
type Reader struct {
	source    io.Reader
	traffic   *Traffic
	remaining int64
	bytesRead int64
}

// New returns a reader without a limit.
func New(source io.Reader) *Reader {
	return &Reader{
		source:    source,
		remaining: math.MaxInt64,
	}
}

// CountIn makes the reader count the bytes that it reads from now on in a Traffic, which may be nil.
func (r *Reader) CountIn(t *Traffic) { r.traffic = t }

// SetLimit sets the number of further bytes that may be read from the source.
func (r *Reader) SetLimit(n int64) { r.remaining = n }

// RemoveLimit removes the limit.
func (r *Reader) RemoveLimit() { r.remaining = math.MaxInt64 }

// BytesRead returns the number of bytes read from the source so far.
func (r *Reader) BytesRead() int64 { return r.bytesRead }

// Read implements io.Reader. It fails with ErrTooLarge when the limit is used up.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	r.bytesRead += int64(n)
	r.traffic.addReceived(int64(n))
	return n, err
}

// ReadUpTo reads until the buffer is full or the source ends. Unlike io.ReadFull, it tells the end of the source, which is no
// error, from a source that was cut off.
func ReadUpTo(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = source.Read(buffer[n:])
		n += read
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// Doer sends HTTP requests. *http.Client implements it.
type Doer interface {
	Do(r *http.Request) (*http.Response, error)
}

// LimitBodies returns a Doer whose responses fail to be read beyond maxBytes of their bodies.
func LimitBodies(doer Doer, maxBytes int64) Doer {
	return limitedDoer{
		doer:     doer,
		maxBytes: maxBytes,
	}
}

type limitedDoer struct {
	doer     Doer
	maxBytes int64
}

// Do implements Doer.
func (l limitedDoer) Do(r *http.Request) (*http.Response, error) {
	response, err := l.doer.Do(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, l.maxBytes)
	}
	return response, err
}
