package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
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
		x.idle = time.Time{}
		x.callers.mu.Unlock()
	}
	return n, err
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
		c.conns[n].idle = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, n)
	}
}

// take reports whether a request may be served on its connection: not if that is being
// closed, since its answer wouldn't arrive.
func (c *callers) take(ctx context.Context) bool {
	n, ok := ctx.Value(callerKey{}).(net.Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.conns[n]
	return x != nil && !x.closing
}

// closeIdle closes the connections that have been idle since an instant.
func (c *callers) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, x := range c.conns {
		if !x.idle.IsZero() && !x.idle.After(since) {
			x.closing = true
			_ = n.Close()
		}
	}
}

// open returns the number of open connections.
func (c *callers) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
