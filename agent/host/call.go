package host

import (
	"context"
	"errors"
	"net"
	"sync"

	"cranberrypoint.example/agent/engine"
	"cranberrypoint.example/agent/plain"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
)

// call is one call to the upstream in progress.
type call struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	cond   *sync.Cond
	paused bool
}

func newCall(cancel context.CancelFunc) *call {
	c := &call{cancel: cancel}
	c.cond = sync.NewCond(&c.mu)
	return c
}

func (c *call) throttle(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = on
	c.cond.Broadcast()
}

// wait blocks while the call is throttled.
func (c *call) wait(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.paused && ctx.Err() == nil {
		c.cond.Wait()
	}
	return ctx.Err()
}

func (c *call) abort() {
	c.cancel()
	c.throttle(false)
}

// startCall begins a call. The lock is held.
func (h *Host) startCall(x worker.StartCall) {
	ctx, cancel := context.WithDeadline(h.ctx, x.Deadline)
	c := newCall(cancel)
	h.calls[x.Run] = c
	context.AfterFunc(ctx, func() { c.throttle(false) })
	b := h.bodyOf(x.Run)
	h.tasks.Go(func() {
		defer h.endCall(x.Run, c)
		h.call(ctx, c, x, b)
	})
}

func (h *Host) endCall(id worker.RunID, c *call) {
	c.cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls[id] == c {
		delete(h.calls, id)
	}
}

func (h *Host) call(ctx context.Context, c *call, x worker.StartCall, b *body) {
	var d *wire.Done
	var err *fault.Error
	switch x.Run.Stage {
	case wire.Stage_STAGE_PREFILL:
		d, err = h.prefill(ctx, x)
	case wire.Stage_STAGE_DECODE:
		d, err = h.decode(ctx, c, x)
	default:
		d, err = h.plain(ctx, c, x, b)
	}
	if err != nil {
		h.step(worker.CallFailed{Run: x.Run, Err: err})
		return
	}
	h.step(worker.CallDone{Run: x.Run, Done: d})
}

func (h *Host) prefill(ctx context.Context, x worker.StartCall) (*wire.Done, *fault.Error) {
	p, err := h.engine.Prefill(ctx, engine.Prefill{
		Request:  x.Run.String(),
		Model:    x.Open.Model,
		Prompt:   string(x.Open.Prompt),
		SkipTokens:     x.Open.SkipTokens,
		Priority: priority(x.Open),
	})
	if err != nil {
		return nil, engineError(err)
	}
	return &wire.Done{Handle: p.Handle, Source: h.engine.Base(), PromptTokens: p.PromptTokens, CachedTokens: p.CachedTokens}, nil
}

// Priorities of engine requests; a larger one goes first.
const (
	batchPriority       = 0
	interactivePriority = 1
)

func priority(o *wire.Open) int {
	if o.Batch {
		return batchPriority
	}
	return interactivePriority
}

func (h *Host) decode(ctx context.Context, c *call, x worker.StartCall) (*wire.Done, *fault.Error) {
	name := x.Run.String()
	err := h.engine.Import(ctx, engine.Import{Request: name, Source: x.Feed.GetSource(), Handle: x.Feed.GetHandle()})
	if err != nil {
		return nil, engineError(err)
	}
	n := int64(0)
	err = h.engine.Decode(ctx, engine.Decode{
		Request:   name,
		Model:     x.Open.Model,
		Prompt:    string(x.Open.Prompt),
		MaxTokens: x.Open.MaxTokens,
		SkipTokens:      x.Open.SkipTokens,
		Priority:  priority(x.Open),
	}, func(t string) error {
		n++
		h.step(worker.CallData{Run: x.Run, Data: []byte(t), Tokens: 1})
		return c.wait(ctx)
	})
	if err != nil {
		return nil, engineError(err)
	}
	return &wire.Done{OutputTokens: n}, nil
}

func engineError(err error) *fault.Error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return fault.NotRun(fault.Unreachable, "the engine refused the connection")
	}
	var s *engine.StatusError
	if errors.As(err, &s) {
		return fault.NotRun(fault.UpstreamError, "%s", s.Text)
	}
	return fault.NotRun(fault.UpstreamError, "the engine gave no whole answer").WithRan(wire.Ran_RAN_UNKNOWN)
}

func (h *Host) plain(ctx context.Context, c *call, x worker.StartCall, b *body) (*wire.Done, *fault.Error) {
	t, err := h.service.Call(ctx, x.Open, b, plain.Sink{
		Head: func(m *wire.Head) { h.step(worker.CallHead{Run: x.Run, Head: m}) },
		Data: func(p []byte) error {
			h.step(worker.CallData{Run: x.Run, Data: p})
			return c.wait(ctx)
		},
	})
	if err != nil {
		return nil, err
	}
	return &wire.Done{Trailers: t}, nil
}
