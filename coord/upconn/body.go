package upconn

import (
	"io"
	"time"
)

// responseBody reads the body of a response. At its end it returns the connection to the
// pool or closes it.
type responseBody struct {
	io.ReadCloser
	pool    *Pool
	key     idleKey
	maxIdle int
	conn    *conn
	// detachContext makes the connection independent of the request's context, whose end would
	// close it. It returns false if the context has ended.
	detachContext func() bool
	// expiresAt is when the connection, once idle, is too old to be reused.
	expiresAt time.Time
	// reuse is true if the connection can carry another request after this body.
	reuse    bool
	finished bool
}

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(b.reuse)
	}
	return n, err
}

// Close closes the connection if the body was not read to its end.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

// finish returns the connection to the pool or closes it. Only the first call has an effect.
func (b *responseBody) finish(reuse bool) {
	if b.finished {
		return
	}
	b.finished = true
	// If detachContext returns false, the context has ended and the connection is being closed.
	if !b.detachContext() || !reuse || b.conn.r.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	b.conn.expiresAt = b.expiresAt
	if !b.pool.putIdle(b.key, b.conn, b.maxIdle) {
		_ = b.conn.Close()
	}
}
