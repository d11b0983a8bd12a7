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
	// overdueFactor stretches both: a caller that keeps them by its own clock, over a slow
	// link, is not cut.
	overdueFactor = 1.2
)

// callers knows the open connections of callers, so that a stop closes none on which a
// request has been taken. The server of the standard library closes connections that it
// believes idle, also one whose request it is just reading.
type callers struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]*caller
}

// caller is one connection.
type caller struct {
	net.Conn
	callers *callers
	// idle is since when nothing of a request has come and none is in progress; zero
	// otherwise.
	idle time.Time
	// began is when the first bytes of the last request came.
	began time.Time
	// head holds what came since then, until the request is taken.
	head []byte
	// taken is true while a request is in progress.
	taken bool
	// closing is true once the connection is being closed for being idle.
	closing bool
}

// callerKey is the key of a connection in the contexts of its requests.
type callerKey struct{}

func newCallers(l net.Listener) *callers { return &callers{Listener: l, conns: map[net.Conn]*caller{}} }

// Accept returns the next connection.
func (c *callers) Accept() (net.Conn, error) {
	n, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &caller{Conn: n, callers: c, idle: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[x] = x
	return x, nil
}

// Read reads what comes of a request.
func (x *caller) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	if n > 0 {
		x.callers.mu.Lock()
		x.came(b[:n])
		x.callers.mu.Unlock()
	}
	return n, err
}

// came takes in bytes of a request. The lock is held.
func (x *caller) came(b []byte) {
	if !x.idle.IsZero() {
		x.idle, x.began, x.head = time.Time{}, time.Now(), x.head[:0]
	}
	if !x.taken && len(x.head) < maxHeader {
		x.head = append(x.head, b...)
	}
}

// context puts the connection into the contexts of its requests.
func (c *callers) context(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, n)
}

// track follows the state of a connection.
func (c *callers) track(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.conns[n].idle, c.conns[n].taken = time.Now(), false
		c.conns[n].head = nil
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, n)
	}
}

// take reports whether a request may be served on its connection, and when its first bytes
// came: not if that is being closed, since its answer wouldn't arrive.
func (c *callers) take(ctx context.Context) (began time.Time, ok bool) {
	n, ok := ctx.Value(callerKey{}).(net.Conn)
	if !ok {
		return time.Now(), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.conns[n]
	if x == nil || x.closing {
		return time.Time{}, false
	}
	x.taken = true
	return x.began, true
}

// ambiguous reports whether a chunked request has a length too, which some servers
// believe instead; the standard library hides it. Only the first of requests that came at
// once is looked at: the others are read by their chunks alone, as the protocol says.
func (c *callers) ambiguous(r *http.Request) bool {
	n, ok := r.Context().Value(callerKey{}).(net.Conn)
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
func (c *callers) closeIdle(since time.Time) {
	c.closeWhere(func(x *caller) bool { return !x.idle.IsZero() && !x.idle.After(since) })
}

// closeOverdue closes the connections that have been idle, or on which the head of a
// request has been coming, for longer than callers may take.
func (c *callers) closeOverdue(now time.Time, l rules.Limits) {
	head := now.Add(-overdue(l.HeaderTimeout, defaultHeaderTimeout))
	idle := now.Add(-overdue(l.IdleTimeout, defaultIdleTimeout))
	c.closeWhere(func(x *caller) bool {
		if !x.idle.IsZero() {
			return x.idle.Before(idle)
		}
		return !x.taken && x.began.Before(head)
	})
}

func overdue(d, usual time.Duration) time.Duration {
	if d <= 0 {
		d = usual
	}
	return time.Duration(overdueFactor * float64(d))
}

func (c *callers) closeWhere(match func(*caller) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		if match(x) {
			x.closing = true
			_ = x.Close()
		}
	}
}

// open returns the number of open connections.
func (c *callers) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
