// Package worker is the reducer of an agent: the last check before anything runs
// at an upstream.
//
// The boundary is Step: an Event at a time goes in, Effects come out as data. There
// is no I/O, clock or goroutine inside. A run is one attempt of one stage of a
// request. Its lease is renewed by any message of its entry; an expired lease frees
// the upstream. A request that isn't idempotent starts at most once: the outcome or a
// tombstone is kept until no late copy can arrive.
package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/queue"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// Defaults of the options.
const (
	DefaultSlots  = 20
	DefaultLease  = 5 * time.Second
	DefaultKeep   = 10 * time.Minute
	DefaultBeat   = time.Second
	DefaultWindow = 256 << 10
	DefaultReplay = 64 << 10
)

// ageMargin covers the difference between two monotonic clocks over a request's
// lifetime and the time that a message is under way.
const ageMargin = 10 * time.Second

type phase int

const (
	queued phase = iota
	granted
	running
	ended
)

type chunk struct {
	offset int64
	data   []byte
	tokens int32
}

type run struct {
	id     RunID
	open   *wire.Open
	phase  phase
	stream StreamID
	// followers are streams of repetitions, which are given the answer when it is whole.
	followers []StreamID
	lease     time.Time
	startBy   time.Time
	until     time.Time
	nextBeat  time.Time
	head      *wire.Head
	tail      []chunk
	end       int64
	acked     int64
	paused    bool
	done      *wire.Done
	fail      *fault.Error
	started   bool
	// stopped is true while no entry waits for the answer.
	stopped bool
	// keep is until when an ended run answers repetitions of its request.
	keep time.Time
}

// record is what stays of a request after its runs are gone.
type record struct {
	// cancelled is the highest attempt that never ran and never will.
	cancelled uint32
	ran       wire.Ran
	// started is true once a run of the request was given to the upstream.
	started bool
	keep    time.Time
}

// Worker is the state of an agent. Use New.
type Worker struct {
	incarnation uint64
	born        time.Time
	slots       int
	lease       time.Duration
	keep        time.Duration
	beat        time.Duration
	tree        *tree.Tree
	leaving     bool
	draining    bool
	runs        map[RunID]*run
	streams     map[StreamID]*run
	records     map[string]*record
	queue       queue.Queue[*run]
	busy        int
	now         time.Time
	effects     []Effect
}

// Option changes a default.
type Option func(*Worker)

// WithSlots sets how many runs the upstream takes at once.
func WithSlots(n int) Option { return func(w *Worker) { w.slots = n } }

// WithLease sets how long a run outlives the last message of its entry.
func WithLease(d time.Duration) Option { return func(w *Worker) { w.lease = d } }

// WithKeep sets how long outcomes and tombstones are kept.
func WithKeep(d time.Duration) Option { return func(w *Worker) { w.keep = d } }

// New returns the state of an agent that starts at now.
func New(now time.Time, incarnation uint64, opts ...Option) *Worker {
	w := &Worker{
		incarnation: incarnation,
		born:        now,
		slots:       DefaultSlots,
		lease:       DefaultLease,
		keep:        DefaultKeep,
		beat:        DefaultBeat,
		tree:        tree.Empty(),
		runs:        map[RunID]*run{},
		streams:     map[StreamID]*run{},
		records:     map[string]*record{},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Active returns the number of runs that have not ended.
func (w *Worker) Active() int {
	n := 0
	for _, r := range w.runs {
		if r.phase != ended || r.unread() && r.stream != 0 {
			n++
		}
	}
	return n
}

// ids returns the names of all runs in a fixed order.
func (w *Worker) ids() []RunID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b RunID) int {
		return cmp.Or(
			cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Attempt, b.Attempt),
			cmp.Compare(a.Stage, b.Stage),
		)
	})
}

// Load returns the agent's own view of its upstream.
func (w *Worker) Load() *wire.Load {
	return &wire.Load{
		Slots:      int32(w.slots),
		Running:    int32(w.busy),
		Queued:     int32(w.queue.Len()),
		QueuedCost: w.queue.Cost(),
		Leaving:    w.refusing(),
	}
}

// StreamOf returns the stream that a run belongs to, or 0.
func (w *Worker) StreamOf(id RunID) StreamID {
	if r := w.runs[id]; r != nil {
		return r.stream
	}
	return 0
}

