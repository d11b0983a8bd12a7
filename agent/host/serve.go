package host

import (
	"context"
	"time"

	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

// addStream registers a new stream from an entry.
func (h *Host) addStream() (worker.StreamID, *outbox) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastID++
	id := worker.StreamID(h.lastID)
	o := newOutbox(h.memory)
	h.outboxes[id] = o
	return id, o
}

// removeStream tells the worker that a stream ended and removes it.
func (h *Host) removeStream(id worker.StreamID) {
	h.step(worker.Closed{Stream: id})
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.outboxes, id)
}

// bodyOfRun returns the request body that arrives on the stream that a run is attached to, or
// an empty body if there is none. The caller holds h.mu.
func (h *Host) bodyOfRun(id worker.RunID) *body {
	if o := h.outboxes[h.worker.StreamOf(id)]; o != nil {
		return o.body
	}
	b := newBody(h.memory)
	_ = b.Close()
	return b
}

// Cancel cancels the attempts of a request up to q.Attempt, except those that have started and
// aren't idempotent, and reports whether the request ran.
func (h *Host) Cancel(ctx context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	c := make(chan wire.Ran, 1)
	h.mu.Lock()
	h.lastID++
	id := h.lastID
	h.cancelReplies[id] = c
	h.mu.Unlock()
	firstSent := time.Now().Add(-time.Duration(q.AgeMicros) * time.Microsecond)
	h.step(worker.CancelRequested{CancelID: id, Request: q.Request, Attempt: q.Attempt, FirstSent: firstSent})
	select {
	case r := <-c:
		return &wire.CancelReply{Ran: r}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reserve takes tokens from this data centre's share of a workspace's rate limit, provided that
// this agent is the holder of the share. Each data centre has one share of each limit, and one
// agent there, the holder, grants tokens from it.
func (h *Host) Reserve(_ context.Context, q *wire.ReserveRequest) (*wire.ReserveReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.quotaHolder.Reserve(time.Now(), q.Request, q.Workspace, q.Tokens, q.Partial)
	h.metrics.tokensReserved.Add(float64(a.Granted))
	return &wire.ReserveReply{
		Granted:    a.Granted,
		Balance:    a.Balance,
		WaitMicros: a.Wait.Microseconds(),
		Holder:     a.IsHolder,
	}, nil
}

// Settle returns the unused tokens of a reservation to this agent's share of the workspace's
// limit.
func (h *Host) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := h.quotaHolder.Settle(time.Now(), q.Request, q.Workspace, q.Used)
	h.metrics.tokensReturned.Add(float64(returned))
	return &wire.SettleReply{Returned: returned}, nil
}
