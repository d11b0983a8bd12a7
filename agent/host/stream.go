package host

import (
	"context"
	"io"
	"sync"

	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

// outbox queues the messages of one stream. What it holds is bounded by the window of
// the stream's run.
type outbox struct {
	mu     sync.Mutex
	queue  []*wire.RunReply
	closed bool
	wake   chan struct{}
	body   *body
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1), body: newBody()}
}

func (o *outbox) put(m *wire.RunReply) {
	o.mu.Lock()
	o.queue = append(o.queue, m)
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() (q []*wire.RunReply, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q = o.queue
	o.queue = nil
	return q, o.closed
}

// send writes queued messages until the outbox is closed or the stream ends.
func (o *outbox) send(ctx context.Context, s wire.DRPCAgent_RunStream) error {
	for {
		q, closed := o.take()
		for _, m := range q {
			if err := s.Send(m); err != nil {
				return err
			}
		}
		if closed && len(q) == 0 {
			return nil
		}
		if closed {
			continue
		}
		select {
		case <-o.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// body buffers a request's body between its stream and the call. The entry bounds its
// size by the route's max-body.
type body struct {
	mu   sync.Mutex
	cond *sync.Cond
	data []byte
	end  bool
	// broken is true when the stream ended before the body.
	broken bool
}

func newBody() *body {
	b := &body{}
	b.cond = sync.NewCond(&b.mu)
	return b
}

func (b *body) add(m *wire.Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, m.Data...)
	b.end = b.end || m.End
	b.cond.Broadcast()
}

// breakOff ends a body whose stream is gone.
func (b *body) breakOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = !b.end
	b.cond.Broadcast()
}

// Close ends the body.
func (b *body) Close() error {
	b.add(&wire.Body{End: true})
	return nil
}

// Read waits for data and returns io.EOF after the end, and io.ErrUnexpectedEOF if
// the end never comes.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) == 0 && !b.end && !b.broken {
		b.cond.Wait()
	}
	if len(b.data) == 0 && b.broken {
		return 0, io.ErrUnexpectedEOF
	}
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Run serves one stream of an entry.
func (h *Host) Run(s wire.DRPCAgent_RunStream) error {
	id, o := h.addStream()
	defer h.dropStream(id)
	defer o.body.breakOff()
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			h.received(id, o, m)
		}
	}()
	return o.send(ctx, s)
}

func (h *Host) received(id worker.StreamID, o *outbox, m *wire.RunRequest) {
	switch k := m.Kind.(type) {
	case *wire.RunRequest_Open:
		h.step(worker.Opened{Stream: id, Open: k.Open})
	case *wire.RunRequest_Resume:
		h.step(worker.Resumed{Stream: id, Resume: k.Resume})
	case *wire.RunRequest_Feed:
		h.step(worker.FeedReceived{Stream: id, Feed: k.Feed})
	case *wire.RunRequest_Body:
		o.body.add(k.Body)
		h.step(worker.Heartbeat{Stream: id})
	case *wire.RunRequest_Ack:
		h.step(worker.Acked{Stream: id, Offset: k.Ack.Offset})
	case *wire.RunRequest_Beat:
		h.step(worker.Heartbeat{Stream: id})
	case *wire.RunRequest_Stop:
		h.step(worker.StopReceived{Stream: id})
	}
}