// Claims reports whether a live run claims memory that the engine holds under name.
func (w *Worker) Claims(name string) bool {
	for id, r := range w.runs {
		if r.phase == running && id.String() == name {
			return true
		}
	}
	return false
}

// Step applies an event at a time and returns the effects.
func (w *Worker) Step(now time.Time, e Event) []Effect {
	w.now = now
	w.effects = nil
	switch e := e.(type) {
	case Opened:
		w.opened(e)
	case Reopened:
		w.reopened(e)
	case Fed:
		w.fed(e)
	case Acked:
		w.ackedTo(e)
	case Beat:
		w.touch(e.Stream)
	case Stopped:
		w.stop(e.Stream)
	case Closed:
		w.closed(e.Stream)
	case CancelAsked:
		w.cancelAsked(e)
	case CallHead:
		w.callHead(e)
	case CallData:
		w.callData(e)
	case CallDone:
		w.callDone(e)
	case CallFailed:
		w.callFailed(e)
	case HeldListed:
		w.heldListed(e)
	case Ticked:
		w.tick()
	case Configured:
		w.configured(e)
	case Drained:
		w.draining = true
	}
	w.fill()
	return w.effects
}

func (w *Worker) emit(e Effect) { w.effects = append(w.effects, e) }

func (w *Worker) trace(k trace.Kind, r *run, detail string) {
	w.emit(Trace{trace.Event{
		Kind:      k,
		Request:   r.id.Request,
		Attempt:   r.id.Attempt,
		Stage:     r.id.Stage.String(),
		Workspace: r.open.GetWorkspace(),
		Detail:    detail,
	}})
}

func (w *Worker) refusing() bool { return w.leaving || w.draining }

func (w *Worker) opened(e Opened) {
	o := e.Open
	id := RunID{o.Request, o.Attempt, o.Stage}
	if err := w.check(id, o); err != nil {
		w.bury(o, err)
		w.refuse(e.Stream, err)
		return
	}
	if old := w.existing(id, o); old != nil {
		w.attachAgain(e.Stream, old, o)
		return
	}
	r := &run{
		id:      id,
		open:    o,
		startBy: w.now.Add(time.Duration(o.PatienceMicros) * time.Microsecond),
		until:   w.now.Add(time.Duration(o.LeftMicros) * time.Microsecond),
		end:     o.Base,
		acked:   o.Base,
	}
	w.runs[id] = r
	w.attach(e.Stream, r)
	w.trace(trace.Opened, r, "")
	w.queue.Push(queue.Item[*run]{
		Workspace: o.Workspace,
		Cost:      max(o.Cost, 1),
		Weight:    o.Weight,
		Batch:     o.Batch,
		Aged:      w.now.Add(time.Duration(o.PatienceMicros) * time.Microsecond / batchAgeParts),
		Value:     r,
	})
}

// batchAgeParts is the part of its time left after which batch work counts as
// interactive.
const batchAgeParts = 4

// bury keeps a refused attempt of a keyed request from ever running here, since the
// entry will give the request to another agent.
func (w *Worker) bury(o *wire.Open, err *fault.Error) {
	if o.WindowMicros > 0 && err.Ran == wire.Ran_RAN_NO {
		rec := w.record(o.Request)
		rec.cancelled = max(rec.cancelled, o.Attempt)
	}
}

// check returns the reason for which a run must not start here.
func (w *Worker) check(id RunID, o *wire.Open) *fault.Error {
	if o.Incarnation != 0 && o.Incarnation != w.incarnation {
		return fault.NotRun(fault.Unclear, "the agent restarted").WithRan(wire.Ran_RAN_UNKNOWN)
	}
	known := w.existing(id, o) != nil
	if err := w.checkRecord(id, o, known); err != nil {
		return err
	}
	if w.refusing() && !known {
		return fault.NotRun(fault.Leaving, "the upstream is leaving")
	}
	if o.KeyId != "" && w.withdrawn(o) {
		return fault.NotRun(fault.BadKey, "the key was withdrawn")
	}
	return nil
}

