package host

import (
	"context"
	"errors"
	"net"
	"net/url"
	"sync"
	"time"

	"cranberrypoint.example/agent/engine"
	"cranberrypoint.example/agent/plain"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/coord/worker"
	"github.com/sirupsen/logrus"
)

// call controls a call to the upstream that is in progress: it can be paused and aborted.
type call struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	// cond signals changes of paused and the end of the call's context.
	cond *sync.Cond
	// paused is true while the upstream's response must not be read because too much of it
	// is not yet acknowledged by the entry.
	paused bool
}

func newCall(cancel context.CancelFunc) *call {
	c := &call{cancel: cancel}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// setPaused pauses or resumes reading the response, and wakes waitWhilePaused.
func (c *call) setPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
	c.cond.Broadcast()
}

// waitWhilePaused blocks until the call is resumed or ctx ends. It returns ctx's error.
func (c *call) waitWhilePaused(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.paused && ctx.Err() == nil {
		c.cond.Wait()
	}
	return ctx.Err()
}

// abort cancels the call and wakes it if it is paused.
func (c *call) abort() {
	c.cancel()
	c.setPaused(false)
}

// startCall starts the call to the upstream for a run. The caller holds h.mu.
func (h *Host) startCall(x worker.StartCall) {
	ctx, cancel := context.WithDeadline(h.ctx, x.Deadline)
	c := newCall(cancel)
	h.calls[x.Run] = c
	// Wakes waitWhilePaused when ctx ends.
	context.AfterFunc(ctx, func() { c.setPaused(false) })
	b := h.bodyOfRun(x.Run)
	h.tasks.Go(func() {
		defer h.endCall(x.Run, c)
		h.runStage(ctx, c, x, b)
	})
}

// endCall removes a call that returned, unless the run already has another one.
func (h *Host) endCall(id worker.RunID, c *call) {
	c.cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls[id] == c {
		delete(h.calls, id)
	}
}

// runStage calls the upstream for the stage of a run and reports the outcome to the worker.
func (h *Host) runStage(ctx context.Context, c *call, x worker.StartCall, b *body) {
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

// prefill computes the KV cache of a prompt. The engine that runs the decode stage imports it
// by the Source and Handle of the result.
func (h *Host) prefill(ctx context.Context, x worker.StartCall) (*wire.Done, *fault.Error) {
	p, err := h.engine.Prefill(ctx, engine.Prefill{
		Request:    x.Run.String(),
		Model:      x.Open.Model,
		SkipTokens: x.Open.SkipTokens,
		Priority:   priority(x.Open),
	}, x.Open.Prompt)
	if err != nil {
		return nil, h.engineError(ctx, x.Run.Request, err)
	}
	return &wire.Done{Handle: p.Handle, Source: h.engine.Base(), PromptTokens: p.PromptTokens, CachedTokens: p.CachedTokens}, nil
}

// Priorities of engine requests; a larger number is served first.
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

// decode imports the KV cache that the run's Feed message names and generates the response.
func (h *Host) decode(ctx context.Context, c *call, x worker.StartCall) (*wire.Done, *fault.Error) {
	name := x.Run.String()
	err := h.engine.Import(ctx, engine.Import{Request: name, Source: x.Feed.GetSource(), Handle: x.Feed.GetHandle()})
	if err != nil {
		return nil, h.engineError(ctx, x.Run.Request, err)
	}
	n := int64(0)
	err = h.engine.Decode(ctx, engine.Decode{
		Request:    name,
		Model:      x.Open.Model,
		MaxTokens:  x.Open.MaxTokens,
		SkipTokens: x.Open.SkipTokens,
		Priority:   priority(x.Open),
	}, x.Open.Prompt, func(t string) error {
		n++
		h.step(worker.CallData{Run: x.Run, Data: []byte(t), Tokens: 1})
		return c.waitWhilePaused(ctx)
	})
	if err != nil {
		return nil, h.engineError(ctx, x.Run.Request, err)
	}
	return &wire.Done{OutputTokens: n}, nil
}

// engineError converts the error of a call to the engine. A failure to connect or an error
// status means that the request didn't run. After any other failure it is unknown whether the
// request ran; WithRan then replaces the RAN_NO that NotRun sets. What the engine said goes to the
// log only: the error may end a stream, in which the caller would take it for a part of the answer.
func (h *Host) engineError(ctx context.Context, request string, err error) *fault.Error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return fault.NotRun(fault.Unreachable, "the engine refused the connection")
	}
	var s *engine.StatusError
	if errors.As(err, &s) {
		h.log.WithFields(logrus.Fields{"event": "engine-error", "request": request, "status": s.Status, "text": s.Text}).Warn("the engine answered a call with an error")
		return fault.NotRun(fault.UpstreamError, "the engine answered with status %d", s.Status)
	}
	return h.checkEnded(ctx, fault.NotRun(fault.UpstreamError, "the engine gave no whole answer").WithRan(wire.Ran_RAN_UNKNOWN))
}

// endCheckTimeout bounds the check whether the upstream has ended.
const endCheckTimeout = time.Second

// checkEnded says in the fault of a call that may have run whether the upstream's process has ended.
func (h *Host) checkEnded(ctx context.Context, f *fault.Error) *fault.Error {
	if f.Code != fault.UpstreamError || f.Ran == wire.Ran_RAN_NO || ctx.Err() != nil {
		return f
	}
	u, err := url.Parse(h.settings.Upstream)
	if err != nil {
		return f
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if upconn.Ended(ctx, u.Host) {
		return fault.NotRun(fault.UpstreamEnded, "the upstream ended while it worked on the request").WithRan(f.Ran)
	}
	return f
}

// plain forwards a request to a plain HTTP service. It passes the head and the data of the
// response to the worker as events while they arrive, and returns the trailers.
func (h *Host) plain(ctx context.Context, c *call, x worker.StartCall, b *body) (*wire.Done, *fault.Error) {
	t, err := h.plainClient.Call(ctx, x.Open, b, plain.Sink{
		Head: func(m *wire.Head) { h.step(worker.CallHead{Run: x.Run, Head: m}) },
		Data: func(p []byte) error {
			h.step(worker.CallData{Run: x.Run, Data: p})
			return c.waitWhilePaused(ctx)
		},
		Ended: func(f frame.Framing, e frame.End) { h.metrics.answers.WithLabelValues(string(f), string(e)).Inc() },
	})
	if err != nil {
		return nil, h.checkEnded(ctx, err)
	}
	return &wire.Done{Trailers: t}, nil
}
