package stall_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/stall"
)

// Guards against closing the connections of callers that read, and against keeping one of a caller that does not.
func TestOnlySlowCallersAreClosed(t *testing.T) {
	type taken struct {
		at    time.Duration
		bytes int64
	}
	for _, c := range []struct {
		name  string
		taken []taken
		now   time.Duration
		slow  bool
	}{
		{name: "nothing read, just begun", now: 900 * time.Millisecond},
		{name: "nothing read for a second", now: time.Second, slow: true},
		{name: "a byte a second", taken: []taken{{at: time.Second, bytes: 1}}, now: 1500 * time.Millisecond, slow: true},
		{name: "64 KB a second", taken: []taken{{at: time.Second, bytes: 64 << 10}}, now: 1900 * time.Millisecond},
		{name: "a lost packet", taken: []taken{{at: 10 * time.Millisecond, bytes: 64 << 10}}, now: 1900 * time.Millisecond},
		{name: "stopped after a fast beginning", taken: []taken{{bytes: 1 << 20}}, now: 2 * time.Second, slow: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := stall.New(stall.Config{})
			start := time.Unix(1000, 0)
			w := b.Begin(start, func() int64 { return 7 })
			for _, step := range c.taken {
				w.Advance(start.Add(step.at), step.bytes)
			}
			freed, ok := b.CloseSlowest(start.Add(c.now))
			assert.Equal(t, ok, c.slow)
			assert.Equal(t, freed == 7, c.slow)
			_, again := b.CloseSlowest(start.Add(time.Hour))
			assert.Equal(t, again, !c.slow, "a connection is closed once")
		})
	}
}

// Guards against closing more connections than the memory that is needed, and against closing any while there is memory.
func TestClosesNoMoreThanNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := semaphore.NewWeighted(100)
		b := stall.New(stall.Config{})
		assert.NilError(t, b.Acquire(t.Context(), memory, 10))
		closed := 0
		for range 9 {
			assert.NilError(t, b.Acquire(t.Context(), memory, 10))
			b.Begin(time.Now(), func() int64 {
				closed++
				memory.Release(10)
				return 10
			})
		}
		assert.Equal(t, closed, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, b.Acquire(ctx, memory, 25), context.DeadlineExceeded, "nobody is slow yet")
		assert.Equal(t, closed, 0)
		begun := time.Now()
		assert.NilError(t, b.Acquire(t.Context(), memory, 25))
		assert.Equal(t, closed, 3)
		assert.Assert(t, time.Since(begun) < time.Second, "took %v", time.Since(begun))
	})
}

// Guards against a data race between the log line of a closed connection and the writer, which may still count bytes.
func TestClosesWhileBytesAreTaken(t *testing.T) {
	b := stall.New(stall.Config{})
	start := time.Unix(1000, 0)
	var writer sync.WaitGroup
	var w *stall.Write
	w = b.Begin(start, func() int64 {
		writer.Go(func() { w.Advance(start.Add(time.Second), 1) })
		return 7
	})
	freed, ok := b.CloseSlowest(start.Add(time.Second))
	writer.Wait()
	assert.Assert(t, ok)
	assert.Equal(t, freed, int64(7))
}
