package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var prefix = name("header prefix")

// Headers of the protocol.
var (
	headerID          = prefix + "Request-Id"
	headerExpect      = prefix + "Expect-Instance"
	headerInstance    = prefix + "Instance-Id"
	headerPhase       = prefix + "Serving-Phase"
	headerSource      = name("header source")
	headerTokens      = prefix + "Token-Count"
	headerDeadline    = prefix + "Deadline-Ms"
	headerNotExecuted = prefix + "Not-Executed"
	headerSignature   = prefix + "Response-Signature"
	headerLoad        = prefix + "Server-Load"
	headerLastEvent   = "Last-Event-Id"
)

// Config describes a runner. It is passed to runners that are processes of their own as JSON.
type Config struct {
	ID, Service, Address, Version string
	// Host is the last byte of its address.
	Host int
	// Phase is that of an engine; empty for a plain service.
	Phase string
	Slots int
	// Queue is how many requests wait for a slot.
	Queue  int
	Memory int64
	// Work is the time for a plain request, Gap that between two events of a stream.
	Work, Gap time.Duration
	// PerToken is the time in which a prefill engine reads a token of a prompt.
	PerToken time.Duration
	// Unframed answers have neither a length nor chunks and end with their channel.
	Unframed bool
}

// ran is what a ledger holds of a request at a runner.
type ran struct {
	ID, Runner string
	// What is "arrives", "prefill", "runs", "done" or "gone", when its caller has left.
	What string
	At   time.Time
}

// ledger records what runners did.
type ledger struct {
	record *record
	mu     sync.Mutex
	runs   map[string][]ran
}

func (l *ledger) add(r ran) {
	l.mu.Lock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
	l.mu.Unlock()
	l.record.line("%s %s at %s", r.ID, r.What, r.Runner)
}

// of returns what runners did with a request.
func (l *ledger) of(id string) []ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ran(nil), l.runs[id]...)
}

// count returns how often something is recorded of a request.
func (l *ledger) count(id, what string) (n int) {
	for _, r := range l.of(id) {
		if r.What == what {
			n++
		}
	}
	return n
}

// runner is a stand-in of a runner: a plain service or a model engine.
type runner struct {
	Config
	born   int64
	note   func(ran)
	server *http.Server

	mu       sync.Mutex
	running  map[string]*running
	waiting  int
	handles  map[string]time.Time
	sequence int64
	fence    int64
	switched time.Time
	prefills chan struct{}
	free     chan struct{}
	// endless lets answers be heads without an end, of so many bytes a second; 0 for sound ones.
	endless atomic.Int64
	// fails lets a part of the plain requests, failShare, fail with this status after they have run; 0 for none.
	fails atomic.Int64
	// down is true while the runner's process doesn't run, so that it writes nothing to the store.
	down atomic.Bool
	// streams is the number of endless heads that are being sent.
	streams atomic.Int64
}

type running struct{ tokens, events int64 }

// failShare is the part of its requests that a runner in trouble fails.
const failShare = 0.4

// switchTime is how long a change of the phase takes.
const switchTime = time.Second

// holdTime is how long a prompt's memory is kept.
const holdTime = 500 * time.Millisecond

