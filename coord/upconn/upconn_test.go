package upconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// upstream answers each request on each connection with the next of some texts; after the
// last it closes the connection.
type upstream struct {
	address  string
	requests atomic.Int64
	opened   atomic.Int64
}

// serve starts an upstream. Each connection gets the texts from the first one on.
func serve(t *testing.T, answers ...string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.opened.Add(1)
			go u.answer(c, answers)
		}
	}()
	return u
}

func (u *upstream) answer(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range answers {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		u.requests.Add(1)
		_, _ = c.Write([]byte(a))
	}
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b"),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// get returns the answer's body.
func get(p *Pool, u *upstream, id string) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, u.address, request(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func answerOf(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool(t *testing.T) *Pool {
	p, stop := NewPool(nil)
	t.Cleanup(stop)
	return p
}

func sent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Sent
}

func TestConnectionIsUsedAgain(t *testing.T) {
	u := serve(t, answerOf("1", "one"), answerOf("2", "two"))
	p := newPool(t)
	one, err1 := get(p, u, "1")
	two, err2 := get(p, u, "2")
	if d := cmp.Diff([]string{"one", "two"}, []string{one, two}); d != "" || err1 != nil || err2 != nil {
		t.Errorf("answers, errors %v, %v (-want +got):\n%s", err1, err2, d)
	}
	if d := cmp.Diff(int64(1), u.opened.Load()); d != "" {
		t.Errorf("connections (-want +got):\n%s", d)
	}
}

// TestStaleConnectionSendsNothingTwice closes an idle connection: the next request goes
// on a new one and arrives once.
func TestStaleConnectionSendsNothingTwice(t *testing.T) {
	u := serve(t, answerOf("1", "one"))
	p := newPool(t)
	if _, err := get(p, u, "1"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for p.idleQuiet(u.address) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if _, err := get(p, u, "1"); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(int64(2), u.requests.Load()); d != "" {
		t.Errorf("requests (-want +got):\n%s", d)
	}
}

// idleQuiet reports whether an idle connection looks open.
func (p *Pool) idleQuiet(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	return len(l) > 0 && l[0].quiet()
}

// TestLateAnswerIsSkipped puts the answer of another request before the right one.
func TestLateAnswerIsSkipped(t *testing.T) {
	u := serve(t, answerOf("0", "late")+answerOf("1", "one"))
	got, err := get(newPool(t), u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("answer, error %v (-want +got):\n%s", err, d)
	}
}

// TestForeignAnswerIsNone gives only the answer of another request.
func TestForeignAnswerIsNone(t *testing.T) {
	u := serve(t, answerOf("0", "late"))
	if got, err := get(newPool(t), u, "1"); !sent(err) {
		t.Errorf("answer %q, error %v; an error that says that the request was sent would be right", got, err)
	}
}

// TestExtraBytesEndTheConnection appends a second answer after a whole one.
func TestExtraBytesEndTheConnection(t *testing.T) {
	u := serve(t, answerOf("1", "one")+answerOf("1", "again"), answerOf("2", "two"))
	p := newPool(t)
	if _, err := get(p, u, "1"); err != nil {
		t.Fatal(err)
	}
	got, err := get(p, u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("second answer, error %v (-want +got):\n%s", err, d)
	}
	if d := cmp.Diff(int64(2), u.opened.Load()); d != "" {
		t.Errorf("connections (-want +got):\n%s", d)
	}
}

// TestCutAnswersAreErrors covers answers that end early or aren't answers.
func TestCutAnswersAreErrors(t *testing.T) {
	for name, a := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\none",
		"chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"garbage": "\x00\x01\x02\r\n\r\n",
		"nothing": "",
		"endless": "HTTP/1.1 200 OK\r\n" + strings.Repeat("Id: 1\r\n", maxHeader),
	} {
		u := serve(t, a)
		if got, err := get(newPool(t), u, "1"); err == nil {
			t.Errorf("%s: answer %q and no error", name, got)
		}
	}
}

// TestUnframedAnswerEndsWithItsConnection reads an answer without a length, and never
// uses its connection again.
func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	u := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\none")
	p := newPool(t)
	got, err := get(p, u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("answer, error %v (-want +got):\n%s", err, d)
	}
	if p.take(u.address) != nil {
		t.Error("the connection is kept")
	}
}

// TestInterimAnswersAreSkipped passes over an answer before the final one.
func TestInterimAnswersAreSkipped(t *testing.T) {
	u := serve(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+answerOf("1", "one"))
	got, err := get(newPool(t), u, "1")
	if d := cmp.Diff("one", got); d != "" || err != nil {
		t.Errorf("answer, error %v (-want +got):\n%s", err, d)
	}
}

// TestNobodyListens says that nothing was sent.
func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := get(newPool(t), &upstream{address: l.Addr().String()}, "1"); err == nil || sent(err) {
		t.Errorf("error %v; one that says that nothing was sent would be right", err)
	}
}

// TestEarlyAnswerToALongBody takes an answer that comes before the body is read, and
// doesn't use the connection again: the rest of the body is due on it.
func TestEarlyAnswerToALongBody(t *testing.T) {
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
	q := request("1")
	q.Body = []byte(strings.Repeat("x", 16<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, l.Addr().String(), q)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(a.Body)
	if d := cmp.Diff("no", string(b)); d != "" || err != nil {
		t.Errorf("answer, error %v (-want +got):\n%s", err, d)
	}
	if p.take(l.Addr().String()) != nil {
		t.Error("the connection is kept")
	}
}

// TestContextEndsASilentUpstream closes the connection when the time is over, so that the
// upstream can stop.
func TestContextEndsASilentUpstream(t *testing.T) {
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
	if _, err := newPool(t).Do(ctx, l.Addr().String(), request("1")); !sent(err) {
		t.Errorf("error %v; one that says that the request was sent would be right", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

func TestKeep(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"timeout=3":         2500 * time.Millisecond,
		"max=5, timeout=10": 9500 * time.Millisecond,
		"":                  defaultIdle,
		"timeout=x":         defaultIdle,
	} {
		if d := cmp.Diff(want, keep(http.Header{"Keep-Alive": {v}})); d != "" {
			t.Errorf("%q (-want +got):\n%s", v, d)
		}
	}
}
