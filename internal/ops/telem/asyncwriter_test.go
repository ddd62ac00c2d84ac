package telem_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/ops/telem"
)

// blockingWriter is a writer that blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Requests must not wait for a log whose reader has stopped reading.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := &blockingWriter{
		unblock: make(chan struct{}),
	}
	writer := telem.NewAsyncWriter(w)
	const lines = 20000
	start := time.Now()
	for range lines {
		_, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	close(w.unblock)
	writer.Close()
	written := strings.Count(w.text.String(), "line\n")
	assert.Assert(t, written > 0 && written < lines)
	assert.Assert(t, strings.Contains(w.text.String(), "Log lines were dropped."))
}

func TestAsyncWriterFlushesOnClose(t *testing.T) {
	var text bytes.Buffer
	writer := telem.NewAsyncWriter(&text)
	for range 100 {
		_, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	writer.Close()
	assert.Equal(t, text.String(), strings.Repeat("line\n", 100))
}
