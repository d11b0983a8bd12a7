package intake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes is the receive buffer of a connection: how much may arrive that isn't read.
	receiveBufferBytes = 64 << 10
	// sendBufferBytes is how much of an answer may wait for a caller.
	sendBufferBytes = 64 << 10
	// answerBufferBytes is how much of an answer an upstream may send while its caller takes nothing; see
	// BoundReceiveBuffer.
	answerBufferBytes = 128 << 10
)

// boundBuffers bounds the buffers of the connections that a listener accepts, which inherit them. The kernel would let them
// grow to megabytes. A platform that refuses this has bounds of its own.
func boundBuffers(l net.Listener) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
}

// BoundReceiveBuffer bounds what may arrive unread on a socket to an upstream, whose answer a caller may not take. It is to be
// called before the connection is made.
func BoundReceiveBuffer(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, answerBufferBytes)
	})
}
