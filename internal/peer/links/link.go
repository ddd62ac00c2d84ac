package links

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

const (
	// maxQueuedMessages bounds the messages that wait for a slow peer.
	maxQueuedMessages = 256

	// maxQueuedBytes bounds the total size of these messages, in bytes.
	maxQueuedBytes = 8 << 20

	// maxInFlightRequests bounds the requests of one peer that are handled concurrently.
	maxInFlightRequests = 64

	// writeTimeout bounds the time for writing one message, so that the link to a peer that stops reading is closed.
	writeTimeout = 5 * time.Second

	// maxCallTimeout bounds the time for which a caller waits and the time for which a request is handled.
	maxCallTimeout = 30 * time.Second

	// maxHeartbeatAge bounds the estimated age of a heartbeat, in microseconds. It is far above removeAfter.
	maxHeartbeatAge = int64(time.Hour / time.Microsecond)

	// offsetWindow is the time after which a new bound of the clock offset is started, because clocks drift.
	offsetWindow = 30 * time.Second
)

var (
	errQueueFull       = errors.New("send queue of the peer is full")
	errLinkLost        = errors.New("link to the peer was lost")
	errTooManyRequests = errors.New("host handles too many requests of the caller")
	errNoHandler       = errors.New("host has no handler for the message kind")
)

// link is an authenticated connection to a peer. It is served by a reader and a writer goroutine.
type link struct {
	mesh         *Mesh
	conn         *websocket.Conn
	peer         identity
	dialled      bool // This host dialled the connection.
	openedAt     time.Time
	sendQueue    chan []byte
	queuedBytes  atomic.Int64  // Bytes in sendQueue.
	heartbeatDue chan struct{} // Signals the writer to send a heartbeat.
	closed       chan struct{}
	closeOnce    sync.Once
	lastHeard    atomic.Int64  // Own clock at the last receipt of bytes, in microseconds.
	writeStart   atomic.Int64  // Own clock at the start of the write in progress, in microseconds; 0 if none.
	inFlight     chan struct{} // Semaphore of the requests being handled.

	sentMembers     map[string]sentMember      // By host id. Used by the writer only.
	lastNumber      uint64                     // Last member number assigned. Used by the writer only.
	joinsSent       int                        // Number of table.joins already processed. Used by the writer only.
	joinsEpoch      uint64                     // Value of table.joinsEpoch to which joinsSent refers. Used by the writer only.
	receivedMembers map[uint64]*receivedMember // By member number. Used by the reader only.

	mu        sync.Mutex
	pending   map[uint64]chan answer // Callers that wait, by request number.
	clockSync clockSync

	// The following fields are guarded by the lock of the mesh.
	peerIncarnations map[string]uint64    // Incarnations that the peer has introduced, by host id.
	peerQueries      map[string]time.Time // Members whose state the peer asked for, with the time of the last query.
	queries          []string             // Members whose state the peer is asked for. Replaced, never modified.
	lastCall         time.Time
}

// sentMember is the state of a member as last sent to the peer.
type sentMember struct {
	number      uint64
	incarnation uint64
	sequence    uint64
	sentAt      time.Time
}

// receivedMember is the identity and the last state of a member as received from the peer. The state is nil until received.
type receivedMember struct {
	identity identity
	state    *wireState
}

// clockSync tracks a lower bound of the offset between the own clock and the clock of a peer. Values are in microseconds.
type clockSync struct {
	peerSent       int64 // Clock of the peer in its last heartbeat; 0 if none.
	receivedAt     int64 // Own clock at the receipt of that heartbeat.
	offset         int64 // Lower bound of own clock minus clock of the peer, in the current window.
	previousOffset int64 // Lower bound in the previous window.
	windowStart    int64 // Own clock at the start of the current window.
}

// observe records the clock values of a heartbeat that was received at now on the own clock. It returns a lower bound of the
// time on the own clock at which the heartbeat was sent, which holds however long the heartbeat was in transit.
func (c *clockSync) observe(now, sent, echo, echoDelay int64) int64 {
	c.peerSent, c.receivedAt = sent, now
	if echo > 0 {
		bound := echo + echoDelay - sent
		if now-c.windowStart > int64(offsetWindow/time.Microsecond) {
			c.previousOffset = c.offset
			c.offset = bound
			c.windowStart = now
		}
		c.offset = max(c.offset, bound)
	}
	return max(now-maxHeartbeatAge, min(now, sent+max(c.offset, c.previousOffset)))
}

