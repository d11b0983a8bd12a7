package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// cutter passes the bytes of a connection on to a server, and those of its replies up to a number back.
type cutter struct {
	server string
	// replyBytes is the number of bytes of replies that are passed on; less than 0 for all.
	replyBytes int
	reset      bool
	mu         sync.Mutex
	// reply holds all bytes that were passed on.
	reply bytes.Buffer
}

// serve passes the bytes of one connection on.
func (c *cutter) serve(t *net.TCPConn) {
	s, err := net.Dial("tcp", c.server)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		_, _ = io.Copy(s, t)
		_ = s.Close()
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	var r io.Reader = s
	if c.replyBytes >= 0 {
		r = io.LimitReader(s, int64(c.replyBytes))
	}
	_, _ = io.Copy(io.MultiWriter(t, &c.reply), r)
	if c.reset {
		time.Sleep(time.Millisecond)
		_ = t.SetLinger(0)
	}
}

// call makes a call through a cutter, and returns the names in the reply.
func (c *cutter) call(t *testing.T) (names []string, err error) {
	t.Helper()
	address, stop, err := fake.Raw(c.serve)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	p, closePool := NewPool(nil)
	defer closePool()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := Call(ctx, p, address, Gossip, &wire.GossipRequest{Self: &wire.Member{Name: "a"}})
	for _, m := range r.GetMembers() {
		names = append(names, m.Name)
	}
	return names, err
}

// TestCutReplyIsNone closes or resets a connection after each byte of a reply. A part must be no reply.
func TestCutReplyIsNone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = ServeMesh(t.Context(), l, nil, &brittleMesh{}) }()
	whole := &cutter{server: l.Addr().String(), replyBytes: -1}
	names, err := whole.call(t)
	if d := cmp.Diff([]string{"a"}, names); d != "" || err != nil {
		t.Fatalf("whole reply: error %v (-want +got):\n%s", err, d)
	}
	whole.mu.Lock()
	n := whole.reply.Len()
	whole.mu.Unlock()
	for i := range n {
		for _, reset := range []bool{false, true} {
			c := &cutter{server: l.Addr().String(), replyBytes: i, reset: reset}
			// The call's result is whole once its message is; what follows it ends the call.
			if names, err := c.call(t); err == nil && cmp.Diff([]string{"a"}, names) != "" {
				t.Errorf("%d of %d bytes, reset %t, are a reply with %v", i, n, reset, names)
			}
		}
	}
}
