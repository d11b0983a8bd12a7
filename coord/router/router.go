// Package router is the reducer of an entry: it takes callers' requests through keys,
// limits, the choice of upstreams, retries and the relay of the answer.
//
// The boundary is Step: an Event at a time goes in, Effects come out as data. There is
// no I/O, clock or goroutine inside; randomness is seeded.
package router

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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
	requests   map[ID]*request
	unreached  map[string]time.Time
	// goneAt is when this entry first knew that a VM is no longer listed.
	goneAt   map[string]time.Time
	draining bool
	policy   Policy
	turn     int
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
		requests:  map[ID]*request{},
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
	case CallerGone:
		r.callerGone(e.ID)
	case Passed:
		r.passed(e)
	case TokensAnswered:
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
	case LoadHeard:
		r.loads.heard(e.VM, e.Load)
	case Ticked:
		r.tick()
	case Drained:
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

func (r *Router) noteGone() {
	for _, g := range r.list.AllGone() {
		if _, ok := r.goneAt[g.Name]; !ok {
			r.goneAt[g.Name] = r.now
		}
	}
}

func (r *Router) arrived(e Arrived) {
	q := &request{id: e.ID, call: e.Call, ran: wire.Ran_RAN_NO, avoid: map[string]bool{}}
	r.requests[e.ID] = q
	if err := r.admit(q); err != nil {
		r.finish(q, err)
		return
	}
	r.trace(trace.Arrived, q, "", q.call.Route)
	r.emit(Accepted{q.id, q.name()})
	if q.workspace == "" {
		r.place(q)
		return
	}
	q.phase = reserving
	r.reserve(r.reserver.Begin(r.now, quota.Want{
		ID:        uint64(q.id),
		Name:      fmt.Sprintf("%s/%x/%d", r.vm, r.seed, q.id),
		Workspace: q.workspace,
		Tokens:    q.cost(),
		Until:     q.startBy,
	}))
}

// admit resolves the key, the route and the values of a request.
func (r *Router) admit(q *request) *fault.Error {
	if !r.Ready() {
		return fault.NotRun(fault.NotReady, "this entry takes no requests now").WithAgain(r.now.Add(againDelay))
	}
	route, found := r.tree.Route(q.call.Route)
	w, id, ok := r.tree.Authenticate(q.call.KeyHash)
	if !ok && !(found && route.Open) {
		return fault.NotRun(fault.BadKey, "the key is missing, wrong or withdrawn")
	}
	q.workspace, q.keyID = w, id
	if !found {
		return fault.NotRun(fault.NoRoute, "no route serves this model or path")
	}
	if owner, owned := r.tree.RouteWorkspace(q.call.Route); owned && owner != w && !route.Open {
		return fault.NotRun(fault.BadKey, "the route belongs to another workspace")
	}
	return r.fill(q, route)
}

func (r *Router) fill(q *request, route tree.Route) *fault.Error {
	q.service = route.Service
	q.open = route.Open
	q.values, _ = r.tree.OfRoute(q.call.Route)
	q.generated = r.tree.ServiceKind(route.Service) == tree.Generate
	q.weight = 1
	if v, ok := r.tree.OfWorkspace(q.workspace); ok {
		q.weight = v.Weight
	}
	q.startBy = r.now.Add(q.values.Patience)
	if r.policy.Admit && q.generated && q.values.Class == tree.Interactive {
		q.startBy = r.now.Add(min(q.values.Patience, q.values.FirstToken))
	}
	q.deadline = r.now.Add(q.values.Timeout)
	if q.keyed() {
		q.call.Name = keyedName(q.workspace, q.call.Route, q.call.IdempotencyKey)
	}
	if q.generated {
		q.call.Path = route.Model
		if q.call.MaxTokens == 0 || q.call.MaxTokens > q.values.MaxTokens {
			q.call.MaxTokens = q.values.MaxTokens
		}
	}
	if v, ok := r.tree.OfWorkspace(q.workspace); ok && q.cost() > v.Burst {
		return fault.NotRun(fault.TooLarge, "the request needs %d tokens; the workspace's burst is %d", q.cost(), v.Burst)
	}
	return nil
}

// keyedName returns the name that all requests with an idempotency key share.
func keyedName(workspace, route, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + route + "\x00" + key))
	return "k-" + hex.EncodeToString(h[:12])
}

