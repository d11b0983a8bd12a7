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
	// timelyMargin is kept from the target for what comes between the place and the first
	// event: sends, the fetch of the KV cache and the first step.
	timelyMargin = 60 * time.Millisecond
	// leastPatience is the shortest time after which callers give a silent stream up.
	leastPatience = 2 * time.Second
	// targetsPatient and pausesPatient are the targets and pauses after which they do, if
	// those are longer.
	targetsPatient = 4
	pausesPatient  = 8
	// patienceMargin is taken off that time, since the caller counts from its own send.
	patienceMargin = 400 * time.Millisecond
	// placeTries is the number of engines that are asked for a place.
	placeTries = 2
	// runTries is the number of engines that are tried after refusals.
	runTries = 3
	// fullStreamAgain is when to come back if nothing tells when a place is likely.
	fullStreamAgain = time.Second
	// leastAgain is the shortest wait that a refused caller is told.
	leastAgain = 300 * time.Millisecond
)

// ticket is a granted place.
type ticket struct {
	spot    spot
	release func(whole bool)
}

// stream answers a request at a model engine: the place for the answer first, then the
// prompt is read by another engine, then the answer.
func (p *Proxy) stream(x *exchange) {
	p.requested(x)
	if e := p.stopping(x); e != nil {
		p.fail(x, e)
		return
	}
	x.timely = p.timely(x)
	tried := map[string]bool{}
	for range runTries {
		if e := p.allowed(x); e != nil {
			p.fail(x, e)
			return
		}
		t, e := p.place(x, tried)
		if e != nil {
			x.read.drop()
			p.fail(x, e)
			return
		}
		tried[t.spot.up.Instance] = true
		if p.runAt(x, t) {
			return
		}
	}
	x.read.drop()
	p.fail(x, notRun(fullStreamAgain, "the engines refused the run"))
}

// stopping refuses a stream that the entry's own stop would cut.
func (p *Proxy) stopping(x *exchange) *fault.Error {
	p.mu.Lock()
	d := p.engines.longRun()
	p.mu.Unlock()
	if !p.ending(d) {
		return nil
	}
	return fault.NotRun(fault.Leaving, "the entry is stopping").WithAgain(time.Now().Add(leastAgain))
}

