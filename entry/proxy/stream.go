package proxy

import (
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
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
	// maxReservationTries is the number of engines that are asked for one reservation.
	maxReservationTries = 2
	// maxDecodeTries is the number of engines that are tried when engines refuse the run.
	maxDecodeTries = 3
	// streamRetryAfter is the retry delay for callers when no agent has estimated one.
	streamRetryAfter = time.Second
	// minRetryAfter is the shortest retry delay that a refused caller is told.
	minRetryAfter = 300 * time.Millisecond
)

// reservation is a granted reservation for one run on a decode engine.
type reservation struct {
	candidate candidate
	// release ends the reservation. complete tells the agent that the whole answer was relayed.
	release func(complete bool)
}

// serveStream answers a streaming request: it reserves a run on a decode engine, has the prompt
// prefilled, usually by another engine, and then relays the decode engine's answer.
func (p *Proxy) serveStream(x *exchange) {
	p.countRequest(x)
	if e := p.checkStreamDrain(x); e != nil {
		p.fail(x, e)
		return
	}
	x.prefillDeadline = p.prefillDeadline(x)
	tried := map[string]bool{}
	for range maxDecodeTries {
		if e := p.checkStillAllowed(x); e != nil {
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

// checkStreamDrain refuses a stream that this entry's shutdown would cut off.
func (p *Proxy) checkStreamDrain(x *exchange) *fault.Error {
	p.mu.Lock()
	d := p.engineStats.longRunTime()
	p.mu.Unlock()
	if !p.shutsDownWithin(d) {
		return nil
	}
	return fault.NotRun(fault.Leaving, "the entry is stopping").WithRetryAt(time.Now().Add(minRetryAfter))
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
	if !p.drawRetryBudget(x, x.attempts) {
		x.kvCache.discard()
		p.fail(x, overloadedFault(streamRetryAfter, "the retry budget is spent"))
		return true
	}
	source := x.kvCache.source
	resp, info, err := p.sendDecode(x, res, source)
	if err == nil && info.NotExecuted && source != "" && p.drawRetryBudget(x, x.attempts) {
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
	began := time.Now()
	p.deliver(x, res.candidate.upstream, resp, info, "decode", true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engineStats.recordRun(time.Since(began))
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
		p.recordLocalPrefill(x, time.Since(began))
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

// reservationDeadlines returns the latest times to grant a reservation if the prefill takes the
// given time: startBy for the answer to begin on time, and expiresAt for it to begin before the
// caller gives up.
func (p *Proxy) reservationDeadlines(x *exchange, prefill time.Duration) (startBy, expiresAt time.Time) {
	startBy = x.prefillDeadline.Add(-prefill)
	wait := max(minStreamTimeout, streamTimeoutLatencyFactor*x.route.TargetLatency, streamTimeoutGapFactor*x.route.TargetGap)
	expiresAt = x.arrived.Add(wait - prefill - streamTimeoutMargin)
	if d := x.deadline.Add(-prefill - streamTimeoutMargin); d.Before(expiresAt) {
		expiresAt = d
	}
	return startBy, expiresAt
}

// reserveDecode reserves a run on a decode engine that was not tried yet, or returns the reason
// why none is available.
func (p *Proxy) reserveDecode(x *exchange, tried map[string]bool) (reservation, *fault.Error) {
	retryAfter := streamRetryAfter
	asked := map[string]bool{}
	for n := range tried {
		asked[n] = true
	}
	for i := range maxReservationTries {
		c, hasRoom, ok := p.pickDecode(x, asked)
		if !ok || i > 0 && !hasRoom {
			break
		}
		asked[c.upstream.Instance] = true
		res, r, err := p.reserveAt(x, c)
		switch {
		case x.ctx.Err() != nil:
			if r.GetGranted() {
				res.release(false)
			}
			return reservation{}, fault.NotRun(fault.Cancelled, "the caller left or its time is over")
		case err != nil:
			p.log.WithField("event", "place-failed").WithField("request", x.call.ID).WithError(err).Warn("reservation failed")
		case r.Granted:
			x.record.waited = time.Since(x.arrived)
			return res, nil
		default:
			x.record.cause = r.Reason
			retryAfter = micros(r.AgainMicros)
		}
	}
	x.record.waited = time.Since(x.arrived)
	return reservation{}, overloadedFault(max(retryAfter, minRetryAfter), "no engine has a place in time: %s", x.record.cause)
}

// reserveAt asks for a reservation at one engine.
func (p *Proxy) reserveAt(x *exchange, c candidate) (res reservation, r *wire.HoldReply, err error) {
	if c.subscription == nil {
		return p.reserveWithoutAgent(x, c)
	}
	prefill := p.prefillEstimate(x).Expected()
	p.mu.Lock()
	c.subscription.pendingReservations++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		c.subscription.pendingReservations--
		p.mu.Unlock()
	}()
	startBy, expiresAt := p.reservationDeadlines(x, prefill)
	x.record.reservationSlack = time.Until(startBy)
	q := &wire.HoldRequest{
		Request:        x.call.ID,
		Prompt:         x.call.PromptTokens,
		Most:           x.call.MaxTokens,
		Priority:       int32(p.priority(x)),
		TimelyMicros:   max(0, time.Until(startBy)).Microseconds(),
		PatienceMicros: max(0, time.Until(expiresAt)).Microseconds(),
		Slots:          int32(x.service.Engine.Slots),
		Instance:       c.upstream.Instance,
	}
	r, release, err := p.reserve(x.ctx, c.subscription, q)
	return reservation{c, release}, r, err
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

// reserveWithoutAgent reserves a run on an engine whose agent is silent, out of this entry's
// share of the engine's memory.
func (p *Proxy) reserveWithoutAgent(x *exchange, c candidate) (reservation, *wire.HoldReply, error) {
	n := x.call.PromptTokens + x.call.MaxTokens
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agentlessRoom(x, c.upstream) < n {
		r := &wire.HoldReply{Reason: "the agent is silent and this entry's part is taken", AgainMicros: streamRetryAfter.Microseconds()}
		return reservation{}, r, nil
	}
	p.engineStats.agentlessTokens[c.upstream.Instance] += n
	release := func(bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.engineStats.agentlessTokens[c.upstream.Instance] -= n
	}
	return reservation{c, release}, &wire.HoldReply{Granted: true}, nil
}