func newLink(m *Mesh, s *session, now time.Time) *link {
	l := &link{
		mesh:             m,
		conn:             s.conn,
		peer:             s.peer,
		dialled:          s.dialled,
		openedAt:         now,
		sendQueue:        make(chan []byte, maxQueuedMessages),
		heartbeatDue:     make(chan struct{}, 1),
		closed:           make(chan struct{}),
		inFlight:         make(chan struct{}, maxInFlightRequests),
		sentMembers:      map[string]sentMember{},
		receivedMembers:  map[uint64]*receivedMember{},
		pending:          map[uint64]chan answer{},
		peerIncarnations: map[string]uint64{},
		peerQueries:      map[string]time.Time{},
		clockSync: clockSync{
			offset:         s.offset,
			previousOffset: s.offset,
			windowStart:    m.clock(now),
		},
	}
	l.lastHeard.Store(m.clock(now))
	return l
}

// close ends the link without a closing handshake. It may be called more than once.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		// CloseNow may wait for a write in progress, and callers hold the lock of the mesh.
		l.mesh.goroutines.Go(func() { _ = l.conn.CloseNow() })
	})
}

// requestHeartbeat makes the writer send a heartbeat. It does nothing if one is already requested, which will include the
// newest state.
func (l *link) requestHeartbeat() {
	select {
	case l.heartbeatDue <- struct{}{}:
	default:
	}
}

// enqueue adds a frame to the send queue without blocking. If the queue is full, it drops the frame and returns
// errQueueFull.
func (l *link) enqueue(data []byte) error {
	if l.queuedBytes.Add(int64(len(data))) > maxQueuedBytes {
		l.queuedBytes.Add(-int64(len(data)))
		l.mesh.metrics.messagesDropped.Inc(1)
		return errQueueFull
	}
	select {
	case l.sendQueue <- data:
		return nil
	default:
		l.queuedBytes.Add(-int64(len(data)))
		l.mesh.metrics.messagesDropped.Inc(1)
		return errQueueFull
	}
}

// writeLoop sends heartbeats and queued frames, heartbeats first, until the link is closed.
func (l *link) writeLoop() error {
	for {
		var data []byte
		var err error
		select {
		case <-l.heartbeatDue:
			data, err = l.mesh.buildHeartbeat(l)
		default:
			select {
			case <-l.heartbeatDue:
				data, err = l.mesh.buildHeartbeat(l)
			case data = <-l.sendQueue:
				l.queuedBytes.Add(-int64(len(data)))
			case <-l.closed:
				return nil
			}
		}
		if err == nil {
			err = l.writeMessage(data)
		}
		if err != nil {
			return err
		}
	}
}

// writeMessage sends one message. It uses no context with a deadline, which would cost a timer and an entry in the parent
// context for each message. Mesh.loop closes links on which a write takes longer than writeTimeout.
func (l *link) writeMessage(data []byte) error {
	l.writeStart.Store(l.mesh.clock(time.Now()))
	defer l.writeStart.Store(0)
	l.mesh.metrics.bytesSent.Inc(int64(len(data)))
	return l.conn.Write(context.Background(), websocket.MessageBinary, data)
}

// writeTimedOut reports whether the write in progress has taken longer than writeTimeout. Time before resumed, the end of
// the last pause of the process, does not count. Both arguments are on the own clock, in microseconds.
func (l *link) writeTimedOut(now, resumed int64) bool {
	writeStart := l.writeStart.Load()
	return writeStart != 0 && now-max(writeStart, resumed) > writeTimeout.Microseconds()
}

// readLoop handles messages until the link is closed or a message is malformed.
func (l *link) readLoop(ctx context.Context) error {
	for {
		data, err := l.readMessage()
		if err != nil {
			return err
		}
		now := time.Now()
		l.mesh.metrics.bytesReceived.Inc(int64(len(data)))
		if err := l.handleMessage(ctx, now, data); err != nil {
			l.mesh.metrics.messagesMalformed.Inc(1)
			return err
		}
	}
}

// readMessage reads one message. It records the arrival of each piece, so that a link on which a large message arrives
// slowly does not count as silent. It needs no context, because closing the link ends it.
func (l *link) readMessage() ([]byte, error) {
	kind, reader, err := l.conn.Reader(context.Background())
	if err != nil {
		return nil, eris.Wrap(err, "read peer message")
	}
	data, err := io.ReadAll(activityReader{
		Reader: reader,
		link:   l,
	})
	if err != nil {
		return nil, eris.Wrap(err, "read peer message")
	}
	if kind != websocket.MessageBinary || len(data) == 0 {
		return nil, eris.Wrap(errMalformed, "message type")
	}
	return data, nil
}

