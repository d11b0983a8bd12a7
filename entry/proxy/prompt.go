package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
)

const (
	// kvCacheLifetimeShare is the fraction of an engine's hold time for KV caches during which
	// a cache is used.
	kvCacheLifetimeShare = 0.7
	// maxHandleBytes limits the body of the response to a prefill.
	maxHandleBytes = 8 << 10
	// freeTimeout bounds the request to free a KV cache. The engine drops an unused one by itself.
	freeTimeout = time.Second
)

// kvCache is a prompt's KV cache, held by the engine that prefilled the prompt. The zero value
// is none.
type kvCache struct {
	source string
	// holder is the engine that holds the cache.
	holder roster.Upstream
	// expires is when the engine may have dropped the cache.
	expires time.Time
	free    func()
}

// discard frees a KV cache that no engine will fetch.
func (k kvCache) discard() {
	if k.free != nil {
		k.free()
	}
}

// prefillEstimate returns how long the prefill is expected to take on a prefill engine and on a
// decode engine, and the time that is left for it.
func (p *Proxy) prefillEstimate(x *exchange) place.PrefillEstimate {
	c, backlog, ok := p.pickPrefill(x, "", nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := place.PrefillEstimate{
		Remote:   p.prefillTime(time.Now(), x, c, backlog+x.call.PromptTokens),
		Local:    p.engineStats.localPrefillTime(x.call.PromptTokens),
		Slack:    time.Until(x.prefillDeadline),
		MaxPause: x.route.TargetGap,
	}
	if !ok {
		r.Remote = r.Local
	}
	return r
}

// obtainKVCache has the prompt prefilled by a prefill engine, or leaves the prefill to the
// decode engine and returns no cache.
func (p *Proxy) obtainKVCache(x *exchange, res reservation) kvCache {
	r := p.prefillEstimate(x)
	r.Local = p.localPrefillTimeAt(res.candidate, r.Local)
	if res.candidate.subscription != nil && r.PreferLocal() {
		if release, ok := p.reservePrefill(x, res.candidate); ok {
			x.releaseLocalPrefill = release
			x.record.localPrefill = true
			return kvCache{}
		}
	}
	return p.prefillRemotely(x, res)
}

// localPrefillTimeAt returns how long a decode engine is expected to take for a prefill that takes some time at usual
// speed.
func (p *Proxy) localPrefillTimeAt(c candidate, usual time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.slowness(time.Now(), c) * float64(usual))
}

// recordLocalPrefill records how long a decode engine took to prefill the prompt.
func (p *Proxy) recordLocalPrefill(x *exchange, c candidate, d time.Duration) {
	x.record.prefillTime = d
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engineStats.localPrefill.record(x.call.PromptTokens, time.Duration(float64(d)/p.slowness(time.Now(), c)))
}

// endLocalPrefill tells the agent, if it permitted a local prefill, that the decode engine is no
// longer prefilling the prompt.
func (x *exchange) endLocalPrefill() {
	if x.releaseLocalPrefill != nil {
		x.releaseLocalPrefill()
		x.releaseLocalPrefill = nil
	}
}

// prefillRemotely has the prompt prefilled by a prefill engine. It returns the KV cache, or none
// if the decode engine should prefill the prompt itself.
func (p *Proxy) prefillRemotely(x *exchange, res reservation) (k kvCache) {
	c, backlog, ok := p.pickPrefill(x, res.candidate.upstream.Version, map[string]bool{res.candidate.upstream.Instance: true})
	if !ok {
		return k
	}
	settle, ok := p.drawPrefill(x)
	if !ok {
		return k
	}
	x.record.prefillInstance = c.upstream.Instance
	release := p.trackPrefill(x, c)
	defer release()
	ctx, cancel := p.untilLatestSend(x)
	defer cancel()
	began := time.Now()
	resp, info, err := p.send(ctx, x, c.upstream, calls.UpstreamParams{Prefill: true}, "prefill")
	if err == nil || maybeSent(err) {
		x.prefillAttempts++
	}
	if err != nil {
		// If it didn't arrive, or nothing will follow it, it is no repeat.
		settle(maybeSent(err) && ctx.Err() == nil)
		x.record.cause = "prefill: " + err.Error()
		return k
	}
	h, ok := p.readHandle(x, c, resp, info)
	settle(!ok)
	if !ok {
		return k
	}
	x.record.prefillTime = time.Since(began)
	p.recordPrefill(c, backlog+x.call.PromptTokens, x.record.prefillTime)
	k.source, k.holder = p.codec.KVSource(c.upstream.Address, h), c.upstream
	k.expires = time.Now().Add(time.Duration(kvCacheLifetimeShare * float64(x.service.Engine.HoldTime)))
	k.free = func() { p.tasks.Go(func() { p.freeKVCache(c, h) }) }
	return k
}