// reserve carries out what the reserver wants.
func (r *Router) reserve(effects []quota.Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case quota.Ask:
			r.emit(Reserve{ID: ID(x.ID), VM: x.VM, Name: x.Name, Workspace: x.Workspace, Tokens: x.Tokens})
		case quota.GiveBack:
			r.emit(Settle{VM: x.VM, Name: x.Name, Workspace: x.Workspace})
		case quota.Ready:
			q := r.requests[ID(x.ID)]
			q.parts = x.Parts
			r.trace(trace.Reserved, q, "", fmt.Sprint(q.cost()))
			r.place(q)
		case quota.Refuse:
			r.overLimit(r.requests[ID(x.ID)], x)
		}
	}
}

func (r *Router) tokensAnswered(e TokensAnswered) {
	var a *quota.Answer
	if e.Err == nil {
		a = &quota.Answer{
			Granted: e.Reply.GetGranted(),
			Balance: e.Reply.GetBalance(),
			Holder:  e.Reply.GetHolder(),
		}
	}
	r.reserve(r.reserver.Answered(r.now, uint64(e.ID), e.VM, a))
}

func (r *Router) overLimit(q *request, x quota.Refuse) {
	if !x.Reached {
		r.finish(q, fault.NotRun(fault.NotReady, "no holder of the workspace's limit could be reached").WithAgain(x.Again))
		return
	}
	v, _ := r.tree.OfWorkspace(q.workspace)
	r.finish(q, fault.NotRun(fault.OverLimit, "the workspace's rate of %d tokens a second is used up", v.Rate).WithAgain(x.Again))
}

// place opens the main run at an agent.
func (r *Router) place(q *request) {
	stage := fleet.Plain
	if q.generated {
		stage = fleet.Decode
	}
	v, ok := r.choose(q, stage)
	if q.keyed() {
		v, ok = r.owner(q)
	}
	if !ok {
		r.park(q, stage)
		return
	}
	if until, gone := r.forgotten(q, v.Name); q.keyed() && gone {
		err := fault.NotRun(fault.Forgotten, "an upstream that is gone may have run the request")
		r.finish(q, err.WithRan(wire.Ran_RAN_UNKNOWN).WithAgain(until))
		return
	}
	if q.generated && !r.policy.Reserve && q.feed == nil {
		r.openPrefill(q)
		return
	}
	q.attempts++
	q.phase = placing
	q.prefill = target{}
	q.main = target{
		ref:    Ref{q.id, q.attempts, fleet.StageOf(stage)},
		vm:     v.Name,
		live:   true,
		opened: r.now,
	}
	if q.first.IsZero() {
		q.first = r.now
	}
	if !q.generated {
		q.mayHaveRun()
	}
	r.loads.opened(v.Name)
	r.trace(trace.Opened, q, v.Name, stage)
	r.emit(OpenRun{q.main.ref, v.Name, q.openMain(r.now, r.tree.Revision())})
}

// park lets a request wait for an upstream, also for those that failed it, while it may
// still start in time.
func (r *Router) park(q *request, stage string) {
	again := r.now.Add(parkDelay)
	limit := q.startBy
	if q.offset > 0 {
		limit = q.deadline
	}
	if !again.Before(limit) || q.keyed() {
		r.finish(q, r.nowhere(q, stage))
		return
	}
	r.stop(&q.main)
	q.phase = parked
	q.again = again
	clear(q.avoid)
}

func (r *Router) nowhere(q *request, stage string) *fault.Error {
	err := fault.NotRun(fault.Unreachable, "no %s upstream of service %s can be reached", stage, q.service)
	return err.WithRan(q.ran).WithAgain(r.now.Add(againDelay))
}

// owner returns the agent that all repetitions of a keyed request go to. One that is
// leaving still answers for what it ran, and refuses what it didn't.
func (r *Router) owner(q *request) (fleet.VM, bool) {
	return fleet.Top(r.list.All(func(v fleet.VM) bool {
		return !q.avoid[v.Name] && v.Serves(q.service, fleet.Plain, "")
	}), q.name())
}

// forgotten reports whether a VM that is gone from the list may have run a repetition
// of a keyed request, and until when.
func (r *Router) forgotten(q *request, owner string) (until time.Time, ok bool) {
	own := fleet.Score(owner, q.name())
	for _, g := range r.list.AllGone() {
		u := r.goneAt[g.Name].Add(q.window())
		served := g.Service == "" || g.Serves(q.service, fleet.Plain, "")
		if served && r.now.Before(u) && fleet.Score(g.Name, q.name()) > own {
			return u, true
		}
	}
	return time.Time{}, false
}