func newRunner(c Config, note func(ran)) (*runner, error) {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	r := &runner{Config: c, born: time.Now().UnixMilli(), note: note, running: map[string]*running{}, handles: map[string]time.Time{}, prefills: make(chan struct{}, 1), free: make(chan struct{}, c.Slots)}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// addRunner starts a runner in this process.
func (w *world) addRunner(c Config) (*runner, error) {
	c.Address = w.address(c.Host, appPort)
	r, err := newRunner(c, w.ledger.add)
	if err != nil {
		return nil, err
	}
	w.closers = append(w.closers, func() { _ = r.server.Close() })
	w.runners = append(w.runners, r)
	w.register(r)
	return r, nil
}

// register writes a runner's entry now and at each heartbeat.
func (w *world) register(r *runner) {
	n := 0
	beat := func() {
		if r.down.Load() {
			return
		}
		n++
		e := r.entry()
		e["sequence"] = n
		w.store.put("servers/"+r.ID, e)
	}
	beat()
	w.goUntilDone(heartbeat, beat)
}

func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{
		"service": r.Service, "address": r.Address, name("place"): "dub-a", "version": r.Version, "slots": r.Slots, "state": "ready",
		"cold-remaining-ms": 0, "born": r.born,
	}
	if r.Phase != "" {
		e["phase"] = r.Phase
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/report":
		r.report(w)
	case q.URL.Path == "/healthz":
		w.Header().Set(headerInstance, r.ID)
		w.Header().Set(headerLoad, r.load())
	case q.URL.Path == "/order":
		r.order(w, q)
	case strings.HasPrefix(q.URL.Path, name("handle path")):
		r.takeHandle(strings.TrimPrefix(q.URL.Path, name("handle path")))
	case strings.HasPrefix(q.URL.Path, "/stand-fetch/"):
		if !r.takeHandle(strings.TrimPrefix(q.URL.Path, "/stand-fetch/")) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		r.serve(w, q)
	}
}

func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(r.running), r.waiting, r.Slots)
}

// report answers GET /report.
func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var used int64
	runs := [][]any{}
	for id, x := range r.running {
		used += x.tokens
		runs = append(runs, []any{id, x.tokens, x.events, 5})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": r.Phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": time.Now().Before(r.switched),
		"sequence": r.sequence, "queued": r.waiting, "running": len(r.running), "kv-used": used, "kv-total": r.Memory,
		name("handles"): len(r.handles), "state": "ready", "next": 0, "runs": runs, "born": r.born,
	})
}

// order answers POST /order.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op           string `json:"op"`
		Phase        string `json:"phase"`
		Holder       string `json:"holder"`
		Precondition *int64 `json:"precondition"`
	}
	var all map[string]any
	b, err := io.ReadAll(q.Body)
	if err == nil {
		err = errors.Join(json.Unmarshal(b, &o), json.Unmarshal(b, &all))
	}
	f, _ := all[name("fence")].(float64)
	fence := int64(f)
	if err != nil || o.Op != "phase" || o.Holder == "" || fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.note(ran{ID: "order by " + o.Holder, Runner: r.ID, What: "arrives", At: time.Now()})
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case time.Now().Before(r.switched) || o.Precondition != nil && *o.Precondition != r.sequence:
		w.WriteHeader(http.StatusConflict)
	case o.Phase == r.Phase:
		w.WriteHeader(http.StatusOK)
	default:
		r.fence, r.Phase, r.switched = fence, o.Phase, time.Now().Add(switchTime)
		r.sequence++
		w.WriteHeader(http.StatusAccepted)
	}
}

// takeHandle takes a prompt's memory, and reports whether it was there.
func (r *runner) takeHandle(h string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end, ok := r.handles[h]
	delete(r.handles, h)
	return ok && time.Now().Before(end)
}

