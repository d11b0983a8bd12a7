// Package worker is the state machine of an agent, the process beside one upstream that
// queues runs, makes the last check before each and starts it at the upstream.
//
// Step takes one Event and returns Effects as data; the package does no I/O, reads no
// clock and starts no goroutine.
//
// Entries are the processes that admit callers' requests; they open streams to agents and
// pass responses on to the callers. A run is one attempt of one stage of a request: its
// prefill, its decode, or the whole of a plain call. Any message from its entry renews the
// run's lease. When the lease expires, the run is aborted and its slot and the resources
// that it uses at the upstream are freed, unless its call isn't idempotent: such a call
// goes on so that its outcome is known.
//
// A request that isn't idempotent is started at most once: its outcome, or the highest
// attempt that must not be started here, is kept until no delayed duplicate can arrive.
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

const (
	// DefaultSlots is the number of runs that the upstream processes at once.
	DefaultSlots = 20
	// DefaultLease is how long a run outlives the last message from its entry.
	DefaultLease = 5 * time.Second
	// DefaultRetention is how long records of requests and responses for replay are kept.
	DefaultRetention = 10 * time.Minute
	// DefaultHeartbeatInterval is how long a stream is silent before a heartbeat is sent.
	DefaultHeartbeatInterval = time.Second
	// DefaultWindowBytes is the number of unacknowledged bytes above which reading the
	// upstream's response is paused. It resumes at half of that.
	DefaultWindowBytes = 256 << 10
	// DefaultReplayBytes is the size up to which the response to a request that isn't
	// idempotent is kept for replay to duplicates.
	DefaultReplayBytes = 64 << 10
	// DefaultTotalReplayBytes is the size of all responses that are kept for replay.
	DefaultTotalReplayBytes = 64 << 20
)

// firstSentMargin is the tolerance when CancelRequested.FirstSent is compared with the start
// of this process. FirstSent is computed from an age that the entry measured. It is off by
// the transmission time of the message and by the drift between the monotonic clocks of the
// two VMs over the lifetime of the request.
const firstSentMargin = 10 * time.Second

// phase is the state of a run.
type phase int

const (
	// queued runs wait for a slot.
	queued phase = iota
	// granted runs have a slot. Decode runs stay in this phase until a Feed message
	// arrives; others are started at once.
	granted
	// running runs have a call to the upstream in progress.
	running
	// ended runs hold no slot and no resources of the upstream.
	ended
)

// chunk is a part of a response; offset is that of its first byte.
type chunk struct {
	offset int64
	data   []byte
	tokens int32
}

// run is one attempt of one stage of a request.
type run struct {
	id RunID
	// open is the message that opened the run. The response begins at offset open.Base, which
	// is above 0 if the entry already received a part of it from an earlier attempt.
	open  *wire.Open
	phase phase
	// stream is the stream that the response is sent on; 0 if there is none.
	stream StreamID
	// waiters are the streams of duplicate requests, which get the response once it is
	// complete.
	waiters     []StreamID
	leaseExpiry time.Time
	// startDeadline is the time by which the run must get a slot.
	startDeadline time.Time
	// grantedAt is the time at which the run got its slot.
	grantedAt time.Time
	// deadline is the time at which the call to the upstream is cancelled.
	deadline      time.Time
	nextHeartbeat time.Time
	head          *wire.Head
	// chunks are the parts of the response kept for replay, in order.
	chunks []chunk
	// endOffset is the offset after the last byte received from the upstream.
	endOffset int64
	// ackedOffset is the offset below which the entry has passed on all data.
	ackedOffset int64
	// paused is true while reading the upstream's response is paused.
	paused  bool
	done    *wire.Done
	failure *fault.Error
	// mayHaveRun is true once the call to the upstream began, unless it failed without
	// running the request.
	mayHaveRun bool
	// orphaned is true once no entry is expected to resume the run, because the lease
	// expired, the caller left or the entry has the complete response, until a stream is
	// attached again. The run is kept for its outcome or for replay.
	orphaned bool
	// keepUntil is the time until which the response of an ended run is kept for replay
	// to duplicates.
	keepUntil time.Time
}

// Worker holds the state of an agent. It is not safe for concurrent use. Use New.
type Worker struct {
	incarnation       uint64
	startedAt         time.Time
	slots             int
	leaseDuration     time.Duration
	retention         time.Duration
	heartbeatInterval time.Duration
	// settings is the newest known settings tree.
	settings *tree.Tree
	// leaving is true while the list of VMs that comes with the settings shows this VM as
	// leaving.
	leaving bool
	// evacuated is true while nothing may be sent to the upstream but what runs there already.
	evacuated bool
	// dataCentre is that of this VM.
	dataCentre string
	// draining is true once this process was told to drain.
	draining bool
	runs     map[RunID]*run
	// streams maps the streams of runs, including those of waiters, to their runs.
	streams map[StreamID]*run
	// records holds what is known of requests, by request name.
	records   map[string]*record
	queue     queue.Queue[*run]
	busySlots int
	// replayBytes is the size up to which answers of ended runs are kept for duplicates in all, and kept those runs, in the
	// order in which they ended; keptBytes is the size of their answers.
	replayBytes int64
	kept        []*run
	keptBytes   int64
	// meanSlotTime is the moving average of the time for which runs held a slot until their
	// call succeeded or failed. Aborted runs don't count.
	meanSlotTime time.Duration
	// now is the time of the current step.
	now     time.Time
	effects []Effect
}

// Option configures a Worker.
type Option func(*Worker)

