package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the lines that wait to be written. A host logs as many in some seconds.
	queueCapacity = 2048

	// flushInterval is the time between two writes. Lines are written in batches, since each write costs a system call.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter writes log lines in the background and never blocks its caller. When its queue is full, it drops lines and
// logs the number of dropped lines with the next batch.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w. It must be closed to stop its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		lines: make(chan []byte, queueCapacity),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(a.done)
		a.run(w)
	}()
	return a
}

// Write implements io.Writer. It queues a copy of one line, or drops the line, and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. It may be called more than once.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.stop) })
	<-a.done
}

// run writes queued lines to w until the writer is closed.
func (a *AsyncWriter) run(w io.Writer) {
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
			if !a.waitForBatch() {
				a.flush(w, a.drain(batch))
				return
			}
			batch = a.flush(w, a.drain(batch))
		case <-a.stop:
			a.flush(w, a.drain(batch))
			return
		}
	}
}

// waitForBatch waits for flushInterval so that lines accumulate. It returns false if the writer is closed meanwhile.
func (a *AsyncWriter) waitForBatch() bool {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.stop:
		return false
	}
}

// drain appends all queued lines to batch.
func (a *AsyncWriter) drain(batch []byte) []byte {
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// flush writes batch, with the number of dropped lines if there are any, and returns it emptied for reuse.
func (a *AsyncWriter) flush(w io.Writer, batch []byte) []byte {
	if n := a.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "part=telem msg=\"Log lines were dropped.\" lines=%d\n", n)
	}
	if len(batch) > 0 {
		_, _ = w.Write(batch) // There is nowhere to report an error of the log output.
	}
	return batch[:0]
}
