package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is the number of lines that wait to be written: some seconds of a host's lines.
	boundedLines = 2048

	// flushEvery is the time between two writes. Each write costs a system call.
	flushEvery = 100 * time.Millisecond
)

// AsyncWriter is a writer of log lines that never blocks. Lines that find no room are dropped and counted in a later line.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer in front of w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{
		lines: make(chan []byte, boundedLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		b.run(w)
	}()
	return b
}

// Write implements io.Writer. It takes one line and returns no error.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait.
func (b *AsyncWriter) Close() {
	b.once.Do(func() { close(b.stop) })
	<-b.done
}

func (b *AsyncWriter) run(w io.Writer) {
	var batch []byte
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
			if !b.pause() {
				b.flush(w, b.drain(batch))
				return
			}
			batch = b.flush(w, b.drain(batch))
		case <-b.stop:
			b.flush(w, b.drain(batch))
			return
		}
	}
}

// pause lets lines gather. It reports false if the writer is closed meanwhile.
func (b *AsyncWriter) pause() bool {
	timer := time.NewTimer(flushEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.stop:
		return false
	}
}

func (b *AsyncWriter) drain(batch []byte) []byte {
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

func (b *AsyncWriter) flush(w io.Writer, batch []byte) []byte {
	if n := b.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "part=telem msg=\"Log lines were dropped.\" lines=%d\n", n)
	}
	if len(batch) > 0 {
		_, _ = w.Write(batch) // There is nowhere to report that standard output is gone.
	}
	return batch[:0]
}