// activityReader records in link.lastHeard the time at which bytes arrive.
type activityReader struct {
	io.Reader
	link *link
}

// Read implements io.Reader.
func (p activityReader) Read(data []byte) (int, error) {
	n, err := p.Reader.Read(data)
	if n > 0 {
		p.link.lastHeard.Store(p.link.mesh.clock(time.Now()))
	}
	return n, err
}

// handleMessage decodes a message by its frame type and handles it. An error ends the link.
func (l *link) handleMessage(ctx context.Context, now time.Time, data []byte) error {
	switch data[0] {
	case frameHeartbeat:
		h, err := decodeHeartbeat(data)
		if err != nil {
			return err
		}
		return l.mesh.handleHeartbeat(l, h, now)
	case frameRequest:
		var q request
		if err := decode(data, frameRequest, &q); err != nil {
			return err
		}
		if len(q.Kind) > maxStringLength || (len(q.Trace) != 0 && len(q.Trace) != traceSize) {
			return eris.Wrap(errMalformed, "request")
		}
		l.handleRequest(ctx, q)
		return nil
	case frameAnswer:
		var a answer
		if err := decode(data, frameAnswer, &a); err != nil {
			return err
		}
		l.deliverAnswer(a)
		return nil
	default:
		return eris.Wrap(errMalformed, "frame type")
	}
}

// handleRequest runs the handler of a request in its own goroutine. It refuses the request if maxInFlightRequests are
// already handled.
func (l *link) handleRequest(ctx context.Context, q request) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.sendAnswer(q.Number, nil, errTooManyRequests)
		return
	}
	l.mesh.goroutines.Go(func() {
		defer func() { <-l.inFlight }()
		timeout := min(maxCallTimeout, time.Duration(max(0, min(q.Timeout, maxCallTimeout.Microseconds())))*time.Microsecond)
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		body, err := l.mesh.serveRequest(limited, l.peer, q)
		l.sendAnswer(q.Number, body, err)
	})
}

// sendAnswer queues an answer. If the queue is full, the answer is dropped and the call times out at the caller.
func (l *link) sendAnswer(number uint64, body []byte, err error) {
	a := answer{
		Number: number,
		Body:   body,
	}
	if err != nil {
		a.Failure = err.Error()[:min(len(err.Error()), maxStringLength)]
		a.Body = nil
	}
	data, err := encode(frameAnswer, a)
	if err != nil {
		a.Failure, a.Body = "answer is too large", nil
		if data, err = encode(frameAnswer, a); err != nil {
			return
		}
	}
	_ = l.enqueue(data)
}

// deliverAnswer passes an answer to the caller that waits for it. It drops the answer if the caller no longer waits.
func (l *link) deliverAnswer(a answer) {
	l.mu.Lock()
	waiting := l.pending[a.Number]
	delete(l.pending, a.Number)
	l.mu.Unlock()
	if waiting != nil {
		waiting <- a // Does not block, because the channel has capacity for the only answer.
	}
}

// call sends a request and waits for the answer. The context must have a deadline.
func (l *link) call(ctx context.Context, kind steer.MessageKind, body []byte) ([]byte, error) {
	number := l.mesh.lastRequestNumber.Add(1)
	data, err := encode(frameRequest, request{
		Number:  number,
		Kind:    kind,
		Timeout: remaining(ctx).Microseconds(),
		Trace:   encodeTrace(ctx),
		Body:    body,
	})
	if err != nil {
		return nil, err
	}
	waiting := make(chan answer, 1)
	l.mu.Lock()
	l.pending[number] = waiting
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, number)
		l.mu.Unlock()
	}()
	if err := l.enqueue(data); err != nil {
		return nil, err
	}
	select {
	case a := <-waiting:
		if a.Failure != "" {
			return nil, eris.Errorf("peer failed: %s", a.Failure)
		}
		return a.Body, nil
	case <-l.closed:
		return nil, errLinkLost
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "wait for the answer of the peer")
	}
}

// remaining returns the time until the deadline of a call, between 0 and maxCallTimeout. Each call has a deadline.
func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return min(maxCallTimeout, max(0, time.Until(deadline)))
}
