package worker

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// record is what is known of a request, also after its runs were removed.
type record struct {
	// forbiddenUpTo is the highest attempt that was cancelled, or refused under an idempotency
	// key; no attempt up to it is started.
	forbiddenUpTo uint32
	// ran says whether the request ran at the upstream, as far as runs that ended or were
	// removed tell. It doesn't change when a call begins.
	ran wire.Ran
	// started is true once a call to the upstream began for a run of the request, unless the call
	// has failed without running the request.
	started   bool
	keepUntil time.Time
}

// ran returns whether the run ran at the upstream, as far as known.
func (r *run) ran() wire.Ran {
	switch {
	case !r.mayHaveRun:
		return wire.Ran_RAN_NO
	case r.failure != nil:
		return r.failure.Ran
	case r.done != nil:
		return wire.Ran_RAN_YES
	default:
		return wire.Ran_RAN_UNKNOWN
	}
}

// abandon gives up a run after its stream was detached, unless the stream of a waiter took
// its place. A call in progress that isn't idempotent goes on, so that its outcome is known,
// and an ended run is kept while its response may be replayed; both become orphaned. Any
// other run is released and removed.
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
	w.drop(r)
	rec := w.ensureRecord(r.id.Request)
	if r.mayHaveRun {
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
// request ran. Started attempts that aren't idempotent go on. If there is neither a record
// nor a run of the request, the answer is RAN_UNKNOWN if the request may have been sent
// before this process started, since an earlier incarnation of the agent may have run it.
func (w *Worker) handleCancel(e CancelRequested) {
	ran := wire.Ran_RAN_NO
	known := w.records[e.Request] != nil
	for _, id := range w.sortedRunIDs() {
		r := w.runs[id]
		if id.Request != e.Request || id.Attempt > e.Attempt {
			continue
		}
		known = true
		if r.mayHaveRun && !r.open.Idempotent {
			ran = r.ran()
			continue
		}
		// The detail tells a cancellation by a Cancel message from one by a Stop message.
		w.trace(trace.Cancelled, r, "asked")
		w.release(r)
		w.removeRun(r)
	}
	rec := w.ensureRecord(e.Request)
	rec.forbiddenUpTo = max(rec.forbiddenUpTo, e.Attempt)
	if ran == wire.Ran_RAN_NO {
		ran = rec.ran
	}
	if !known && e.FirstSent.Before(w.startedAt.Add(firstSentMargin)) {
		ran = wire.Ran_RAN_UNKNOWN
		rec.ran = ran
	}
	w.emit(AnswerCancel{e.CancelID, ran})
}

// handleAllocations frees the memory at the upstream that no running run owns.
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
	w.refuseRun(r, fault.NotRun(fault.DeadlineExceeded, "no slot was free before the deadline"))
}

// refuseRun refuses a queued run on its stream and on those of its waiters, and removes it.
func (w *Worker) refuseRun(r *run, err *fault.Error) {
	w.trace(trace.Refused, r, string(err.Code))
	w.forbidAttempt(r.open, err)
	w.release(r)
	for _, s := range append(r.waiters, r.stream) {
		if s != 0 {
			w.refuse(s, err)
		}
	}
	w.removeRun(r)
}
