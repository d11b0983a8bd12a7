package router

import (
	"net/http"

	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// liveRun returns the request of a reference and its run. The request is nil if it has
// ended, and the run is nil if it is no longer live. In this package q is a request and t is
// one of its runs.
func (r *Router) liveRun(f RunRef) (*request, *run) {
	q := r.requests[f.ID]
	if q == nil {
		return nil, nil
	}
	t := q.runByRef(f)
	if t == nil || !t.live {
		return q, nil
	}
	return q, t
}

// runHead relays the status and headers of a plain answer, once per request.
func (r *Router) runHead(e RunHead) {
	q, t := r.liveRun(e.Ref)
	if t == nil || q.headSent {
		return
	}
	q.phase = relaying
	q.headSent = true
	q.status = int(e.Head.GetStatus())
	q.ran = wire.Ran_RAN_YES
	r.emit(Head{q.id, e.Head})
}

// runData relays a chunk of the answer. It drops a chunk whose data was all relayed already,
// which a resumed stream may repeat. It resumes the run from the end of the relayed data if
// any other chunk doesn't start there: data is missing before it or it overlaps relayed data.
func (r *Router) runData(e RunData) {
	q, t := r.liveRun(e.Ref)
	if t == nil || t != &q.main {
		return
	}
	d := e.Data
	end := d.Offset + int64(len(d.Data))
	if end <= q.offset {
		return
	}
	if d.Offset != q.offset {
		r.resumeOrRetry(q, t)
		return
	}
	if q.offset == 0 {
		q.version = t.version
	}
	assert.That(d.Offset == q.offset, "request %s: data at offset %d, want offset %d", q.name(), d.Offset, q.offset)
	q.offset = end
	q.outputTokens += int64(d.Tokens)
	q.ran = wire.Ran_RAN_YES
	r.emit(Write{q.id, d.Offset, d.Data})
}

// written acknowledges to the agent the data that was written to the caller.
func (r *Router) written(e Written) {
	q := r.requests[e.ID]
	if q == nil || e.Offset <= q.written {
		return
	}
	q.written = e.Offset
	if q.main.live {
		r.emit(AckRun{q.main.ref, e.Offset})
	}
}

// runDone handles a run that succeeded. A main run whose data is incomplete is resumed.
func (r *Router) runDone(e RunDone) {
	q, t := r.liveRun(e.Ref)
	switch {
	case t == nil:
	case t == &q.prefill:
		r.prefillDone(q, e.Done)
	case e.Done.Size != q.offset:
		r.resumeOrRetry(q, t)
	default:
		q.ran = wire.Ran_RAN_YES
		q.usage.OutputTokens = q.outputTokens
		t.live = false
		r.emit(AckRun{t.ref, q.offset})
		r.complete(q, e.Done)
	}
}

// complete ends a request whose answer was relayed completely.
func (r *Router) complete(q *request, d *wire.Done) {
	if q.status < http.StatusInternalServerError {
		r.poison.Answered(r.now, q.call.PoisonKeys)
	}
	r.trace(trace.Finished, q, "", "")
	r.emit(Finish{ID: q.id, Usage: q.usage, Trailers: d.GetTrailers()})
	r.release(q)
}
