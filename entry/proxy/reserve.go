package proxy

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/wire"
)

// maxReservationTries is the number of engines that are asked for one reservation, besides those
// at which a request that waits takes its chance.
const maxReservationTries = 2

// reservation is a granted reservation for one run on a decode engine.
type reservation struct {
	candidate candidate
	// started is when the engine's process started, in Unix milliseconds, as its manager says; 0 if that isn't known.
	started int64
	// release ends the reservation. complete tells the manager that the whole answer was relayed.
	release func(complete bool)
}

// reservationResult is the reply of an engine's manager to a request for a reservation, or the
// error of the call. reservation is valid if the reply grants it.
type reservationResult struct {
	reservation reservation
	reply       *wire.HoldReply
	err         error
}

// resumedPriority is that of a stream that goes on after a break, less that of its request: it comes before all that
// begin, among equals in their order. It can go on only at a part of the engines, after a break many streams come
// back at once, and what its caller has already is lost if it doesn't.
const resumedPriority = -1 << 16

// reservationPriority returns the priority of a request among those that wait for a place at an engine.
func (p *Proxy) reservationPriority(x *exchange) int32 {
	if x.isResumed() {
		return int32(resumedPriority + p.priority(x))
	}
	return int32(p.priority(x))
}

// reservationDeadlines returns the latest times to grant a reservation if the prefill takes the
// given time: startBy for the answer to begin on time, and expiresAt for it to begin before the
// caller gives up. A stream that goes on after a break is never late: its caller has the beginning.
func (p *Proxy) reservationDeadlines(x *exchange, prefill time.Duration) (startBy, expiresAt time.Time) {
	startBy = x.prefillDeadline.Add(-prefill)
	expiresAt = x.patienceEnd().Add(-prefill)
	if at, ok := p.latestSend(x); ok {
		expiresAt = earliest(expiresAt, at.Add(-prefill))
	}
	if x.isResumed() {
		startBy = expiresAt
	}
	return startBy, expiresAt
}