// refuse states that a request wasn't run.
func refuse(w http.ResponseWriter) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serve handles a client's request.
func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headerID)
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(headerID, id)
	w.Header().Set(headerLoad, r.load())
	if e := q.Header.Get(headerExpect); e != "" && e != r.ID {
		w.Header().Set(headerInstance, r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.note(ran{ID: id, Runner: r.ID, What: "arrives", At: time.Now()})
	_ = b
	ctx := q.Context()
	if ms := number(q.Header.Get(headerDeadline)); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	r.mu.Lock()
	phase, isSwitching := r.Phase, time.Now().Before(r.switched)
	r.mu.Unlock()
	isPrefill := q.Header.Get(headerPhase) == "prefill"
	switch {
	case isSwitching:
		refuse(w)
	case phase == "":
		r.plain(ctx, w, q, id)
	case isPrefill && phase == "prefill":
		r.prefill(ctx, w, q, id)
	case !isPrefill && phase == "decode":
		r.decode(ctx, w, q, id)
	default:
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

// slot waits for a slot; ok is false if the queue is full or the caller has left.
func (r *runner) slot(ctx context.Context) (release func(), full bool) {
	r.mu.Lock()
	if r.waiting >= r.Queue && len(r.free) >= r.Slots {
		r.mu.Unlock()
		return nil, true
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.free <- struct{}{}:
		return func() { <-r.free }, false
	case <-ctx.Done():
		return nil, false
	}
}

// begin counts a run until the function that it returns is called.
func (r *runner) begin(id string, tokens int64) (x *running, end func()) {
	x = &running{tokens: tokens}
	r.mu.Lock()
	r.running[id] = x
	r.mu.Unlock()
	return x, func() {
		r.mu.Lock()
		delete(r.running, id)
		r.mu.Unlock()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// plainBody is the answer of a plain runner.
func plainBody(id string) string { return strings.Repeat("answer to "+id+"\n", 40) }

// plain runs a plain request.
func (r *runner) plain(ctx context.Context, w http.ResponseWriter, q *http.Request, id string) {
	release, full := r.slot(ctx)
	if full {
		refuse(w)
		return
	}
	if release == nil {
		return
	}
	defer release()
	_, end := r.begin(id, 0)
	defer end()
	r.note(ran{ID: id, Runner: r.ID, What: "runs", At: time.Now()})
	if !sleep(ctx, r.Work) {
		r.note(ran{ID: id, Runner: r.ID, What: "gone", At: time.Now()})
		return
	}
	r.note(ran{ID: id, Runner: r.ID, What: "done", At: time.Now()})
	w.Header().Set(headerSignature, "proof-"+id)
	if s := r.fails.Load(); s > 0 && mrand.Float64() < failShare {
		w.WriteHeader(int(s))
		return
	}
	_, _ = w.Write([]byte(plainBody(id)))
}

// prefill reads a prompt, one after another, and keeps its memory.
func (r *runner) prefill(ctx context.Context, w http.ResponseWriter, q *http.Request, id string) {
	in, _, _ := strings.Cut(q.Header.Get(headerTokens), ",")
	select {
	case r.prefills <- struct{}{}:
	case <-ctx.Done():
		return
	}
	ok := sleep(ctx, time.Duration(number(in))*r.PerToken)
	<-r.prefills
	if !ok {
		return
	}
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	h := hex.EncodeToString(b)
	r.mu.Lock()
	r.handles[h] = time.Now().Add(holdTime)
	r.mu.Unlock()
	r.note(ran{ID: id, Runner: r.ID, What: "prefill", At: time.Now()})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{name("handle"): h, "tokens": number(in), "version": 1})
}

// fetch takes a prompt's memory from another engine.
func fetch(source string) bool {
	address, h, ok := strings.Cut(source, "/")
	if !ok {
		return false
	}
	a, err := http.Get("http://" + address + "/stand-fetch/" + h)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// event is the n-th event of a stream. It names the version of the software that made it.
func event(version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, version, strings.Repeat("x", 300))
}

// decode streams an answer, of as many events as the request allows tokens.
func (r *runner) decode(ctx context.Context, w http.ResponseWriter, q *http.Request, id string) {
	release, full := r.slot(ctx)
	if full {
		refuse(w)
		return
	}
	if release == nil {
		return
	}
	defer release()
	in, out, _ := strings.Cut(q.Header.Get(headerTokens), ",")
	prompt, last := number(in), number(out)
	if s := q.Header.Get(headerSource); s != "" {
		if !fetch(s) {
			refuse(w)
			return
		}
	} else if !sleep(ctx, 2*time.Duration(prompt)*r.PerToken) {
		return
	}
	x, end := r.begin(id, int64(prompt))
	defer end()
	r.note(ran{ID: id, Runner: r.ID, What: "runs", At: time.Now()})
	if n := r.endless.Load(); n > 0 {
		r.sendEndless(w, id, n)
		return
	}
	write, finish := r.answer(w, id)
	defer finish()
	for n := number(q.Header.Get(headerLastEvent)) + 1; n <= last; n++ {
		if !sleep(ctx, r.Gap) || write(event(r.Version, n)) != nil {
			r.note(ran{ID: id, Runner: r.ID, What: "gone", At: time.Now()})
			return
		}
		r.mu.Lock()
		x.tokens++
		x.events++
		r.mu.Unlock()
	}
	r.note(ran{ID: id, Runner: r.ID, What: "done", At: time.Now()})
}

// answer begins the answer of a stream, with chunks or unframed.
func (r *runner) answer(w http.ResponseWriter, id string) (write func(string) error, finish func()) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(headerSignature, "proof-"+id)
	if !r.Unframed {
		c := http.NewResponseController(w)
		_ = c.Flush()
		return func(s string) error {
			_, err := w.Write([]byte(s))
			if e := c.Flush(); err == nil {
				err = e
			}
			return err
		}, func() {}
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: proof-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerID, id, headerSignature, id)
	return func(s string) error {
		_, err := io.WriteString(c, s)
		return err
	}, func() { _ = c.Close() }
}

// firstHeadBytes is how much of an endless head comes at once.
const firstHeadBytes = 245_000

// sendEndless sends a head without an end until the caller closes: bytes that are no answer.
func (r *runner) sendEndless(w http.ResponseWriter, id string, perSecond int64) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	r.streams.Add(1)
	defer r.streams.Add(-1)
	const tick = 20 * time.Millisecond
	b := []byte("HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\n")
	first := firstHeadBytes
	for n := int64(0); ; {
		for int64(len(b)) < max(int64(first), perSecond*int64(tick)/int64(time.Second)) {
			b = append(strconv.AppendInt(b, n, 36), ":\r\n"...)
			n++
		}
		if _, err := c.Write(b); err != nil {
			return
		}
		b, first = b[:0], 0
		time.Sleep(tick)
	}
}

// child is a runner that is a process of its own.
type child struct {
	*runner
	cmd  *exec.Cmd
	gone chan struct{}
}

// startChild starts a runner as a process of its own.
func (w *world) startChild(c Config) (*child, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	x := &child{cmd: exec.Command(os.Args[0], "runner", string(b)), gone: make(chan struct{})}
	out, err := x.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	x.cmd.Stderr = os.Stderr
	if err := x.cmd.Start(); err != nil {
		return nil, err
	}
	gone, cmd := x.gone, x.cmd
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			var r ran
			if json.Unmarshal(s.Bytes(), &r) == nil {
				w.ledger.add(r)
			}
		}
		_ = cmd.Wait()
		close(gone)
	}()
	w.closers = append(w.closers, x.kill)
	// The entry in the store is written here for the process.
	x.runner = &runner{Config: c, born: time.Now().UnixMilli(), note: w.ledger.add, running: map[string]*running{}}
	return x, nil
}

