// Package router is the reducer of an entry: it takes callers' requests through keys,
// limits, the choice of upstreams, retries and the relay of the answer.
//
// The boundary is Step: an Event at a time goes in, Effects come out as data. There is
// no I/O, clock or goroutine inside; randomness is seeded.
package router

import (
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// Limits of retries.
const (
	// maxFailures bounds the failed runs of one request that reached an agent.
	maxFailures = 4
	// parkDelay is the time between two looks for an upstream.
	parkDelay = 100 * time.Millisecond
	// maxResumes bounds the streams opened for one run after the first.
	maxResumes = 2
	// againDelay is when to come back after a lack of upstreams.
	againDelay = time.Second
	// askDelay is the time between two questions about an unclear outcome.
	askDelay = 500 * time.Millisecond
	// avoidTerm is how long a VM that could not be reached gets no new work.
	avoidTerm = 2 * time.Second
)

// Router is the state of an entry. Use New.
type Router struct {
	vm         string
	seed       uint64
	dataCentre string
	tree       *tree.Tree
	list       *fleet.List
	loads      loads
	reserver   *quota.Reserver
	requests   map[RequestID]*request
	unreached  map[string]time.Time
	// goneAt is when this entry first knew that a VM is no longer listed.
	goneAt   map[string]time.Time
	draining bool
	policy   Policy
	turn     int
	// perToken is the mean time of prefill for a prompt token, in nanoseconds.
	perToken float64
	now      time.Time
	effects  []Effect
}

// Option changes a default.
type Option func(*Router)

// WithVM names the VM of the entry and its data centre.
func WithVM(vm, dataCentre string) Option {
	return func(r *Router) { r.vm, r.dataCentre = vm, dataCentre }
}

// New returns the state of an entry. The seed drives the choice of upstreams.
func New(seed uint64, opts ...Option) *Router {
	r := &Router{
		seed:      seed,
		policy:    DefaultPolicy,
		tree:      tree.Empty(),
		list:      fleet.NewList(0, nil),
		loads:     newLoads(seed),
		requests:  map[RequestID]*request{},
		unreached: map[string]time.Time{},
		goneAt:    map[string]time.Time{},
	}
	for _, o := range opts {
		o(r)
	}
	r.reserver = quota.NewReserver(r.dataCentre)
	return r
}

// Active returns the number of requests in progress.
func (r *Router) Active() int { return len(r.requests) }

// Ready reports whether settings and a list of VMs are in force.
func (r *Router) Ready() bool {
	return r.tree.Revision() > 0 && r.list.Revision() > 0 && !r.draining
}

// Tree returns the settings in force.
func (r *Router) Tree() *tree.Tree { return r.tree }

// Step applies an event at a time and returns the effects.
func (r *Router) Step(now time.Time, e Event) []Effect {
	r.now = now
	r.effects = nil
	switch e := e.(type) {
	case Configured:
		r.configured(e)
	case Arrived:
		r.arrived(e)
	case CallerDisconnected:
		r.callerGone(e.ID)
	case Written:
		r.passed(e)
	case ReserveAnswered:
		r.tokensAnswered(e)
	case RunGranted:
		r.runGranted(e)
	case RunHead:
		r.runHead(e)
	case RunData:
		r.runData(e)
	case RunDone:
		r.runDone(e)
	case RunFailed:
		r.runFailed(e.Ref, e.Err)
	case RunLost:
		r.runLost(e)
	case CancelAnswered:
		r.cancelAnswered(e)
	case LoadReported:
		r.loads.heard(e.VM, e.Load)
	case Ticked:
		r.tick()
	case DrainStarted:
		r.draining = true
	}
	return r.effects
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Router) trace(k trace.Kind, q *request, peer, detail string) {
	r.emit(Trace{trace.Event{
		Kind:      k,
		Request:   q.name(),
		Attempt:   q.attempts,
		Workspace: q.workspace,
		Peer:      peer,
		Detail:    detail,
	}})
}

func (r *Router) configured(e Configured) {
	if e.Tree.Revision() >= r.tree.Revision() {
		r.tree = e.Tree
	}
	if e.List.Revision() >= r.list.Revision() {
		r.list = e.List
		r.loads.keep(e.List)
		r.noteGone()
	}
	r.reserver.Configure(r.tree, r.list)
}

func (r *Router) callerGone(id RequestID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	r.trace(trace.Cancelled, q, "", "the caller is gone")
	r.end(q)
}

// finish ends a request with an error.
func (r *Router) finish(q *request, err *fault.Error) {
	assert.That(r.requests[q.id] == q, "request %s is finished twice", q.name())
	assert.That(err.Ran != wire.Ran_RAN_NO || q.offset == 0, "request %s gave data and is said not to have run", q.name())
	kind := trace.Refused
	if err.Ran != wire.Ran_RAN_NO {
		kind = trace.Failed
	}
	r.trace(kind, q, "", string(err.Code))
	r.emit(Finish{ID: q.id, Err: err, Usage: q.usage})
	r.end(q)
}

// end frees all that a request holds.
func (r *Router) end(q *request) {
	r.stop(&q.main)
	r.stop(&q.prefill)
	r.settle(q)
	delete(r.requests, q.id)
}

// settle gives back what a request didn't use.
func (r *Router) settle(q *request) {
	r.reserve(r.reserver.Cancel(r.now, uint64(q.id)))
	used := q.used()
	for _, p := range q.parts {
		u := min(used, p.Tokens)
		used -= u
		r.emit(Settle{VM: p.VM, Name: p.Name, Workspace: q.workspace, Used: u})
	}
}

func (r *Router) tick() {
	r.reserve(r.reserver.Tick(r.now))
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		switch {
		case q.deadline.IsZero():
		case !r.now.Before(q.deadline):
			r.finish(q, q.tooLate())
		case r.now.Before(q.again):
		case q.phase == unclear:
			r.askOutcome(q)
		case q.phase == parked:
			r.place(q)
		}
	}
	for n, until := range r.unreached {
		if !r.now.Before(until) {
			delete(r.unreached, n)
		}
	}
}
