package proxy

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/upconn"
	"github.com/rotisserie/eris"
)

const (
	// maxPlainUpstreams is the number of upstreams that are tried when connections can't be
	// opened.
	maxPlainUpstreams = 4
	// If another attempt may follow, the timeout of an attempt is attemptLatencyFactor times the
	// route's TargetLatency or attemptTimeShare of the time left, whichever is longer. Without
	// it, an upstream that hangs would use up all the time.
	attemptLatencyFactor = 2.0
	attemptTimeShare     = 0.4
	// plainRetryAfter is the retry delay for callers after all upstreams were full or gone.
	plainRetryAfter = 300 * time.Millisecond
)

// servePlain answers a plain request, that is, any but a stream that runs on model engines.
func (p *Proxy) servePlain(x *exchange) {
	p.countRequest(x)
	tried, full := map[string]bool{}, map[string]bool{}
	var last error
	for range maxPlainUpstreams {
		waited := x.record.waited
		if e := p.awaitSlot(x); e != nil {
			p.failWaiting(x, e, last)
			return
		}
		if x.record.waited > waited {
			// Slots have come free meanwhile, maybe where there were none.
			maps.DeleteFunc(tried, func(i string, _ bool) bool { return full[i] })
		}
		if e := cmp.Or(p.checkStillAllowed(x), p.checkEvacuated(x), p.checkRegions(x), p.checkQuarantine(x), p.checkVersion(x), p.checkAvailable(x), p.checkEndsBeforeShutdown(x)); e != nil {
			p.endSlot(x, false, nil, 0)
			p.fail(x, e)
			return
		}
		u, ok := p.pickUpstream(x, tried)
		if !ok || !p.drawRetryBudget(x, x.attempts, repeatRun) {
			p.endSlot(x, false, nil, 0)
			break
		}
		tried[u.Instance] = true
		done, err := p.tryInSlot(x, u)
		if done {
			return
		}
		last = err
		full[u.Instance] = eris.Is(err, errNoRoom)
	}
	if x.mayHaveRun {
		p.fail(x, unknownOutcomeFault(last))
		return
	}
	p.fail(x, overloadedFault(p.plainRetryAfter(x), "all upstreams are full or out of reach"))
}

// failWaiting fails a request that waited for a slot. If it may have run at an upstream before, its outcome is
// unknown.
func (p *Proxy) failWaiting(x *exchange, e *fault.Error, last error) {
	switch {
	case x.ctx.Err() != nil:
		p.failContextDone(x, x.ctx.Err())
	case x.mayHaveRun:
		p.fail(x, unknownOutcomeFault(last))
	default:
		p.fail(x, e)
	}
}

// tryUpstream sends a plain request to an upstream. It returns false if another may be tried.
func (p *Proxy) tryUpstream(x *exchange, u roster.Upstream) (done bool, err error) {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	timer := time.AfterFunc(p.attemptTimeout(x), cancel)
	resp, info, err := p.send(ctx, x, u, calls.UpstreamParams{}, "call")
	timer.Stop()
	if err == nil || maybeSent(err) {
		x.attempts++
	}
	switch {
	case err != nil:
		x.mayHaveRun = x.mayHaveRun || maybeSent(err)
		if p.failIfContextDone(x, err) {
			return true, err
		}
		if maybeSent(err) && !p.mayRetry(x) {
			p.fail(x, unknownOutcomeFault(err))
			return true, err
		}
		return false, err
	case info.NotExecuted || info.WrongInstance:
		_ = resp.Body.Close()
		p.recordResult(x, u, refusalResult(info), info.Load, "call")
		return false, refusalError(info)
	}
	x.mayHaveRun = true
	hasFailed := resp.Status >= http.StatusInternalServerError || fault.PromisesNotRun(resp.Status)
	if hasFailed && p.mayRetry(x) && p.drawRetryBudget(x, x.attempts, repeatRun) {
		return p.retryElsewhere(x, u, resp, info)
	}
	x.releaseBody(resp)
	p.deliver(x, u, resp, info, "call", false)
	return true, nil
}

// attemptTimeout returns how long an upstream may take to begin its answer: all the time that
// is left, unless another attempt may follow.
func (p *Proxy) attemptTimeout(x *exchange) time.Duration {
	left := x.timeLeft()
	if x.route.AtMostOnce() || x.attempts+1 >= x.route.MaxAttempts {
		return left
	}
	return max(time.Duration(attemptLatencyFactor*float64(x.route.TargetLatency)), time.Duration(attemptTimeShare*float64(left)))
}

// retryElsewhere sends a request whose upstream answered with an error of its own to another
// upstream. If there is none, the error is delivered: it is an answer too.
func (p *Proxy) retryElsewhere(x *exchange, u roster.Upstream, resp *upconn.Response, info calls.ResponseInfo) (done bool, err error) {
	o, ok := p.pickUpstream(x, map[string]bool{u.Instance: true})
	if !ok {
		p.deliver(x, u, resp, info, "call", false)
		return true, nil
	}
	p.recordResult(x, u, picker.Failed, info.Load, "call")
	_ = resp.Body.Close()
	return p.tryUpstream(x, o)
}

// errRefused means that an upstream did not run a request.
var errRefused = eris.New("the upstream refused the request")

// refusalResult distinguishes a full upstream from another process at its address.
func refusalResult(info calls.ResponseInfo) picker.Result {
	if info.WrongInstance {
		return picker.Replaced
	}
	return picker.Refused
}

// failIfContextDone fails an exchange whose caller has left or whose deadline has passed, and
// reports whether it did.
func (p *Proxy) failIfContextDone(x *exchange, err error) bool {
	if x.ctx.Err() == nil {
		return false
	}
	p.failContextDone(x, err)
	return true
}

// mayRetry reports whether a request that may have run can be sent again.
func (p *Proxy) mayRetry(x *exchange) bool {
	return !x.route.AtMostOnce() && x.attempts < max(1, x.route.MaxAttempts) && p.poison.MayRepeat(time.Now(), x.poisonKeys)
}
