package upconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testUpstream is a server that sends fixed responses. It counts requests and connections.
type testUpstream struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
}

// startUpstream starts a server that answers the requests on each connection with the given
// responses in order, starting with the first. It closes the connection after the last.
func startUpstream(t *testing.T, responses ...string) *testUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &testUpstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.serve(c, responses)
		}
	}()
	return u
}

// serve answers the requests on one connection.
func (u *testUpstream) serve(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range responses {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		u.requests.Add(1)
		_, _ = c.Write([]byte(a))
	}
}

// newRequest returns a request that only responses with its id match.
func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte("b")},
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// fetch sends a request and returns the body of its response.
func fetch(p *Pool, u *testUpstream, id string) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := p.Do(ctx, u.address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// okResponse returns a response with an id and a body of at most 9 bytes.
func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool(t *testing.T) *Pool {
	p, stop := NewPool(nil)
	t.Cleanup(stop)
	return p
}

// maybeSent reports whether err is an Error with Sent true.
func maybeSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Sent
}

func TestConnectionIsReused(t *testing.T) {
	u := startUpstream(t, okResponse("1", "one"), okResponse("2", "two"))
	p := newPool(t)
	one, err1 := fetch(p, u, "1")
	two, err2 := fetch(p, u, "2")
	if d := cmp.Diff([]string{"one", "two"}, []string{one, two}); d != "" || err1 != nil || err2 != nil {
		t.Errorf("responses, errors %v, %v (-want +got):\n%s", err1, err2, d)
	}
	if d := cmp.Diff(int64(1), u.conns.Load()); d != "" {
		t.Errorf("connections (-want +got):\n%s", d)
	}
}

// TestRequestAfterUpstreamCloseIsSentOnce lets the upstream close an idle connection. The next
// request must use a new connection and arrive once.
func TestRequestAfterUpstreamCloseIsSentOnce(t *testing.T) {
	u := startUpstream(t, okResponse("1", "one"))
	p := newPool(t)
	if _, err := fetch(p, u, "1"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for p.hasQuietIdle(u.address) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if _, err := fetch(p, u, "1"); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(int64(2), u.requests.Load()); d != "" {
		t.Errorf("requests (-want +got):\n%s", d)
	}
}

// hasQuietIdle reports whether there is an idle connection to an address and the first is quiet.
func (p *Pool) hasQuietIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[idleKey{address: address}]
	return len(l) > 0 && l[0].isQuiet()
}

// TestLateResponseIsSkipped sends the response to another request before the right one.
func TestLateResponseIsSkipped(t *testing.T) {
	u := startUpstream(t, okResponse("0", "late")+okResponse("1", "one"))
	got, err := fetch(newPool(t), u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("response, error %v (-want +got):\n%s", err, d)
	}
}

// TestResponseToAnotherRequestIsAnError sends only the response to another request.
func TestResponseToAnotherRequestIsAnError(t *testing.T) {
	u := startUpstream(t, okResponse("0", "late"))
	if got, err := fetch(newPool(t), u, "1"); !maybeSent(err) {
		t.Errorf("response %q, error %v; want an error with Sent true", got, err)
	}
}

// TestExtraBytesCloseConnection sends a second response after a complete one. The
// connection must not be reused, or the next request would get the extra response.
func TestExtraBytesCloseConnection(t *testing.T) {
	u := startUpstream(t, okResponse("1", "one")+okResponse("1", "again"), okResponse("2", "two"))
	p := newPool(t)
	if _, err := fetch(p, u, "1"); err != nil {
		t.Fatal(err)
	}
	got, err := fetch(p, u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("second response, error %v (-want +got):\n%s", err, d)
	}
	if d := cmp.Diff(int64(2), u.conns.Load()); d != "" {
		t.Errorf("connections (-want +got):\n%s", d)
	}
}

// TestBrokenResponsesAreErrors covers responses that are truncated, malformed or have an
// endless header.
func TestBrokenResponsesAreErrors(t *testing.T) {
	for name, a := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\none",
		"chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n",
		"size":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\none\r\n0\r\n\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"garbage": "\x00\x01\x02\r\n\r\n",
		"nothing": "",
		"endless": "HTTP/1.1 200 OK\r\n" + strings.Repeat("Id: 1\r\n", maxResponseBytes),
	} {
		u := startUpstream(t, a)
		if got, err := fetch(newPool(t), u, "1"); err == nil {
			t.Errorf("%s: response %q and no error", name, got)
		}
	}
}

// TestResponseWithoutLengthClosesConnection reads a response whose body ends with the
// connection. The connection must not be kept.
func TestResponseWithoutLengthClosesConnection(t *testing.T) {
	u := startUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\none")
	p := newPool(t)
	got, err := fetch(p, u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("response, error %v (-want +got):\n%s", err, d)
	}
	if p.takeIdle(idleKey{address: u.address}) != nil {
		t.Error("the connection is kept")
	}
}

