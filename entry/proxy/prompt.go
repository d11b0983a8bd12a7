package proxy

import (
	"io"
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
)

const (
	// holdShare is the part of the time for which engines keep a KV cache in which it is tried.
	holdShare = 0.7
	// maxHandle bounds the answer to a prefill in bytes.
	maxHandle = 64 << 10
)

// read is a prompt whose KV cache is kept by the engine that read it.
type read struct {
	source string
	// until is when the engine may have dropped it.
	until time.Time
	free  func()
}

// drop gives a KV cache back that nobody will fetch.
func (r read) drop() {
	if r.free != nil {
		r.free()
	}
}

// reading returns what is known of how long the prompt takes to be read.
func (p *Proxy) reading(x *exchange) place.Reading {
	_, backlog, ok := p.prefillSpot(x, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := place.Reading{
		Apart: p.engines.apart.time(backlog + x.call.PromptTokens),
		Own:   p.engines.ownTime(x.call.PromptTokens),
		Slack: time.Until(x.timely),
		Pause: x.route.TargetGap,
	}
	if !ok {
		r.Apart = r.Own
	}
	return r
}

// readPrompt has the prompt read by a prefill engine, or leaves it to the engine of the
// answer.
func (p *Proxy) readPrompt(x *exchange, t ticket) read {
	r := p.reading(x)
	if t.spot.follower != nil && r.ByItself() {
		if release, ok := p.holdPrompt(x, t.spot); ok {
			x.ownRead = release
			x.note.own = true
			return read{}
		}
	}
	return p.prefill(x, t)
}

// readByItself takes in that the engine of the answer has read the prompt in some time.
func (p *Proxy) readByItself(x *exchange, d time.Duration) {
	x.note.read = d
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines.own.learn(x.call.PromptTokens, d)
}

// endOwnRead tells the agent that the engine of the answer isn't reading the prompt.
func (x *exchange) endOwnRead() {
	if x.ownRead != nil {
		x.ownRead()
		x.ownRead = nil
	}
}

// prefill has the prompt read by an engine of its own. It returns where the KV cache is,
// or nothing if the engine of the answer should read the prompt itself.
func (p *Proxy) prefill(x *exchange, t ticket) (r read) {
	s, backlog, ok := p.prefillSpot(x, map[string]bool{t.spot.up.Instance: true})
	if !ok {
		return r
	}
	if !p.mayArrive(x, x.prefills) {
		return r
	}
	x.note.prefill = s.up.Instance
	release := p.holdPrefill(x, s)
	defer release()
	began := time.Now()
	a, n, err := p.send(x.ctx, x, s.up, calls.UpstreamParams{Prefill: true}, "prefill")
	if err == nil || maybeSent(err) {
		x.prefills++
	}
	if err != nil {
		x.note.cause = "prefill: " + err.Error()
		return r
	}
	h, ok := p.readHandle(x, s, a, n)
	if !ok {
		return r
	}
	x.note.read = time.Since(began)
	p.mu.Lock()
	p.engines.apart.learn(backlog+x.call.PromptTokens, x.note.read)
	p.mu.Unlock()
	r.source = p.codec.KVSource(s.up.Address, h)
	r.until = time.Now().Add(time.Duration(holdShare * float64(x.service.Engine.HoldTime)))
	r.free = func() { p.tasks.Go(func() { p.free(s, h) }) }
	return r
}

// readHandle reads the answer to a prefill.
func (p *Proxy) readHandle(x *exchange, s spot, a *upconn.Response, n calls.ResponseInfo) (h calls.KVHandle, ok bool) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxHandle))
	_ = a.Body.Close()
	if err == nil && a.Status == http.StatusOK {
		h, err = p.codec.KVHandle(b)
	}
	switch {
	case err != nil:
		x.note.cause = "prefill: " + err.Error()
		p.ended(x, s.up, lost(x), n.Load, "prefill")
	case n.NotExecuted || n.WrongInstance:
		p.ended(x, s.up, refusal(n), n.Load, "prefill")
		p.charge(x)
	case a.Status != http.StatusOK:
		p.ended(x, s.up, picker.Failed, n.Load, "prefill")
	default:
		p.ended(x, s.up, picker.Good, n.Load, "prefill")
		return h, true
	}
	return h, false
}

// holdPrefill counts a prompt at the engine that reads it, here and at its agent.
func (p *Proxy) holdPrefill(x *exchange, s spot) (release func()) {
	n := x.call.PromptTokens
	if s.follower == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.engines.alone[s.up.Instance] += n
		return func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.engines.alone[s.up.Instance] -= n
		}
	}
	p.mu.Lock()
	s.follower.reading += n
	p.mu.Unlock()
	end, _ := p.holdPrompt(x, s)
	return func() {
		end()
		p.mu.Lock()
		s.follower.reading -= n
		p.mu.Unlock()
	}
}

// holdPrompt tells an engine's agent of a prompt that is to be read there, and reports
// whether it may be. Prefill engines always read.
func (p *Proxy) holdPrompt(x *exchange, s spot) (release func(), ok bool) {
	q := &wire.HoldRequest{Request: x.call.ID, Prompt: x.call.PromptTokens, Prefill: true, PatienceMicros: x.left().Microseconds()}
	r, end, err := p.reserve(x.ctx, s.follower, q)
	if err != nil {
		// The agent doesn't know of the prompt; the engine's own queue bounds what follows.
		p.log.WithField("event", "backlog-untold").WithField("request", x.call.ID).WithError(err).Debug("place")
		return func() {}, false
	}
	return func() { end(false) }, r.Granted
}

// free gives back a KV cache that nobody will fetch.
func (p *Proxy) free(s spot, h calls.KVHandle) {
	method, path := p.codec.FreeRequest(h)
	a, err := p.conns.Do(p.ctx, s.up.Address, &upconn.Request{Method: method, Target: path, Host: s.up.Address, Header: http.Header{}})
	if err != nil {
		p.log.WithField("event", "free-failed").WithField("instance", s.up.Instance).WithError(err).Warn("engine")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxHandle))
	_ = a.Body.Close()
}
