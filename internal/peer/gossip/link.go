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
	// writeLimit bounds the writing of one message, after which the link is opened anew.
	writeLimit = 600 * time.Millisecond

	// dialLimit bounds the opening of a link.
	dialLimit = 600 * time.Millisecond

	// dialPause is the pause after a link failed.
	dialPause = 500 * time.Millisecond

	// heardLimit ends a link on which nothing comes: several messages.
	heardLimit = 3 * time.Second

	// maxMessage bounds a message in bytes: a plan of some thousand routes.
	maxMessage = 4 << 20

	// maxPassed bounds the changes of entries that wait at a link.
	maxPassed = 16
)

// errPanic ends a link whose message could not be handled.
var errPanic = errors.New("message could not be handled")

// link is the link to one host.
type link struct {
	host   steer.HostEntry
	cancel context.CancelFunc
	news   chan []byte // Holds the newest message only.
	passed chan []byte // Changes of entries, in order.
}

func (t *Gossiper) open(entry steer.HostEntry) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		host:   entry,
		cancel: cancel,
		news:   make(chan []byte, 1),
		passed: make(chan []byte, maxPassed),
	}
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		t.keep(ctx, l)
	}()
	return l
}

// offer replaces the message that waits. Calls are serialised by the teller.
func (l *link) offer(data []byte) {
	select {
	case <-l.news:
	default:
	}
	l.news <- data
}

// pass queues changes of entries, or drops them when too many wait.
func (l *link) pass(data []byte) {
	select {
	case l.passed <- data:
	default:
	}
}

// keep opens the link again whenever it fails.
func (t *Gossiper) keep(ctx context.Context, l *link) {
	failed := false
	for ctx.Err() == nil {
		err := t.tell(ctx, l, &failed)
		if ctx.Err() != nil {
			return
		}
		if !failed {
			_ = level.Warn(t.logger).Log("msg", "Link to host lost.", "host", l.host.ID, "err", err)
			failed = true
		}
		timer := time.NewTimer(dialPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (t *Gossiper) tell(ctx context.Context, l *link, failed *bool) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialLimit)
	conn, _, err := websocket.Dial(dialCtx, "ws://"+l.host.PeerAddress.String()+Path, &websocket.DialOptions{
		HTTPClient: t.client,
	})
	cancel()
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	defer func() { _ = conn.CloseNow() }() // The link has failed or is not wanted any more.
	_ = level.Info(t.logger).Log("msg", "Link to host opened.", "host", l.host.ID, "again", *failed)
	*failed = false
	for {
		var data []byte
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data = <-l.passed:
		case data = <-l.news:
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeLimit)
		err := conn.Write(writeCtx, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return fmt.Errorf("write message: %w", err)
		}
	}
}

// Handler accepts the links of other hosts.
func (t *Gossiper) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			_ = level.Warn(t.logger).Log("msg", "Link refused.", "from", r.RemoteAddr, "err", err)
			return
		}
		defer func() { _ = conn.CloseNow() }() // The other side has gone or is silent.
		conn.SetReadLimit(maxMessage)
		err = t.listen(r.Context(), conn)
		if !errors.Is(err, context.Canceled) {
			_ = level.Debug(t.logger).Log("msg", "Link from host ended.", "from", r.RemoteAddr, "err", err)
		}
	})
}

func (t *Gossiper) listen(ctx context.Context, conn *websocket.Conn) error {
	stop := context.AfterFunc(t.ctx, func() { _ = conn.CloseNow() })
	defer stop()
	for {
		readCtx, cancel := context.WithTimeout(ctx, heardLimit)
		_, data, err := conn.Read(readCtx)
		cancel()
		if err != nil {
			return err
		}
		m, err := decode(data)
		if err != nil {
			return err
		}
		if !t.guard.Do("message", func() { t.take(time.Now(), m) }, "host", m.Host) {
			return errPanic
		}
	}
}
