package worker

import (
	"slices"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/trace"
	"cranberrypoint.example/coord/wire"
)

// attachAgain answers a repeated Open with the answer of the first. While another
// stream carries that, the repetition follows.
func (w *Worker) attachAgain(s StreamID, r *run, o *wire.Open) {
	if r.open.Digest != o.Digest {
		w.refuse(s, fault.NotRun(fault.Duplicate, "request %s came with other content", r.id.Request))
		return
	}
	if !r.whole() {
		err := fault.NotRun(fault.Duplicate, "request %s already ran; its answer is gone", r.id.Request)
		w.refuse(s, err.WithRan(r.ran()))
		return
	}
	if r.stream != 0 && r.phase != ended && !o.Idempotent {
		r.followers = append(r.followers, s)
		w.streams[s] = r
		w.sendTo(s, w.grantedReply())
		return
	}
	w.attach(s, r)
	w.replayTo(s, r, o.Base)
}

// whole reports whether the answer is still kept from its beginning.
func (r *run) whole() bool {
	if len(r.tail) == 0 {
		return r.end == r.open.Base
	}
	return r.tail[0].offset == r.open.Base
}

func (w *Worker) attach(s StreamID, r *run) {
	if r.stream != 0 {
		delete(w.streams, r.stream)
		w.emit(Close{r.stream})
	}
	r.stream = s
	r.stopped = false
	w.streams[s] = r
	w.renew(r)
}

func (w *Worker) renew(r *run) {
	r.lease = w.now.Add(w.lease)
}

func (w *Worker) touch(s StreamID) *run {
	r := w.streams[s]
	if r != nil {
		w.renew(r)
	}
	return r
}

func (w *Worker) reopened(e Resumed) {
	id := RunID{e.Resume.Request, e.Resume.Attempt, e.Resume.Stage}
	r := w.existing(id, &wire.Open{})
	if r == nil {
		err := fault.NotRun(fault.Unclear, "run %s is not known here", id)
		w.refuse(e.Stream, err.WithRan(wire.Ran_RAN_UNKNOWN))
		return
	}
	w.attach(e.Stream, r)
	w.trace(trace.Resumed, r, "")
	w.replayTo(e.Stream, r, e.Resume.Offset)
}

// replayTo sends all that a stream's entry has not passed on.
func (w *Worker) replayTo(s StreamID, r *run, offset int64) {
	if r.phase != queued {
		w.sendTo(s, w.grantedReply())
	}
	if r.head != nil {
		w.sendTo(s, headReply(r))
	}
	for _, c := range r.tail {
		if c.offset >= offset {
			w.sendTo(s, chunkReply(c))
		}
	}
	if m := w.endReply(r); m != nil {
		w.sendTo(s, m)
	}
	r.nextBeat = w.now.Add(w.beat)
}

func (w *Worker) sendTo(s StreamID, m *wire.RunReply) { w.emit(Send{s, m}) }

func (w *Worker) send(r *run, m *wire.RunReply) {
	if r.stream == 0 {
		return
	}
	r.nextBeat = w.now.Add(w.beat)
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

// endReply returns the message that ends a run, or nil while it has not ended.
func (w *Worker) endReply(r *run) *wire.RunReply {
	switch {
	case r.done != nil:
		return &wire.RunReply{Kind: &wire.RunReply_Done{Done: r.done}, Load: w.Load()}
	case r.fail != nil:
		return failReply(w.now, r.fail, w.Load())
	}
	return nil
}

// sendEnd tells the end of a run, and the whole answer to those that followed it.
func (w *Worker) sendEnd(r *run) {
	w.send(r, w.endReply(r))
	for _, s := range r.followers {
		w.replayTo(s, r, r.open.Base)
	}
}

func (w *Worker) ackedTo(e Acked) {
	r := w.touch(e.Stream)
	if r == nil {
		return
	}
	if e.Stream != r.stream {
		w.ackedByFollower(e, r)
		return
	}
	r.acked = max(r.acked, min(e.Offset, r.end))
	if r.paused && r.end-r.acked <= DefaultWindowBytes/2 {
		r.paused = false
		w.emit(Throttle{r.id, false})
	}
	if r.phase == ended && !r.unread() {
		s := r.stream
		w.detach(r)
		w.emit(Close{s})
		if w.replayable(r) {
			r.stopped = true
			return
		}
		w.forget(r)
		return
	}
	if !w.replayable(r) {
		r.dropAcked()
	}
}

// replayable reports whether the answer is kept for a repeated request.
func (w *Worker) replayable(r *run) bool {
	return !r.open.Idempotent && r.end-r.open.Base <= DefaultReplayBytes
}

func (r *run) dropAcked() {
	n := 0
	for n < len(r.tail) && r.tail[n].offset+int64(len(r.tail[n].data)) <= r.acked {
		n++
	}
	r.tail = r.tail[n:]
}

// unread reports whether the entry has not yet passed on the whole answer.
func (r *run) unread() bool {
	return !r.stopped && r.fail == nil && r.acked < r.end
}

// detach takes a run's stream away. The first follower takes its place.
func (w *Worker) detach(r *run) {
	delete(w.streams, r.stream)
	r.stream = 0
	if len(r.followers) == 0 || !r.whole() {
		return
	}
	s := r.followers[0]
	r.followers = r.followers[1:]
	w.attach(s, r)
	w.replayTo(s, r, r.open.Base)
}

func (w *Worker) closed(s StreamID) {
	r := w.streams[s]
	switch {
	case r == nil:
		return
	case s != r.stream:
		w.unfollow(s, r)
		return
	}
	w.detach(r)
	if r.phase == ended && (r.fail != nil || !r.unread()) && !w.replayable(r) {
		w.forget(r)
	}
}

func (w *Worker) unfollow(s StreamID, r *run) {
	delete(w.streams, s)
	r.followers = slices.DeleteFunc(r.followers, func(f StreamID) bool { return f == s })
}

func (w *Worker) ackedByFollower(e Acked, r *run) {
	if r.phase == ended && e.Offset >= r.end {
		w.unfollow(e.Stream, r)
		w.emit(Close{e.Stream})
	}
}

// stop ends a run whose caller is gone. A call that isn't idempotent and has
// started goes on, so that its outcome is known.
func (w *Worker) stop(s StreamID) {
	r := w.streams[s]
	if r == nil {
		return
	}
	w.emit(Close{s})
	if s != r.stream {
		w.unfollow(s, r)
		return
	}
	w.detach(r)
	w.abandon(r, trace.Cancelled)
}

func (w *Worker) sendBeat(r *run) {
	m := &wire.RunReply{Kind: &wire.RunReply_Beat{Beat: &wire.Beat{}}, Load: w.Load()}
	w.send(r, m)
	for _, s := range r.followers {
		w.sendTo(s, m)
	}
}