// checkRecord looks at what is left of the request's earlier runs.
func (w *Worker) checkRecord(id RunID, o *wire.Open, known bool) *fault.Error {
	rec := w.records[id.Request]
	switch {
	case known:
		return nil
	case rec == nil:
		return w.checkForgotten(o)
	case !o.Idempotent && rec.ran != wire.Ran_RAN_NO:
		return fault.NotRun(fault.Duplicate, "request %s was already given to this agent", id.Request).WithRan(rec.ran)
	case id.Attempt <= rec.cancelled:
		return fault.NotRun(fault.Cancelled, "attempt %d was cancelled", id.Attempt)
	}
	return nil
}

// checkForgotten refuses a request that may be the repetition of one that an earlier
// life of this agent ran.
func (w *Worker) checkForgotten(o *wire.Open) *fault.Error {
	until := w.born.Add(time.Duration(o.WindowMicros) * time.Microsecond)
	if o.Idempotent || !w.now.Before(until) {
		return nil
	}
	err := fault.NotRun(fault.Forgotten, "the upstream's agent has restarted and can't tell whether the request ran")
	return err.WithRan(wire.Ran_RAN_UNKNOWN).WithAgain(until)
}

// withdrawn reports whether the key is not granted in a tree at least as new as
// the entry's.
func (w *Worker) withdrawn(o *wire.Open) bool {
	return w.tree.Revision() >= o.Revision && !w.tree.KeyGranted(o.Workspace, o.KeyId)
}

// existing returns the run that a repeated Open belongs to.
func (w *Worker) existing(id RunID, o *wire.Open) *run {
	if r := w.runs[id]; r != nil {
		return r
	}
	if o.Idempotent {
		return nil
	}
	for other, r := range w.runs {
		if other.Request == id.Request && other.Stage == id.Stage {
			return r
		}
	}
	return nil
}

// attachAgain answers a repeated Open with the answer of the first. While another
// stream carries that, the repetition follows.
func (w *Worker) attachAgain(s StreamID, r *run, o *wire.Open) {
	if r.open.Digest != o.Digest {
		w.refuse(s, fault.NotRun(fault.Duplicate, "request %s came with other content", r.id.Request))
		return
	}
	if !r.whole() {
		err := fault.NotRun(fault.Duplicate, "request %s already ran; its answer is gone", r.id.Request)
		w.refuse(s, err.WithRan(r.ran()))
		return
	}
	if r.stream != 0 && r.phase != ended && !o.Idempotent {
		r.followers = append(r.followers, s)
		w.streams[s] = r
		w.sendTo(s, w.grantedReply())
		return
	}
	w.attach(s, r)
	w.replayTo(s, r, o.Base)
}

// whole reports whether the answer is still kept from its beginning.
func (r *run) whole() bool {
	if len(r.tail) == 0 {
		return r.end == r.open.Base
	}
	return r.tail[0].offset == r.open.Base
}

func (w *Worker) refuse(s StreamID, err *fault.Error) {
	w.emit(Send{s, failReply(w.now, err, w.Load())})
	w.emit(Close{s})
}

func failReply(now time.Time, err *fault.Error, l *wire.Load) *wire.RunReply {
	f := &wire.Fail{Code: string(err.Code), Text: err.Text, Ran: err.Ran}
	if !err.Again.IsZero() {
		f.RetryAfterMicros = max(err.Again.Sub(now).Microseconds(), 0)
	}
	return &wire.RunReply{Kind: &wire.RunReply_Fail{Fail: f}, Load: l}
}

func (w *Worker) attach(s StreamID, r *run) {
	if r.stream != 0 {
		delete(w.streams, r.stream)
		w.emit(Close{r.stream})
	}
	r.stream = s
	r.stopped = false
	w.streams[s] = r
	w.renew(r)
}

func (w *Worker) renew(r *run) {
	r.lease = w.now.Add(w.lease)
}

func (w *Worker) touch(s StreamID) *run {
	r := w.streams[s]
	if r != nil {
		w.renew(r)
	}
	return r
}

func (w *Worker) reopened(e Reopened) {
	id := RunID{e.Resume.Request, e.Resume.Attempt, e.Resume.Stage}
	r := w.existing(id, &wire.Open{})
	if r == nil {
		err := fault.NotRun(fault.Unclear, "run %s is not known here", id)
		w.refuse(e.Stream, err.WithRan(wire.Ran_RAN_UNKNOWN))
		return
	}
	w.attach(e.Stream, r)
	w.trace(trace.Resumed, r, "")
	w.replayTo(e.Stream, r, e.Resume.Offset)
}

