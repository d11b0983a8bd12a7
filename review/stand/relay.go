package main

import (
	"net"
	"sync"
)

// relay passes the connections of clients on to an entry. It can silence those that are open, as when the machine has lost
// its power: nothing passes any more, and no end hears of a close.
type relay struct {
	to string
	l  net.Listener

	mu sync.Mutex
	// silenced counts the losses of power; a connection that was opened before the last one is silent.
	silenced int
	conns    []net.Conn
}

// newRelay returns a relay at a free port of an address, to an entry.
func (w *world) newRelay(to string) (*relay, error) {
	l, err := net.Listen("tcp", w.net+".210:0")
	if err != nil {
		return nil, err
	}
	r := &relay{to: to, l: l}
	go r.serve()
	w.closers = append(w.closers, r.close)
	return r, nil
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// silence silences the open connections.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced++
}

func (r *relay) serve() {
	for {
		near, err := r.l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		opened := r.silenced
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		go r.pass(far, near, opened)
		go r.pass(near, far, opened)
	}
}

// pass passes bytes on until an end closes or the connection is silenced.
func (r *relay) pass(to, from net.Conn, opened int) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		r.mu.Lock()
		isSilent := r.silenced > opened
		r.mu.Unlock()
		switch {
		case isSilent && err != nil:
			return
		case isSilent:
			continue
		case err != nil:
			_ = to.Close()
			_ = from.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
