package back

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// sentPart is the part of the process's memory that may be held for answers that are awaited. A request that does not fit
	// is not sent.
	sentPart = 0.25

	// sparePart is the part for what answers turn out to be longer than expected.
	sparePart = 0.2

	// leastMemory is the memory in bytes that is reckoned with when none is set.
	leastMemory = 128 << 20

	// leastHold and firstHold are the bytes that are held for an answer of a class at least, and before any answer of the class
	// was seen.
	leastHold = 8 << 10
	firstHold = 64 << 10

	// holdMargin is what is held relative to the longest recent answer of a class.
	holdMargin = 1.25

	// holdDecay is the part by which the longest recent answer is forgotten with each shorter one.
	holdDecay = 0.005

	// maxUndeclared bounds in bytes the body of an answer that does not tell its length: it may have no end.
	maxUndeclared = 1 << 20

	// maxDeclared bounds in bytes the body of an answer that tells its length.
	maxDeclared = 16 << 20

	// roomWait is the longest wait for memory before a request is sent.
	roomWait = 200 * time.Millisecond

	// maxLengths bounds the classes whose answers are remembered: some times the routes of a plan.
	maxLengths = 4096
)

// ErrNoMemory means that a request was not sent because the memory for answers is used up.
var ErrNoMemory = errors.New("no memory for an answer")

// room bounds the memory that is held for answers. What an answer needs beyond its expected length is taken at once, so that
// answers that wait for more never wait for each other.
type room struct {
	sent  *semaphore.Weighted
	spare *semaphore.Weighted
	most  int64 // Bytes of one answer with a known length.

	mu      sync.Mutex
	lengths map[string]float64 // Longest recent answer in bytes, by class.
}

func newRoom(memory int64) *room {
	if memory <= 0 {
		memory = leastMemory
	}
	spare := int64(sparePart * float64(memory))
	return &room{
		sent:    semaphore.NewWeighted(int64(sentPart * float64(memory))),
		spare:   semaphore.NewWeighted(spare),
		most:    min(maxDeclared, spare),
		lengths: map[string]float64{},
	}
}

// hold is the memory that is held for one answer.
type hold struct {
	room  *room
	class string
	sent  int64
	spare int64
}

// reserve takes the memory for an answer of a class. It waits for a short time and fails with ErrNoMemory.
func (r *room) reserve(ctx context.Context, class string) (*hold, error) {
	h := &hold{
		room:  r,
		class: class,
		sent:  r.expected(class),
	}
	if r.sent.TryAcquire(h.sent) {
		return h, nil
	}
	ctx, cancel := context.WithTimeout(ctx, roomWait)
	defer cancel()
	if err := r.sent.Acquire(ctx, h.sent); err != nil {
		return nil, ErrNoMemory
	}
	return h, nil
}

func (r *room) expected(class string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	length, ok := r.lengths[class]
	if !ok {
		return firstHold
	}
	return min(max(int64(holdMargin*length), leastHold), r.most)
}

// extend makes room for an answer of the given length in bytes. It waits until there is some or ctx ends.
func (h *hold) extend(ctx context.Context, length int64) error {
	more := length - h.sent - h.spare
	if more <= 0 {
		return nil
	}
	if err := h.room.spare.Acquire(ctx, more); err != nil {
		return err
	}
	h.spare += more
	return nil
}

// answered notes the length of a whole answer.
func (h *hold) answered(length int) {
	r := h.room
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.lengths[h.class]
	switch {
	case !ok && len(r.lengths) >= maxLengths:
		clear(r.lengths)
		r.lengths[h.class] = float64(length)
	case !ok || float64(length) >= known:
		r.lengths[h.class] = float64(length)
	default:
		r.lengths[h.class] = known - holdDecay*(known-float64(length))
	}
}

// release gives the memory back. Further calls do nothing.
func (h *hold) release() {
	r := h.room
	r.mu.Lock()
	sent, spare := h.sent, h.spare
	h.sent, h.spare = 0, 0
	r.mu.Unlock()
	r.sent.Release(sent)
	r.spare.Release(spare)
}
