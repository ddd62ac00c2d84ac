package gossip

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

const (
	// writeTimeout bounds the writing of one message. After it the link is opened again.
	writeTimeout = 600 * time.Millisecond

	// dialTimeout bounds the opening of a link.
	dialTimeout = 600 * time.Millisecond

	// redialDelay is the time between the failure of a link and the next attempt to open it.
	redialDelay = 500 * time.Millisecond

	// readTimeout ends a link on which no message arrives. It is the time of several messages.
	readTimeout = 3 * time.Second

	// maxMessageSize bounds a message in bytes. It fits a plan of some thousand routes.
	maxMessageSize = 4 << 20

	// maxHeadBytes bounds the head of the response that opens a link.
	maxHeadBytes = 64 << 10

	// maxPendingChanges bounds the messages with changes of entries that wait at a link.
	maxPendingChanges = 16
)

// errPanic ends a link after the handling of its message panicked.
var errPanic = errors.New("message handler panicked")

// link is the outgoing connection to one host. It is opened again after a failure.
type link struct {
	host    steer.HostEntry
	cancel  context.CancelFunc
	latest  chan []byte // Holds only the newest message.
	changes chan []byte // Messages with changes of entries, in order.
}

func (g *Gossiper) openLink(entry steer.HostEntry) *link {
	ctx, cancel := context.WithCancel(g.ctx)
	l := &link{
		host:    entry,
		cancel:  cancel,
		latest:  make(chan []byte, 1),
		changes: make(chan []byte, maxPendingChanges),
	}
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		g.maintainLink(ctx, l)
	}()
	return l
}

// setPending replaces the pending message. The caller holds the mutex of the Gossiper.
func (l *link) setPending(data []byte) {
	select {
	case <-l.latest:
	default:
	}
	l.latest <- data
}

// enqueueChanges queues changes of entries, or drops them when the queue is full.
func (l *link) enqueueChanges(data []byte) {
	select {
	case l.changes <- data:
	default:
	}
}

// maintainLink opens the link again whenever it fails, until the context ends.
func (g *Gossiper) maintainLink(ctx context.Context, l *link) {
	failed := false
	for ctx.Err() == nil {
		err := g.sendMessages(ctx, l, &failed)
		if ctx.Err() != nil {
			return
		}
		if !failed {
			_ = level.Warn(g.logger).Log("msg", "Link to host lost.", "host", l.host.ID, "err", err)
			failed = true
		}
		timer := time.NewTimer(redialDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendMessages opens the link and sends messages until it fails. It clears failed once the link is open.
func (g *Gossiper) sendMessages(ctx context.Context, l *link, failed *bool) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, _, err := websocket.Dial(dialCtx, "ws://"+l.host.PeerAddress.String()+Path, &websocket.DialOptions{
		HTTPClient: g.client,
	})
	cancel()
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	defer func() { _ = conn.CloseNow() }() // The link has failed or is no longer needed.
	_ = level.Info(g.logger).Log("msg", "Link to host opened.", "host", l.host.ID, "again", *failed)
	*failed = false
	for {
		var data []byte
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data = <-l.changes:
		case data = <-l.latest:
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := conn.Write(writeCtx, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return fmt.Errorf("write message: %w", err)
		}
	}
}

// Handler accepts the links of other hosts.
func (g *Gossiper) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			_ = level.Warn(g.logger).Log("msg", "Link from host refused.", "from", r.RemoteAddr, "err", err)
			return
		}
		defer func() { _ = conn.CloseNow() }() // The other host has closed the link or is silent.
		conn.SetReadLimit(maxMessageSize)
		err = g.receiveMessages(r.Context(), conn)
		if !errors.Is(err, context.Canceled) {
			_ = level.Debug(g.logger).Log("msg", "Link from host closed.", "from", r.RemoteAddr, "err", err)
		}
	})
}

// receiveMessages handles the messages of a link until it fails or Stop is called. The error is never nil.
func (g *Gossiper) receiveMessages(ctx context.Context, conn *websocket.Conn) error {
	stop := context.AfterFunc(g.ctx, func() { _ = conn.CloseNow() })
	defer stop()
	for {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		_, data, err := conn.Read(readCtx)
		cancel()
		if err != nil {
			return err
		}
		m, err := decode(data)
		if err != nil {
			return err
		}
		if !g.guard.Do("message", func() { g.handleMessage(time.Now(), m) }, "host", m.Host) {
			return errPanic
		}
	}
}
