package edge

import (
	"context"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/wire"
)

const (
	// heartbeatPeriod is the time between two heartbeats to the agent.
	heartbeatPeriod = time.Second
	// receiveTimeout is how long a stream may receive nothing before it counts as lost.
	receiveTimeout = 3 * time.Second
)

// runStream is a dRPC stream to an agent that carries one run, an attempt to execute a
// stage of a request. A request to a model has two stages, prefill and decode, and a
// request to a plain service has one. The first message opens the run or resumes it.
type runStream struct {
	ref          router.RunRef
	vm           string
	address      string
	firstMessage *wire.RunRequest
	body         *requestBody
	ctx          context.Context
	cancel       context.CancelFunc

	mu    sync.Mutex
	queue []*wire.RunRequest
	// stopping is true if the stream ends once queue is sent.
	stopping bool
	// wake has a value if queue or stopping may have changed.
	wake chan struct{}
}

// enqueue queues a message to the agent.
func (r *runStream) enqueue(m *wire.RunRequest) {
	r.mu.Lock()
	r.queue = append(r.queue, m)
	r.mu.Unlock()
	r.signal()
}

// signal wakes sendLoop.
func (r *runStream) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// stopAfterQueue makes sendLoop send the queued messages and end the stream.
func (r *runStream) stopAfterQueue() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.signal()
}

// takeQueue empties the queue and returns its messages, and whether to stop after them.
func (r *runStream) takeQueue() (q []*wire.RunRequest, stop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q = r.queue
	r.queue = nil
	return q, r.stopping
}

// openStream opens a stream for a run, in another goroutine, and cancels the stream that
// the run had before. e.mu must be held.
func (e *Edge) openStream(ref router.RunRef, vm string, first *wire.RunRequest) {
	v, ok := e.vms.VM(vm)
	if !ok {
		e.stepAsync(router.RunLost{Ref: ref})
		return
	}
	if old := e.streams[ref]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	r := &runStream{
		ref:          ref,
		vm:           vm,
		address:      v.Address,
		firstMessage: first,
		ctx:          ctx,
		cancel:       cancel,
		wake:         make(chan struct{}, 1),
	}
	if s := e.queues[ref.ID]; s != nil {
		r.body = s.body
	}
	e.streams[ref] = r
	e.tasks.Go(func() {
		defer cancel()
		if lost := e.connectAndRun(ctx, r); lost != nil {
			e.step(*lost)
		}
		e.removeStream(r)
	})
}

// removeStream forgets a stream, unless another one has replaced it.
func (e *Edge) removeStream(r *runStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[r.ref] == r {
		delete(e.streams, r.ref)
	}
}

// connectAndRun connects to the agent as a client and exchanges the messages of a run until
// its stream ends. It returns a router.RunLost event if the stream was lost, or nil if it
// ended normally.
func (e *Edge) connectAndRun(ctx context.Context, r *runStream) *router.RunLost {
	c, release, err := e.pool.Get(ctx, r.address)
	if err != nil {
		return &router.RunLost{Ref: r.ref}
	}
	reusable := false
	defer func() { release(reusable) }()
	s, err := wire.NewDRPCAgentClient(c).Run(ctx)
	if err != nil {
		return &router.RunLost{Ref: r.ref}
	}
	if err := s.Send(r.firstMessage); err != nil {
		return &router.RunLost{Ref: r.ref, Sent: true}
	}
	receiveResult := make(chan bool, 1)
	replySignal := make(chan struct{}, 1)
	go func() { receiveResult <- e.receive(s, r, replySignal) }()
	if !e.sendLoop(ctx, s, r, receiveResult, replySignal) {
		return &router.RunLost{Ref: r.ref, Sent: true}
	}
	reusable = true
	return nil
}

