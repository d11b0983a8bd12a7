package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/rules"
	"golang.org/x/sys/unix"
)

const (
	// defaultHeaderTimeout is the time in which a client must send a request's head, if the
	// configuration sets none.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long a client's idle connection is kept, if the configuration
	// sets no time.
	defaultIdleTimeout = time.Minute
	// clientTimeoutFactor extends both timeouts to allow for network delay: a client may meet
	// them by its own clock although its bytes arrive later.
	clientTimeoutFactor = 1.2
)

// connTracker is a listener that tracks the open connections of callers, which are named clients
// here as the other ends of connections. It lets a shutdown close none on which a request has been
// accepted. The server of the standard library closes connections that it believes idle, including
// one from which it is just reading a request.
type connTracker struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]*clientConn
}

// clientConn is a connection of a client. The tracker's mutex guards its fields.
type clientConn struct {
	net.Conn
	tracker *connTracker
	// idleSince is when the connection became idle; zero while a request arrives or is being
	// served.
	idleSince time.Time
	// firstByteAt is when the first bytes of the last request arrived.
	firstByteAt time.Time
	// head holds the bytes that arrived from then until the request was accepted.
	head []byte
	// inRequest is true while an accepted request is being served.
	inRequest bool
	// closing is true once the connection is being closed by closeWhere.
	closing bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

func newConnTracker(l net.Listener) *connTracker {
	return &connTracker{Listener: l, conns: map[net.Conn]*clientConn{}}
}

// Accept waits for the next connection and tracks it.
func (c *connTracker) Accept() (net.Conn, error) {
	n, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &clientConn{Conn: n, tracker: c, idleSince: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[x] = x
	return x, nil
}

// Read reads from the connection and records the arrival of a request.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.tracker.mu.Lock()
		c.received(b[:n])
		c.tracker.mu.Unlock()
	}
	return n, err
}

// received records bytes of a request. The tracker's mutex must be held.
func (c *clientConn) received(b []byte) {
	if !c.idleSince.IsZero() {
		c.idleSince, c.firstByteAt, c.head = time.Time{}, time.Now(), c.head[:0]
	}
	if !c.inRequest && len(c.head) < maxHeaderBytes {
		c.head = append(c.head, b...)
	}
}

// connContext adds the connection to the context of its requests, as http.Server.ConnContext.
func (c *connTracker) connContext(ctx context.Context, n net.Conn) context.Context {
	if x, ok := n.(*clientConn); ok {
		ctx = intake.WithConn(frame.WithConn(ctx, x.Conn), x.Conn)
	}
	return context.WithValue(ctx, connKey{}, n)
}

// trackState records state changes of a connection, as http.Server.ConnState.
func (c *connTracker) trackState(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.conns[n].idleSince, c.conns[n].inRequest = time.Now(), false
		c.conns[n].head = nil
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, n)
	}
}

// beginRequest marks the connection of a request as serving it, and returns when the request's
// first bytes arrived. ok is false if the connection is being closed, since the answer would be
// lost.
func (c *connTracker) beginRequest(ctx context.Context) (began time.Time, ok bool) {
	n, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return time.Now(), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.conns[n]
	if x == nil || x.closing {
		return time.Time{}, false
	}
	x.inRequest = true
	if !x.idleSince.IsZero() {
		// It came together with the request before it, so the server had read it by then.
		x.idleSince, x.firstByteAt = time.Time{}, time.Now()
	}
	return x.firstByteAt, true
}

// hasConflictingLength reports whether a chunked request also has a Content-Length, which some
// servers would believe instead; the standard library hides it. Of pipelined requests, only the
// first is checked: the others are read by their chunks alone, as the protocol demands.
func (c *connTracker) hasConflictingLength(r *http.Request) bool {
	n, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok || len(r.TransferEncoding) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.conns[n]
	if x == nil {
		return false
	}
	head, _, _ := bytes.Cut(x.head, []byte("\r\n\r\n"))
	return bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:"))
}

// closeIdle closes the connections that have been idle since before the given time. One on which bytes have arrived
// isn't idle, although the server hasn't read them yet, as on a VM that is short of CPU time.
func (c *connTracker) closeIdle(since time.Time) {
	c.closeWhere(func(x *clientConn) bool {
		return !x.idleSince.IsZero() && !x.idleSince.After(since) && !hasInput(x.Conn)
	})
}

// hasInput reports whether bytes have arrived on a connection that were not read yet.
func hasInput(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	got := 0
	// Control, not Read, which would wait for the server's own read.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		got, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && got > 0
}

// closeOverdue closes the connections that have been idle, or that have been sending the head of a
// request, for longer than the configured limits.
func (c *connTracker) closeOverdue(now time.Time, l rules.Limits) {
	head := now.Add(-clientTimeout(l.HeaderTimeout, defaultHeaderTimeout))
	idle := now.Add(-clientTimeout(l.IdleTimeout, defaultIdleTimeout))
	c.closeWhere(func(x *clientConn) bool {
		if !x.idleSince.IsZero() {
			return x.idleSince.Before(idle) && !hasInput(x.Conn)
		}
		return !x.inRequest && x.firstByteAt.Before(head)
	})
}

func clientTimeout(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		d = fallback
	}
	return time.Duration(clientTimeoutFactor * float64(d))
}

func (c *connTracker) closeWhere(match func(*clientConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		if match(x) {
			x.closing = true
			_ = x.Close()
		}
	}
}

// count returns the number of open connections.
func (c *connTracker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