// TestInterimResponsesAreSkipped sends a 103 response before the final one.
func TestInterimResponsesAreSkipped(t *testing.T) {
	u := startUpstream(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse("1", "one"))
	got, err := fetch(newPool(t), u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("response, error %v (-want +got):\n%s", err, d)
	}
}

// TestRefusedConnectionIsNotSent sends a request to a closed port. The error must have Sent
// false.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := fetch(newPool(t), &testUpstream{address: l.Addr().String()}, "1"); err == nil || maybeSent(err) {
		t.Errorf("error %v; want one with Sent false", err)
	}
}

// TestEarlyResponseToLargeBody sends a response before the request body is read. The
// response must be returned and the connection not kept, since the rest of the body is
// still to be sent on it.
func TestEarlyResponseToLargeBody(t *testing.T) {
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
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = c.Write([]byte("HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"))
		time.Sleep(5 * time.Second)
		_ = c.Close()
	}()
	p := newPool(t)
	q := newRequest("1")
	q.Body = [][]byte{[]byte(strings.Repeat("x", 16<<20))}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := p.Do(ctx, l.Addr().String(), q)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(r.Body)
	if d := cmp.Diff("no", string(b)); d != "" || err != nil {
		t.Errorf("response, error %v (-want +got):\n%s", err, d)
	}
	if p.takeIdle(idleKey{address: l.Addr().String()}) != nil {
		t.Error("the connection is kept")
	}
}

// TestContextClosesSilentConnection lets the context expire while the upstream sends
// nothing. The connection must be closed, so that the upstream can stop its work.
func TestContextClosesSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := newPool(t).Do(ctx, l.Addr().String(), newRequest("1")); !maybeSent(err) {
		t.Errorf("error %v; want one with Sent true", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

func TestIdleTimeout(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"timeout=3":         2500 * time.Millisecond,
		"max=5, timeout=10": 9500 * time.Millisecond,
		"":                  defaultIdleTimeout,
		"timeout=x":         defaultIdleTimeout,
	} {
		if d := cmp.Diff(want, idleTimeout(http.Header{"Keep-Alive": {v}})); d != "" {
			t.Errorf("%q (-want +got):\n%s", v, d)
		}
	}
}

// TestAbandonedRequestIsReset lets the context of a request end while an upstream has read the
// request and answers nothing. The upstream must see a reset: after an orderly close, bytes that
// a stalled network or host still holds would be delivered later, and the request be run for nobody.
func TestAbandonedRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	p, closePool := NewPool(nil)
	defer closePool()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, l.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h"}); err == nil {
		t.Fatal("a response without an upstream's answer")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the upstream's read ended with %v, want a reset", err)
	}
}

// TestHasEnded checks that an upstream which only closes connections isn't taken for one that has ended, and
// that the connection which shows this is used by the next request.
func TestHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := 0
	p, closePool := NewPool(func() { opened++ })
	defer closePool()
	for range 2 {
		if p.HasEnded(t.Context(), l.Addr().String(), 0, 1) {
			t.Error("a running upstream has ended")
		}
	}
	if p.HasEnded(t.Context(), l.Addr().String(), 1, 1) {
		t.Error("a running upstream has ended, with as many connections open as may be")
	}
	if c := p.takeIdle(idleKey{address: l.Addr().String()}); c == nil || opened != 2 {
		t.Errorf("idle connection %v after %d were opened; want one after 2", c, opened)
	}
	_ = l.Close()
	for _, maxConns := range []int{0, 1} {
		if !p.HasEnded(t.Context(), l.Addr().String(), maxConns, 1) {
			t.Errorf("an upstream that takes no connection has not ended, at most %d may be open", maxConns)
		}
	}
}

// TestEnded checks that an upstream which only closes connections isn't taken for one that has ended.
func TestEnded(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	a := s.Listener.Addr().String()
	s.CloseClientConnections()
	if Ended(t.Context(), a) {
		t.Error("a running upstream has ended")
	}
	s.Close()
	if !Ended(t.Context(), a) {
		t.Error("an upstream that takes no connection has not ended")
	}
}

// TestNotListening checks that a process which runs out of descriptors doesn't take upstreams for ended.
func TestNotListening(t *testing.T) {
	for e, want := range map[error]bool{
		syscall.ECONNREFUSED: true, syscall.ETIMEDOUT: true, context.DeadlineExceeded: true,
		syscall.EMFILE: false, syscall.EADDRNOTAVAIL: false, syscall.ENOBUFS: false, context.Canceled: false,
	} {
		if d := cmp.Diff(want, NotListening(&net.OpError{Op: "dial", Err: e})); d != "" {
			t.Errorf("%v (-want +got):\n%s", e, d)
		}
	}
}
