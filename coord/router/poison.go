package router

import (
	"fmt"

	"cranberrypoint.example/coord/fault"
)

// checkQuarantine refuses a request under which upstreams end; see package poison.
func (r *Router) checkQuarantine(q *request) *fault.Error {
	c, ok := r.poison.Check(r.now, q.call.PoisonKeys)
	if !ok {
		return nil
	}
	return c.Fault()
}

// recordEnd records that the upstream of a run ended, if that is why the run failed. Runs at one upstream fail
// at about the same time, so the second tells its processes apart.
func (r *Router) recordEnd(q *request, t *run, err *fault.Error) {
	if err.Code == fault.UpstreamEnded {
		r.poison.Ended(r.now, fmt.Sprintf("%s/%d", t.vm, r.now.Unix()), q.call.PoisonKeys)
	}
}
