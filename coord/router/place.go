package router

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

func (r *Router) noteGone() {
	for _, g := range r.list.AllGone() {
		if _, ok := r.goneAt[g.Name]; !ok {
			r.goneAt[g.Name] = r.now
		}
	}
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
	if until, gone := r.forgotten(q, v.Name); gone {
		err := fault.NotRun(fault.Forgotten, "an upstream that is gone may have run the request")
		r.finish(q, err.WithRan(wire.Ran_RAN_UNKNOWN).WithAgain(until))
		return
	}
	if q.generated && !r.policy.ReserveDecode && q.feed == nil {
		r.openPrefill(q)
		return
	}
	q.attempts++
	q.phase = placing
	q.prefill = target{}
	q.main = target{
		ref:    RunRef{q.id, q.attempts, fleet.StageOf(stage)},
		vm:     v.Name,
		live:   true,
		opened: r.now,
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
	if q.last != nil && q.last.Code == fault.Overloaded {
		r.finish(q, q.last.WithRan(q.ran))
		return
	}
	again := r.now.Add(parkDelay)
	if !again.Before(q.startLimit()) || q.keyed() {
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
	if !q.keyed() {
		return time.Time{}, false
	}
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

// without returns the VMs for which drop is false.
func without(vms []fleet.VM, drop func(fleet.VM) bool) []fleet.VM {
	var r []fleet.VM
	for _, v := range vms {
		if !drop(v) {
			r = append(r, v)
		}
	}
	return r
}

// choose returns the agent for a stage of a request.
func (r *Router) choose(q *request, stage string) (fleet.VM, bool) {
	fit := r.list.Upstreams(q.service, stage, q.model())
	if len(q.avoid) > 0 {
		fit = without(fit, func(v fleet.VM) bool { return q.avoid[v.Name] })
	}
	reached := fit
	if len(r.unreached) > 0 {
		reached = without(fit, func(v fleet.VM) bool { return r.now.Before(r.unreached[v.Name]) })
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
	t.granted = r.now
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
		ref:    RunRef{q.id, q.prefills, wire.Stage_STAGE_PREFILL},
		vm:     v.Name,
		live:   true,
		opened: r.now,
	}
	r.loads.opened(v.Name)
	r.trace(trace.Opened, q, v.Name, fleet.Prefill)
	r.emit(OpenRun{q.prefill.ref, v.Name, q.openPrefill(r.now, r.tree.Revision())})
}

func (r *Router) prefillDone(q *request, d *wire.Done) {
	r.learnPrefill(q)
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