// choose returns the agent for a stage of a request.
func (r *Router) choose(q *request, stage string) (fleet.VM, bool) {
	fit := slices.DeleteFunc(r.list.Upstreams(q.service, stage, q.model()), func(v fleet.VM) bool {
		return q.avoid[v.Name]
	})
	reached := fit[:0:0]
	for _, v := range fit {
		if !r.now.Before(r.unreached[v.Name]) {
			reached = append(reached, v)
		}
	}
	if len(reached) > 0 {
		return r.pick(q, stage, reached)
	}
	return r.pick(q, stage, fit)
}

func (r *Router) runGranted(e RunGranted) {
	q, t := r.current(e.Ref)
	if t == nil {
		return
	}
	if t == &q.main && q.phase == placing {
		r.trace(trace.Granted, q, t.vm, "")
		switch {
		case !q.generated:
			q.phase = answering
		case q.feed != nil:
			r.feed(q)
		default:
			r.openPrefill(q)
		}
	}
}

func (r *Router) openPrefill(q *request) {
	v, ok := r.choose(q, fleet.Prefill)
	if !ok {
		r.park(q, fleet.Prefill)
		return
	}
	q.prefills++
	q.phase = prefilling
	q.prefill = target{
		ref:    Ref{q.id, q.prefills, wire.Stage_STAGE_PREFILL},
		vm:     v.Name,
		live:   true,
		opened: r.now,
	}
	r.loads.opened(v.Name)
	r.trace(trace.Opened, q, v.Name, fleet.Prefill)
	r.emit(OpenRun{q.prefill.ref, v.Name, q.openPrefill(r.now, r.tree.Revision())})
}

// current returns the request and the run that a reference names. A reference that
// is out of date is stopped.
func (r *Router) current(f Ref) (*request, *target) {
	q := r.requests[f.ID]
	if q == nil {
		return nil, nil
	}
	t := q.target(f)
	if t == nil || !t.live {
		return q, nil
	}
	return q, t
}

func (r *Router) runHead(e RunHead) {
	q, t := r.current(e.Ref)
	if t == nil || q.headSent {
		return
	}
	q.phase = answering
	q.headSent = true
	q.ran = wire.Ran_RAN_YES
	r.emit(Head{q.id, e.Head})
}

func (r *Router) runData(e RunData) {
	q, t := r.current(e.Ref)
	if t == nil || t != &q.main {
		return
	}
	d := e.Data
	end := d.Offset + int64(len(d.Data))
	if end <= q.offset {
		return
	}
	if d.Offset != q.offset {
		r.lost(q, t)
		return
	}
	assert.That(d.Offset == q.offset, "request %s: data from %d after %d bytes", q.name(), d.Offset, q.offset)
	q.offset = end
	q.tokens += int64(d.Tokens)
	q.ran = wire.Ran_RAN_YES
	r.emit(Write{q.id, d.Offset, d.Data})
}

func (r *Router) passed(e Passed) {
	q := r.requests[e.ID]
	if q == nil || e.Offset <= q.passed {
		return
	}
	q.passed = e.Offset
	if q.main.live {
		r.emit(AckRun{q.main.ref, e.Offset})
	}
}

func (r *Router) runDone(e RunDone) {
	q, t := r.current(e.Ref)
	switch {
	case t == nil:
	case t == &q.prefill:
		r.prefillDone(q, e.Done)
	case e.Done.Size != q.offset:
		r.lost(q, t)
	default:
		q.ran = wire.Ran_RAN_YES
		q.usage.OutputTokens = q.tokens
		t.live = false
		r.emit(AckRun{t.ref, q.offset})
		r.complete(q, e.Done)
	}
}

func (r *Router) prefillDone(q *request, d *wire.Done) {
	q.prefill.live = false
	q.usage.PromptTokens = d.PromptTokens
	q.usage.CachedTokens = d.CachedTokens
	q.fed = true
	q.mayHaveRun()
	q.feed = &wire.Feed{Handle: d.Handle, Source: d.Source}
	r.emit(AckRun{q.prefill.ref, d.Size})
	if !q.main.live {
		r.place(q)
		return
	}
	r.feed(q)
}

// feed tells the granted main run where its KV cache is.
func (r *Router) feed(q *request) {
	q.phase = answering
	r.trace(trace.Fed, q, q.main.vm, "")
	r.emit(FeedRun{q.main.ref, q.feed})
	q.feed = nil
}

func (r *Router) runFailed(f Ref, err *fault.Error) {
	q, t := r.current(f)
	if t == nil {
		return
	}
	t.live = false
	if err.Code == fault.Unclear && !q.idempotent() {
		r.askOutcome(q)
		return
	}
	if t == &q.main && (!q.generated && err.Ran != wire.Ran_RAN_NO) {
		q.ran = err.Ran
	}
	if t == &q.main && !q.generated && err.Ran == wire.Ran_RAN_NO {
		q.ran = wire.Ran_RAN_NO
	}
	if !retryable(err) || (!q.idempotent() && err.Ran != wire.Ran_RAN_NO) {
		r.finish(q, err.WithRan(q.ran))
		return
	}
	q.avoid[t.vm] = true
	r.retry(q, t, err)
}

