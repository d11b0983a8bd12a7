package worker

import (
	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// heldParts is one over the weight of the newest run in the mean time of a slot.
const heldParts = 8

// freeSlot ends a run's hold of a slot.
func (w *Worker) freeSlot(r *run) {
	w.busy--
	w.held += (w.now.Sub(r.since) - w.held) / heldParts
}

// fill starts queued runs while slots are free.
func (w *Worker) fill() {
	for w.busy < w.slots {
		r, ok := w.queue.Pop(w.now)
		if !ok {
			return
		}
		w.busy++
		r.phase = granted
		r.since = w.now
		w.trace(trace.Granted, r, "")
		w.send(r, w.grantedReply())
		if r.id.Stage != wire.Stage_STAGE_DECODE {
			w.start(r, nil)
		}
	}
}

func (w *Worker) start(r *run, f *wire.Feed) {
	rec := w.record(r.id.Request)
	assert.That(r.open.Idempotent || !rec.started, "request %s is started again", r.id.Request)
	assert.That(r.id.Attempt > rec.cancelled, "cancelled attempt %s is started", r.id)
	rec.started = true
	r.phase = running
	r.started = true
	w.trace(trace.Started, r, "")
	w.emit(StartCall{Run: r.id, Open: r.open, Feed: f, Deadline: r.until})
}

func (w *Worker) fed(e FeedReceived) {
	r := w.touch(e.Stream)
	if r == nil || r.phase != granted || r.id.Stage != wire.Stage_STAGE_DECODE {
		return
	}
	w.start(r, e.Feed)
}

func (w *Worker) callHead(e CallHead) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.head = e.Head
	w.send(r, headReply(r))
}

func (w *Worker) callData(e CallData) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	c := chunk{offset: r.end, data: e.Data, tokens: e.Tokens}
	r.end += int64(len(e.Data))
	r.tail = append(r.tail, c)
	if r.stopped {
		if !w.replayable(r) {
			r.tail = nil
		}
		return
	}
	w.send(r, chunkReply(c))
	if !r.paused && r.end-r.acked > DefaultWindowBytes {
		r.paused = true
		w.emit(Throttle{r.id, true})
	}
}

func (w *Worker) callDone(e CallDone) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.done = e.Done
	r.done.Size = r.end
	w.endCall(r, wire.Ran_RAN_YES)
	w.trace(trace.Finished, r, "")
	w.sendEnd(r)
}

func (w *Worker) callFailed(e CallFailed) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.fail = e.Err
	r.started = e.Err.Ran != wire.Ran_RAN_NO
	w.endCall(r, e.Err.Ran)
	w.trace(trace.Failed, r, string(e.Err.Code))
	w.sendEnd(r)
}

// endCall frees a run's slot, records whether it ran, and sets the times until which
// it can be resumed and repeated.
func (w *Worker) endCall(r *run, ran wire.Ran) {
	w.freeSlot(r)
	r.phase = ended
	w.renew(r)
	if w.replayable(r) {
		r.keep = w.now.Add(w.keep)
	}
	w.record(r.id.Request).ran = ran
}
