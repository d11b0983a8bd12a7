package host

import (
	"context"
	"time"

	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

func (h *Host) addStream() (worker.StreamID, *outbox) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastID++
	id := worker.StreamID(h.lastID)
	o := newOutbox()
	h.streams[id] = o
	return id, o
}

func (h *Host) dropStream(id worker.StreamID) {
	h.step(worker.Closed{Stream: id})
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, id)
}

// bodyOf returns the body of the stream that a run belongs to. The lock is held.
func (h *Host) bodyOf(id worker.RunID) *body {
	if o := h.streams[h.worker.StreamOf(id)]; o != nil {
		return o.body
	}
	b := newBody()
	_ = b.Close()
	return b
}

// Cancel answers an entry that asks whether a request ran.
func (h *Host) Cancel(ctx context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	c := make(chan wire.Ran, 1)
	h.mu.Lock()
	h.lastID++
	ask := h.lastID
	h.answers[ask] = c
	h.mu.Unlock()
	opened := time.Now().Add(-time.Duration(q.AgeMicros) * time.Microsecond)
	h.step(worker.CancelRequested{CancelID: ask, Request: q.Request, Attempt: q.Attempt, FirstSent: opened})
	select {
	case r := <-c:
		return &wire.CancelReply{Ran: r}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reserve takes tokens from the shares that this agent holds.
func (h *Host) Reserve(_ context.Context, q *wire.ReserveRequest) (*wire.ReserveReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.holder.Reserve(time.Now(), q.Request, q.Workspace, q.Tokens, q.Partial)
	h.metrics.reserved.Add(float64(a.Granted))
	return &wire.ReserveReply{
		Granted:    a.Granted,
		Balance:    a.Balance,
		WaitMicros: a.Wait.Microseconds(),
		Holder:     a.IsHolder,
	}, nil
}

// Settle gives back the unused part of a reservation.
func (h *Host) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	back := h.holder.Settle(time.Now(), q.Request, q.Workspace, q.Used)
	h.metrics.returned.Add(float64(back))
	return &wire.SettleReply{Returned: back}, nil
}
