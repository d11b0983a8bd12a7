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
	// beatPeriod is the time between two messages to the agent.
	beatPeriod = time.Second
	// silence is how long a stream may bring nothing before it is replaced.
	silence = 3 * time.Second
	// bodyPart is the size of the parts in which a body is sent, in bytes.
	bodyPart = 32 << 10
)

// run is the worker of one stream to an agent.
type run struct {
	ref     router.RunRef
	vm      string
	address string
	first   *wire.RunRequest
	body    *body
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	queue []*wire.RunRequest
	stop  bool
	wake  chan struct{}
}

func (r *run) put(m *wire.RunRequest) {
	r.mu.Lock()
	r.queue = append(r.queue, m)
	r.mu.Unlock()
	r.signal()
}

func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// end sends what is queued and ends the stream.
func (r *run) end() {
	r.mu.Lock()
	r.stop = true
	r.mu.Unlock()
	r.signal()
}

func (r *run) take() (q []*wire.RunRequest, stop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q = r.queue
	r.queue = nil
	return q, r.stop
}

// startRun opens a stream. The lock is held.
func (e *Edge) startRun(ref router.RunRef, vm string, first *wire.RunRequest) {
	v, ok := e.list.VM(vm)
	if !ok {
		e.later(router.RunLost{Ref: ref})
		return
	}
	if old := e.runs[ref]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	r := &run{
		ref:     ref,
		vm:      vm,
		address: v.Address,
		first:   first,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
	}
	if s := e.sinks[ref.ID]; s != nil {
		r.body = s.body
	}
	e.runs[ref] = r
	e.tasks.Go(func() {
		defer cancel()
		if lost := e.serve(ctx, r); lost != nil {
			e.step(*lost)
		}
		e.endRun(r)
	})
}

func (e *Edge) endRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.ref] == r {
		delete(e.runs, r.ref)
	}
}

// serve carries one stream. It returns the event that tells its loss, or nil when the
// stream has come to its end.
func (e *Edge) serve(ctx context.Context, r *run) *router.RunLost {
	c, release, err := e.pool.Get(ctx, r.address)
	if err != nil {
		return &router.RunLost{Ref: r.ref}
	}
	fit := false
	defer func() { release(fit) }()
	s, err := wire.NewDRPCAgentClient(c).Run(ctx)
	if err != nil {
		return &router.RunLost{Ref: r.ref}
	}
	if err := s.Send(r.first); err != nil {
		return &router.RunLost{Ref: r.ref, Sent: true}
	}
	ended := make(chan bool, 1)
	heard := make(chan struct{}, 1)
	go func() { ended <- e.receive(s, r, heard) }()
	if !e.pump(ctx, s, r, ended, heard) {
		return &router.RunLost{Ref: r.ref, Sent: true}
	}
	fit = true
	return nil
}

// receive passes replies on until the stream ends. It reports whether a reply told the
// end of the run.
func (e *Edge) receive(s wire.DRPCAgent_RunClient, r *run, heard chan<- struct{}) bool {
	final := false
	for {
		m, err := s.Recv()
		if err != nil {
			return final
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		final = final || e.reply(r, m)
	}
}

// reply turns a reply into events. It reports whether the run has ended.
func (e *Edge) reply(r *run, m *wire.RunReply) bool {
	if m.Load != nil {
		e.step(router.LoadReported{VM: r.vm, Load: m.Load})
	}
	switch k := m.Kind.(type) {
	case *wire.RunReply_Granted:
		e.tasks.Go(func() { r.sendBody(r.ctx) })
		e.step(router.RunGranted{Ref: r.ref, Incarnation: k.Granted.Incarnation})
	case *wire.RunReply_Head:
		e.step(router.RunHead{Ref: r.ref, Head: k.Head})
	case *wire.RunReply_Data:
		e.step(router.RunData{Ref: r.ref, Data: k.Data})
	case *wire.RunReply_Done:
		e.step(router.RunDone{Ref: r.ref, Done: k.Done})
		return true
	case *wire.RunReply_Fail:
		e.step(router.RunFailed{Ref: r.ref, Err: failure(k.Fail)})
		return true
	}
	return false
}

func failure(f *wire.Fail) *fault.Error {
	e := &fault.Error{Code: fault.Code(f.Code), Text: f.Text, Ran: f.Ran}
	if f.RetryAfterMicros > 0 {
		e.Again = time.Now().Add(time.Duration(f.RetryAfterMicros) * time.Microsecond)
	}
	return e
}

// sendBody queues the request's body as it comes. A run that is resumed was sent it
// before.
func (r *run) sendBody(ctx context.Context) {
	if r.body == nil || r.first.GetOpen().GetStage() != wire.Stage_STAGE_PLAIN {
		return
	}
	for from := 0; ; {
		part, last, ok := r.body.next(ctx, from)
		if !ok {
			return
		}
		from += len(part)
		r.put(&wire.RunRequest{Kind: &wire.RunRequest_Body{Body: &wire.Body{Data: part, End: last}}})
		if last {
			return
		}
	}
}

// pump sends queued messages and heartbeats until the stream ends. It returns false
// when the stream fell silent or broke.
func (e *Edge) pump(ctx context.Context, s wire.DRPCAgent_RunClient, r *run, ended <-chan bool, heard <-chan struct{}) bool {
	beat := time.NewTicker(beatPeriod)
	defer beat.Stop()
	quiet := time.NewTimer(silence)
	defer quiet.Stop()
	for {
		q, stop := r.take()
		for _, m := range q {
			if err := s.Send(m); err != nil {
				return <-ended
			}
		}
		if stop {
			_ = s.CloseSend()
			return true
		}
		select {
		case <-r.wake:
		case <-heard:
			quiet.Reset(silence)
		case final := <-ended:
			return final
		case <-beat.C:
			if err := s.Send(&wire.RunRequest{Kind: &wire.RunRequest_Beat{Beat: &wire.Beat{}}}); err != nil {
				return <-ended
			}
		case <-quiet.C:
			return false
		case <-ctx.Done():
			return true
		}
	}
}
