package back

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"monsoonhub.example/steer/internal/edge/stall"
)

const (
	// upfrontFraction is the fraction of the process's memory that may be reserved before requests are sent, for the expected
	// size of their answers. A request that does not fit is not sent.
	upfrontFraction = 0.25

	// overflowFraction is the fraction of the process's memory for answers that turn out larger than expected.
	overflowFraction = 0.2

	// defaultMemory is the memory of the process in bytes if none is configured.
	defaultMemory = 128 << 20

	// largeFraction is the fraction of the memory for expected answers that answers larger than smallAnswer may take together. The
	// rest serves the requests for small answers while large ones wait for their callers to read.
	largeFraction = 0.9
	smallAnswer   = defaultReservation

	// minReservation is the minimum reservation for an answer, in bytes. defaultReservation applies to a class of which no
	// answer has been seen.
	minReservation     = 8 << 10
	defaultReservation = 64 << 10

	// reservationMargin is the reservation relative to the largest recent answer of the class.
	reservationMargin = 1.25

	// lengthDecay is the fraction by which each shorter answer moves the largest recent length towards its own length.
	lengthDecay = 0.005

	// maxBodyWithoutLength bounds, in bytes, the body of an answer without a declared length, which may have no end.
	maxBodyWithoutLength = 1 << 20

	// maxBodyWithLength bounds, in bytes, the body of an answer with a declared length.
	maxBodyWithLength = 16 << 20

	// maxMemoryWait bounds the wait for memory before a request is sent.
	maxMemoryWait = 200 * time.Millisecond

	// maxSizeClasses bounds the number of size classes that are tracked. It is several times the number of routes of a plan.
	maxSizeClasses = 4096
)

// ErrNoMemory means that a request was not sent because the memory for answers is exhausted.
var ErrNoMemory = errors.New("memory for answers is exhausted")

// memoryBudget bounds the memory that is reserved for answers. Memory beyond the expected size of an answer is taken in one
// step, so that answers that wait for more memory cannot deadlock.
type memoryBudget struct {
	slow     *stall.Book
	upfront  *semaphore.Weighted
	large    *semaphore.Weighted // Part of upfront that answers larger than smallAnswer may take.
	maxLarge int64               // Size of large.
	overflow *semaphore.Weighted
	maxBody  int64     // Maximum body in bytes of an answer with a declared length.
	buffers  sync.Pool // Buffers for bodies without a declared length that nobody has seen, as their reads failed.

	mu      sync.Mutex
	lengths map[string]float64 // Length in bytes of the largest recent answer, by size class.
}

func newMemoryBudget(memory int64, slow *stall.Book) *memoryBudget {
	if memory <= 0 {
		memory = defaultMemory
	}
	overflow := int64(overflowFraction * float64(memory))
	upfront := int64(upfrontFraction * float64(memory))
	maxLarge := int64(largeFraction * float64(upfront))
	return &memoryBudget{
		slow:     slow,
		upfront:  semaphore.NewWeighted(upfront),
		large:    semaphore.NewWeighted(maxLarge),
		maxLarge: maxLarge,
		overflow: semaphore.NewWeighted(overflow),
		maxBody:  min(maxBodyWithLength, overflow),
		lengths:  map[string]float64{},
	}
}

// reservation is the memory that is reserved for one answer.
type reservation struct {
	memoryBudget *memoryBudget
	class        string
	upfront      int64
	large        int64 // Part of upfront that is taken from the memory for large answers.
	overflow     int64
}

// reserve reserves memory for an answer of a size class. It waits at most maxMemoryWait and fails with ErrNoMemory.
func (b *memoryBudget) reserve(ctx context.Context, class string) (*reservation, error) {
	r := &reservation{
		memoryBudget: b,
		class:        class,
		upfront:      b.expectedSize(class),
	}
	if r.upfront > smallAnswer {
		r.large = min(r.upfront, b.maxLarge)
	}
	if r.large == 0 && b.upfront.TryAcquire(r.upfront) {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxMemoryWait)
	defer cancel()
	if r.large > 0 {
		if err := b.slow.Acquire(ctx, b.large, r.large); err != nil {
			return nil, ErrNoMemory
		}
	}
	if err := b.slow.Acquire(ctx, b.upfront, r.upfront); err != nil {
		b.large.Release(r.large)
		return nil, ErrNoMemory
	}
	return r, nil
}

// shrink frees what the reservation holds beyond the given size of a body in bytes.
func (r *reservation) shrink(size int) {
	b := r.memoryBudget
	needed := max(int64(size), minReservation)
	b.mu.Lock()
	excess := max(r.upfront+r.overflow-needed, 0)
	overflow := min(r.overflow, excess)
	upfront := excess - overflow
	large := max(r.large-(r.upfront-upfront), 0)
	r.upfront, r.large, r.overflow = r.upfront-upfront, r.large-large, r.overflow-overflow
	b.mu.Unlock()
	b.upfront.Release(upfront)
	b.large.Release(large)
	b.overflow.Release(overflow)
}

func (b *memoryBudget) expectedSize(class string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	length, ok := b.lengths[class]
	if !ok {
		return defaultReservation
	}
	return b.sizeFor(length)
}

// sizeFor returns the reservation for an answer of a class whose largest recent answer has the given length.
func (b *memoryBudget) sizeFor(length float64) int64 {
	return min(max(int64(reservationMargin*length), minReservation), b.maxBody)
}

// grow extends the reservation to the given length in bytes. It waits until there is enough memory or ctx ends.
func (r *reservation) grow(ctx context.Context, length int64) error {
	more := length - r.upfront - r.overflow
	if more <= 0 {
		return nil
	}
	if err := r.memoryBudget.slow.Acquire(ctx, r.memoryBudget.overflow, more); err != nil {
		return err
	}
	r.overflow += more
	return nil
}

// recordLength records the length of a complete answer of the class.
func (r *reservation) recordLength(length int) {
	b := r.memoryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.lengths[r.class]
	switch {
	case !ok && len(b.lengths) >= maxSizeClasses:
		clear(b.lengths)
		b.lengths[r.class] = float64(length)
	case !ok || float64(length) >= known:
		b.lengths[r.class] = float64(length)
	default:
		b.lengths[r.class] = known - lengthDecay*(known-float64(length))
	}
}

// takeBuffer returns a buffer for the largest body without a declared length, and one byte more, which tells whether the body
// is larger. Its content is undefined.
func (b *memoryBudget) takeBuffer() []byte {
	if buffer, ok := b.buffers.Get().(*[]byte); ok {
		return *buffer
	}
	return make([]byte, maxBodyWithoutLength+1)
}

// returnBuffer allows another use of a buffer. Endless answers would otherwise leave garbage faster than it is collected.
func (b *memoryBudget) returnBuffer(buffer []byte) { b.buffers.Put(&buffer) }

// release frees the reserved memory. Further calls have no effect.
func (r *reservation) release() {
	b := r.memoryBudget
	b.mu.Lock()
	upfront, large, overflow := r.upfront, r.large, r.overflow
	r.upfront, r.large, r.overflow = 0, 0, 0
	b.mu.Unlock()
	b.upfront.Release(upfront)
	b.large.Release(large)
	b.overflow.Release(overflow)
}
