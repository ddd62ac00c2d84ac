package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

// Conn is the connection of a client to a server. Its reads never report a failure of the connection as io.EOF, which is the end of
// an answer without a length: the kernel reports a failure once, and if a concurrent write gets it, the next read returns io.EOF.
// They fail with ErrNotOne at a folded line in the head of an answer.
type Conn struct {
	net.Conn
	writing    sync.Mutex // Held during a write.
	writeError error      // The first error of a write.
	mu         sync.Mutex
	lines      headLines // Guarded by mu.
	folded     bool      // A folded line was found; guarded by mu.
}

// NewConn returns a Conn over an open connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// Dial returns a function that opens connections with dial and wraps them in a Conn.
func Dial(dial steer.Dial) steer.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// ExpectHead announces that the next bytes belong to the head of an answer, of which the given ones have been read already. It returns
// ErrNotOne if these contain a folded line. Lines are checked only in heads that are announced.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	c.lines = headLines{
		expected: true,
	}
	c.mu.Unlock()
	_, err := c.checkLines(buffered)
	return err
}

// checkLines returns the number of the given bytes that come before a folded line. All further reads fail, since a buffered reader
// may drop an error that comes with some bytes.
func (c *Conn) checkLines(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.folded {
		return 0, errFoldedLine
	}
	if i := c.lines.firstFolded(data); i >= 0 {
		c.folded = true
		return i, errFoldedLine
	}
	return len(data), nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// Read implements net.Conn. When the server has closed the connection, it ends a write in progress: no answer to it can follow, and
// the result of the write tells a failure from a proper end.
func (c *Conn) Read(b []byte) (int, error) {
	if _, err := c.checkLines(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if before, err := c.checkLines(b[:n]); err != nil {
		return before, err
	}
	if err != io.EOF {
		return n, err
	}
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // An error means that no write is in progress.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeError != nil && !errors.Is(c.writeError, os.ErrDeadlineExceeded) {
		return n, fmt.Errorf("connection failed during a write: %w", c.writeError)
	}
	return n, io.EOF
}
