package conns

import (
	"container/list"
	"errors"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

const (
	// reservedFraction is the fraction of the sockets that is kept for listeners, other hosts and the platform: 487 of 3,900. In a
	// fleet of 470 hosts, a host has at most 128 connections to others.
	reservedFraction = 0.125

	// excessFraction is the number of connections beyond the limit, relative to it, that are accepted to refuse their requests. They
	// use a part of the reserved sockets.
	excessFraction = 0.0625

	// memoryFraction is the fraction of the memory that may hold connections, and connMemory what one of them takes in bytes, with
	// its goroutine and buffers: a host with 3,700 connections had 82 MB more than an idle one.
	memoryFraction = 0.5
	connMemory     = 24 << 10

	// exhaustedFraction is the fraction of the open connections that is closed, if they are idle, when the system has no
	// descriptor left although the limit is not reached.
	exhaustedFraction = 0.0625

	// firstRequestTimeout is the time after which a connection without a request may be closed to make room: a round trip between
	// regions, and a segment that is sent again after 200 ms.
	firstRequestTimeout = 300 * time.Millisecond

	// logInterval is the shortest time between two log lines on closed connections.
	logInterval = time.Second
)

// Config configures a Budget.
type Config struct {
	Descriptors     int              // Descriptors of the process. 0, or more than its resource limit, selects the resource limit.
	FileDescriptors int              // Descriptors that are no sockets.
	Memory          int64            // Memory of the process in bytes, a fraction of which may hold connections. 0 means any number.
	Logger          log.Logger       // Nil means no logging.
	Metrics         metrics.Registry // Nil means a private registry.
}

// Budget bounds the connections that are counted in it. It is safe for concurrent use.
type Budget struct {
	logger  log.Logger
	limit   int // Connections above which idle ones are closed, and requests refused if there are none.
	maximum int // Connections above which none is accepted.

	openConns     metrics.Gauge
	idleConns     metrics.Gauge
	closedIdle    metrics.Counter
	excess        metrics.Counter
	failedAccepts metrics.Counter

	mu     sync.Mutex
	open   int
	idle   list.List // Of *Conn; the one that has been idle for longest comes first.
	logged time.Time
}

// New returns a budget for the descriptors and the memory of the process.
func New(c Config) *Budget {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	b := &Budget{
		logger: log.With(c.Logger, "part", "conns"),

		openConns:     metrics.GetOrRegisterGauge("conns-open", c.Metrics),
		idleConns:     metrics.GetOrRegisterGauge("conns-idle", c.Metrics),
		closedIdle:    metrics.GetOrRegisterCounter("conns-closed-idle", c.Metrics),
		excess:        metrics.GetOrRegisterCounter("conns-excess", c.Metrics),
		failedAccepts: metrics.GetOrRegisterCounter("conns-accept-failures", c.Metrics),
	}
	descriptors, err := resourceLimit()
	if err != nil {
		_ = level.Warn(b.logger).Log("msg", "Resource limit of descriptors is unknown.", "err", err)
	}
	if c.Descriptors > 0 {
		descriptors = min(descriptors, c.Descriptors)
	}
	sockets := float64(max(descriptors-c.FileDescriptors, 1))
	limit := (1 - reservedFraction) * sockets
	if c.Memory > 0 {
		limit = min(limit, memoryFraction*float64(c.Memory)/connMemory)
	}
	b.limit = max(int(limit), 1)
	b.maximum = b.limit + max(int(excessFraction*limit), 1)
	_ = level.Info(b.logger).Log("msg", "Connections are limited.", "descriptors", descriptors, "limit", b.limit, "maximum", b.maximum)
	return b
}

// resourceLimit returns the number of descriptors that the system lets the process open.
func resourceLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32, err
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// Conn is one connection in a budget.
type Conn struct {
	budget      *Budget
	closeUnused func() bool
	element     *list.Element // In the list of idle connections; nil while it is in use.
	keepUntil   time.Time     // It is not closed before. Zero unless it waits for its first request.
	removed     bool
}

// Add counts a connection, which is in use at first. If there are more than the limit, it closes the one that has been idle for
// longest. It reports false if none is idle: the new connection should then be closed soon.
//
// The function closeUnused is called for an idle connection, which may have come into use meanwhile. It closes the connection
// unless that is so, and reports whether it did. It must not call the budget. Remove must be called for each connection that ends.
func (b *Budget) Add(closeUnused func() bool) (*Conn, bool) {
	c := &Conn{
		budget:      b,
		closeUnused: closeUnused,
	}
	b.mu.Lock()
	b.open++
	b.openConns.Update(int64(b.open))
	over := b.open - b.limit
	b.mu.Unlock()
	if over <= 0 || b.closeIdle(1, "limit") == 1 {
		return c, true
	}
	b.excess.Inc(1)
	return c, false
}

// mayAccept reports whether a further connection may be accepted. If there are too many, it closes an idle one.
func (b *Budget) mayAccept() bool {
	open, _ := b.counts()
	return open < b.maximum || b.closeIdle(1, "maximum") == 1
}

// counts returns the number of open connections, and how many of them are idle.
func (b *Budget) counts() (open, idle int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open, b.idle.Len()
}

// Exhausted reports whether an error means that the process or the system has no descriptor left.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// MakeRoom closes idle connections after an error for which Exhausted is true, and reports whether it closed any.
func (b *Budget) MakeRoom() bool {
	open, _ := b.counts()
	return b.closeIdle(max(int(exhaustedFraction*float64(open)), 1), "exhausted") > 0
}

// closeIdle closes up to count connections, first those that have been idle for longest, and returns how many it closed.
func (b *Budget) closeIdle(count int, reason string) int {
	closed := 0
	for closed < count {
		c := b.takeIdle(time.Now())
		if c == nil {
			break
		}
		if c.closeUnused() { // Without the lock: it takes the lock of the connection, under which SetIdle is called.
			c.Remove()
			closed++
		}
	}
	if closed == 0 {
		return 0
	}
	b.closedIdle.Inc(int64(closed))
	b.mu.Lock()
	now := time.Now()
	due := now.Sub(b.logged) >= logInterval
	if due {
		b.logged = now
	}
	b.mu.Unlock()
	if due {
		open, idle := b.counts()
		_ = level.Info(b.logger).Log("msg", "Idle connections are closed.", "reason", reason, "open", open, "idle", idle,
			"closed-in-all", b.closedIdle.Count())
	}
	return closed
}

// takeIdle removes the connection that has been idle for longest from the list of idle ones and returns it, or nil if none may be
// closed.
func (b *Budget) takeIdle(now time.Time) *Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if now.Before(c.keepUntil) {
			continue
		}
		c.unlist()
		return c
	}
	return nil
}

