package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers that runners and clients use.
var (
	headerID        = wire.HeaderPrefix + "Request-Id"
	headerExpect    = wire.HeaderPrefix + "Expect-Instance"
	headerInstance  = wire.HeaderPrefix + "Instance-Id"
	headerNotRun    = wire.HeaderPrefix + "Not-Executed"
	headerReceipt   = wire.HeaderPrefix + "Response-Signature"
	headerLoad      = wire.HeaderPrefix + "Server-Load"
	headerDeadline  = wire.HeaderPrefix + "Deadline-Ms"
	headerWorkspace = wire.HeaderPrefix + wire.HeaderWorkspace
	headerLastEvent = "Last-Event-Id"
	headerResumes   = "Resumes"
)

// runner is a stand-in of a runner of a plain service. It serves each request for the time that its
// work takes, and streams events if the path says so.
type runner struct {
	world   *world
	id      string
	service string
	version string
	slots   int
	// work is the time that a request takes, or an event of a stream.
	work time.Duration
	// events is the number of events of a stream.
	events  int
	address string
	born    int64
	server  *http.Server
	silent  chan struct{}
	once    sync.Once

	mu      sync.Mutex
	running int
	runs    map[string]int
}

// streamPath is part of the paths of streams.
const streamPath = "/stream"

// startRunner starts a runner at an address and registers it in the store, as it does itself at its start.
func (w *world) startRunner(r *runner) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.world, r.born, r.runs, r.silent = w, time.Now().UnixMilli(), map[string]int{}, make(chan struct{})
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.register("ready")
	go r.beatOn()
	w.add("runner %s (version %s): started at %s", r.id, r.version, r.address)
	w.closers = append(w.closers, r.end)
	return nil
}

// register writes the runner's entry in the store.
func (r *runner) register(state string) {
	r.world.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, wire.DataCentre: "east", "version": r.version, "slots": r.slots,
		"state": state, "cold-remaining-ms": 0, "born": r.born,
	})
}

// beatOn writes the entry again at each heartbeat until the runner ends.
func (r *runner) beatOn() {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.register("ready")
		case <-r.silent:
			return
		}
	}
}

// end ends the runner at once: its connections break off. Its entry stays for three heartbeats.
func (r *runner) end() {
	r.once.Do(func() {
		close(r.silent)
		_ = r.server.Close()
		r.world.add("runner %s (version %s): ended", r.id, r.version)
	})
}

// timesRun returns how often a request ran here.
func (r *runner) timesRun(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// take takes a slot and reports whether there was one.
func (r *runner) take(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return false
	}
	r.running++
	r.runs[id]++
	return true
}

func (r *runner) free() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, r.slots)
}

// ServeHTTP serves a request, or rejects it as the pages say.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h, id := w.Header(), q.Header.Get(headerID)
	h.Set(headerInstance, r.id)
	if id == "" {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set(headerID, id)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if e := q.Header.Get(headerExpect); e != "" && e != r.id {
		r.world.add("runner %s: %s is for %s: 421", r.id, id, e)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.take(id) {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.free()
	r.world.add("runner %s (version %s): runs %s for workspace %q, after event %q", r.id, r.version, id, q.Header.Get(headerWorkspace), q.Header.Get(headerLastEvent))
	h.Set(headerReceipt, receipt(id))
	h.Set(headerLoad, r.load())
	if strings.Contains(q.URL.Path, streamPath) {
		r.stream(w, q)
		return
	}
	if !r.pause(q) {
		return
	}
	_, _ = io.WriteString(w, body(id))
}

// stream writes the events of a stream after the one that the client has. Each names the version that made it.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	last, _ := strconv.Atoi(q.Header.Get(headerLastEvent))
	for n := last + 1; n <= r.events; n++ {
		if !r.pause(q) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, r.version, padding)
		_ = c.Flush()
	}
}

// pause works for a while. It returns false if the client or the runner has gone.
func (r *runner) pause(q *http.Request) bool {
	d := r.work
	if q.URL.Path == slowPath {
		d = slowWork
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
	case <-r.silent:
	}
	return false
}

// padding makes events as large as those of the sheets.
var padding = strings.Repeat("x", 2000)

func receipt(id string) string { return "receipt-" + id }

func body(id string) string { return "answer to " + id }
