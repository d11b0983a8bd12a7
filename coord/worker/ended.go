package worker

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// record is what stays of a request after its runs are gone.
type record struct {
	// cancelled is the highest attempt that never ran and never will.
	cancelled uint32
	ran       wire.Ran
	// started is true once a run of the request was given to the upstream.
	started bool
	keep    time.Time
}

func (r *run) ran() wire.Ran {
	switch {
	case !r.started:
		return wire.Ran_RAN_NO
	case r.fail != nil:
		return r.fail.Ran
	case r.done != nil:
		return wire.Ran_RAN_YES
	default:
		return wire.Ran_RAN_UNKNOWN
	}
}

func (w *Worker) abandon(r *run, k trace.Kind) {
	if r.stream != 0 {
		return
	}
	if r.phase == running && !r.open.Idempotent {
		r.stopped = true
		return
	}
	if r.phase == ended && w.now.Before(r.keep) {
		r.stopped = true
		return
	}
	w.trace(k, r, "")
	w.release(r)
	w.forget(r)
}

// release frees the slot and the upstream.
func (w *Worker) release(r *run) {
	switch r.phase {
	case queued:
		w.queue.Drop(func(q *run) bool { return q == r })
	case granted:
		w.busy--
	case running:
		w.busy--
		w.emit(AbortCall{r.id})
	}
	r.phase = ended
}

// forget drops a run and keeps its record.
func (w *Worker) forget(r *run) {
	for _, s := range append(r.followers, r.stream) {
		if s != 0 {
			w.emit(Close{s})
		}
		delete(w.streams, s)
	}
	r.followers, r.stream = nil, 0
	delete(w.runs, r.id)
	rec := w.record(r.id.Request)
	if r.started {
		rec.ran = r.ran()
	}
}

func (w *Worker) record(request string) *record {
	rec := w.records[request]
	if rec == nil {
		rec = &record{ran: wire.Ran_RAN_NO}
		w.records[request] = rec
	}
	rec.keep = w.now.Add(w.keep)
	return rec
}

func (w *Worker) cancelAsked(e CancelRequested) {
	ran := wire.Ran_RAN_NO
	known := w.records[e.Request] != nil
	for _, id := range w.ids() {
		r := w.runs[id]
		if id.Request != e.Request || id.Attempt > e.Attempt {
			continue
		}
		known = true
		if r.started && !r.open.Idempotent {
			ran = r.ran()
			continue
		}
		w.trace(trace.Cancelled, r, "asked")
		w.release(r)
		w.forget(r)
	}
	rec := w.record(e.Request)
	rec.cancelled = max(rec.cancelled, e.Attempt)
	if ran == wire.Ran_RAN_NO {
		ran = rec.ran
	}
	if !known && e.FirstSent.Before(w.born.Add(ageMargin)) {
		ran = wire.Ran_RAN_UNKNOWN
		rec.ran = ran
	}
	w.emit(AnswerCancel{e.CancelID, ran})
}

func (w *Worker) heldListed(e AllocationsListed) {
	for _, n := range e.Names {
		if !w.OwnsAllocation(n) {
			w.emit(FreeAllocation{n})
		}
	}
}

func (w *Worker) tick() {
	for _, id := range w.ids() {
		r := w.runs[id]
		switch {
		case r.stopped && r.phase == ended && !w.now.Before(r.keep):
			w.forget(r)
		case !r.stopped && !w.now.Before(r.lease):
			w.expire(r)
		case r.phase == queued && !w.now.Before(r.startBy):
			w.giveUp(r)
		case r.stream != 0 && !w.now.Before(r.nextBeat):
			w.sendBeat(r)
		}
	}
	for id, rec := range w.records {
		if !w.now.Before(rec.keep) {
			delete(w.records, id)
		}
	}
}

func (w *Worker) expire(r *run) {
	if r.stream != 0 {
		w.emit(Close{r.stream})
		w.detach(r)
	}
	w.abandon(r, trace.Expired)
}

// giveUp refuses a run that was not started before its deadline.
func (w *Worker) giveUp(r *run) {
	w.fail(r, fault.NotRun(fault.TooLate, "no slot was free before the deadline"))
}

func (w *Worker) fail(r *run, err *fault.Error) {
	w.trace(trace.Refused, r, string(err.Code))
	w.bury(r.open, err)
	w.release(r)
	for _, s := range append(r.followers, r.stream) {
		if s != 0 {
			w.refuse(s, err)
		}
	}
	w.forget(r)
}