// runAt runs a stream at the engine of a place. It reports false if the request didn't run
// and may be tried at another engine.
func (p *Proxy) runAt(x *exchange, t ticket) (done bool) {
	defer func() { t.release(x.note.outcome == outcomeAnswered) }()
	if x.read.source == "" || time.Now().After(x.read.until) {
		x.read = p.readPrompt(x, t)
	}
	if x.ctx.Err() != nil {
		x.read.drop()
		p.timedOut(x, x.ctx.Err())
		return true
	}
	if !p.mayArrive(x, x.arrivals) {
		x.read.drop()
		p.fail(x, notRun(fullStreamAgain, "the retry budget is spent"))
		return true
	}
	source := x.read.source
	a, n, err := p.decode(x, t, source)
	if err == nil && n.NotExecuted && source != "" && p.mayArrive(x, x.arrivals) {
		// The KV cache is gone: the engine that has the place reads the prompt itself.
		_ = a.Body.Close()
		p.ended(x, t.spot.up, picker.Refused, n.Load, "decode")
		a, n, err = p.decode(x, t, "")
	}
	if err != nil {
		return p.lostRun(x, err)
	}
	if n.NotExecuted || n.WrongInstance {
		_ = a.Body.Close()
		p.ended(x, t.spot.up, refusal(n), n.Load, "decode")
		if !n.WrongInstance {
			x.read = read{}
		}
		return false
	}
	x.sent = true
	began := time.Now()
	p.deliver(x, t.spot.up, a, n, "decode", true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines.learnRun(time.Since(began))
	return true
}

// decode sends the request to the engine of a place.
func (p *Proxy) decode(x *exchange, t ticket, source string) (a *upconn.Response, n calls.ResponseInfo, err error) {
	defer x.endOwnRead()
	began := time.Now()
	a, n, err = p.send(x.ctx, x, t.spot.up, calls.UpstreamParams{KVSource: source}, "decode")
	if err == nil || maybeSent(err) {
		x.arrivals++
	}
	if err == nil && source == "" && !n.NotExecuted && !n.WrongInstance {
		p.readByItself(x, time.Since(began))
	}
	return a, n, err
}

// lostRun deals with a send without an answer. Where nobody got it, the KV cache is still
// there for another engine.
func (p *Proxy) lostRun(x *exchange, err error) (done bool) {
	if maybeSent(err) {
		x.sent = true
		x.read = read{}
	}
	if p.over(x, err) {
		return true
	}
	if !maybeSent(err) || p.again(x) {
		return false
	}
	p.fail(x, unclear(err))
	return true
}

// times returns until when a place lets the answer begin in time, and until when it is of
// use at all, if its prompt is read in some time.
func (p *Proxy) times(x *exchange, read time.Duration) (timely, patience time.Time) {
	timely = x.timely.Add(-read)
	g := max(leastPatience, targetsPatient*x.route.TargetLatency, pausesPatient*x.route.TargetGap)
	patience = x.arrived.Add(g - read - patienceMargin)
	if d := x.deadline.Add(-read - patienceMargin); d.Before(patience) {
		patience = d
	}
	return timely, patience
}

// place gets a place for the answer, or says why there is none.
func (p *Proxy) place(x *exchange, tried map[string]bool) (ticket, *fault.Error) {
	again := fullStreamAgain
	asked := map[string]bool{}
	for n := range tried {
		asked[n] = true
	}
	for i := range placeTries {
		s, free, ok := p.decodeSpot(x, asked)
		if !ok || i > 0 && !free {
			break
		}
		asked[s.up.Instance] = true
		t, r, err := p.askPlace(x, s)
		switch {
		case x.ctx.Err() != nil:
			if r.GetGranted() {
				t.release(false)
			}
			return ticket{}, fault.NotRun(fault.Cancelled, "the caller left or its time is over")
		case err != nil:
			p.log.WithField("event", "place-failed").WithField("request", x.call.ID).WithError(err).Warn("place")
		case r.Granted:
			x.note.waited = time.Since(x.arrived)
			return t, nil
		default:
			x.note.cause = r.Reason
			again = micros(r.AgainMicros)
		}
	}
	x.note.waited = time.Since(x.arrived)
	return ticket{}, notRun(max(again, leastAgain), "no engine has a place in time: %s", x.note.cause)
}

// askPlace asks for a place at one engine.
func (p *Proxy) askPlace(x *exchange, s spot) (t ticket, r *wire.HoldReply, err error) {
	if s.follower == nil {
		return p.placeAlone(x, s)
	}
	read := p.reading(x).Expected()
	p.mu.Lock()
	s.follower.asked++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		s.follower.asked--
		p.mu.Unlock()
	}()
	timely, patience := p.times(x, read)
	x.note.slack = time.Until(timely)
	q := &wire.HoldRequest{
		Request:        x.call.ID,
		Prompt:         x.call.PromptTokens,
		Most:           x.call.MaxTokens,
		Priority:       int32(p.priority(x)),
		TimelyMicros:   max(0, time.Until(timely)).Microseconds(),
		PatienceMicros: max(0, time.Until(patience)).Microseconds(),
		Slots:          int32(x.service.Engine.Slots),
		Instance:       s.up.Instance,
	}
	r, release, err := p.reserve(x.ctx, s.follower, q)
	return ticket{s, release}, r, err
}

// timely returns until when a prompt must be read for the answer to begin in time.
func (p *Proxy) timely(x *exchange) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.engines.waited(x.route.Name, x.call.TimeLeft)
	return x.arrived.Add(x.route.TargetLatency - before - timelyMargin)
}

func (p *Proxy) priority(x *exchange) int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}

// placeAlone takes a place at an engine whose agent isn't heard, out of this entry's
// part of the engine's memory.
func (p *Proxy) placeAlone(x *exchange, s spot) (ticket, *wire.HoldReply, error) {
	n := x.call.PromptTokens + x.call.MaxTokens
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aloneRoom(x, s.up) < n {
		r := &wire.HoldReply{Reason: "the agent is silent and this entry's part is taken", AgainMicros: fullStreamAgain.Microseconds()}
		return ticket{}, r, nil
	}
	p.engines.alone[s.up.Instance] += n
	release := func(bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.engines.alone[s.up.Instance] -= n
	}
	return ticket{s, release}, &wire.HoldReply{Granted: true}, nil
}
