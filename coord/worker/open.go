package worker

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/queue"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

func (w *Worker) opened(e Opened) {
	o := e.Open
	id := RunID{o.Request, o.Attempt, o.Stage}
	if err := w.check(id, o); err != nil {
		w.bury(o, err)
		w.refuse(e.Stream, err)
		return
	}
	if old := w.existing(id, o); old != nil {
		w.attachAgain(e.Stream, old, o)
		return
	}
	if err := w.overloaded(o); err != nil {
		w.bury(o, err)
		w.refuse(e.Stream, err)
		return
	}
	r := &run{
		id:      id,
		open:    o,
		startBy: w.now.Add(time.Duration(o.PatienceMicros) * time.Microsecond),
		until:   w.now.Add(time.Duration(o.LeftMicros) * time.Microsecond),
		end:     o.Base,
		acked:   o.Base,
	}
	w.runs[id] = r
	w.attach(e.Stream, r)
	w.trace(trace.Opened, r, "")
	w.queue.Push(queue.Item[*run]{
		Workspace: o.Workspace,
		Cost:      max(o.Cost, 1),
		Weight:    o.Weight,
		Batch:     o.Batch,
		PromoteAt: w.now.Add(time.Duration(o.PatienceMicros) * time.Microsecond / batchAgeParts),
		Value:     r,
	})
}

// overloaded refuses a run that is not expected to have a slot before its start
// deadline, by the mean time that recent runs held one.
func (w *Worker) overloaded(o *wire.Open) *fault.Error {
	if w.busy < w.slots {
		return nil
	}
	ahead := w.queue.CountAhead(o.Workspace, o.Batch, w.now)
	wait := w.held * time.Duration(ahead+1) / time.Duration(w.slots)
	patience := time.Duration(o.PatienceMicros) * time.Microsecond
	if wait <= patience {
		return nil
	}
	err := fault.NotRun(fault.Overloaded, "%d runs are queued before this one", ahead)
	return err.WithAgain(w.now.Add(wait - patience))
}

// batchAgeParts is the part of its time left after which batch work counts as
// interactive.
const batchAgeParts = 4

// bury keeps a refused attempt of a keyed request from ever running here, since the
// entry will give the request to another agent.
func (w *Worker) bury(o *wire.Open, err *fault.Error) {
	if o.WindowMicros > 0 && err.Ran == wire.Ran_RAN_NO {
		rec := w.record(o.Request)
		rec.cancelled = max(rec.cancelled, o.Attempt)
	}
}

// check returns the reason for which a run must not start here.
func (w *Worker) check(id RunID, o *wire.Open) *fault.Error {
	if o.Incarnation != 0 && o.Incarnation != w.incarnation {
		return fault.NotRun(fault.Unclear, "the agent restarted").WithRan(wire.Ran_RAN_UNKNOWN)
	}
	known := w.existing(id, o) != nil
	if err := w.checkRecord(id, o, known); err != nil {
		return err
	}
	if w.refusing() && !known {
		return fault.NotRun(fault.Leaving, "the upstream is leaving")
	}
	if o.KeyId != "" && w.withdrawn(o) {
		return fault.NotRun(fault.BadKey, "the key was withdrawn")
	}
	return nil
}

// checkRecord looks at what is left of the request's earlier runs.
func (w *Worker) checkRecord(id RunID, o *wire.Open, known bool) *fault.Error {
	rec := w.records[id.Request]
	switch {
	case known:
		return nil
	case rec == nil:
		return w.checkForgotten(o)
	case !o.Idempotent && rec.ran != wire.Ran_RAN_NO:
		return fault.NotRun(fault.Duplicate, "request %s was already given to this agent", id.Request).WithRan(rec.ran)
	case id.Attempt <= rec.cancelled:
		return fault.NotRun(fault.Cancelled, "attempt %d was cancelled", id.Attempt)
	}
	return nil
}

// checkForgotten refuses a request that may be the repetition of one that an earlier
// life of this agent ran.
func (w *Worker) checkForgotten(o *wire.Open) *fault.Error {
	until := w.born.Add(time.Duration(o.WindowMicros) * time.Microsecond)
	if o.Idempotent || !w.now.Before(until) {
		return nil
	}
	err := fault.NotRun(fault.Forgotten, "the upstream's agent has restarted and can't tell whether the request ran")
	return err.WithRan(wire.Ran_RAN_UNKNOWN).WithAgain(until)
}

// withdrawn reports whether the key is not granted in a tree at least as new as
// the entry's.
func (w *Worker) withdrawn(o *wire.Open) bool {
	return w.tree.Revision() >= o.Revision && !w.tree.KeyGranted(o.Workspace, o.KeyId)
}

// existing returns the run that a repeated Open belongs to.
func (w *Worker) existing(id RunID, o *wire.Open) *run {
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

func (w *Worker) refuse(s StreamID, err *fault.Error) {
	w.emit(Send{s, failReply(w.now, err, w.Load())})
	w.emit(Close{s})
}

func failReply(now time.Time, err *fault.Error, l *wire.Load) *wire.RunReply {
	f := &wire.Fail{Code: string(err.Code), Text: err.Text, Ran: err.Ran}
	if !err.Again.IsZero() {
		f.RetryAfterMicros = max(err.Again.Sub(now).Microseconds(), 0)
	}
	return &wire.RunReply{Kind: &wire.RunReply_Fail{Fail: f}, Load: l}
}
