package router

import (
	"maps"
	"slices"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/region"
	"cranberrypoint.example/coord/tree"
)

// bounds returns the regions in which a request may run by the current settings.
func (r *Router) bounds(q *request) region.Bounds {
	return r.tree.Bounds(q.call.Route, q.workspace)
}

// inBounds returns the VMs that are in a region in which a request may run by some settings.
func inBounds(t *tree.Tree, q *request, vms []fleet.VM) []fleet.VM {
	b := t.Bounds(q.call.Route, q.workspace)
	if !b.Restricts() {
		return vms
	}
	return excludeVMs(vms, func(v fleet.VM) bool { return !b.Allows(t.Region(v.DataCentre)) })
}

// maxPastTrees bounds the replaced settings that are remembered.
const maxPastTrees = 8

// pastTree is a settings tree and when another one replaced it.
type pastTree struct {
	tree       *tree.Tree
	replacedAt time.Time
}

// recordPastTree remembers the current settings if the next ones allow other regions.
func (r *Router) recordPastTree(next *tree.Tree) {
	if r.tree.Revision() == 0 || r.tree.SameRegions(next) {
		return
	}
	r.pastTrees = append(r.pastTrees, pastTree{r.tree, r.now})
	if len(r.pastTrees) > maxPastTrees {
		r.pastTrees = slices.Clone(r.pastTrees[1:])
	}
}

// mayHaveRunElsewhere reports whether another VM than owner may have executed an earlier request with the same
// idempotency key, since that was its owner by earlier allowed regions. until is the time after which the
// caller no longer retries such a request.
func (r *Router) mayHaveRunElsewhere(q *request, owner string) (until time.Time, ok bool) {
	if !q.deduplicated() || q.attempts > 0 {
		return time.Time{}, false
	}
	for _, p := range r.pastTrees {
		windowEnd := p.replacedAt.Add(q.dedupWindow())
		v, found := r.ownerUnder(p.tree, q)
		if found && v.Name != owner && r.now.Before(windowEnd) && windowEnd.After(until) {
			until, ok = windowEnd, true
		}
	}
	return until, ok
}

// isExcluded reports whether nothing more of a request may be sent to an agent's VM: its data centre is
// evacuated, or in a region that isn't allowed.
func (r *Router) isExcluded(q *request, vm string) bool {
	v, ok := r.list.VM(vm)
	return ok && (v.Evacuated || !r.bounds(q).Allows(r.tree.Region(v.DataCentre)))
}

// checkRegions refuses a request if there are upstreams for a stage, but none in a region in which it may
// run. Nobody knows when there will be one, so the caller isn't told when to come back.
func (r *Router) checkRegions(q *request, stage string) *fault.Error {
	l := r.list.LiveAgents(q.service, stage, q.model())
	if len(l) == 0 || len(inBounds(r.tree, q, l)) > 0 {
		return nil
	}
	return fault.NotRun(fault.OutOfRegion, "service %s has no upstream in the allowed regions: %s", q.service, r.bounds(q))
}

// replaceExcluded places the calls to models again whose engines haven't begun to answer, and whose engine for
// the answer or for the prompt is barred now; see isExcluded.
//
// It answers an evacuation, or a change of the allowed regions, under load, when many requests wait for slots
// there or for prompts that are being read there. Without it they would start there once their turn comes,
// seconds later. Plain calls that wait are refused by their agents, which know whether they have started.
func (r *Router) replaceExcluded() {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		if !q.usesModel || q.phase != awaitingSlot && q.phase != prefilling {
			continue
		}
		isMainThere := q.main.live && r.isExcluded(q, q.main.vm)
		isPrefillThere := q.prefill.live && r.isExcluded(q, q.prefill.vm)
		switch {
		case isMainThere || isPrefillThere && !q.main.live:
			r.stopRun(&q.main)
			r.stopRun(&q.prefill)
			r.openNextRun(q)
		case isPrefillThere:
			r.stopRun(&q.prefill)
			r.openPrefillRun(q)
		}
	}
}
