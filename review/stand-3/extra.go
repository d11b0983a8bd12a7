package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// extraClients send unsafe requests, each on a kept channel, one every extraPause.
	extraClients = 12
	extraPause   = 100 * time.Millisecond
	extraCalm    = 3 * time.Second
	// extraTime is how long one of the runners adds bytes to one of extraEvery answers.
	extraTime  = 5 * time.Second
	extraEvery = 34
	extraWork  = 15 * time.Millisecond
)

// extraAnswer is what the runner adds after a complete answer: a second answer that belongs to no request. It arrives late, where
// the next answer is due.
var extraAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// extras counts which runners ran each request, and which answers clients got.
type extras struct {
	world *world

	mu      sync.Mutex
	runs    map[string][]string
	answers map[string]int
	// added is the number of answers that got more bytes, and answered that of all answers of the faulty runner.
	added, answered int
	// faulty is the id of the runner that adds bytes; empty for none.
	faulty string
	// owed holds the channels on which an extra answer is still to come.
	owed map[net.Conn]bool
}

// playExtra plays the case in which a runner sends additional bytes after complete answers.
func playExtra(w *world) (verdict, error) {
	x := &extras{world: w, runs: map[string][]string{}, answers: map[string]int{}, owed: map[net.Conn]bool{}}
	for i := range 3 {
		if _, err := w.startRunner(fmt.Sprintf("i-%d", i+1), "v1", w.ip(101+i)+":0", x.serve); err != nil {
			return verdict{}, err
		}
	}
	w.publishConfig()
	if err := w.startEntries(); err != nil {
		return verdict{}, err
	}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range extraClients {
		clients.Go(func() { x.client(w.entries[i%entryCount], end) })
	}
	time.Sleep(extraCalm)
	if w.trouble {
		x.setFaulty("i-1")
	}
	time.Sleep(extraTime)
	x.setFaulty("")
	time.Sleep(extraCalm)
	close(end)
	clients.Wait()
	return x.judge(), nil
}

func (x *extras) setFaulty(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faulty = id
	if id == "" {
		clear(x.owed)
	}
	x.world.record.add("the runner that sends additional bytes after one of %d answers: %q", extraEvery, id)
}

// serve runs a request and answers it.
func (x *extras) serve(r *runner, c net.Conn, q *http.Request) bool {
	id := q.Header.Get(headerID)
	if x.begin(r, c, id) {
		x.world.record.add("runner %s sends a second answer, without an id, that belongs to no request", r.id)
		if _, err := io.WriteString(c, extraAnswer); err != nil {
			return false
		}
	}
	time.Sleep(extraWork)
	body := "done " + id
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n%s", r.head(id), len(body), body)
	x.noteAnswer(r, c)
	return err == nil
}

// begin notes that a runner begins to run a request, and reports whether an extra answer is due on its channel.
func (x *extras) begin(r *runner, c net.Conn, id string) (extra bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs[id] = append(x.runs[id], r.id)
	x.world.record.add("runner %s runs request %s", r.id, id)
	extra = x.owed[c]
	delete(x.owed, c)
	if extra {
		x.added++
	}
	return extra
}

// noteAnswer decides whether an answer gets additional bytes.
func (x *extras) noteAnswer(r *runner, c net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.id != x.faulty {
		return
	}
	x.answered++
	x.owed[c] = x.answered%extraEvery == 0
}

// client sends unsafe requests until the end.
func (x *extras) client(p *process, end <-chan struct{}) {
	var c *channel
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(extraPause):
		}
		if c == nil {
			var err error
			if c, err = dial(p); err != nil {
				continue
			}
		}
		if !x.request(c, fmt.Sprintf("%s%d", unsafePrefix, n)) {
			_ = c.Close()
			c = nil
		}
	}
}

// request sends one request, which isn't repeated. It returns false if the channel can't be used again.
func (x *extras) request(c *channel, path string) bool {
	id := newID()
	x.world.record.add("client sends request %s", id)
	a, err := c.send(http.MethodPost, path, id, "an order", nil, deadline)
	if err != nil {
		x.world.record.add("client gets no answer to %s: %v", id, err)
		return false
	}
	b, err := io.ReadAll(a.Body)
	x.world.record.add("client gets %d to %s: %q, error %v", a.StatusCode, id, b, err)
	x.mu.Lock()
	x.answers[id] = a.StatusCode
	x.mu.Unlock()
	return err == nil && !a.Close
}

// judge checks TWICE.
func (x *extras) judge() verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	var twice []string
	for id, l := range x.runs {
		if len(l) > 1 {
			twice = append(twice, fmt.Sprintf("%s at %s, answered %d", id, strings.Join(l, " and "), x.answers[id]))
		}
	}
	text := fmt.Sprintf("%d unsafe requests ran; %d of %d answers of the faulty runner had additional bytes; %d requests ran more than once: %s",
		len(x.runs), x.added, x.answered, len(twice), strings.Join(twice, "; "))
	return verdict{len(twice) > 0, text}
}
