package resets

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// races is how often a reset races with a write.
	races = 200
	// uploadBytes is more than the kernel takes from a writer while the peer doesn't read.
	uploadBytes = 16 << 20
	// arrivalTime is time enough for bytes, an end or a reset to arrive on the same host.
	arrivalTime = 20 * time.Millisecond
	// patience bounds each wait.
	patience = 10 * time.Second
)

// pair returns both ends of a new connection.
func pair(t *testing.T) (c *Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		a, _ := l.Accept()
		accepted <- a
	}()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer = (<-accepted).(*net.TCPConn)
	t.Cleanup(func() { _, _ = n.Close(), peer.Close() })
	if err := n.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return New(n), peer
}

// write writes to the peer's side.
func write(t *testing.T, c net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Fatal(err)
	}
}

// reset closes the peer's side with a reset.
func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

// checkReset reads to the end, which must not be an orderly one, and must be a reset.
func checkReset(t *testing.T, c *Conn) {
	t.Helper()
	b, err := io.ReadAll(c)
	if err == nil || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, error %v; want %v", len(b), err, syscall.ECONNRESET)
	}
}

// TestReadAfterFailedWrite guards against a reset that a write has met, so that the reads after it saw an orderly end.
func TestReadAfterFailedWrite(t *testing.T) {
	for _, part := range []string{"", "part"} {
		c, peer := pair(t)
		write(t, peer, part)
		time.Sleep(arrivalTime)
		reset(peer)
		time.Sleep(arrivalTime)
		if _, err := c.Write([]byte("request")); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("write: error %v; want %v", err, syscall.ECONNRESET)
		}
		if part != "" {
			b := make([]byte, len(part))
			if _, err := io.ReadFull(c, b); err != nil || string(b) != part {
				t.Errorf("read %q, error %v; want %q", b, err, part)
			}
		}
		checkReset(t, c)
	}
}

// TestReadBesideWrite guards against a reset that a write meets while a read waits: which of them meets it is a race.
func TestReadBesideWrite(t *testing.T) {
	for range races {
		c, peer := pair(t)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = c.Write(make([]byte, uploadBytes))
		}()
		write(t, peer, "part")
		time.Sleep(time.Millisecond)
		reset(peer)
		checkReset(t, c)
		<-written
		_, _ = c.Close(), peer.Close()
	}
}

// TestReadBesideWriterThatCloses is TestReadBesideWrite where the writer closes the connection after its write has failed, as
// http.Transport does. A read that this close ends is no orderly end either.
func TestReadBesideWriterThatCloses(t *testing.T) {
	for range races {
		c, peer := pair(t)
		go func() {
			_, _ = c.Write(make([]byte, uploadBytes))
			_ = c.Close()
		}()
		write(t, peer, "part")
		time.Sleep(time.Millisecond)
		reset(peer)
		if b, err := io.ReadAll(c); err == nil {
			t.Errorf("%d bytes and an orderly end", len(b))
		}
		_ = peer.Close()
	}
}

// checkOrderly reads to the end, which must be an orderly one, after a text.
func checkOrderly(t *testing.T, c *Conn, text string) {
	t.Helper()
	if b, err := io.ReadAll(c); err != nil || string(b) != text {
		t.Errorf("%q, error %v; want %q and an orderly end", b, err, text)
	}
}

// TestOrderlyEnd checks that an orderly end stays one, also beside a write that the peer doesn't read.
func TestOrderlyEnd(t *testing.T) {
	c, peer := pair(t)
	write(t, peer, "whole")
	_ = peer.Close()
	checkOrderly(t, c, "whole")

	c, peer = pair(t)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, uploadBytes))
	}()
	write(t, peer, "whole")
	time.Sleep(arrivalTime)
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	checkOrderly(t, c, "whole")
	_ = c.Close()
	<-written
}

// TestResetAfterOrderlyEnd checks that a reset which answers bytes sent after the peer's orderly end doesn't make that
// a broken one. The reset is met by a write or by nobody.
func TestResetAfterOrderlyEnd(t *testing.T) {
	for _, writes := range []int{1, 2, 3} {
		c, peer := pair(t)
		write(t, peer, "whole")
		_ = peer.Close()
		for range writes {
			time.Sleep(arrivalTime)
			_, _ = c.Write([]byte("more"))
		}
		time.Sleep(arrivalTime)
		checkOrderly(t, c, "whole")
	}
}
