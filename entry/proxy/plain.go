package proxy

import (
	"context"
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/upconn"
	"github.com/rotisserie/eris"
)

const (
	// dials is the number of upstreams that are tried when connections can't be opened.
	dials = 4
	// attemptTargets is how many latency targets an attempt may take at least, and
	// attemptShare which part of the time that is left, while another may follow it: an
	// upstream that hangs answers nobody.
	attemptTargets = 2.0
	attemptShare   = 0.4
	// fullAgain is when to come back after all upstreams were full or gone.
	fullAgain = 300 * time.Millisecond
)

// plain answers a request at an upstream of a plain service.
func (p *Proxy) plain(x *exchange) {
	p.requested(x)
	tried := map[string]bool{}
	var last error
	for range dials {
		if e := p.allowed(x); e != nil {
			p.fail(x, e)
			return
		}
		u, ok := p.pick(x, tried)
		if !ok || !p.mayArrive(x, x.arrivals) {
			break
		}
		tried[u.Instance] = true
		done, err := p.callAt(x, u)
		if done {
			return
		}
		last = err
	}
	if x.sent {
		p.fail(x, unclear(last))
		return
	}
	p.fail(x, notRun(fullAgain, "all upstreams are full or out of reach"))
}

// callAt sends a plain call to an upstream. It reports false if another may be tried.
func (p *Proxy) callAt(x *exchange, u roster.Upstream) (done bool, err error) {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	silent := time.AfterFunc(p.attemptTime(x), cancel)
	a, n, err := p.send(ctx, x, u, calls.UpstreamParams{}, "call")
	silent.Stop()
	if err == nil || maybeSent(err) {
		x.arrivals++
	}
	switch {
	case err != nil:
		x.sent = x.sent || maybeSent(err)
		if p.over(x, err) {
			return true, err
		}
		if maybeSent(err) && !p.again(x) {
			p.fail(x, unclear(err))
			return true, err
		}
		return false, err
	case n.NotExecuted || n.WrongInstance:
		_ = a.Body.Close()
		p.ended(x, u, refusal(n), n.Load, "call")
		return false, errRefused
	}
	x.sent = true
	if a.Status >= http.StatusInternalServerError && p.again(x) && p.mayArrive(x, x.arrivals) {
		return p.repeat(x, u, a, n)
	}
	p.deliver(x, u, a, n, "call", false)
	return true, nil
}

// attemptTime returns how long an upstream may take to begin its answer: all the time that
// is left, unless another attempt may follow.
func (p *Proxy) attemptTime(x *exchange) time.Duration {
	left := x.left()
	if x.route.AtMostOnce() || x.arrivals+1 >= x.route.MaxAttempts {
		return left
	}
	return max(time.Duration(attemptTargets*float64(x.route.TargetLatency)), time.Duration(attemptShare*float64(left)))
}

// repeat sends a call whose upstream failed to another one. The failure is passed on if
// there is none: it is an answer.
func (p *Proxy) repeat(x *exchange, u roster.Upstream, a *upconn.Response, n calls.ResponseInfo) (done bool, err error) {
	o, ok := p.pick(x, map[string]bool{u.Instance: true})
	if !ok {
		p.deliver(x, u, a, n, "call", false)
		return true, nil
	}
	p.ended(x, u, picker.Failed, n.Load, "call")
	_ = a.Body.Close()
	return p.callAt(x, o)
}

// errRefused means that an upstream didn't run a request.
var errRefused = eris.New("the upstream refused the request")

// refusal tells a full upstream from another process at its address.
func refusal(n calls.ResponseInfo) picker.Result {
	if n.WrongInstance {
		return picker.Gone
	}
	return picker.Refused
}

// over ends an exchange whose caller left or whose time is over.
func (p *Proxy) over(x *exchange, err error) bool {
	if x.ctx.Err() == nil {
		return false
	}
	p.timedOut(x, err)
	return true
}

// again reports whether a request that may have run can be run once more.
func (p *Proxy) again(x *exchange) bool {
	return !x.route.AtMostOnce() && x.arrivals < max(1, x.route.MaxAttempts)
}

// pick chooses an upstream that wasn't tried.
func (p *Proxy) pick(x *exchange, tried map[string]bool) (roster.Upstream, bool) {
	var l []roster.Upstream
	for _, u := range p.view.Load().services[x.service.Name] {
		if !tried[u.Instance] {
			l = append(l, u)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.Pick(time.Now(), l)
}
