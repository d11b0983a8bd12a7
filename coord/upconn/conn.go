package upconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout = 2 * time.Second
	// probePeriod is the time between keep-alive probes on a silent connection.
	probePeriod = time.Second
	// probes is the number of unanswered probes after which a connection is dead.
	probes = 3
	// defaultIdle is how long an idle connection is kept if the upstream told no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the upstream told.
	idleMargin = 500 * time.Millisecond
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// limit bounds what r may read more.
	limit *io.LimitedReader
	// until is when an idle connection is closed.
	until time.Time
	// ended tells the pool once that the connection is closed.
	ended func()
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.ended()
	return c.Conn.Close()
}

// keep returns how long the upstream keeps an idle connection, from its answer.
func keep(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// quiet reports whether an idle connection is open and nothing came on it. Bytes on an
// idle connection belong to no request.
func (c *conn) quiet() bool {
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

// tune sets the time after which sent bytes that aren't acknowledged end a connection.
func tune(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// dialer opens connections that notice a silent other end.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: tune,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probePeriod,
			Interval: probePeriod,
			Count:    probes,
		},
	}
}
