package fake

import (
	"io"
	"net"
	"sync"
	"time"
)

// slowLinkChunk is the size in bytes of the pieces in which a SlowLink passes bytes on.
const slowLinkChunk = 4 << 10

// SlowLink is the link of a VM with a limited rate. What the VM receives over all its connections shares the rate; what
// it sends is not limited. It is safe for concurrent use.
type SlowLink struct {
	bytesPerSecond int

	mu sync.Mutex
	// freeAt is when the bytes that have been accepted so far have passed.
	freeAt time.Time
	// received is the number of bytes that have passed.
	received  int
	listeners []net.Listener
	conns     []net.Conn
}

// NewSlowLink returns a link with the given rate and a function that closes it with all its connections.
func NewSlowLink(bytesPerSecond int) (l *SlowLink, closeLink func()) {
	l = &SlowLink{bytesPerSecond: bytesPerSecond}
	return l, l.close
}

// To returns an address at which the VM reaches another one over the link.
func (l *SlowLink) To(address string) (own string, err error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, n)
	l.mu.Unlock()
	go l.serve(n, address)
	return n.Addr().String(), nil
}

// Received returns the number of bytes that the VM has received.
func (l *SlowLink) Received() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

func (l *SlowLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.listeners {
		_ = n.Close()
	}
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *SlowLink) serve(n net.Listener, address string) {
	for {
		near, err := n.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, near, far)
		l.mu.Unlock()
		go func() {
			_, _ = io.Copy(far, near)
			_ = far.Close()
		}()
		go l.receive(near, far)
	}
}

// receive passes on what comes from far.
func (l *SlowLink) receive(near, far net.Conn) {
	defer func() { _ = near.Close() }()
	b := make([]byte, slowLinkChunk)
	for {
		n, err := far.Read(b)
		time.Sleep(time.Until(l.accept(n)))
		if _, e := near.Write(b[:n]); err != nil || e != nil {
			return
		}
	}
}

// accept returns when some more bytes have passed.
func (l *SlowLink) accept(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.received += bytes
	return l.freeAt
}
