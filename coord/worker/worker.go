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
	DefaultRetention   = 10 * time.Minute
	DefaultHeartbeatInterval   = time.Second
	DefaultWindowBytes = 256 << 10
	DefaultReplayBytes = 64 << 10
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
	// since is when the run was given its slot.
	since    time.Time
	until    time.Time
	nextBeat time.Time
	head     *wire.Head
	tail     []chunk
	end      int64
	acked    int64
	paused   bool
	done     *wire.Done
	fail     *fault.Error
	started  bool
	// stopped is true while no entry waits for the answer.
	stopped bool
	// keep is until when an ended run answers repetitions of its request.
	keep time.Time
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
	// held is the mean time that recent runs held a slot.
	held    time.Duration
	now     time.Time
	effects []Effect
}

// Option changes a default.
type Option func(*Worker)

// WithSlots sets how many runs the upstream takes at once.
func WithSlots(n int) Option { return func(w *Worker) { w.slots = n } }

// WithLease sets how long a run outlives the last message of its entry.
func WithLease(d time.Duration) Option { return func(w *Worker) { w.lease = d } }

// WithRetention sets how long outcomes and tombstones are kept.
func WithRetention(d time.Duration) Option { return func(w *Worker) { w.keep = d } }

// New returns the state of an agent that starts at now.
func New(now time.Time, incarnation uint64, opts ...Option) *Worker {
	w := &Worker{
		incarnation: incarnation,
		born:        now,
		slots:       DefaultSlots,
		lease:       DefaultLease,
		keep:        DefaultRetention,
		beat:        DefaultHeartbeatInterval,
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

// OwnsAllocation reports whether a live run claims memory that the engine holds under name.
func (w *Worker) OwnsAllocation(name string) bool {
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
	case Resumed:
		w.reopened(e)
	case FeedReceived:
		w.fed(e)
	case Acked:
		w.ackedTo(e)
	case Heartbeat:
		w.touch(e.Stream)
	case StopReceived:
		w.stop(e.Stream)
	case Closed:
		w.closed(e.Stream)
	case CancelRequested:
		w.cancelAsked(e)
	case CallHead:
		w.callHead(e)
	case CallData:
		w.callData(e)
	case CallDone:
		w.callDone(e)
	case CallFailed:
		w.callFailed(e)
	case AllocationsListed:
		w.heldListed(e)
	case Ticked:
		w.tick()
	case Configured:
		w.configured(e)
	case DrainStarted:
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
