package router

import (
	"slices"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

// recordGoneVMs records the time at which this entry first saw each VM removed from the list.
func (r *Router) recordGoneVMs() {
	for _, g := range r.list.AllRemovedVMs() {
		if _, ok := r.goneAt[g.Name]; !ok {
			r.goneAt[g.Name] = r.now
		}
	}
}

// openNextRun opens the run that a request without a live run needs next. That is the main
// run: the decode of a call to a model, or the whole of a plain call. Without
// Policy.ReserveDecode, it is the prefill run as long as no KV cache is pending. If no
// upstream fits, the request waits for one or fails.
func (r *Router) openNextRun(q *request) {
	if err := r.checkQuarantine(q); err != nil {
		r.fail(q, err.WithRan(q.ran))
		return
	}
	stage := fleet.Plain
	if q.usesModel {
		stage = fleet.Decode
	}
	v, ok := r.chooseUpstream(q, stage)
	if q.deduplicated() {
		v, ok = r.ownerOf(q)
	}
	if !ok {
		r.awaitUpstream(q, stage)
		return
	}
	until, gone := r.mayHaveRunOnRemovedVM(q, v.Name)
	if !gone {
		until, gone = r.mayHaveRunElsewhere(q, v.Name)
	}
	if gone {
		err := fault.NotRun(fault.OutcomeForgotten, "an upstream that is gone, or that isn't allowed now, may have run the request")
		r.fail(q, err.WithRan(wire.Ran_RAN_UNKNOWN).WithRetryAt(until))
		return
	}
	if q.usesModel && !r.policy.ReserveDecode && q.pendingKVCache == nil {
		r.openPrefillRun(q)
		return
	}
	q.attempts++
	q.phase = awaitingSlot
	q.prefill = run{}
	q.main = run{
		ref:      RunRef{q.id, q.attempts, fleet.StageOf(stage)},
		vm:       v.Name,
		version:  v.Version,
		live:     true,
		openedAt: r.now,
	}
	if !q.usesModel {
		q.mayHaveRun()
	}
	r.loads.recordOpen(v.Name)
	r.trace(trace.Opened, q, v.Name, stage)
	r.emit(OpenRun{q.main.ref, v.Name, q.newMainOpen(r.now, r.tree.Revision())})
}

// awaitUpstream stops the main run of a request and makes it wait for an upstream. Upstreams
// where it failed before may be chosen again. It fails the request instead if its last run
// failed with fault.Overloaded, if it could not start in time after the wait, or if it is
// deduplicated.
func (r *Router) awaitUpstream(q *request, stage string) {
	if q.lastErr != nil && q.lastErr.Code == fault.Overloaded {
		r.fail(q, q.lastErr.WithRan(q.ran))
		return
	}
	if err := r.checkRegions(q, stage); err != nil {
		r.fail(q, err.WithRan(q.ran))
		return
	}
	if r.isVersionGone(q, stage) {
		r.fail(q, fault.NotRun(fault.VersionGone, "no upstream runs version %s, which began the answer", q.version).WithRan(q.ran))
		return
	}
	next := r.now.Add(upstreamRetryDelay)
	if !next.Before(q.latestStart()) || q.deduplicated() {
		r.fail(q, r.noUpstreamError(q, stage))
		return
	}
	r.stopRun(&q.main)
	q.phase = awaitingUpstream
	q.recheckAt = next
	clear(q.excluded)
}

// isVersionGone reports whether an answer has begun at a version that no live upstream has any more.
func (r *Router) isVersionGone(q *request, stage string) bool {
	if q.offset == 0 || stage == fleet.Prefill {
		return false
	}
	return !slices.ContainsFunc(r.list.LiveAgents(q.service, stage, q.model()), func(v fleet.VM) bool { return q.accepts(v.Version) })
}

// noUpstreamError returns the error for a request that no upstream of a stage can run.
func (r *Router) noUpstreamError(q *request, stage string) *fault.Error {
	err := fault.NotRun(fault.Unreachable, "no %s upstream of service %s can be reached", stage, q.service)
	return err.WithRan(q.ran).WithRetryAt(r.now.Add(callerRetryDelay))
}

// ownerOf returns the VM of the agent that all retries of a deduplicated request go to: the
// one with the highest rendezvous score for the request's name. Agents that are leaving are
// included: they refuse requests that are new to them, but still know which requests they
// executed.
func (r *Router) ownerOf(q *request) (fleet.VM, bool) {
	return r.ownerUnder(r.tree, q)
}

// ownerUnder is ownerOf by the allowed regions of a tree.
func (r *Router) ownerUnder(t *tree.Tree, q *request) (fleet.VM, bool) {
	return fleet.Top(inBounds(t, q, r.list.Filter(func(v fleet.VM) bool {
		return !q.excluded[v.Name] && v.Serves(q.service, fleet.Plain, "")
	})), q.name())
}

// mayHaveRunOnRemovedVM reports whether a VM that was removed from the list may have executed
// an earlier request with the same idempotency key. It may if its rendezvous score is above
// that of owner, so that it was the request's owner, and its service is the same or not
// known. until is the time after which the caller no longer retries such a request.
func (r *Router) mayHaveRunOnRemovedVM(q *request, owner string) (until time.Time, ok bool) {
	if !q.deduplicated() {
		return time.Time{}, false
	}
	ownerScore := fleet.Score(owner, q.name())
	for _, g := range r.list.AllRemovedVMs() {
		windowEnd := r.goneAt[g.Name].Add(q.dedupWindow())
		mayHaveServed := g.Service == "" || g.Serves(q.service, fleet.Plain, "")
		if mayHaveServed && r.now.Before(windowEnd) && fleet.Score(g.Name, q.name()) > ownerScore {
			return windowEnd, true
		}
	}
	return time.Time{}, false
}

// excludeVMs returns the VMs for which drop is false.
func excludeVMs(vms []fleet.VM, drop func(fleet.VM) bool) []fleet.VM {
	var kept []fleet.VM
	for _, v := range vms {
		if !drop(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// chooseUpstream returns the VM of the upstream for a stage of a request. It passes over VMs
// in the cooldown after a failed contact, unless there are no others.
func (r *Router) chooseUpstream(q *request, stage string) (fleet.VM, bool) {
	fitting := inBounds(r.tree, q, r.list.LiveAgents(q.service, stage, q.model()))
	if q.offset > 0 && stage != fleet.Prefill {
		fitting = excludeVMs(fitting, func(v fleet.VM) bool { return !q.accepts(v.Version) })
	}
	if len(q.excluded) > 0 {
		fitting = excludeVMs(fitting, func(v fleet.VM) bool { return q.excluded[v.Name] })
	}
	reachable := fitting
	if len(r.unreachableUntil) > 0 {
		reachable = excludeVMs(fitting, func(v fleet.VM) bool { return r.now.Before(r.unreachableUntil[v.Name]) })
	}
	if len(reachable) > 0 {
		return r.selectByPolicy(q, stage, reachable)
	}
	return r.selectByPolicy(q, stage, fitting)
}

// runGranted handles a run that was given a slot. Once a decode run has one, its prompt is
// prefilled or, if it was already, the KV cache is handed over.
func (r *Router) runGranted(e RunGranted) {
	q, t := r.liveRun(e.Ref)
	if t == nil {
		return
	}
	t.grantedAt = r.now
	if t == &q.main && q.phase == awaitingSlot {
		r.trace(trace.Granted, q, t.vm, "")
		switch {
		case !q.usesModel:
			q.phase = relaying
		case q.pendingKVCache != nil:
			r.sendFeed(q)
		default:
			r.openPrefillRun(q)
		}
	}
}

// openPrefillRun opens a run that computes the KV cache of the prompt.
func (r *Router) openPrefillRun(q *request) {
	v, ok := r.chooseUpstream(q, fleet.Prefill)
	if !ok {
		r.awaitUpstream(q, fleet.Prefill)
		return
	}
	q.prefillAttempts++
	q.phase = prefilling
	q.prefill = run{
		ref:      RunRef{q.id, q.prefillAttempts, wire.Stage_STAGE_PREFILL},
		vm:       v.Name,
		live:     true,
		openedAt: r.now,
	}
	r.loads.recordOpen(v.Name)
	r.trace(trace.Opened, q, v.Name, fleet.Prefill)
	r.emit(OpenRun{q.prefill.ref, v.Name, q.newPrefillOpen(r.now, r.tree.Revision())})
}

// prefillDone hands the KV cache to the main run, or opens a main run if there is none.
func (r *Router) prefillDone(q *request, d *wire.Done) {
	r.recordPrefillTime(q)
	q.prefill.live = false
	q.usage.PromptTokens = d.PromptTokens
	q.usage.CachedTokens = d.CachedTokens
	q.prefilled = true
	q.mayHaveRun()
	q.pendingKVCache, q.kvCacheVM = &wire.Feed{Handle: d.Handle, Source: d.Source}, q.prefill.vm
	r.emit(AckRun{q.prefill.ref, d.Size})
	if !q.main.live {
		r.openNextRun(q)
		return
	}
	r.sendFeed(q)
}

// sendFeed tells the main run, which has a slot, where to fetch its KV cache. Nothing is fetched from an
// engine that is barred since: the prompt is prefilled again.
func (r *Router) sendFeed(q *request) {
	if r.isExcluded(q, q.kvCacheVM) {
		q.pendingKVCache = nil
		r.openPrefillRun(q)
		return
	}
	q.phase = relaying
	r.trace(trace.Fed, q, q.main.vm, "")
	r.emit(FeedRun{q.main.ref, q.pendingKVCache})
	q.pendingKVCache = nil
}
