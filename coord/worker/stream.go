package worker

import (
	"slices"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// attachDuplicate answers a duplicate request with the response of the existing run. While
// the run has a stream and has not ended, the duplicate of a request that isn't idempotent
// becomes a waiter.
func (w *Worker) attachDuplicate(s StreamID, r *run, o *wire.Open) {
	if r.open.Digest != o.Digest {
		w.refuse(s, fault.NotRun(fault.Duplicate, "request %s came with other content", r.id.Request))
		return
	}
	if !r.keptFromStart() {
		err := fault.NotRun(fault.Duplicate, "request %s already ran; its answer is gone", r.id.Request)
		w.refuse(s, err.WithRan(r.ran()))
		return
	}
	if r.stream != 0 && r.phase != ended && !o.Idempotent {
		r.waiters = append(r.waiters, s)
		w.streams[s] = r
		// The waiter receives Granted at once, also if the run is still queued. The response
		// follows when the run ends.
		w.sendTo(s, w.grantedReply())
		return
	}
	w.attach(s, r)
	w.replayTo(s, r, o.Base)
}

// keptFromStart reports whether no chunk was dropped from the front of the response.
func (r *run) keptFromStart() bool {
	if len(r.chunks) == 0 {
		return r.endOffset == r.open.Base
	}
	return r.chunks[0].offset == r.open.Base
}

// attach makes s the stream of a run and closes the previous one.
func (w *Worker) attach(s StreamID, r *run) {
	if r.stream != 0 {
		delete(w.streams, r.stream)
		w.emit(Close{r.stream})
	}
	r.stream = s
	r.orphaned = false
	w.streams[s] = r
	w.renewLease(r)
}

func (w *Worker) renewLease(r *run) {
	r.leaseExpiry = w.now.Add(w.leaseDuration)
}

// renewStream renews the lease of the run that a stream belongs to and returns the run,
// or nil if there is none.
func (w *Worker) renewStream(s StreamID) *run {
	r := w.streams[s]
	if r != nil {
		w.renewLease(r)
	}
	return r
}

// handleResume attaches a new stream to a run and replays the response from the offset
// that the entry names.
func (w *Worker) handleResume(e Resumed) {
	id := RunID{e.Resume.Request, e.Resume.Attempt, e.Resume.Stage}
	// The empty Open isn't idempotent, so that a run of any attempt is found.
	r := w.findRun(id, &wire.Open{})
	if r == nil {
		err := fault.NotRun(fault.OutcomeUnknown, "run %s is not known here", id)
		w.refuse(e.Stream, err.WithRan(wire.Ran_RAN_UNKNOWN))
		return
	}
	w.attach(e.Stream, r)
	w.trace(trace.Resumed, r, "")
	w.replayTo(e.Stream, r, e.Resume.Offset)
}

// replayTo sends the state of a run and the response from offset on to a stream.
func (w *Worker) replayTo(s StreamID, r *run, offset int64) {
	if r.phase != queued {
		w.sendTo(s, w.grantedReply())
	}
	if r.head != nil {
		w.sendTo(s, headReply(r))
	}
	for _, c := range r.chunks {
		if c.offset >= offset {
			w.sendTo(s, chunkReply(c))
		}
	}
	if m := w.endReply(r); m != nil {
		w.sendTo(s, m)
	}
	r.nextHeartbeat = w.now.Add(w.heartbeatInterval)
}

// sendTo sends a message on a stream.
func (w *Worker) sendTo(s StreamID, m *wire.RunReply) { w.emit(Send{s, m}) }

// send sends a message on the stream of a run, if it has one.
func (w *Worker) send(r *run, m *wire.RunReply) {
	if r.stream == 0 {
		return
	}
	r.nextHeartbeat = w.now.Add(w.heartbeatInterval)
	w.emit(Send{r.stream, m})
}

func (w *Worker) grantedReply() *wire.RunReply {
	m := &wire.Granted{Incarnation: w.incarnation}
	return &wire.RunReply{Kind: &wire.RunReply_Granted{Granted: m}, Load: w.Load()}
}

func headReply(r *run) *wire.RunReply {
	return &wire.RunReply{Kind: &wire.RunReply_Head{Head: r.head}}
}

func chunkReply(c chunk) *wire.RunReply {
	d := &wire.Data{Offset: c.offset, Data: c.data, Tokens: c.tokens}
	return &wire.RunReply{Kind: &wire.RunReply_Data{Data: d}}
}

// endReply returns the message that ends a run, or nil if it has not ended.
func (w *Worker) endReply(r *run) *wire.RunReply {
	switch {
	case r.done != nil:
		return &wire.RunReply{Kind: &wire.RunReply_Done{Done: r.done}, Load: w.Load()}
	case r.failure != nil:
		return failReply(w.now, r.failure, w.Load())
	}
	return nil
}

// sendEnd sends the end of a run to its stream and the complete response to its waiters.
func (w *Worker) sendEnd(r *run) {
	w.send(r, w.endReply(r))
	for _, s := range r.waiters {
		w.replayTo(s, r, r.open.Base)
	}
}

// handleAck records what the entry has passed on. It resumes a paused call, closes the
// stream after a complete response, and drops data that is not needed for replay.
func (w *Worker) handleAck(e Acked) {
	r := w.renewStream(e.Stream)
	if r == nil {
		return
	}
	if e.Stream != r.stream {
		w.handleWaiterAck(e, r)
		return
	}
	r.ackedOffset = max(r.ackedOffset, min(e.Offset, r.endOffset))
	if r.paused && r.endOffset-r.ackedOffset <= DefaultWindowBytes/2 {
		r.paused = false
		w.emit(SetCallPaused{r.id, false})
	}
	if r.phase == ended && !r.hasUnacked() {
		s := r.stream
		w.detach(r)
		w.emit(Close{s})
		if w.replayable(r) {
			r.orphaned = true
			return
		}
		w.removeRun(r)
		return
	}
	if !w.replayable(r) {
		r.dropAcked()
	}
}

// replayable reports whether the response is kept for duplicates of the request.
func (w *Worker) replayable(r *run) bool {
	return !r.open.Idempotent && r.endOffset-r.open.Base <= DefaultReplayBytes
}

// dropAcked drops the chunks that the entry has passed on.
func (r *run) dropAcked() {
	n := 0
	for n < len(r.chunks) && r.chunks[n].offset+int64(len(r.chunks[n].data)) <= r.ackedOffset {
		n++
	}
	r.chunks = r.chunks[n:]
}

// hasUnacked reports whether an entry still has to pass on a part of the response.
func (r *run) hasUnacked() bool {
	return !r.orphaned && r.failure == nil && r.ackedOffset < r.endOffset
}

// detach removes the stream of a run. If there is a waiter and the response is kept from its
// start, the stream of the first waiter becomes the stream of the run.
func (w *Worker) detach(r *run) {
	delete(w.streams, r.stream)
	r.stream = 0
	if len(r.waiters) == 0 || !r.keptFromStart() {
		return
	}
	s := r.waiters[0]
	r.waiters = r.waiters[1:]
	w.attach(s, r)
	w.replayTo(s, r, r.open.Base)
}

// handleClosed detaches a stream that has ended. The run stays until its lease expires, so
// that the entry can resume it, unless nothing of it is needed any more.
func (w *Worker) handleClosed(s StreamID) {
	r := w.streams[s]
	switch {
	case r == nil:
		return
	case s != r.stream:
		w.removeWaiter(s, r)
		return
	}
	w.detach(r)
	if r.phase == ended && (r.failure != nil || !r.hasUnacked()) && !w.replayable(r) {
		w.removeRun(r)
	}
}

func (w *Worker) removeWaiter(s StreamID, r *run) {
	delete(w.streams, s)
	r.waiters = slices.DeleteFunc(r.waiters, func(f StreamID) bool { return f == s })
}

// handleWaiterAck closes the stream of a waiter that has the complete response.
func (w *Worker) handleWaiterAck(e Acked, r *run) {
	if r.phase == ended && e.Offset >= r.endOffset {
		w.removeWaiter(e.Stream, r)
		w.emit(Close{e.Stream})
	}
}

// handleStop ends a run whose caller is gone. A started call that isn't idempotent goes
// on, so that its outcome is known.
func (w *Worker) handleStop(s StreamID) {
	r := w.streams[s]
	if r == nil {
		return
	}
	w.emit(Close{s})
	if s != r.stream {
		w.removeWaiter(s, r)
		return
	}
	w.detach(r)
	w.abandon(r, trace.Cancelled)
}

// sendHeartbeat sends a heartbeat with the present load to a run's stream and waiters.
func (w *Worker) sendHeartbeat(r *run) {
	m := &wire.RunReply{Kind: &wire.RunReply_Beat{Beat: &wire.Beat{}}, Load: w.Load()}
	w.send(r, m)
	for _, s := range r.waiters {
		w.sendTo(s, m)
	}
}