// patienceEnd returns the latest time for the prefill to end for a stream to begin before its caller gives up.
func (x *exchange) patienceEnd() time.Time {
	wait := max(minStreamTimeout, streamTimeoutLatencyFactor*x.route.TargetLatency, streamTimeoutGapFactor*x.route.TargetGap)
	return earliest(x.arrived.Add(wait), x.deadline).Add(-streamTimeoutMargin)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// waitsLess reports whether a shutdown leaves a stream less time to wait for a place than its caller would. Another entry
// lets it wait for longer.
func (p *Proxy) waitsLess(x *exchange) bool {
	at, ok := p.latestSend(x)
	return ok && at.Before(x.patienceEnd())
}

// reserveDecode reserves a run on a decode engine that was not tried yet, or returns the reason
// why none is available.
func (p *Proxy) reserveDecode(x *exchange, tried map[string]bool) (reservation, *fault.Error) {
	retryAfter := streamRetryAfter
	asked := maps.Clone(tried)
	var hopeless *fault.Error
	for tries := 0; tries < maxReservationTries; tries++ {
		c, hasRoom, ok := p.pickDecode(x, asked)
		if !ok || tries > 0 && !hasRoom {
			break
		}
		asked[c.upstream.Instance] = true
		r := p.awaitReservation(x, c, tried)
		switch {
		case x.ctx.Err() != nil:
			if r.reply.GetGranted() {
				r.reservation.release(false)
			}
			return reservation{}, p.contextFault(x, x.ctx.Err())
		case errors.As(r.err, &hopeless):
			return reservation{}, hopeless
		case isUnavailable(r.err):
			// This try doesn't count: the request had no chance there.
			tries--
		case r.err != nil:
			p.log.WithField("event", "place-failed").WithField("request", x.call.ID).WithError(r.err).Warn("reservation failed")
		case r.reply.Granted:
			x.record.waited = time.Since(x.arrived)
			return r.reservation, nil
		default:
			x.record.cause = r.reply.Reason
			retryAfter = micros(r.reply.AgainMicros)
		}
	}
	x.record.waited = time.Since(x.arrived)
	if p.waitsLess(x) {
		return reservation{}, stoppingFault("no engine has a place before that")
	}
	return reservation{}, overloadedFault(max(retryAfter, minRetryAfter), "no engine has a place in time: %s", x.record.cause)
}

// awaitReservation asks for a reservation at one engine. While the request waits there, it
// moves to another engine if that has room; see place.Offer.
func (p *Proxy) awaitReservation(x *exchange, c candidate, tried map[string]bool) reservationResult {
	ctx, cancel := context.WithCancel(x.ctx)
	first := make(chan reservationResult, 1)
	startBy, expiresAt := p.reservationDeadlines(x, p.prefillEstimate(x).Expected())
	x.record.reservationSlack = time.Until(startBy)
	p.tasks.Go(func() { first <- p.reserveAt(ctx, x, c, startBy, expiresAt) })
	t := time.NewTicker(place.MoveInterval)
	defer t.Stop()
	for {
		select {
		case r := <-first:
			// The context must last as long as the reservation. It ends with that of the request.
			context.AfterFunc(x.ctx, cancel)
			return r
		case <-t.C:
		}
		if err := p.checkWaiting(x, c.upstream); err != nil {
			cancel()
			p.tasks.Go(func() { releaseUnused(<-first) })
			return reservationResult{err: err}
		}
		r, ok := p.moveReservation(x, c, tried, startBy)
		if !ok {
			continue
		}
		cancel()
		p.tasks.Go(func() { releaseUnused(<-first) })
		return r
	}
}

// checkWaiting reports why a request should no longer wait for a place at an upstream; nil if it should.
func (p *Proxy) checkWaiting(x *exchange, u roster.Upstream) error {
	p.refreshBounds(x)
	if e := cmp.Or(p.checkRegions(x), p.checkQuarantine(x), p.checkVersion(x), p.checkEndsBeforeShutdown(x)); e != nil {
		return e
	}
	return cmp.Or(p.checkUpstream(u), p.checkPinned(x, u))
}

// moveReservation asks another engine that has room now, if there is one, to grant a reservation
// at once. c is the engine at which the request waits.
func (p *Proxy) moveReservation(x *exchange, c candidate, tried map[string]bool, startBy time.Time) (r reservationResult, ok bool) {
	others := maps.Clone(tried)
	others[c.upstream.Instance] = true
	o, hasRoom, ok := p.pickDecode(x, others)
	if !ok || !hasRoom || o.subscription == nil {
		return r, false
	}
	r = p.reserveAt(x.ctx, x, o, startBy, time.Now().Add(place.MoveTimeout))
	if r.err != nil || !r.reply.Granted {
		return r, false
	}
	x.record.moved = true
	return r, true
}

// releaseUnused ends a reservation that was granted after the request had moved.
func releaseUnused(r reservationResult) {
	if r.reply.GetGranted() {
		r.reservation.release(false)
	}
}

// reserveAt asks for a reservation at one engine, with the deadlines as of reservationDeadlines.
func (p *Proxy) reserveAt(ctx context.Context, x *exchange, c candidate, startBy, expiresAt time.Time) reservationResult {
	if c.subscription == nil {
		return p.reserveWithoutAgent(x, c)
	}
	p.mu.Lock()
	c.subscription.pendingReservations++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		c.subscription.pendingReservations--
		p.mu.Unlock()
	}()
	q := p.withShare(x, &wire.HoldRequest{
		Request:        x.call.ID,
		Prompt:         x.call.PromptTokens,
		Most:           x.call.MaxTokens,
		Priority:       p.reservationPriority(x),
		TimelyMicros:   max(0, time.Until(startBy)).Microseconds(),
		PatienceMicros: max(0, time.Until(expiresAt)).Microseconds(),
		Slots:          int32(x.service.Engine.Slots),
		Instance:       c.upstream.Instance,
	})
	r, release, err := p.reserve(ctx, c.subscription, q)
	return p.checkStarted(x, reservationResult{reservation{c, r.GetStartedMillis(), release}, r, err})
}

// checkStarted looks whether an engine has started again under its name since it was listed: its version isn't known until it
// is listed again. A stream that goes on needs another engine, and one that begins is noted as of unknown version.
func (p *Proxy) checkStarted(x *exchange, r reservationResult) reservationResult {
	u := &r.reservation.candidate.upstream
	started := r.reservation.started
	if !x.mayBeResumed() || !r.reply.GetGranted() || started == 0 || u.Born == 0 || started == u.Born {
		return r
	}
	if x.isResumed() {
		r.reservation.release(false)
		return reservationResult{err: errUpstreamLeaving}
	}
	u.Version = origin.Unknown
	return r
}

// reserveWithoutAgent reserves a run on an engine whose manager is silent, out of this entry's
// share of the engine's memory.
func (p *Proxy) reserveWithoutAgent(x *exchange, c candidate) reservationResult {
	n := x.call.PromptTokens + x.call.MaxTokens
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agentlessRoom(x, c.upstream) < n {
		return reservationResult{reply: &wire.HoldReply{
			Reason:      "the engine's manager is silent and this entry's part is taken",
			AgainMicros: streamRetryAfter.Microseconds(),
		}}
	}
	p.engineStats.agentlessTokens[c.upstream.Instance] += n
	release := func(bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.engineStats.agentlessTokens[c.upstream.Instance] -= n
	}
	return reservationResult{reservation{candidate: c, release: release}, &wire.HoldReply{Granted: true}, nil}
}