// replayTo sends all that a stream's entry has not passed on.
func (w *Worker) replayTo(s StreamID, r *run, offset int64) {
	if r.phase != queued {
		w.sendTo(s, w.grantedReply())
	}
	if r.head != nil {
		w.sendTo(s, headReply(r))
	}
	for _, c := range r.tail {
		if c.offset >= offset {
			w.sendTo(s, chunkReply(c))
		}
	}
	if m := w.endReply(r); m != nil {
		w.sendTo(s, m)
	}
	r.nextBeat = w.now.Add(w.beat)
}

func (w *Worker) sendTo(s StreamID, m *wire.RunReply) { w.emit(Send{s, m}) }

func (w *Worker) send(r *run, m *wire.RunReply) {
	if r.stream == 0 {
		return
	}
	r.nextBeat = w.now.Add(w.beat)
	w.emit(Send{r.stream, m})
}

func (w *Worker) grantedReply() *wire.RunReply {
	m := &wire.Granted{Incarnation: w.incarnation}
	return &wire.RunReply{Kind: &wire.RunReply_Granted{Granted: m}, Load: w.Load()}
}

func headReply(r *run) *wire.RunReply {
	return &wire.RunReply{Kind: &wire.RunReply_Head{Head: r.head}}
}

func chunkReply(c chunk) *wire.RunReply {
	d := &wire.Data{Offset: c.offset, Data: c.data, Tokens: c.tokens}
	return &wire.RunReply{Kind: &wire.RunReply_Data{Data: d}}
}

// endReply returns the message that ends a run, or nil while it has not ended.
func (w *Worker) endReply(r *run) *wire.RunReply {
	switch {
	case r.done != nil:
		return &wire.RunReply{Kind: &wire.RunReply_Done{Done: r.done}, Load: w.Load()}
	case r.fail != nil:
		return failReply(w.now, r.fail, w.Load())
	}
	return nil
}

// sendEnd tells the end of a run, and the whole answer to those that followed it.
func (w *Worker) sendEnd(r *run) {
	w.send(r, w.endReply(r))
	for _, s := range r.followers {
		w.replayTo(s, r, r.open.Base)
	}
}

// fill starts queued runs while slots are free.
func (w *Worker) fill() {
	for w.busy < w.slots {
		r, ok := w.queue.Pop(w.now)
		if !ok {
			return
		}
		w.busy++
		r.phase = granted
		w.trace(trace.Granted, r, "")
		w.send(r, w.grantedReply())
		if r.id.Stage != wire.Stage_STAGE_DECODE {
			w.start(r, nil)
		}
	}
}

func (w *Worker) start(r *run, f *wire.Feed) {
	rec := w.record(r.id.Request)
	assert.That(r.open.Idempotent || !rec.started, "request %s is started again", r.id.Request)
	assert.That(r.id.Attempt > rec.cancelled, "cancelled attempt %s is started", r.id)
	rec.started = true
	r.phase = running
	r.started = true
	w.trace(trace.Started, r, "")
	w.emit(StartCall{Run: r.id, Open: r.open, Feed: f, Until: r.until})
}

func (w *Worker) fed(e Fed) {
	r := w.touch(e.Stream)
	if r == nil || r.phase != granted || r.id.Stage != wire.Stage_STAGE_DECODE {
		return
	}
	w.start(r, e.Feed)
}

func (w *Worker) ackedTo(e Acked) {
	r := w.touch(e.Stream)
	if r == nil {
		return
	}
	if e.Stream != r.stream {
		w.ackedByFollower(e, r)
		return
	}
	r.acked = max(r.acked, min(e.Offset, r.end))
	if r.paused && r.end-r.acked <= DefaultWindow/2 {
		r.paused = false
		w.emit(Throttle{r.id, false})
	}
	if r.phase == ended && !r.unread() {
		s := r.stream
		w.detach(r)
		w.emit(Close{s})
		if w.replayable(r) {
			r.stopped = true
			return
		}
		w.forget(r)
		return
	}
	if !w.replayable(r) {
		r.dropAcked()
	}
}

