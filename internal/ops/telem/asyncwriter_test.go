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

// stuck is a writer that blocks until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against requests that wait for a log that nobody reads.
func TestBoundedNeverBlocks(t *testing.T) {
	w := &stuck{
		free: make(chan struct{}),
	}
	b := telem.NewAsyncWriter(w)
	const lines = 20000
	begun := time.Now()
	for range lines {
		_, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begun) < 5*time.Second)
	close(w.free)
	b.Close()
	written := strings.Count(w.text.String(), "line\n")
	assert.Assert(t, written > 0 && written < lines)
	assert.Assert(t, strings.Contains(w.text.String(), "Log lines were dropped."))
}

func TestBoundedWritesAllOnClose(t *testing.T) {
	var text bytes.Buffer
	b := telem.NewAsyncWriter(&text)
	for range 100 {
		_, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	b.Close()
	assert.Equal(t, text.String(), strings.Repeat("line\n", 100))
}
