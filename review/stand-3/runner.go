package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the protocol.
const (
	headerResumes = "Resumes"
	headerLastID  = "Last-Event-Id"
)

// Headers of the protocol that have a prefix.
var (
	headerID       = name("header prefix") + "Request-Id"
	headerDeadline = name("header prefix") + "Deadline-Ms"
	headerExpect   = name("header prefix") + "Expect-Instance"
	headerNotRun   = name("header prefix") + "Not-Executed"
	headerReceipt  = name("header prefix") + "Response-Signature"
	headerInstance = name("header prefix") + "Instance-Id"
)

// slots is the number of requests that a runner works on at once.
const slots = 48

// runner is a stand-in of a runner of a plain service. It speaks HTTP/1.1 by hand, so that a case can choose the bytes.
type runner struct {
	id, version, address string
	born                 int64
	world                *world
	listener             net.Listener
	// serve answers a request whose head and body were read. It returns false if the channel is to be closed.
	serve func(c net.Conn, q *http.Request) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
	done  chan struct{}
	// dark is closed when the runner's machine loses its power: its channels stay open on the other side, and silent.
	dark chan struct{}
}

// startRunner starts a runner at an address; with port 0 at a free one. It registers at once, if the store takes that, and
// then once in each heartbeat.
func (w *world) startRunner(id, version, address string, serve func(r *runner, c net.Conn, q *http.Request) bool) (*runner, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, version: version, address: l.Addr().String(), born: time.Now().UnixMilli(), world: w,
		listener: l, conns: map[net.Conn]bool{}, done: make(chan struct{}), dark: make(chan struct{}),
	}
	r.serve = func(c net.Conn, q *http.Request) bool { return serve(r, c, q) }
	w.record.add("runner %s of version %s starts at %s", id, version, r.address)
	go r.accept()
	go r.register()
	w.closers = append(w.closers, r.kill)
	return r, nil
}

// goDark lets the runner's machine lose its power. Its address can be used again.
func (r *runner) goDark() {
	_ = r.listener.Close()
	close(r.dark)
}

// waitWhileDark waits for the end of the case if the runner has lost its power, and reports whether it has.
func (r *runner) waitWhileDark() bool {
	select {
	case <-r.dark:
		<-r.done
		return true
	default:
		return false
	}
}

// register writes the runner's registration until it ends.
func (r *runner) register() {
	for n := 1; ; n++ {
		r.world.store.put("servers/"+r.id, map[string]any{
			"service": service, "address": r.address, name("place"): "a", "version": r.version, "slots": slots, "state": "ready",
			"cold-remaining-ms": 0, "sequence": n, "born": r.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-r.done:
			return
		case <-r.dark:
			return
		}
	}
}

// kill ends the runner as a crash does: its channels break.
func (r *runner) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	close(r.done)
	_ = r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.ended {
			_ = c.Close()
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

// handle serves the requests of a channel, one after the other.
func (r *runner) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if e := q.Header.Get(headerExpect); e != r.id {
			_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, q.Header.Get(headerID), headerNotRun)
			if err != nil {
				return
			}
			continue
		}
		if r.waitWhileDark() || !r.serve(c, q) {
			return
		}
	}
}

// head returns the head of a successful answer to a request, without its framing and its end.
func (r *runner) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n%s: %s\r\n", headerID, id, headerReceipt, r.id, id, headerInstance, r.id)
}