// replayable reports whether the answer is kept for a repeated request.
func (w *Worker) replayable(r *run) bool {
	return !r.open.Idempotent && r.end-r.open.Base <= DefaultReplay
}

func (r *run) dropAcked() {
	n := 0
	for n < len(r.tail) && r.tail[n].offset+int64(len(r.tail[n].data)) <= r.acked {
		n++
	}
	r.tail = r.tail[n:]
}

// unread reports whether the entry has not yet passed on the whole answer.
func (r *run) unread() bool {
	return !r.stopped && r.fail == nil && r.acked < r.end
}

func (r *run) ran() wire.Ran {
	switch {
	case !r.started:
		return wire.Ran_RAN_NO
	case r.fail != nil:
		return r.fail.Ran
	case r.done != nil:
		return wire.Ran_RAN_YES
	default:
		return wire.Ran_RAN_UNKNOWN
	}
}

// detach takes a run's stream away. The first follower takes its place.
func (w *Worker) detach(r *run) {
	delete(w.streams, r.stream)
	r.stream = 0
	if len(r.followers) == 0 || !r.whole() {
		return
	}
	s := r.followers[0]
	r.followers = r.followers[1:]
	w.attach(s, r)
	w.replayTo(s, r, r.open.Base)
}

func (w *Worker) closed(s StreamID) {
	r := w.streams[s]
	switch {
	case r == nil:
		return
	case s != r.stream:
		w.unfollow(s, r)
		return
	}
	w.detach(r)
	if r.phase == ended && (r.fail != nil || !r.unread()) && !w.replayable(r) {
		w.forget(r)
	}
}

func (w *Worker) unfollow(s StreamID, r *run) {
	delete(w.streams, s)
	r.followers = slices.DeleteFunc(r.followers, func(f StreamID) bool { return f == s })
}

func (w *Worker) ackedByFollower(e Acked, r *run) {
	if r.phase == ended && e.Offset >= r.end {
		w.unfollow(e.Stream, r)
		w.emit(Close{e.Stream})
	}
}

// stop ends a run whose caller is gone. A call that isn't idempotent and has
// started goes on, so that its outcome is known.
func (w *Worker) stop(s StreamID) {
	r := w.streams[s]
	if r == nil {
		return
	}
	w.emit(Close{s})
	if s != r.stream {
		w.unfollow(s, r)
		return
	}
	w.detach(r)
	w.abandon(r, trace.Cancelled)
}

func (w *Worker) abandon(r *run, k trace.Kind) {
	if r.stream != 0 {
		return
	}
	if r.phase == running && !r.open.Idempotent {
		r.stopped = true
		return
	}
	if r.phase == ended && w.now.Before(r.keep) {
		r.stopped = true
		return
	}
	w.trace(k, r, "")
	w.release(r)
	w.forget(r)
}

// release frees the slot and the upstream.
func (w *Worker) release(r *run) {
	switch r.phase {
	case queued:
		w.queue.Drop(func(q *run) bool { return q == r })
	case granted:
		w.busy--
	case running:
		w.busy--
		w.emit(AbortCall{r.id})
	}
	r.phase = ended
}

// forget drops a run and keeps its record.
func (w *Worker) forget(r *run) {
	for _, s := range append(r.followers, r.stream) {
		if s != 0 {
			w.emit(Close{s})
		}
		delete(w.streams, s)
	}
	r.followers, r.stream = nil, 0
	delete(w.runs, r.id)
	rec := w.record(r.id.Request)
	if r.started {
		rec.ran = r.ran()
	}
}

func (w *Worker) record(request string) *record {
	rec := w.records[request]
	if rec == nil {
		rec = &record{ran: wire.Ran_RAN_NO}
		w.records[request] = rec
	}
	rec.keep = w.now.Add(w.keep)
	return rec
}