// WithSlots sets the number of runs that the upstream processes at once.
func WithSlots(n int) Option { return func(w *Worker) { w.slots = n } }

// WithLease sets how long a run outlives the last message from its entry.
func WithLease(d time.Duration) Option { return func(w *Worker) { w.leaseDuration = d } }

// WithRetention sets how long records of requests and responses for replay are kept.
func WithRetention(d time.Duration) Option { return func(w *Worker) { w.retention = d } }

// WithReplayBytes sets the size up to which answers of ended runs are kept for duplicates, in all. The oldest are dropped
// first: a duplicate is then told that the request ran and that its answer is gone.
func WithReplayBytes(n int64) Option { return func(w *Worker) { w.replayBytes = n } }

// New returns the state of an agent that starts at now. The incarnation identifies this
// start of the agent's process.
func New(now time.Time, incarnation uint64, opts ...Option) *Worker {
	w := &Worker{
		incarnation:       incarnation,
		startedAt:         now,
		slots:             DefaultSlots,
		leaseDuration:     DefaultLease,
		retention:         DefaultRetention,
		replayBytes:       DefaultTotalReplayBytes,
		heartbeatInterval: DefaultHeartbeatInterval,
		settings:          tree.Empty(),
		runs:              map[RunID]*run{},
		streams:           map[StreamID]*run{},
		records:           map[string]*record{},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Active returns the number of runs that have not ended or whose response still has
// unacknowledged data for an attached stream.
func (w *Worker) Active() int {
	n := 0
	for _, r := range w.runs {
		if r.phase != ended || r.hasUnacked() && r.stream != 0 {
			n++
		}
	}
	return n
}

// sortedRunIDs returns the IDs of all runs in a fixed order, so that steps are
// deterministic.
func (w *Worker) sortedRunIDs() []RunID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b RunID) int {
		return cmp.Or(
			cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Attempt, b.Attempt),
			cmp.Compare(a.Stage, b.Stage),
		)
	})
}

// Load returns the load of the upstream as the agent knows it.
func (w *Worker) Load() *wire.Load {
	return &wire.Load{
		Slots:      int32(w.slots),
		Running:    int32(w.busySlots),
		Queued:     int32(w.queue.Len()),
		QueuedCost: w.queue.Cost(),
		Leaving:    w.refusesNewRuns(),
	}
}

// StreamOf returns the stream that a run is attached to, or 0.
func (w *Worker) StreamOf(id RunID) StreamID {
	if r := w.runs[id]; r != nil {
		return r.stream
	}
	return 0
}

// OwnsAllocation reports whether a running run owns the memory that the upstream, a model
// engine, has allocated under name.
func (w *Worker) OwnsAllocation(name string) bool {
	for id, r := range w.runs {
		if r.phase == running && id.String() == name {
			return true
		}
	}
	return false
}

// Step applies an event that occurs at now and returns its effects in order.
func (w *Worker) Step(now time.Time, e Event) []Effect {
	w.now = now
	w.effects = nil
	switch e := e.(type) {
	case Opened:
		w.handleOpen(e)
	case Resumed:
		w.handleResume(e)
	case FeedReceived:
		w.handleFeed(e)
	case Acked:
		w.handleAck(e)
	case Heartbeat:
		w.renewStream(e.Stream)
	case StopReceived:
		w.handleStop(e.Stream)
	case Closed:
		w.handleClosed(e.Stream)
	case CancelRequested:
		w.handleCancel(e)
	case CallHead:
		w.handleCallHead(e)
	case CallData:
		w.handleCallData(e)
	case CallDone:
		w.handleCallDone(e)
	case CallFailed:
		w.handleCallFailed(e)
	case AllocationsListed:
		w.handleAllocations(e)
	case Ticked:
		w.handleTick()
	case Configured:
		w.handleConfigured(e)
	case DrainStarted:
		w.draining = true
	case DrainEnded:
		w.refuseWaiting(fault.NotRun(fault.Leaving, "the agent has stopped before the run could start"))
	}
	w.grantSlots()
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

// refuseWaiting refuses all runs that haven't started, so that their entries take them elsewhere.
func (w *Worker) refuseWaiting(err *fault.Error) {
	for _, id := range w.sortedRunIDs() {
		if r := w.runs[id]; r.phase == queued || r.phase == granted {
			w.refuseRun(r, err)
		}
	}
}

// refusesNewRuns reports whether the agent is leaving, draining or evacuated. Runs that have started continue.
func (w *Worker) refusesNewRuns() bool { return w.leaving || w.draining || w.evacuated }

// handleConfigured adopts a settings tree unless it is older than the present one, and
// refuses queued runs whose key it revokes. In an evacuated data centre, or in a region that is no longer
// allowed for them, it refuses runs that haven't started, so that their entries take them elsewhere.
func (w *Worker) handleConfigured(e Configured) {
	if e.Tree.Revision() >= w.settings.Revision() {
		w.settings = e.Tree
	}
	w.leaving, w.evacuated, w.dataCentre = e.Leaving, e.Evacuated, e.DataCentre
	for _, id := range w.sortedRunIDs() {
		r := w.runs[id]
		isWaiting := r.phase == queued || r.phase == granted
		switch {
		case isWaiting && w.evacuated:
			w.refuseRun(r, fault.NotRun(fault.Leaving, "the data centre is evacuated"))
		case isWaiting && w.isOutOfRegion(r.open):
			w.refuseRun(r, errOutOfRegion())
		case r.phase == queued && r.open.KeyId != "" && w.keyRevoked(r.open):
			w.refuseRun(r, fault.NotRun(fault.BadKey, "the key was withdrawn"))
		}
	}
}
