package upconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// HasEnded reports whether the process at an address has ended: it is to be called after it has closed a
// connection, and then takes no new one. A connection that it takes is kept as an idle one, unless maxConns
// are open.
func (p *Pool) HasEnded(ctx context.Context, address string, maxConns, maxIdle int) bool {
	c, err := p.dial(ctx, address, maxConns)
	if errors.Is(err, ErrMaxConns) {
		var n net.Conn
		if n, err = newDialer().DialContext(ctx, "tcp", address); err == nil {
			_ = n.Close()
			return false
		}
	}
	if err != nil {
		return NotListening(err)
	}
	c.expiresAt = time.Now().Add(defaultIdleTimeout)
	if !p.putIdle(idleKey{address: address}, c, maxIdle) {
		_ = c.Close()
	}
	return false
}

// Ended is Pool.HasEnded for a process whose connections are in no pool. The connection that it takes is closed.
func Ended(ctx context.Context, address string) bool {
	c, err := newDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return NotListening(err)
	}
	_ = c.Close()
	return false
}

// NotListening reports whether a connection couldn't be opened because nothing takes connections at the
// address, not for want of something on this VM, such as descriptors.
func NotListening(err error) bool {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return true
	}
	for _, e := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
