package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/roster"
	"github.com/sirupsen/logrus"
)

// endCheckTimeout bounds the check whether an upstream has ended.
const endCheckTimeout = time.Second

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
	case len(x.call.PromptParts) == 0:
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
// records that. A connection may also be reset on its way, or by an upstream that goes on.
func (p *Proxy) checkEnded(x *exchange, u roster.Upstream) (ended bool) {
	if len(x.call.PromptParts) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(p.ctx, endCheckTimeout)
	defer cancel()
	if !p.conns.HasEnded(ctx, u.Address, x.service.MaxConnections, p.maxIdleConns(x.service)) {
		return false
	}
	p.metrics.upstreamsEnded.Inc()
	p.log.WithFields(logrus.Fields{
		"event": "upstream-ended", "instance": u.Instance, "address": u.Address, "request": x.call.ID, "parts": x.call.PromptParts,
	}).Warn("upstream ended under a request")
	now := time.Now()
	if p.poison.Ended(now, fmt.Sprintf("%s/%d", u.Instance, u.Born), x.call.PromptParts) {
		p.log.WithFields(logrus.Fields{"event": "parts-suspect", "quarantined": p.poison.Quarantined(now)}).Warn("several upstreams have ended under a part of prompts")
		p.mesh.Spread()
	}
	return true
}
