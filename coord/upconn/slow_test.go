package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// startSlowReader starts an upstream that reads the body of a request only after a pause, and answers then.
func startSlowReader(t *testing.T, pause time.Duration) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(pause)
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			_, _ = io.WriteString(c, okResponse("1", "one"))
		}
	}()
	return l.Addr().String()
}

// TestSlowUploadIsNotCut lets a sound upstream leave the body of a request unread for longer than tcpUserTimeout, as a
// full one does with a request in its queue. Its connection must not be closed meanwhile.
func TestSlowUploadIsNotCut(t *testing.T) {
	address := startSlowReader(t, tcpUserTimeout+2*time.Second)
	q := newRequest("1")
	q.Body = [][]byte{bytes.Repeat([]byte("x"), 16<<20)}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := newPool(t).Do(ctx, address, q)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if d := cmp.Diff("one", string(b)); d != "" || err != nil {
		t.Errorf("answer, error %v (-want +got):\n%s", err, d)
	}
}
