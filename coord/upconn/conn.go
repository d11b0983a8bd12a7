package upconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cranberrypoint.example/coord/heads"
	"cranberrypoint.example/coord/intake"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection.
	tcpUserTimeout = 2 * time.Second
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and the time
	// between two probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes that close a connection.
	keepAliveProbes = 3
	// defaultIdleTimeout is how long an idle connection is kept if the upstream announces no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the upstream announces, so that a
	// connection isn't reused just when the upstream closes it.
	idleTimeoutMargin = 500 * time.Millisecond
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// head is what r reads from. It checks only while the head of a response is read.
	head *heads.Reader
	// expiresAt is when the connection, if idle, is too old to be reused.
	expiresAt time.Time
	// onClose tells the pool that the connection is closed. Only the first call has an effect.
	onClose func()
}

// Close closes the connection and removes it from the pool's count.
func (c *conn) Close() error {
	defer c.onClose()
	return c.Conn.Close()
}

// abort closes the connection with a reset in place of an orderly end. Bytes of an abandoned
// request that the upstream has not acknowledged yet are dropped instead of sent later.
func (c *conn) abort() {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// Close works without it.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// idleTimeout returns how long a connection may stay idle and be reused: the timeout in the
// response's Keep-Alive header less a margin, or a default.
func idleTimeout(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// isQuiet reports whether an idle connection is open and no bytes have arrived on it. Bytes
// that arrive on an idle connection belong to no request. It doesn't check expiresAt.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket; 0 means none.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// allowSlowReader lifts TCP_USER_TIMEOUT until restore is called. The kernel applies it also to a receiver that
// acknowledges all probes but has no room, as an upstream that leaves a large body unread while the request is in
// its queue. What doesn't answer at all is left to the time of the request then.
func (c *conn) allowSlowReader() (restore func()) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return func() {}
	}
	// An error means that the connection is closed, which its next use shows.
	_ = setUserTimeout(raw, 0)
	return func() { _ = setUserTimeout(raw, tcpUserTimeout) }
}

// newDialer returns a dialer whose connections fail within seconds if the other host no longer
// acknowledges TCP segments or probes: by TCP_USER_TIMEOUT while bytes are unacknowledged,
// otherwise by keep-alive probes.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			intake.BoundReceiveBuffer(c)
			return setUserTimeout(c, tcpUserTimeout)
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
}
