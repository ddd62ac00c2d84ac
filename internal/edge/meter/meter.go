// Package meter bounds the bytes that are read from a peer. It decides nothing, and its state belongs to one connection.
package meter

import (
	"errors"
	"io"
	"math"
)

// ErrTooLarge means that a peer sent more bytes than it may.
var ErrTooLarge = errors.New("more bytes than the limit")

// Reader reads from a source until its limit is used up.
type Reader struct {
	source io.Reader
	left   int64
	taken  int64
}

// New returns a reader without a limit.
func New(source io.Reader) *Reader {
	return &Reader{
		source: source,
		left:   math.MaxInt64,
	}
}

// SetLimit sets the number of bytes that may still be read from the source.
func (r *Reader) SetLimit(n int64) { r.left = n }

// RemoveLimit lifts the limit.
func (r *Reader) RemoveLimit() { r.left = math.MaxInt64 }

// BytesRead returns the number of bytes that were read from the source so far.
func (r *Reader) BytesRead() int64 { return r.taken }

// Read implements io.Reader. It fails with ErrTooLarge when the limit is used up.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.source.Read(p)
	r.left -= int64(n)
	r.taken += int64(n)
	return n, err
}
