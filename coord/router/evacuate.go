package router

import (
	"maps"
	"slices"
)

// isEvacuated reports whether the data centre of an agent's VM is evacuated.
func (r *Router) isEvacuated(vm string) bool {
	v, ok := r.list.VM(vm)
	return ok && v.Evacuated
}

// leaveEvacuated places the calls to models again whose engines haven't begun to answer, and whose engine for
// the answer or for the prompt is in a data centre that is evacuated now.
//
// It answers an evacuation under load, when many requests wait for slots there or for prompts that are being
// read there. Without it they would start in the evacuated data centre once their turn comes, seconds later.
// Plain calls that wait are refused by their agents, which know whether they have started.
func (r *Router) leaveEvacuated() {
	if len(r.list.Evacuated()) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		if !q.usesModel || q.phase != awaitingSlot && q.phase != prefilling {
			continue
		}
		isMainThere := q.main.live && r.isEvacuated(q.main.vm)
		isPrefillThere := q.prefill.live && r.isEvacuated(q.prefill.vm)
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
