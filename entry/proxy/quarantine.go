package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/roster"
	"github.com/sirupsen/logrus"
)

const (
	// endCheckTimeout bounds the check whether an upstream has ended.
	endCheckTimeout = time.Second
	// brokenOffTime is how long after a request has broken off its upstream may prove to be gone.
	brokenOffTime = 8 * time.Second
	// maxBrokenOff bounds the requests that are remembered for that.
	maxBrokenOff = 512
)

// checkQuarantine refuses a request with a part in its prompt under which upstreams crash. The next
// upstream would crash too.
func (p *Proxy) checkQuarantine(x *exchange) *fault.Error {
	if len(x.call.PromptParts) == 0 {
		return nil
	}
	q, ok := p.poison.Check(time.Now(), x.call.PromptParts)
	if !ok {
		return nil
	}
	p.metrics.quarantined.Inc()
	return fault.NotRun(fault.Quarantined, "%d upstreams have crashed under part %s of the prompt", q.Ends, q.Part).WithRetryAt(q.Until)
}

// learnFromAnswer takes evidence for or against the parts of a request's prompt from how the relay of its
// answer ended.
func (p *Proxy) learnFromAnswer(x *exchange, u roster.Upstream) {
	r := x.record
	isGood := r.status < http.StatusMultipleChoices
	switch {
	case r.end == frame.Complete && r.framing != frame.Connection && isGood:
		p.poison.Answered(time.Now(), x.call.PromptParts)
	case r.end == frame.Complete && isGood:
		// If the upstream crashed between two events, the answer ended in the same way.
		p.tasks.Go(func() {
			if !p.checkEnded(x, u) {
				p.poison.Answered(time.Now(), x.call.PromptParts)
			}
		})
	case r.end == frame.Closed || r.end == frame.Reset:
		p.tasks.Go(func() { p.checkEnded(x, u) })
	}
}

// learnFromError takes evidence against a request from a send that got no answer. For a request without parts of a
// prompt that is only logged, so the request doesn't wait for it.
func (p *Proxy) learnFromError(x *exchange, u roster.Upstream, err error) {
	switch {
	case !maybeSent(err) || !isBrokenOff(err):
	case len(x.call.PromptParts) == 0:
		p.tasks.Go(func() { p.checkEnded(x, u) })
	default:
		p.checkEnded(x, u)
	}
}

// isBrokenOff reports whether a send failed because the upstream closed or reset the connection.
func isBrokenOff(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// checkEnded checks whether an upstream has ended, after its connection broke off under a request, and
// records that. A connection may also be reset on its way, or by an upstream that goes on; if the upstream
// takes connections, the request is remembered in case that it turns out to be a new process.
func (p *Proxy) checkEnded(x *exchange, u roster.Upstream) (ended bool) {
	ctx, cancel := context.WithTimeout(p.ctx, endCheckTimeout)
	defer cancel()
	b := brokenOff{at: time.Now(), upstream: u, request: x.call.ID, fingerprint: x.fingerprint, parts: x.call.PromptParts}
	if p.conns.HasEnded(ctx, u.Address, x.service.MaxConnections, p.maxIdleConns(x.service)) {
		p.recordEnded(b)
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(slices.DeleteFunc(p.broken, func(o brokenOff) bool { return time.Since(o.at) > brokenOffTime }), b)
	if len(p.broken) > maxBrokenOff {
		p.broken = p.broken[1:]
	}
	return false
}

// brokenOff is a request whose upstream closed the connection before the end of its answer.
type brokenOff struct {
	at       time.Time
	upstream roster.Upstream
	request  string
	// fingerprint identifies the request among all that callers send.
	fingerprint string
	parts       []string
}

// recordGone records that an upstream has ended under the requests that had just broken off there: it is gone
// and had not announced that. p.mu must be held.
func (p *Proxy) recordGone(u roster.Upstream) {
	p.broken = slices.DeleteFunc(p.broken, func(b brokenOff) bool {
		isGone := b.upstream.Instance == u.Instance && b.upstream.Born == u.Born
		if isGone && time.Since(b.at) < brokenOffTime {
			p.recordEnded(b)
		}
		return isGone
	})
}

// recordEnded records that an upstream has ended under a request.
func (p *Proxy) recordEnded(b brokenOff) {
	p.metrics.upstreamsEnded.Inc()
	p.log.WithFields(logrus.Fields{
		"event": "upstream-ended", "instance": b.upstream.Instance, "address": b.upstream.Address, "request": b.request, "fingerprint": b.fingerprint,
		"parts": b.parts,
	}).Warn("upstream ended under a request")
	if p.poison.Ended(b.at, fmt.Sprintf("%s/%d", b.upstream.Instance, b.upstream.Born), b.parts) {
		p.log.WithFields(logrus.Fields{"event": "parts-suspect", "quarantined": p.poison.Quarantined(b.at)}).Warn("several upstreams have ended under a part of prompts")
		p.mesh.Spread()
	}
}