// readHandle reads the KV cache handle from the response to a prefill.
func (p *Proxy) readHandle(x *exchange, c candidate, resp *upconn.Response, info calls.ResponseInfo) (h calls.KVHandle, ok bool) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxHandleBytes))
	_ = resp.Body.Close()
	if err == nil && resp.Status == http.StatusOK {
		h, err = p.codec.KVHandle(b)
	}
	switch {
	case err != nil:
		x.record.cause = "prefill: " + err.Error()
		p.recordResult(x, c.upstream, interruptedResult(x), info.Load, "prefill")
	case info.NotExecuted || info.WrongInstance:
		p.recordResult(x, c.upstream, refusalResult(info), info.Load, "prefill")
	case resp.Status != http.StatusOK:
		p.recordResult(x, c.upstream, picker.Failed, info.Load, "prefill")
	default:
		p.recordResult(x, c.upstream, picker.Succeeded, info.Load, "prefill")
		return h, true
	}
	return h, false
}

// trackPrefill counts a prompt at the engine that prefills it, here and at the engine's agent.
func (p *Proxy) trackPrefill(x *exchange, c candidate) (release func()) {
	n := x.call.PromptTokens
	if c.subscription == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.engineStats.agentlessTokens[c.upstream.Instance] += n
		return func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.engineStats.agentlessTokens[c.upstream.Instance] -= n
		}
	}
	p.mu.Lock()
	c.subscription.prefillTokens += n
	p.mu.Unlock()
	end, _ := p.reservePrefill(x, c)
	return func() {
		end()
		p.mu.Lock()
		c.subscription.prefillTokens -= n
		p.mu.Unlock()
	}
}

// reservePrefill announces a prefill to the agent of an engine and reports whether the agent
// permits it. Agents of prefill engines always do.
func (p *Proxy) reservePrefill(x *exchange, c candidate) (release func(), ok bool) {
	q := &wire.HoldRequest{Request: x.call.ID, Prompt: x.call.PromptTokens, Prefill: true, PatienceMicros: x.timeLeft().Microseconds(), Instance: c.upstream.Instance}
	r, end, err := p.reserve(x.ctx, c.subscription, q)
	if err != nil {
		// The agent doesn't count this prompt; the engine's own queue limits the load.
		p.log.WithField("event", "backlog-untold").WithField("request", x.call.ID).WithError(err).Debug("prefill was not announced to the agent")
		return func() {}, false
	}
	return func() { end(false) }, r.Granted
}

// freeKVCache asks an engine to free a KV cache that no engine will fetch.
func (p *Proxy) freeKVCache(c candidate, h calls.KVHandle) {
	now := time.Now()
	if p.isPaused(c.upstream.Instance) || !p.pacer.Take(now, c.upstream.Instance) {
		// The engine drops the cache by itself.
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, freeTimeout)
	defer cancel()
	method, path := p.codec.FreeRequest(h)
	resp, err := p.conns.Do(ctx, c.upstream.Address, &upconn.Request{Method: method, Target: path, Host: c.upstream.Address, Header: http.Header{}, Group: upconn.ControlGroup})
	if err != nil {
		if !maybeSent(err) {
			p.pacer.Return(time.Now(), c.upstream.Instance)
		}
		p.log.WithField("event", "free-failed").WithField("instance", c.upstream.Instance).WithError(err).Warn("KV cache was not freed")
		return
	}
	info := p.codec.ResponseInfo(resp.Status, resp.Header)
	if info.WrongInstance {
		p.pacer.Return(time.Now(), c.upstream.Instance)
	}
	p.observeUpstream(c.upstream, info, now)
	p.observeSlowness(c.upstream, info)
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHandleBytes))
	_ = resp.Body.Close()
}
