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
type Conn struct {
	net.Conn
	writing    sync.Mutex // Held during a write.
	writeError error      // The first error of a write.
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

// Read implements net.Conn. When the server has closed the connection, it ends a write in progress, whose answer cannot come any
// more.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
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