// SetNew records that the connection waits for its first request. It counts as idle, but is not closed within
// firstRequestTimeout, as its request may be on the way: the caller, which has been accepted, would get a reset for an answer.
func (c *Conn) SetNew() { c.setIdle(firstRequestTimeout) }

// SetIdle records that the connection is not in use. Its place in the order of idle connections is that of the first such call.
func (c *Conn) SetIdle() { c.setIdle(0) }

func (c *Conn) setIdle(keep time.Duration) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.element != nil || c.removed {
		return
	}
	c.keepUntil = time.Time{}
	if keep > 0 {
		c.keepUntil = time.Now().Add(keep)
	}
	c.element = b.idle.PushBack(c)
	b.idleConns.Update(int64(b.idle.Len()))
}

// SetUsed records that the connection is in use.
func (c *Conn) SetUsed() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.unlist()
}

// Remove records that the connection is closed. Further calls have no effect.
func (c *Conn) Remove() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.unlist()
	if !c.removed {
		c.removed = true
		b.open--
		b.openConns.Update(int64(b.open))
	}
}

// unlist removes the connection from the idle ones. Its caller holds the lock of the budget.
func (c *Conn) unlist() {
	if c.element != nil {
		c.budget.idle.Remove(c.element)
		c.budget.idleConns.Update(int64(c.budget.idle.Len()))
		c.element = nil
	}
}
