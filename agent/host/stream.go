package host

import (
	"context"
	"io"
	"sync"

	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

// outbox queues the messages to be sent on one stream, so that the sender of a message never
// blocks. It has no limit of its own: it stays small because the worker pauses the run's call
// while too many bytes of the response are unacknowledged.
type outbox struct {
	mu     sync.Mutex
	queue  []*wire.RunReply
	closed bool
	// changed gets a value after queue or closed changed.
	changed chan struct{}
	// body is the request body that arrives on the same stream.
	body *body
}

func newOutbox() *outbox {
	return &outbox{changed: make(chan struct{}, 1), body: newBody()}
}

func (o *outbox) put(m *wire.RunReply) {
	o.mu.Lock()
	o.queue = append(o.queue, m)
	o.mu.Unlock()
	o.signal()
}

// close lets send return once the queued messages are sent.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

// signal wakes send.
func (o *outbox) signal() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// take removes and returns all queued messages.
func (o *outbox) take() (q []*wire.RunReply, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q = o.queue
	o.queue = nil
	return q, o.closed
}

// send sends messages on s until the outbox is closed and empty, sending fails or ctx ends.
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
		case <-o.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// body buffers a request body between the stream from the entry and the call to the upstream.
// The entry limits its size by the max-body setting of the route.
type body struct {
	mu   sync.Mutex
	cond *sync.Cond
	data []byte
	// complete is true once all of the body has arrived or Close was called.
	complete bool
	// truncated is true if the stream ended before the body was complete.
	truncated bool
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
	b.complete = b.complete || m.End
	b.cond.Broadcast()
}

// streamEnded marks the body as truncated unless it is complete.
func (b *body) streamEnded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.truncated = !b.complete
	b.cond.Broadcast()
}

// Close marks the body as complete, even if parts of it have not arrived: a waiting Read
// returns, and no Read waits any more. The upstream client calls it when it needs no more of
// the body, and bodyOfRun to make an empty body. It never fails.
func (b *body) Close() error {
	b.add(&wire.Body{End: true})
	return nil
}

// Read waits for data. After the last byte it returns io.EOF, or io.ErrUnexpectedEOF if the
// body is truncated.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) == 0 && !b.complete && !b.truncated {
		b.cond.Wait()
	}
	if len(b.data) == 0 && b.truncated {
		return 0, io.ErrUnexpectedEOF
	}
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Run serves one stream from an entry, which carries the messages of one run.
func (h *Host) Run(s wire.DRPCAgent_RunStream) error {
	id, o := h.addStream()
	defer h.removeStream(id)
	defer o.body.streamEnded()
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	go func() {
		// When no more messages can arrive, sending ends too.
		defer cancel()
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			h.handleMessage(id, o, m)
		}
	}()
	return o.send(ctx, s)
}

// handleMessage passes a message from an entry to the worker. A part of the request body goes
// to the stream's buffer instead; the worker gets a Heartbeat for it, as any message from the
// entry renews the run's lease.
func (h *Host) handleMessage(id worker.StreamID, o *outbox, m *wire.RunRequest) {
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
