package frame

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// lingerer is a connection whose close can be made a reset, as net.TCPConn.
type lingerer interface {
	// SetLinger makes a close a reset if sec is 0, also one by the kernel when the process
	// dies. A negative sec restores the orderly close.
	SetLinger(sec int) error
}

// WithConn returns a context for the requests of a caller's connection, from which Handler gets
// the connection. Servers set it by http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler wraps the handler of callers' requests. To a caller that speaks HTTP/1.0 the close of the
// connection is the end of an answer without a length. Its connection is reset instead if the
// handler panics or the process dies before the handler returns.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(lingerer)
		if !ok || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		// An error means that the connection is closed already.
		_ = c.SetLinger(0)
		h.ServeHTTP(w, r)
		_ = c.SetLinger(-1)
	})
}