func (w *Worker) cancelAsked(e CancelAsked) {
	ran := wire.Ran_RAN_NO
	known := w.records[e.Request] != nil
	for _, id := range w.ids() {
		r := w.runs[id]
		if id.Request != e.Request || id.Attempt > e.Attempt {
			continue
		}
		known = true
		if r.started && !r.open.Idempotent {
			ran = r.ran()
			continue
		}
		w.trace(trace.Cancelled, r, "asked")
		w.release(r)
		w.forget(r)
	}
	rec := w.record(e.Request)
	rec.cancelled = max(rec.cancelled, e.Attempt)
	if ran == wire.Ran_RAN_NO {
		ran = rec.ran
	}
	if !known && e.Opened.Before(w.born.Add(ageMargin)) {
		ran = wire.Ran_RAN_UNKNOWN
		rec.ran = ran
	}
	w.emit(AnswerCancel{e.Ask, ran})
}

func (w *Worker) callHead(e CallHead) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.head = e.Head
	w.send(r, headReply(r))
}

func (w *Worker) callData(e CallData) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	c := chunk{offset: r.end, data: e.Data, tokens: e.Tokens}
	r.end += int64(len(e.Data))
	r.tail = append(r.tail, c)
	if r.stopped {
		if !w.replayable(r) {
			r.tail = nil
		}
		return
	}
	w.send(r, chunkReply(c))
	if !r.paused && r.end-r.acked > DefaultWindow {
		r.paused = true
		w.emit(Throttle{r.id, true})
	}
}

func (w *Worker) callDone(e CallDone) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	w.busy--
	r.phase = ended
	r.done = e.Done
	r.done.Size = r.end
	w.renewEnded(r)
	w.record(r.id.Request).ran = wire.Ran_RAN_YES
	w.trace(trace.Finished, r, "")
	w.sendEnd(r)
}

func (w *Worker) callFailed(e CallFailed) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	w.busy--
	r.phase = ended
	r.fail = e.Err
	r.started = e.Err.Ran != wire.Ran_RAN_NO
	w.renewEnded(r)
	w.record(r.id.Request).ran = e.Err.Ran
	w.trace(trace.Failed, r, string(e.Err.Code))
	w.sendEnd(r)
}

// renewEnded sets the times until which an ended run can be resumed and repeated.
func (w *Worker) renewEnded(r *run) {
	w.renew(r)
	if w.replayable(r) {
		r.keep = w.now.Add(w.keep)
	}
}

func (w *Worker) heldListed(e HeldListed) {
	for _, n := range e.Names {
		if !w.Claims(n) {
			w.emit(FreeHeld{n})
		}
	}
}

func (w *Worker) tick() {
	for _, id := range w.ids() {
		r := w.runs[id]
		switch {
		case r.stopped && r.phase == ended && !w.now.Before(r.keep):
			w.forget(r)
		case !r.stopped && !w.now.Before(r.lease):
			w.expire(r)
		case r.phase == queued && !w.now.Before(r.startBy):
			w.giveUp(r)
		case r.stream != 0 && !w.now.Before(r.nextBeat):
			w.sendBeat(r)
		}
	}
	for id, rec := range w.records {
		if !w.now.Before(rec.keep) {
			delete(w.records, id)
		}
	}
}

func (w *Worker) sendBeat(r *run) {
	m := &wire.RunReply{Kind: &wire.RunReply_Beat{Beat: &wire.Beat{}}, Load: w.Load()}
	w.send(r, m)
	for _, s := range r.followers {
		w.sendTo(s, m)
	}
}

func (w *Worker) expire(r *run) {
	if r.stream != 0 {
		w.emit(Close{r.stream})
		w.detach(r)
	}
	w.abandon(r, trace.Expired)
}

// giveUp refuses a run that was not started before its deadline.
func (w *Worker) giveUp(r *run) {
	w.fail(r, fault.NotRun(fault.TooLate, "no slot was free before the deadline"))
}

func (w *Worker) fail(r *run, err *fault.Error) {
	w.trace(trace.Refused, r, string(err.Code))
	w.bury(r.open, err)
	w.release(r)
	for _, s := range append(r.followers, r.stream) {
		if s != 0 {
			w.refuse(s, err)
		}
	}
	w.forget(r)
}

func (w *Worker) configured(e Configured) {
	if e.Tree.Revision() >= w.tree.Revision() {
		w.tree = e.Tree
	}
	w.leaving = e.Leaving
	for _, id := range w.ids() {
		r := w.runs[id]
		if r.phase == queued && r.open.KeyId != "" && w.withdrawn(r.open) {
			w.fail(r, fault.NotRun(fault.BadKey, "the key was withdrawn"))
		}
	}
}