// addChild starts a runner as a process of its own, and registers it.
func (w *world) addChild(c Config) (*child, error) {
	c.Address = w.address(c.Host, appPort)
	x, err := w.startChild(c)
	if err != nil {
		return nil, err
	}
	w.runners = append(w.runners, x.runner)
	w.register(x.runner)
	return x, nil
}

// restart starts a killed runner again under its id, with another version of the software. It writes its entry once it
// takes connections.
func (w *world) restart(x *child, version string) error {
	c := x.Config
	c.Version = version
	n, err := w.startChild(c)
	if err != nil {
		return err
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if k, err := net.Dial("tcp", c.Address); err == nil {
			_ = k.Close()
			break
		}
	}
	x.runner.mu.Lock()
	x.runner.Version, x.runner.born = version, time.Now().UnixMilli()
	x.runner.mu.Unlock()
	x.cmd, x.gone = n.cmd, n.gone
	w.store.put("servers/"+x.ID, x.entry())
	return nil
}

// kill ends the process at once.
func (x *child) kill() {
	_ = x.cmd.Process.Kill()
	<-x.gone
}

// serveRunner is the main function of a runner that is a process of its own. It ends with its parent at the latest.
func serveRunner(config string) {
	var c Config
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(failed)
	}
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	if _, err := newRunner(c, func(r ran) {
		mu.Lock()
		defer mu.Unlock()
		if out.Encode(r) != nil {
			os.Exit(0)
		}
	}); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(failed)
	}
	time.Sleep(3 * time.Minute)
}
