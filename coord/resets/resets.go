// Package resets tells a TCP connection that was reset from one that its peer has closed in an orderly way.
//
// The kernel reports a reset once, to the first call that meets it. If that is a write, the reads after it see an
// orderly end, although bytes of the peer may be lost. What ends with its connection, such as the body of an HTTP
// response without a length, would look complete.
package resets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Conn is a connection whose Read returns io.EOF only at an orderly end. It has no ReadFrom, which would write past it.
type Conn struct {
	net.Conn
	// mu is held during a write. It guards writeErr.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// New returns a Conn for a TCP connection that nobody else writes to. On others than TCP connections, Read is unchanged.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes to the connection.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. If a write has met the reset that ended the connection, it returns the error of
// that write in place of io.EOF.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF, or the error by which the connection ended.
func (c *Conn) end() error {
	if !c.hungUp() {
		return io.EOF
	}
	// A write on such a connection returns at once, so this doesn't wait for an upload.
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isConnError(c.writeErr) {
		return io.EOF
	}
	return eris.Wrap(c.writeErr, "the connection was not closed in an orderly way")
}

// isConnError reports whether the error of a write is that of the connection. EPIPE isn't: the kernel returns it for
// a reset that came after the peer's orderly end, as an answer to bytes that it no longer wanted.
func isConnError(err error) bool {
	var n syscall.Errno
	return errors.As(err, &n) && n != syscall.EPIPE
}

// hungUp reports whether the connection is closed in both directions, or by this side, as a writer may do whose write has
// failed. After an orderly end it is open for writing until then.
func (c *Conn) hungUp() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(p, 0)
		hungUp = err == nil && n > 0 && p[0].Revents&unix.POLLHUP != 0
	})
	return hungUp || err != nil
}

// errNoSocket means that a connection is not a socket.
var errNoSocket = eris.New("the connection is no socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return s.SyscallConn()
}

// SetLinger sets what happens to unsent bytes on Close, as net.TCPConn.SetLinger.
func (c *Conn) SetLinger(sec int) error {
	s, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errNoSocket
	}
	return s.SetLinger(sec)
}
