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

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/roster"
	"github.com/sirupsen/logrus"
)

const (
	// endCheckTimeout bounds the check whether an upstream has ended, endCheckWait how long a request waits
	// for it.
	endCheckTimeout = time.Second
	endCheckWait    = 100 * time.Millisecond
	// brokenOffTime is how long after a request has broken off its upstream may prove to be gone.
	brokenOffTime = 8 * time.Second
	// maxBrokenOff bounds the requests that are remembered for that.
	maxBrokenOff = 512
)

// checkQuarantine refuses a request under which upstreams crash, or with a part in its prompt under which
// they do. The next upstream would crash too.
func (p *Proxy) checkQuarantine(x *exchange) *fault.Error {
	q, ok := p.poison.Check(time.Now(), x.poisonKeys)
	if !ok {
		return nil
	}
	p.metrics.quarantined.Inc()
	return q.Fault()
}

// learnFromAnswer takes evidence for or against a request from how the relay of its answer ended.
func (p *Proxy) learnFromAnswer(x *exchange, u roster.Upstream, info calls.ResponseInfo) {
	r := x.record
	switch {
	case r.end == frame.Complete && r.framing != frame.Connection:
		p.recordSurvived(x, info)
	case r.end == frame.Complete:
		// If the upstream crashed between two events, the answer ended in the same way.
		p.tasks.Go(func() {
			if !p.checkEnded(x, u) {
				p.recordSurvived(x, info)
			}
		})
	case r.end == frame.Closed || r.end == frame.Reset:
		p.tasks.Go(func() { p.checkEnded(x, u) })
	}
}

// recordSurvived records that an upstream has survived a request. A server error says nothing, since it may have
// come before the upstream began its work; an answer that the caller's request was wrong speaks for the
// request, but not for the parts of a prompt that wasn't answered.
func (p *Proxy) recordSurvived(x *exchange, info calls.ResponseInfo) {
	switch s := x.record.status; {
	case s < http.StatusMultipleChoices:
		p.poison.Answered(time.Now(), x.poisonKeys)
	case s < http.StatusInternalServerError && info.Signed && !info.NotExecuted:
		p.poison.Answered(time.Now(), x.poisonKeys[:1])
	}
}

// learnFromError takes evidence against a request from a send that got no answer. It waits a little for the
// result, on which depends whether the request may be repeated.
func (p *Proxy) learnFromError(x *exchange, u roster.Upstream, err error) {
	if !maybeSent(err) || !isBrokenOff(err) {
		return
	}
	checked := make(chan struct{})
	p.tasks.Go(func() {
		defer close(checked)
		p.checkEnded(x, u)
	})
	select {
	case <-checked:
	case <-time.After(endCheckWait):
	case <-x.ctx.Done():
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
// takes connections, the request is remembered in case that it turns out to be a new process. The end of an
// upstream that was leaving is no evidence.
func (p *Proxy) checkEnded(x *exchange, u roster.Upstream) (ended bool) {
	if !p.snapshot.Load().isUsable(u) {
		return false
	}
	ctx, cancel := context.WithTimeout(p.ctx, endCheckTimeout)
	defer cancel()
	b := brokenOff{at: time.Now(), upstream: u, request: x.call.ID, keys: x.poisonKeys}
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
	keys     []poison.Key
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
		"event": "upstream-ended", "instance": b.upstream.Instance, "address": b.upstream.Address, "request": b.request, "keys": b.keys,
	}).Warn("upstream ended under a request")
	if p.poison.Ended(b.at, fmt.Sprintf("%s/%d", b.upstream.Instance, b.upstream.Born), b.keys) {
		p.log.WithFields(logrus.Fields{"event": "poison-suspected", "quarantined": p.poison.Quarantined(b.at)}).Warn("several upstreams have ended under the same request or part of prompts")
		p.mesh.Spread()
	}
}
