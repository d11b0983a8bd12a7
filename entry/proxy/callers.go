package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cranberrypoint.example/coord/rules"
)

const (
	// defaultHeaderTimeout is the time in which a caller sends the head of a request, if
	// the configuration says none.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an idle connection of a caller is kept, the same.
	defaultIdleTimeout = time.Minute
	// clientTimeoutFactor stretches both: a caller that keeps them by its own clock, over a slow
	// link, is not cut.
	clientTimeoutFactor = 1.2
)

// connTracker knows the open connections of connTracker, so that a stop closes none on which a
// request has been taken. The server of the standard library closes connections that it
// believes idle, also one whose request it is just reading.
type connTracker struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]*clientConn
}

// clientConn is one connection.
type clientConn struct {
	net.Conn
	tracker *connTracker
	// idleSince is since when nothing of a request has come and none is in progress; zero
	// otherwise.
	idleSince time.Time
	// firstByteAt is when the first bytes of the last request came.
	firstByteAt time.Time
	// head holds what came since then, until the request is taken.
	head []byte
	// inRequest is true while a request is in progress.
	inRequest bool
	// closing is true once the connection is being closed for being idle.
	closing bool
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

func newConnTracker(l net.Listener) *connTracker {
	return &connTracker{Listener: l, conns: map[net.Conn]*clientConn{}}
}

// Accept returns the next connection.
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

// Read reads what comes of a request.
func (x *clientConn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	if n > 0 {
		x.tracker.mu.Lock()
		x.received(b[:n])
		x.tracker.mu.Unlock()
	}
	return n, err
}

// received takes in bytes of a request. The lock is held.
func (x *clientConn) received(b []byte) {
	if !x.idleSince.IsZero() {
		x.idleSince, x.firstByteAt, x.head = time.Time{}, time.Now(), x.head[:0]
	}
	if !x.inRequest && len(x.head) < maxHeaderBytes {
		x.head = append(x.head, b...)
	}
}

// connContext puts the connection into the contexts of its requests.
func (c *connTracker) connContext(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, n)
}

// trackState follows the state of a connection.
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

// beginRequest reports whether a request may be served on its connection, and when its first bytes
// came: not if that is being closed, since its answer wouldn't arrive.
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
	return x.firstByteAt, true
}

// hasConflictingLength reports whether a chunked request has a length too, which some servers
// believe instead; the standard library hides it. Only the first of requests that came at
// once is looked at: the others are read by their chunks alone, as the protocol says.
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

// closeIdle closes the connections that have been idle since an instant.
func (c *connTracker) closeIdle(since time.Time) {
	c.closeWhere(func(x *clientConn) bool { return !x.idleSince.IsZero() && !x.idleSince.After(since) })
}

// closeOverdue closes the connections that have been idle, or on which the head of a
// request has been coming, for longer than callers may take.
func (c *connTracker) closeOverdue(now time.Time, l rules.Limits) {
	head := now.Add(-clientTimeout(l.HeaderTimeout, defaultHeaderTimeout))
	idle := now.Add(-clientTimeout(l.IdleTimeout, defaultIdleTimeout))
	c.closeWhere(func(x *clientConn) bool {
		if !x.idleSince.IsZero() {
			return x.idleSince.Before(idle)
		}
		return !x.inRequest && x.firstByteAt.Before(head)
	})
}

func clientTimeout(d, usual time.Duration) time.Duration {
	if d <= 0 {
		d = usual
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

// count returns the number of count connections.
func (c *connTracker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
