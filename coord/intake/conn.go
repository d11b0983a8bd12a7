package intake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// headSlackBytes is how much of a body may arrive together with the end of its head: the buffer of the HTTP server.
	headSlackBytes = 4 << 10
	// refusalTimeout bounds the write of a refusal to a caller who hasn't sent a whole head.
	refusalTimeout = 20 * time.Millisecond
	// evictionGrace is how long the refusal of a request may take whose connection is given up.
	evictionGrace = 250 * time.Millisecond
)

// Refusals of requests whose heads aren't read to their end.
const (
	tooLarge = "431 Request Header Fields Too Large"
	timeout  = "408 Request Timeout"
	noRoom   = "503 Service Unavailable"
)

// ErrNoRoom means that there is no room for a request, which must be refused.
var ErrNoRoom = eris.New("the process holds as much as it may")

// Conn is a guarded connection. The methods that it doesn't have from net.Conn may be called on a nil pointer, which bounds
// nothing.
type Conn struct {
	net.Conn
	guard *Guard
	id    ID

	// The guard's mutex guards the size and lines of the head that is arriving.
	headSize, headLines int

	mu sync.Mutex
	// evicted is true once the connection is given up: no more is read.
	evicted bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn returns a context for the requests of a connection.
func WithConn(ctx context.Context, n net.Conn) context.Context {
	if c, ok := n.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request; nil if it isn't guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read reads from the connection. A head that is too large, or for which there is no room, is refused.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if refusal := c.received(b[:n]); refusal != "" {
		c.writeRefusal(refusal)
		return 0, io.EOF
	}
	return n, err
}

// received records what has arrived. It returns the status with which the request is refused, or "".
func (c *Conn) received(b []byte) (refusal string) {
	g := c.guard
	ok := true
	g.decide(func(now time.Time) (victims []ID) {
		g.table.Move(now, c.id, int64(len(b)))
		switch g.table.Phase(c.id) {
		case PhaseIdle:
			g.table.SetPhase(now, c.id, PhaseHead)
			c.headSize, c.headLines = 0, 0
		case PhaseHead:
		default:
			return nil
		}
		lines := bytes.Count(b, []byte("\n"))
		c.headSize += len(b)
		c.headLines += lines
		victims, ok = g.table.Grow(now, c.id, HeadBytes(len(b), lines))
		return victims
	})
	if !ok {
		g.noteRefusal()
		return noRoom
	}
	if m := g.maxHead(); m > 0 && c.headSize > m+headSlackBytes {
		g.metrics.largeHeads.Inc()
		return tooLarge
	}
	return ""
}

// writeRefusal writes an answer to a request whose head isn't read to its end.
func (c *Conn) writeRefusal(status string) {
	// The caller may not read; the connection is closed anyway.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nConnection: close\r\nRetry-After: %.2f\r\nContent-Length: 0\r\n\r\n", status, RetryAfter.Seconds())
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.setBlocked(time.Now())
	defer c.setBlocked(time.Time{})
	return c.Conn.Write(b)
}

func (c *Conn) setBlocked(since time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetBlocked(c.id, since)
}

// SetReadDeadline sets the deadline for reads, unless the connection is given up.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.table.Close(c.id)
	delete(c.guard.conns, c.id)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// evict gives the connection up. A request whose body is awaited is refused by its handler.
func (c *Conn) evict(p Phase) {
	if p == PhaseBody {
		c.stopReading()
		time.AfterFunc(evictionGrace, func() { _ = c.Close() })
		return
	}
	if p == PhaseHead {
		c.writeRefusal(timeout)
	}
	if p == PhaseRunning {
		// What is left of an answer would be kept for a caller who doesn't take it.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// stopReading ends the read in progress, and all others.
func (c *Conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *Conn) isEvicted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// SetLinger sets what becomes of unsent bytes at a close; see net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// SyscallConn returns the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("%T has no socket", c.Conn)
	}
	return s.SyscallConn()
}

// unreadBytes returns what waits to be read on account of the connection: what the caller has sent, and what an upstream
// may have sent of an answer that the caller doesn't take.
func (c *Conn) unreadBytes() (n int64) {
	s, err := c.SyscallConn()
	if err == nil {
		err = s.Control(func(fd uintptr) {
			if v, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
				n = int64(v)
			}
		})
	}
	if err != nil {
		// The connection is closed.
		return 0
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if b := c.guard.table.BlockedSince(c.id); !b.IsZero() && time.Since(b) >= checkPeriod {
		n += answerBufferBytes
	}
	return n
}
