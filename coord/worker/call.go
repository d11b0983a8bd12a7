package worker

import (
	"cranberrypoint.example/coord/assert"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// slotTimeDivisor sets the weight of each call that ends in meanSlotTime: one part in
// slotTimeDivisor.
const slotTimeDivisor = 8

// freeSlot frees the slot of a run whose call succeeded or failed and updates meanSlotTime.
// The slots of aborted runs are freed by release.
func (w *Worker) freeSlot(r *run) {
	w.busySlots--
	w.meanSlotTime += (w.now.Sub(r.grantedAt) - w.meanSlotTime) / slotTimeDivisor
}

// grantSlots gives free slots to queued runs and starts them. A decode run isn't started
// before a Feed message names its KV cache.
func (w *Worker) grantSlots() {
	for w.busySlots < w.slots {
		r, ok := w.queue.Pop(w.now)
		if !ok {
			return
		}
		w.busySlots++
		r.phase = granted
		r.grantedAt = w.now
		w.trace(trace.Granted, r, "")
		w.send(r, w.grantedReply())
		if r.id.Stage != wire.Stage_STAGE_DECODE {
			w.startCall(r, nil)
		}
	}
}

// startCall starts the call to the upstream; f is nil except for decode runs.
func (w *Worker) startCall(r *run, f *wire.Feed) {
	rec := w.ensureRecord(r.id.Request)
	assert.That(r.open.Idempotent || !rec.started, "non-idempotent request %s started twice", r.id.Request)
	assert.That(r.id.Attempt > rec.forbiddenUpTo, "cancelled or refused attempt %s started", r.id)
	rec.started = true
	r.phase = running
	r.mayHaveRun = true
	w.trace(trace.Started, r, "")
	w.emit(StartCall{Run: r.id, Open: r.open, Feed: f, Deadline: r.deadline})
}

// handleFeed starts a granted decode run with the KV cache that the Feed names.
func (w *Worker) handleFeed(e FeedReceived) {
	r := w.renewStream(e.Stream)
	if r == nil || r.phase != granted || r.id.Stage != wire.Stage_STAGE_DECODE {
		return
	}
	w.startCall(r, e.Feed)
}

func (w *Worker) handleCallHead(e CallHead) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.head = e.Head
	w.send(r, headReply(r))
}

// handleCallData sends a part of the response to the entry and keeps it for replay. It
// pauses the call when too much is unacknowledged. If the run is orphaned, nothing is sent,
// and a response that is too long for replay is discarded.
func (w *Worker) handleCallData(e CallData) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	c := chunk{offset: r.endOffset, data: e.Data, tokens: e.Tokens}
	r.endOffset += int64(len(e.Data))
	r.chunks = append(r.chunks, c)
	if r.orphaned {
		if !w.replayable(r) {
			r.chunks = nil
		}
		return
	}
	w.send(r, chunkReply(c))
	if !r.paused && r.endOffset-r.ackedOffset > DefaultWindowBytes {
		r.paused = true
		w.emit(SetCallPaused{r.id, true})
	}
}

func (w *Worker) handleCallDone(e CallDone) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.done = e.Done
	r.done.Size = r.endOffset
	w.endCall(r, wire.Ran_RAN_YES)
	w.trace(trace.Finished, r, "")
	w.sendEnd(r)
}

func (w *Worker) handleCallFailed(e CallFailed) {
	r := w.runs[e.Run]
	if r == nil || r.phase != running {
		return
	}
	r.failure = e.Err
	r.mayHaveRun = e.Err.Ran != wire.Ran_RAN_NO
	w.endCall(r, e.Err.Ran)
	w.trace(trace.Failed, r, string(e.Err.Code))
	w.sendEnd(r)
}

// endCall frees a run's slot, records whether it ran, and sets the times until which the
// run can be resumed and its response replayed.
func (w *Worker) endCall(r *run, ran wire.Ran) {
	w.freeSlot(r)
	r.phase = ended
	w.renewLease(r)
	// The upstream has what it needs of the request.
	r.open.Prompt, r.open.Headers = nil, nil
	if w.replayable(r) {
		r.keepUntil = w.now.Add(w.retention)
		w.keep(r)
	}
	rec := w.ensureRecord(r.id.Request)
	rec.ran = ran
	rec.started = ran != wire.Ran_RAN_NO
}