// retryable reports whether another agent may do better.
func retryable(err *fault.Error) bool {
	switch err.Code {
	case fault.BadKey, fault.BadRequest, fault.Duplicate, fault.TooLarge, fault.Forgotten:
		return false
	}
	return true
}

// retry runs a request, or only its prefill, at another agent.
func (r *Router) retry(q *request, t *target, err *fault.Error) {
	if err.Code != fault.Unreachable {
		q.failures++
	}
	late := !r.now.Before(q.deadline)
	spent := q.failures >= maxFailures
	answered := q.headSent && !q.generated
	if late || spent || answered {
		r.finish(q, err.WithRan(q.ran))
		return
	}
	if t == &q.prefill && (q.main.live || !r.policy.Reserve) {
		r.openPrefill(q)
		return
	}
	r.stop(&q.main)
	r.stop(&q.prefill)
	r.place(q)
}

func (r *Router) stop(t *target) {
	if t.live {
		t.live = false
		r.emit(StopRun{t.ref})
	}
}

func (r *Router) runLost(e RunLost) {
	q, t := r.current(e.Ref)
	if t == nil {
		return
	}
	r.unreached[t.vm] = r.now.Add(avoidTerm)
	r.trace(trace.Lost, q, t.vm, "")
	if !e.Sent && t.resumes == 0 {
		r.unreachable(q, t)
		return
	}
	r.lost(q, t)
}

// unreachable handles a run that can't have reached its agent. A keyed request goes to
// no other agent, since another entry may reach this one.
func (r *Router) unreachable(q *request, t *target) {
	err := fault.NotRun(fault.Unreachable, "the upstream's agent can't be reached")
	if !q.keyed() {
		r.runFailed(t.ref, err)
		return
	}
	t.live = false
	q.ran = wire.Ran_RAN_NO
	r.finish(q, err.WithAgain(r.now.Add(againDelay)))
}

// lost resumes a run on a new stream, or gives it up.
func (r *Router) lost(q *request, t *target) {
	if t.resumes < maxResumes && r.now.Before(q.deadline) {
		t.resumes++
		r.emit(ResumeRun{t.ref, t.vm, &wire.Resume{
			Request: q.name(),
			Attempt: t.ref.Attempt,
			Stage:   t.ref.Stage,
			Offset:  q.offset,
		}})
		return
	}
	t.live = false
	if !q.idempotent() {
		r.askOutcome(q)
		return
	}
	q.avoid[t.vm] = true
	r.ask(q, t)
	r.retry(q, t, fault.NotRun(fault.Unreachable, "the upstream's agent fell silent"))
}

// askOutcome asks the agent of a request that isn't idempotent whether it ran.
func (r *Router) askOutcome(q *request) {
	q.phase = unclear
	q.again = r.now.Add(askDelay)
	r.ask(q, &q.main)
}

func (r *Router) ask(q *request, t *target) {
	r.emit(AskCancel{ID: q.id, VM: t.vm, Name: q.name(), Attempt: t.ref.Attempt, Opened: t.opened})
}

func (r *Router) cancelAnswered(e CancelAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.phase != unclear || e.VM != q.main.vm || e.Err != nil {
		return
	}
	if e.Ran != wire.Ran_RAN_NO {
		q.ran = e.Ran
		r.finish(q, r.unknown(q))
		return
	}
	q.ran = wire.Ran_RAN_NO
	q.avoid[e.VM] = true
	r.retry(q, &q.main, fault.NotRun(fault.Unreachable, "the upstream's agent fell silent"))
}

func (r *Router) unknown(q *request) *fault.Error {
	if q.ran == wire.Ran_RAN_YES {
		return fault.NotRun(fault.Unclear, "the request ran, but its answer was lost").WithRan(q.ran)
	}
	return fault.NotRun(fault.Unclear, "whether the request ran is not known").WithRan(q.ran)
}

func (r *Router) callerGone(id ID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	r.trace(trace.Cancelled, q, "", "the caller is gone")
	r.end(q)
}

// complete ends a request whose answer is whole.
func (r *Router) complete(q *request, d *wire.Done) {
	r.trace(trace.Finished, q, "", "")
	r.emit(Finish{ID: q.id, Usage: q.usage, Trailers: d.GetTrailers()})
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
