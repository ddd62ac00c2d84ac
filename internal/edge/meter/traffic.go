package meter

import "sync/atomic"

// Traffic counts the bytes that a process exchanges with its peers. The zero value is ready for use. It is safe for concurrent use.
type Traffic struct {
	received, sent atomic.Int64
}

// AddSent counts bytes that were sent. It has no effect on a nil Traffic.
func (t *Traffic) AddSent(n int64) {
	if t != nil {
		t.sent.Add(n)
	}
}

// addReceived counts bytes that were received. It has no effect on a nil Traffic.
func (t *Traffic) addReceived(n int64) {
	if t != nil {
		t.received.Add(n)
	}
}

// Bytes returns the numbers of bytes received and sent so far.
func (t *Traffic) Bytes() (received, sent int64) { return t.received.Load(), t.sent.Load() }
