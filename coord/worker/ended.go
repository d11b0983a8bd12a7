package worker

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// record is what is known of a request, also after its runs were removed.
type record struct {
	// cancelledUpTo is the highest cancelled attempt; up to it no attempt is started.
	cancelledUpTo uint32
	// ran says whether the request ran at the upstream.
	ran wire.Ran
	// started is true once a run of the request was sent to the upstream.
	started   bool
	keepUntil time.Time
}

// ran returns whether the run ran at the upstream, as far as known.
func (r *run) ran() wire.Ran {
	switch {
	case !r.started:
		return wire.Ran_RAN_NO
	case r.failure != nil:
		return r.failure.Ran
	case r.done != nil:
		return wire.Ran_RAN_YES
	default:
		return wire.Ran_RAN_UNKNOWN
	}
}

// abandon ends a run that has no stream. A call that isn't idempotent goes on, so that
// its outcome is known, and an ended run is kept while its response may be replayed.
func (w *Worker) abandon(r *run, k trace.Kind) {
	if r.stream != 0 {
		return
	}
	if r.phase == running && !r.open.Idempotent {
		r.orphaned = true
		return
	}
	if r.phase == ended && w.now.Before(r.keepUntil) {
		r.orphaned = true
		return
	}
	w.trace(k, r, "")
	w.release(r)
	w.removeRun(r)
}

// release takes a run from the queue or frees its slot, and aborts its call.
func (w *Worker) release(r *run) {
	switch r.phase {
	case queued:
		w.queue.Drop(func(q *run) bool { return q == r })
	case granted:
		w.busySlots--
	case running:
		w.busySlots--
		w.emit(AbortCall{r.id})
	}
	r.phase = ended
}

// removeRun closes a run's streams and deletes it; its outcome stays in the record.
func (w *Worker) removeRun(r *run) {
	for _, s := range append(r.waiters, r.stream) {
		if s != 0 {
			w.emit(Close{s})
		}
		delete(w.streams, s)
	}
	r.waiters, r.stream = nil, 0
	delete(w.runs, r.id)
	rec := w.ensureRecord(r.id.Request)
	if r.started {
		rec.ran = r.ran()
	}
}

// ensureRecord returns the record of a request, made if it is missing, and extends its
// retention.
func (w *Worker) ensureRecord(request string) *record {
	rec := w.records[request]
	if rec == nil {
		rec = &record{ran: wire.Ran_RAN_NO}
		w.records[request] = rec
	}
	rec.keepUntil = w.now.Add(w.retention)
	return rec
}

// handleCancel ends the attempts of a request up to the given one and answers whether the
// request ran. Started attempts that aren't idempotent go on. The outcome of a request
// that is not known here is unknown if the request may be older than this incarnation,
// since an earlier one may have run it.
func (w *Worker) handleCancel(e CancelRequested) {
	ran := wire.Ran_RAN_NO
	known := w.records[e.Request] != nil
	for _, id := range w.sortedRunIDs() {
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
		w.removeRun(r)
	}
	rec := w.ensureRecord(e.Request)
	rec.cancelledUpTo = max(rec.cancelledUpTo, e.Attempt)
	if ran == wire.Ran_RAN_NO {
		ran = rec.ran
	}
	if !known && e.FirstSent.Before(w.startedAt.Add(clockSkewMargin)) {
		ran = wire.Ran_RAN_UNKNOWN
		rec.ran = ran
	}
	w.emit(AnswerCancel{e.CancelID, ran})
}

// handleAllocations frees the engine memory that no run owns.
func (w *Worker) handleAllocations(e AllocationsListed) {
	for _, n := range e.Names {
		if !w.OwnsAllocation(n) {
			w.emit(FreeAllocation{n})
		}
	}
}

// handleTick does what is due: it removes runs and records at the end of their retention,
// expires leases, refuses runs that got no slot in time, and sends heartbeats.
func (w *Worker) handleTick() {
	for _, id := range w.sortedRunIDs() {
		r := w.runs[id]
		switch {
		case r.orphaned && r.phase == ended && !w.now.Before(r.keepUntil):
			w.removeRun(r)
		case !r.orphaned && !w.now.Before(r.leaseExpiry):
			w.expireLease(r)
		case r.phase == queued && !w.now.Before(r.startDeadline):
			w.refuseLate(r)
		case r.stream != 0 && !w.now.Before(r.nextHeartbeat):
			w.sendHeartbeat(r)
		}
	}
	for id, rec := range w.records {
		if !w.now.Before(rec.keepUntil) {
			delete(w.records, id)
		}
	}
}

// expireLease closes the stream of a run whose entry fell silent and abandons the run,
// unless a waiter takes the place of the stream.
func (w *Worker) expireLease(r *run) {
	if r.stream != 0 {
		w.emit(Close{r.stream})
		w.detach(r)
	}
	w.abandon(r, trace.Expired)
}

// refuseLate refuses a queued run whose start deadline has passed.
func (w *Worker) refuseLate(r *run) {
	w.failRun(r, fault.NotRun(fault.TooLate, "no slot was free before the deadline"))
}

// failRun refuses a run that has not started and removes it.
func (w *Worker) failRun(r *run, err *fault.Error) {
	w.trace(trace.Refused, r, string(err.Code))
	w.writeTombstone(r.open, err)
	w.release(r)
	for _, s := range append(r.waiters, r.stream) {
		if s != 0 {
			w.refuse(s, err)
		}
	}
	w.removeRun(r)
}
