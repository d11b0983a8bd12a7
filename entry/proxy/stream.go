package proxy

import (
	"cmp"
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/upconn"
)

const (
	// firstEventMargin is the part of the latency target that is kept for all steps besides the
	// waits and the prefill: sends, the transfer of the KV cache and the first decode step.
	firstEventMargin = 60 * time.Millisecond
	// Callers are assumed to abandon a stream without events after the longest of
	// minStreamTimeout, streamTimeoutLatencyFactor times the route's TargetLatency, and
	// streamTimeoutGapFactor times its TargetGap.
	minStreamTimeout           = 2 * time.Second
	streamTimeoutLatencyFactor = 4
	streamTimeoutGapFactor     = 8
	// streamTimeoutMargin is subtracted from that timeout and from the time until the deadline,
	// since callers count from their own send.
	streamTimeoutMargin = 400 * time.Millisecond
	// maxDecodeTries is the number of engines that are tried when engines refuse the run.
	maxDecodeTries = 3
	// streamRetryAfter is the retry delay for callers when no agent has estimated one.
	streamRetryAfter = time.Second
	// minRetryAfter is the shortest retry delay that a refused caller is told.
	minRetryAfter = 300 * time.Millisecond
)

// serveStream answers a streaming request: it reserves a run on a decode engine, has the prompt
// prefilled, usually by another engine, and then relays the decode engine's answer.
func (p *Proxy) serveStream(x *exchange) {
	p.countRequest(x)
	x.prefillDeadline = p.prefillDeadline(x)
	tried := map[string]bool{}
	for range maxDecodeTries {
		if e := cmp.Or(p.checkStillAllowed(x), p.checkEvacuated(x), p.checkRegions(x), p.checkQuarantine(x), p.checkVersion(x), p.checkAvailable(x), p.checkEndsBeforeShutdown(x)); e != nil {
			x.kvCache.discard()
			p.fail(x, e)
			return
		}
		res, e := p.reserveDecode(x, tried)
		if e != nil {
			x.kvCache.discard()
			p.fail(x, e)
			return
		}
		tried[res.candidate.upstream.Instance] = true
		if p.runReserved(x, res) {
			return
		}
	}
	x.kvCache.discard()
	p.fail(x, overloadedFault(streamRetryAfter, "the engines refused the run"))
}

// runReserved obtains the prompt's KV cache unless there is one already, has the reserved engine
// decode the stream and relays the answer. It returns false if another engine may be tried.
func (p *Proxy) runReserved(x *exchange, res reservation) (done bool) {
	defer func() { res.release(x.record.outcome == outcomeAnswered) }()
	if x.kvCache.source == "" || time.Now().After(x.kvCache.expires) {
		x.kvCache = p.obtainKVCache(x, res)
	}
	if x.ctx.Err() != nil {
		x.kvCache.discard()
		p.failContextDone(x, x.ctx.Err())
		return true
	}
	if e := p.checkEndsBeforeShutdown(x); e != nil {
		x.kvCache.discard()
		p.fail(x, e)
		return true
	}
	if !p.drawRetryBudget(x, x.attempts, repeatRun) {
		x.kvCache.discard()
		p.fail(x, overloadedFault(streamRetryAfter, "the retry budget is spent"))
		return true
	}
	p.dropForeignKVCache(x)
	source := x.kvCache.source
	resp, info, err := p.sendDecode(x, res, source)
	if err == nil && info.NotExecuted && source != "" && p.drawRetryBudget(x, x.attempts, repeatWithoutCache) {
		// The KV cache is gone, so the decode engine prefills the prompt itself.
		_ = resp.Body.Close()
		p.recordResult(x, res.candidate.upstream, picker.Refused, info.Load, "decode")
		resp, info, err = p.sendDecode(x, res, "")
	}
	if err != nil {
		return p.handleDecodeError(x, err)
	}
	if info.NotExecuted || info.WrongInstance {
		_ = resp.Body.Close()
		p.recordResult(x, res.candidate.upstream, refusalResult(info), info.Load, "decode")
		if !info.WrongInstance {
			x.kvCache = kvCache{}
		}
		return false
	}
	x.mayHaveRun = true
	x.started = res.started
	began := time.Now()
	p.deliver(x, res.candidate.upstream, resp, info, "decode", true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if x.record.status < http.StatusMultipleChoices {
		p.engineStats.recordRun(time.Since(began))
		p.engineStats.slowestTokens.record(x.service.Name, x.call.MaxTokens, time.Since(began))
	}
	p.engineStats.recordGap(x.service.Name, x.record)
	return true
}

// sendDecode sends the request to the reserved engine. source is where that engine fetches the
// KV cache; if it is empty, the engine prefills the prompt itself.
func (p *Proxy) sendDecode(x *exchange, res reservation, source string) (resp *upconn.Response, info calls.ResponseInfo, err error) {
	defer x.endLocalPrefill()
	began := time.Now()
	resp, info, err = p.send(x.ctx, x, res.candidate.upstream, calls.UpstreamParams{KVSource: source}, "decode")
	if err == nil || maybeSent(err) {
		x.attempts++
	}
	if err == nil && source == "" && !info.NotExecuted && !info.WrongInstance {
		p.recordLocalPrefill(x, res.candidate, time.Since(began))
	}
	return resp, info, err
}

// handleDecodeError handles a send that got no answer. It returns false if another engine may
// be tried; if the request reached no engine, the KV cache is still available for that.
func (p *Proxy) handleDecodeError(x *exchange, err error) (done bool) {
	if maybeSent(err) {
		x.mayHaveRun = true
		x.kvCache = kvCache{}
	}
	if p.failIfContextDone(x, err) {
		return true
	}
	if !maybeSent(err) || p.mayRetry(x) {
		return false
	}
	p.fail(x, unknownOutcomeFault(err))
	return true
}

// prefillDeadline returns when the prefill must end for the answer to begin on time.
func (p *Proxy) prefillDeadline(x *exchange) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.engineStats.recordTimeLimit(x.route.Name, x.call.TimeLeft)
	return x.arrived.Add(x.route.TargetLatency - before - firstEventMargin)
}

func (p *Proxy) priority(x *exchange) int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}