// receive handles replies until the stream ends. It reports whether the run finished, that
// is, whether a reply was Done or Fail. For each reply, it sends to the channel replySignal
// without blocking.
func (e *Edge) receive(s wire.DRPCAgent_RunClient, r *runStream, replySignal chan<- struct{}) bool {
	finished := false
	for {
		m, err := s.Recv()
		if err != nil {
			return finished
		}
		select {
		case replySignal <- struct{}{}:
		default:
		}
		finished = finished || e.handleReply(r, m)
	}
}

// handleReply converts a reply into router events. It reports whether the reply finishes
// the run.
func (e *Edge) handleReply(r *runStream, m *wire.RunReply) bool {
	if m.Load != nil {
		e.step(router.LoadReported{VM: r.vm, Load: m.Load})
	}
	switch k := m.Kind.(type) {
	case *wire.RunReply_Granted:
		e.tasks.Go(func() { r.queueBody(r.ctx) })
		e.step(router.RunGranted{Ref: r.ref, Incarnation: k.Granted.Incarnation})
	case *wire.RunReply_Head:
		e.step(router.RunHead{Ref: r.ref, Head: k.Head})
	case *wire.RunReply_Data:
		e.step(router.RunData{Ref: r.ref, Data: k.Data})
	case *wire.RunReply_Done:
		e.step(router.RunDone{Ref: r.ref, Done: k.Done})
		return true
	case *wire.RunReply_Fail:
		e.step(router.RunFailed{Ref: r.ref, Err: newFault(k.Fail)})
		return true
	}
	return false
}

// newFault converts the failure that an agent reported.
func newFault(f *wire.Fail) *fault.Error {
	e := &fault.Error{Code: fault.Code(f.Code), Text: f.Text, Ran: f.Ran}
	if f.RetryAfterMicros > 0 {
		e.RetryAt = time.Now().Add(time.Duration(f.RetryAfterMicros) * time.Microsecond)
	}
	return e
}

// queueBody queues the request's body for sendLoop, in chunks, as it arrives. It is called
// once the agent has granted the run. It does nothing for a resumed run, which was sent the
// body on its earlier stream, and for a run at a model engine, which gets no body.
func (r *runStream) queueBody(ctx context.Context) {
	if r.body == nil || r.firstMessage.GetOpen().GetStage() != wire.Stage_STAGE_PLAIN {
		return
	}
	for offset := 0; ; {
		chunk, last, ok := r.body.nextChunk(ctx, offset)
		if !ok {
			return
		}
		offset += len(chunk)
		r.enqueue(&wire.RunRequest{Kind: &wire.RunRequest_Body{Body: &wire.Body{Data: chunk, End: last}}})
		if last {
			return
		}
	}
}

// sendLoop sends queued messages and heartbeats until the stream ends. It returns true if
// the run finished, the stream was stopped by stopAfterQueue or the context ended, and false
// if the stream broke before the run finished or received nothing for receiveTimeout. The
// channel receiveResult gets the result of receive, and replySignal a value for each reply.
func (e *Edge) sendLoop(ctx context.Context, s wire.DRPCAgent_RunClient, r *runStream, receiveResult <-chan bool, replySignal <-chan struct{}) bool {
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	silenceTimer := time.NewTimer(receiveTimeout)
	defer silenceTimer.Stop()
	for {
		q, stop := r.takeQueue()
		for _, m := range q {
			if err := s.Send(m); err != nil {
				return <-receiveResult
			}
		}
		if stop {
			_ = s.CloseSend()
			return true
		}
		select {
		case <-r.wake:
		case <-replySignal:
			silenceTimer.Reset(receiveTimeout)
		case finished := <-receiveResult:
			return finished
		case <-heartbeat.C:
			if err := s.Send(&wire.RunRequest{Kind: &wire.RunRequest_Beat{Beat: &wire.Beat{}}}); err != nil {
				return <-receiveResult
			}
		case <-silenceTimer.C:
			return false
		case <-ctx.Done():
			return true
		}
	}
}
