package proxy

import (
	"net/http"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
)

const (
	// dials is the number of upstreams that are tried when connections can't be opened.
	dials = 4
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
		if !ok {
			break
		}
		tried[u.Instance] = true
		a, n, err := p.send(x, u, calls.Send{}, "call")
		if err != nil {
			last = err
			if maybeSent(err) {
				x.sent = true
			}
			if p.over(x, err) {
				return
			}
			if maybeSent(err) && !p.again(x, len(tried)) {
				p.fail(x, unclear(err))
				return
			}
			continue
		}
		if n.NotRun || n.OtherInstance {
			_ = a.Body.Close()
			p.ended(x, u, picker.Refused, n.Load, "call")
			if !p.mayRetry(x) {
				break
			}
			continue
		}
		x.sent = true
		if a.Status >= http.StatusInternalServerError && p.again(x, len(tried)) {
			p.ended(x, u, picker.Failed, n.Load, "call")
			_ = a.Body.Close()
			continue
		}
		p.deliver(x, u, a, n, "call", false)
		return
	}
	if x.sent {
		p.fail(x, unclear(last))
		return
	}
	p.fail(x, notRun(fullAgain, "all upstreams are full or out of reach"))
}

// over ends an exchange whose caller left or whose time is over.
func (p *Proxy) over(x *exchange, err error) bool {
	if x.ctx.Err() == nil {
		return false
	}
	p.timedOut(x, err)
	return true
}

// again reports whether a request that may have run can be sent once more.
func (p *Proxy) again(x *exchange, sends int) bool {
	return !x.route.Once() && sends < max(1, x.route.MaxAttempts) && p.mayRetry(x)
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
