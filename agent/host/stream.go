package host

import (
	"context"
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
	// opened is the memory that was taken for the run, without its body. Only the receiver of the stream uses it.
	opened int64
}

func newOutbox(m *memory) *outbox {
	return &outbox{changed: make(chan struct{}, 1), body: newBody(m)}
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
		defer func() {
			if o.opened > 0 {
				h.memory.close(o.opened)
			}
		}()
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
		if !h.takeMemory(o, k.Open) {
			h.metrics.noMemory.Inc()
			o.put(noMemoryReply())
			o.close()
			return
		}
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

// takeMemory takes the memory for a run and its body. It returns false if there is none.
func (h *Host) takeMemory(o *outbox, m *wire.Open) bool {
	total, body := openBytes(m)
	if o.opened > 0 {
		// Only the first message opens a run.
		return true
	}
	if !h.memory.open(total) {
		return false
	}
	o.opened = total - body
	o.body.reserve(body)
	return true
}
