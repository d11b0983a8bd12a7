package router

import (
	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// current returns the request and the run that a reference names. A reference that
// is out of date is stopped.
func (r *Router) current(f RunRef) (*request, *target) {
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

func (r *Router) passed(e Written) {
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

// complete ends a request whose answer is whole.
func (r *Router) complete(q *request, d *wire.Done) {
	r.trace(trace.Finished, q, "", "")
	r.emit(Finish{ID: q.id, Usage: q.usage, Trailers: d.GetTrailers()})
	r.end(q)
}
