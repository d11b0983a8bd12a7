package worker

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/queue"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// handleOpen queues a new run, attaches a duplicate request to the run that exists, or
// refuses the request.
func (w *Worker) handleOpen(e Opened) {
	o := e.Open
	id := RunID{o.Request, o.Attempt, o.Stage}
	if err := w.checkOpen(id, o); err != nil {
		w.forbidAttempt(o, err)
		w.refuse(e.Stream, err)
		return
	}
	if old := w.findRun(id, o); old != nil {
		w.attachDuplicate(e.Stream, old, o)
		return
	}
	if err := w.checkOverload(o); err != nil {
		w.forbidAttempt(o, err)
		w.refuse(e.Stream, err)
		return
	}
	r := &run{
		id:            id,
		open:          o,
		startDeadline: w.now.Add(time.Duration(o.PatienceMicros) * time.Microsecond),
		deadline:      w.now.Add(time.Duration(o.LeftMicros) * time.Microsecond),
		endOffset:     o.Base,
		ackedOffset:   o.Base,
	}
	w.runs[id] = r
	w.attach(e.Stream, r)
	w.trace(trace.Opened, r, "")
	w.queue.Push(queue.Item[*run]{
		Workspace: o.Workspace,
		Cost:      max(o.Cost, 1),
		Weight:    o.Weight,
		Batch:     o.Batch,
		PromoteAt: w.now.Add(time.Duration(o.PatienceMicros) * time.Microsecond / batchPromotionDivisor),
		Value:     r,
	})
}

// checkOverload returns an error for a run that is not expected to get a slot before its
// start deadline, judging by the mean time that recent runs held a slot.
func (w *Worker) checkOverload(o *wire.Open) *fault.Error {
	if w.busySlots < w.slots {
		return nil
	}
	ahead := w.queue.CountAhead(o.Workspace, o.Batch, w.now)
	wait := w.meanSlotTime * time.Duration(ahead+1) / time.Duration(w.slots)
	patience := time.Duration(o.PatienceMicros) * time.Microsecond
	if wait <= patience {
		return nil
	}
	err := fault.NotRun(fault.Overloaded, "%d runs are queued before this one", ahead)
	return err.WithRetryAt(w.now.Add(wait - patience))
}

// batchPromotionDivisor divides the patience of a batch run. A batch run that has waited for
// this part of its patience is scheduled like an interactive run, one that isn't batch.
const batchPromotionDivisor = 4

// forbidAttempt keeps a refused attempt of a request with an idempotency key, and all earlier
// ones, from being started here while the record is kept, since the entry sends the request
// to another agent next. WindowMicros is above 0 only for such requests.
func (w *Worker) forbidAttempt(o *wire.Open, err *fault.Error) {
	if o.WindowMicros > 0 && err.Ran == wire.Ran_RAN_NO {
		rec := w.ensureRecord(o.Request)
		rec.forbiddenUpTo = max(rec.forbiddenUpTo, o.Attempt)
	}
}

// checkOpen returns an error if a run must not start here.
func (w *Worker) checkOpen(id RunID, o *wire.Open) *fault.Error {
	if o.Incarnation != 0 && o.Incarnation != w.incarnation {
		return fault.NotRun(fault.OutcomeUnknown, "the agent restarted").WithRan(wire.Ran_RAN_UNKNOWN)
	}
	exists := w.findRun(id, o) != nil
	if err := w.checkRecord(id, o, exists); err != nil {
		return err
	}
	if w.refusesNewRuns() && !exists {
		return fault.NotRun(fault.Leaving, "the upstream is leaving")
	}
	if o.KeyId != "" && w.keyRevoked(o) {
		return fault.NotRun(fault.BadKey, "the key was withdrawn")
	}
	if !exists && w.isOutOfRegion(o) {
		return errOutOfRegion()
	}
	return nil
}

// isOutOfRegion reports whether a run may not start in this VM's region. Settings older than the entry's
// are not trusted.
func (w *Worker) isOutOfRegion(o *wire.Open) bool {
	return w.settings.Revision() >= o.Revision && !w.settings.Bounds(o.Route, o.Workspace).Allows(w.settings.Region(w.dataCentre))
}

// errOutOfRegion is the refusal of a run that isOutOfRegion.
func errOutOfRegion() *fault.Error {
	return fault.NotRun(fault.OutOfRegion, "the request may not run in this region")
}

// checkRecord returns an error if the record of the request forbids another run: a
// request that isn't idempotent has run or may have, or the attempt was cancelled or
// refused. Without a record, it returns an error if the record may have been lost in a
// restart. A request that joins an existing run is always allowed.
func (w *Worker) checkRecord(id RunID, o *wire.Open, exists bool) *fault.Error {
	rec := w.records[id.Request]
	switch {
	case exists:
		return nil
	case rec == nil:
		return w.checkForgotten(o)
	case !o.Idempotent && rec.ran != wire.Ran_RAN_NO:
		return fault.NotRun(fault.Duplicate, "request %s was already given to this agent", id.Request).WithRan(rec.ran)
	case id.Attempt <= rec.forbiddenUpTo:
		return fault.NotRun(fault.Cancelled, "attempt %d was cancelled", id.Attempt)
	}
	return nil
}

// checkForgotten returns an error for a request that isn't idempotent and may be a
// duplicate of one that an earlier incarnation of this agent ran.
func (w *Worker) checkForgotten(o *wire.Open) *fault.Error {
	until := w.startedAt.Add(time.Duration(o.WindowMicros) * time.Microsecond)
	if o.Idempotent || !w.now.Before(until) {
		return nil
	}
	err := fault.NotRun(fault.OutcomeForgotten, "the upstream's agent has restarted and can't tell whether the request ran")
	return err.WithRan(wire.Ran_RAN_UNKNOWN).WithRetryAt(until)
}

// keyRevoked reports whether the key is missing in the agent's settings. Settings older
// than the entry's are not trusted, since they may lack a new key.
func (w *Worker) keyRevoked(o *wire.Open) bool {
	return w.settings.Revision() >= o.Revision && !w.settings.KeyGranted(o.Workspace, o.KeyId)
}

// findRun returns the run of the same ID or, unless o is idempotent, a run of any attempt
// of the same request and stage; nil if there is none.
func (w *Worker) findRun(id RunID, o *wire.Open) *run {
	if r := w.runs[id]; r != nil {
		return r
	}
	if o.Idempotent {
		return nil
	}
	for other, r := range w.runs {
		if other.Request == id.Request && other.Stage == id.Stage {
			return r
		}
	}
	return nil
}

// refuse sends a failure on a stream and closes it.
func (w *Worker) refuse(s StreamID, err *fault.Error) {
	w.emit(Send{s, failReply(w.now, err, w.Load())})
	w.emit(Close{s})
}

// failReply returns the message for an error; the time of the retry is sent relative to
// now.
func failReply(now time.Time, err *fault.Error, l *wire.Load) *wire.RunReply {
	f := &wire.Fail{Code: string(err.Code), Text: err.Text, Ran: err.Ran}
	if !err.RetryAt.IsZero() {
		f.RetryAfterMicros = max(err.RetryAt.Sub(now).Microseconds(), 0)
	}
	return &wire.RunReply{Kind: &wire.RunReply_Fail{Fail: f}, Load: l}
}
