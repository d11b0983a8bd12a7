// Package router is the state machine of an entry, the process that accepts callers'
// requests. For each request it checks the API key, reserves tokens of the workspace's rate
// limit, chooses upstreams, retries failed runs and relays the answer.
//
// Its interface is Router.Step, which takes one Event and returns Effects for the caller
// to carry out. The package does no I/O, reads no clock and starts no goroutines, and its
// randomness is seeded, so the same events always give the same effects.
//
// A request to a plain service has one run, at one agent. A request to a model has two:
// a prefill run, which computes the KV cache of the prompt, and a decode run, which
// generates the answer. Each run occupies a slot, the capacity for one run at an upstream.
// An agent is the process in front of an upstream.
package router

import (
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/quota"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// Limits and delays of retries.
const (
	// maxFailedRuns bounds request.failures, the number of failed runs of one request. Runs
	// at agents that couldn't be reached or fell silent are not counted.
	maxFailedRuns = 4
	// upstreamRetryDelay is the time between two attempts to find an upstream.
	upstreamRetryDelay = 100 * time.Millisecond
	// maxResumes bounds how often one run is resumed on a new stream.
	maxResumes = 2
	// callerRetryDelay is when a caller may retry if the entry is not ready or no upstream
	// can be reached.
	callerRetryDelay = time.Second
	// outcomeQueryDelay is the time between two Cancel effects for an unknown outcome.
	outcomeQueryDelay = 500 * time.Millisecond
	// unreachableCooldown is how long a VM that could not be reached gets no new work, if
	// others can take it.
	unreachableCooldown = 2 * time.Second
)

// Router holds the state of an entry. Create it with New. It is not safe for concurrent use.
type Router struct {
	// vm is the name of the entry's own VM.
	vm         string
	seed       uint64
	dataCentre string
	tree       *tree.Tree
	list       *fleet.List
	loads      loads
	reserver   *quota.Reserver
	requests   map[RequestID]*request
	// unreachableUntil holds, by VM name, the end of the cooldown of a VM that could not
	// be reached.
	unreachableUntil map[string]time.Time
	// goneAt holds, by VM name, when this entry first saw that a VM was removed from the
	// list.
	goneAt map[string]time.Time
	// pastTrees are replaced settings with other allowed regions, the newest last.
	pastTrees []pastTree
	draining  bool
	policy    Policy
	// roundRobinCount counts the choices made by the round-robin policy.
	roundRobinCount int
	// prefillNanosPerToken is the moving average of the prefill time of one prompt token.
	prefillNanosPerToken float64
	// poison holds what upstreams ended under.
	poison  *poison.Table
	now     time.Time
	effects []Effect
}

// Option configures a Router.
type Option func(*Router)

// WithVM sets the name of the entry's VM and its data centre.
func WithVM(vm, dataCentre string) Option {
	return func(r *Router) { r.vm, r.dataCentre = vm, dataCentre }
}

// WithPoison sets the table of what upstreams ended under, which other entries share.
func WithPoison(t *poison.Table) Option { return func(r *Router) { r.poison = t } }

// New returns a Router without settings or VMs. The seed drives the random choice of
// upstreams and makes the names of reservations unique.
func New(seed uint64, opts ...Option) *Router {
	r := &Router{
		seed:             seed,
		policy:           DefaultPolicy,
		tree:             tree.Empty(),
		list:             fleet.NewList(0, nil),
		loads:            newLoads(seed),
		requests:         map[RequestID]*request{},
		unreachableUntil: map[string]time.Time{},
		goneAt:           map[string]time.Time{},
		poison:           poison.New(),
	}
	for _, o := range opts {
		o(r)
	}
	r.reserver = quota.NewReserver(r.dataCentre)
	return r
}

// Active returns the number of requests in progress.
func (r *Router) Active() int { return len(r.requests) }

// Ready reports whether the entry has settings and a list of VMs and is not draining.
func (r *Router) Ready() bool {
	return r.tree.Revision() > 0 && r.list.Revision() > 0 && !r.draining
}

// Tree returns the current settings.
func (r *Router) Tree() *tree.Tree { return r.tree }

// Step applies an event at time now and returns the effects to carry out, in order.
func (r *Router) Step(now time.Time, e Event) []Effect {
	r.now = now
	r.effects = nil
	switch e := e.(type) {
	case Configured:
		r.configured(e)
	case Arrived:
		r.arrived(e)
	case CallerDisconnected:
		r.callerDisconnected(e.ID)
	case Written:
		r.written(e)
	case ReserveAnswered:
		r.reserveAnswered(e)
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
		r.loads.recordReport(e.VM, e.Load)
	case Ticked:
		r.tick()
	case DrainStarted:
		r.draining = true
	case DrainEnded:
		r.drainEnded()
	}
	return r.effects
}

// drainEnded fails all requests: those that nothing can have run as not run, so that their callers may send them elsewhere.
func (r *Router) drainEnded() {
	r.draining = true
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		err := r.outcomeError(q)
		if q.ran == wire.Ran_RAN_NO {
			err = fault.NotRun(fault.Leaving, "the entry has stopped before the request could run").WithRetryAt(r.now.Add(callerRetryDelay))
		}
		r.fail(q, err)
	}
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

// configured adopts the settings and the list of VMs unless they are older than the current.
func (r *Router) configured(e Configured) {
	if e.Tree.Revision() >= r.tree.Revision() {
		r.recordPastTree(e.Tree)
		r.tree = e.Tree
	}
	if e.List.Revision() >= r.list.Revision() {
		r.list = e.List
		r.loads.prune(e.List)
		r.recordGoneVMs()
	}
	r.reserver.Configure(r.tree, r.list)
	r.replaceExcluded()
}

// callerDisconnected cancels a request whose caller is gone.
func (r *Router) callerDisconnected(id RequestID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	r.trace(trace.Cancelled, q, "", "the caller is gone")
	r.release(q)
}

// fail ends a request with an error.
func (r *Router) fail(q *request, err *fault.Error) {
	assert.That(r.requests[q.id] == q, "request %s is finished more than once", q.name())
	assert.That(err.Ran != wire.Ran_RAN_NO || q.offset == 0, "request %s has relayed data but its error says that it did not run", q.name())
	kind := trace.Refused
	if err.Ran != wire.Ran_RAN_NO {
		kind = trace.Failed
	}
	r.trace(kind, q, "", string(err.Code))
	r.emit(Finish{ID: q.id, Err: err, Usage: q.usage})
	r.release(q)
}

// release stops the runs of a request, settles its reservation and forgets it.
func (r *Router) release(q *request) {
	r.stopRun(&q.main)
	r.stopRun(&q.prefill)
	r.settle(q)
	delete(r.requests, q.id)
}

// settle cancels a reservation that isn't complete yet, and otherwise settles the grants of
// the holders that make it up. The charge is counted against one grant after another, and
// each holder gets back the tokens of its grant that were not used.
func (r *Router) settle(q *request) {
	r.applyQuotaEffects(r.reserver.Cancel(r.now, uint64(q.id)))
	used := q.charge()
	for _, p := range q.parts {
		u := min(used, p.Tokens)
		used -= u
		r.emit(Settle{VM: p.VM, Name: p.Name, Workspace: q.workspace, Used: u})
	}
}

// tick continues reservations and fails requests that are past their deadline. For the
// others it repeats the query for an unknown outcome or the search for an upstream when that
// is due. It drops cooldowns that have ended.
func (r *Router) tick() {
	r.applyQuotaEffects(r.reserver.Tick(r.now))
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		switch {
		case q.deadline.IsZero():
		case !r.now.Before(q.deadline):
			r.fail(q, q.deadlineError())
		case r.now.Before(q.recheckAt):
		case q.phase == outcomeUnknown:
			r.cancelAndQueryOutcome(q)
		case q.phase == awaitingUpstream:
			r.openNextRun(q)
		}
	}
	for n, until := range r.unreachableUntil {
		if !r.now.Before(until) {
			delete(r.unreachableUntil, n)
		}
	}
}
