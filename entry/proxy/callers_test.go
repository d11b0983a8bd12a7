package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestCloseIdleLosesNoRequest guards against a shutdown that closes a connection on which a request
// was just accepted. Clients send requests on kept-alive connections while closeIdle runs all the
// time; each request that was accepted must be answered.
func TestCloseIdleLosesNoRequest(t *testing.T) {
	const (
		clients = 8
		// rounds is the number of connections that each client opens in turn.
		rounds = 40
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newConnTracker(l)
	var accepted, answered atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := c.beginRequest(r.Context()); !ok {
			panic(http.ErrAbortHandler)
		}
		accepted.Add(1)
		_, _ = w.Write([]byte("whole"))
	}))
	s.Config.ConnState = c.trackState
	s.Config.ConnContext = c.connContext
	_ = s.Listener.Close()
	s.Listener = c
	s.Start()
	defer s.Close()
	done := make(chan struct{})
	var closer, w sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				c.closeIdle(time.Now())
			}
		}
	})
	for range clients {
		w.Go(func() {
			for range rounds {
				answered.Add(requestUntilClosed(t, s.Listener.Addr().String()))
			}
		})
	}
	w.Wait()
	close(done)
	closer.Wait()
	if accepted.Load() != answered.Load() {
		t.Errorf("%d requests were accepted, %d answered", accepted.Load(), answered.Load())
	}
}

// requestUntilClosed sends requests on one connection until it is closed, and returns the number of
// complete answers.
func requestUntilClosed(t *testing.T, address string) (n int64) {
	d, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("connection: %v", err)
		return 0
	}
	defer func() { _ = d.Close() }()
	b := bufio.NewReader(d)
	for {
		if _, err := d.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			return n
		}
		r, err := http.ReadResponse(b, nil)
		if err != nil {
			return n
		}
		body := make([]byte, len("whole"))
		if _, err := b.Read(body); err != nil || r.StatusCode != http.StatusOK {
			return n
		}
		n++
	}
}

// TestUnreadRequestIsNotIdle guards against a close of a connection whose request has arrived, but which the server had no
// time to read yet.
func TestUnreadRequestIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c := newConnTracker(l)
	const request = "GET / HTTP/1.1\r\n\r\n"
	d, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	x, err := c.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(d, request); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	c.closeIdle(time.Now())
	b := make([]byte, len(request))
	if _, err := io.ReadFull(x, b); err != nil {
		t.Errorf("the request can't be read: %v", err)
	}
}

// TestPipelinedRequestIsNotIdle guards against a shutdown that closes connections on which a request runs that came together with
// the one before it: the server had read it by then, so the connection counted as idle.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newConnTracker(l)
	running := make(chan struct{})
	goOn := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := c.beginRequest(r.Context()); !ok {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/long" {
			close(running)
			<-goOn
		}
		_, _ = w.Write([]byte("whole"))
	}))
	s.Config.ConnState = c.trackState
	s.Config.ConnContext = c.connContext
	_ = s.Listener.Close()
	s.Listener = c
	s.Start()
	defer s.Close()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	if _, err := io.WriteString(n, "GET /short HTTP/1.1\r\nHost: h\r\n\r\nGET /long HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	c.closeIdle(time.Now().Add(time.Minute))
	close(goOn)
	r := bufio.NewReader(n)
	for _, path := range []string{"/short", "/long"} {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s has no answer: %v", path, err)
		}
		if b, err := io.ReadAll(a.Body); string(b) != "whole" || err != nil {
			t.Errorf("%s: answer %q, error %v", path, b, err)
		}
		_ = a.Body.Close()
	}
}
