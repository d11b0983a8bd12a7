package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/hops"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/upconn"
	"github.com/rotisserie/eris"
)

// relayBufferBytes is the largest part of an answer that is relayed at once.
const relayBufferBytes = 8 << 10

// errUnsigned means that a successful answer lacks the upstream's signature, so that something else
// may have sent it.
var errUnsigned = eris.New("the answer can't be the upstream's")

// errUpstreamLeaving means that an upstream has left, or is about to, since it was picked.
var errUpstreamLeaving = eris.New("the upstream is leaving")

// send sends the request to an upstream and reads the head of the answer, after checking that the
// current configuration still lets the request run there. It records the result of a send that
// failed; the caller records the result of an answer.
func (p *Proxy) send(ctx context.Context, x *exchange, u roster.Upstream, params calls.UpstreamParams, purpose string) (*upconn.Response, calls.ResponseInfo, error) {
	if e := cmp.Or(p.checkStillAllowed(x), p.checkQuarantine(x)); e != nil {
		return nil, calls.ResponseInfo{}, &upconn.Error{Err: e}
	}
	// A decode engine may have been picked seconds ago, before the waits for a reservation and for
	// the prefill.
	if err := cmp.Or(p.checkUpstream(u), p.checkPinned(x, u), x.checkSource(params)); err != nil {
		return nil, calls.ResponseInfo{}, err
	}
	now := time.Now()
	if !p.pacer.Take(now, u.Instance) {
		return nil, calls.ResponseInfo{}, &upconn.Error{Err: errUpstreamLimited}
	}
	h := x.r.Header.Clone()
	hops.Strip(h)
	params.Instance = u.Instance
	params.Workspace = x.workspaceName()
	params.TimeLeft = x.timeLeft()
	p.codec.RewriteHeaders(h, params)
	x.record.sends++
	p.mu.Lock()
	p.picker.CallStarted(u.Instance, p.job(now, x))
	p.sendBegan(u)
	if !params.Prefill {
		p.notePlacement(now, x, u)
	}
	p.mu.Unlock()
	resp, err := p.conns.Do(ctx, u.Address, &upconn.Request{
		NewConn:            x.sentTo[u.Address],
		Method:             x.r.Method,
		Target:             x.r.RequestURI,
		Host:               x.r.Host,
		Header:             h,
		Body:               x.body,
		ForceContentLength: x.r.ContentLength >= 0 && x.r.Header.Get("Content-Length") != "" || len(x.r.TransferEncoding) > 0,
		MaxConns:           x.service.MaxConnections,
		MaxIdle:            p.maxIdleConns(x.service),
		CloseAfter:         p.closesAfter,
		Matches:            func(status int, h http.Header) bool { return p.codec.Matches(status, h, x.call.ID) },
		HasRequestID:       func(h http.Header) bool { return p.codec.Matches(http.StatusOK, h, x.call.ID) },
	})
	if err == nil || maybeSent(err) {
		x.recordSent(u)
	}
	if err != nil {
		if !maybeSent(err) {
			p.pacer.Return(time.Now(), u.Instance)
		}
		p.recordResult(x, u, sendErrorResult(x, err), nil, purpose)
		p.learnFromError(x, u, err)
		return nil, calls.ResponseInfo{}, err
	}
	info := p.codec.ResponseInfo(resp.Status, resp.Header)
	if info.WrongInstance {
		p.pacer.Return(time.Now(), u.Instance)
	}
	p.observeUpstream(u, info, now)
	p.observeSlowness(u, info)
	if resp.Status < http.StatusMultipleChoices && !info.Signed && !params.Prefill {
		_ = resp.Body.Close()
		p.recordResult(x, u, picker.NoAnswer, nil, purpose)
		return nil, info, &upconn.Error{Sent: true, Err: errUnsigned}
	}
	if purpose == "call" && resp.Status < http.StatusMultipleChoices {
		p.learnWork(x, u, info, time.Since(now))
	}
	return resp, info, nil
}

// maxIdleConns returns the number of idle connections that this entry may keep to an upstream of a
// service, so that all entries together don't use up its connections; 0 means no limit.
func (p *Proxy) maxIdleConns(s *rules.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(1, s.MaxConnections/(1+p.mesh.CountKnown(mesh.RoleEntry)))
}

// interruptedResult returns Abandoned if the caller has left, otherwise NoAnswer.
func interruptedResult(x *exchange) picker.Result {
	if x.r.Context().Err() != nil {
		return picker.Abandoned
	}
	return picker.NoAnswer
}

// sendErrorResult returns the result of a send that failed before an answer began.
func sendErrorResult(x *exchange, err error) picker.Result {
	r := interruptedResult(x)
	switch {
	case errors.Is(err, upconn.ErrMaxConns):
		return picker.Refused
	case r != picker.NoAnswer || maybeSent(err):
		return r
	}
	return picker.Unreachable
}

// recordResult records the result of a send in the metrics and the picker.
func (p *Proxy) recordResult(x *exchange, u roster.Upstream, r picker.Result, l *calls.Load, purpose string) {
	p.metrics.sends.WithLabelValues(purpose, resultNames[r]).Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.picker.CallEnded(now, u.Instance, p.job(now, x), r, l)
	p.sendEnded(u)
}

var resultNames = map[picker.Result]string{
	picker.Succeeded: "good", picker.Failed: "failed", picker.Refused: "refused", picker.NoAnswer: "lost", picker.Unreachable: "unreached", picker.Replaced: "gone", picker.Abandoned: "abandoned",
}

// maybeSent reports whether a failed send may have reached the upstream.
func maybeSent(err error) bool {
	var e *upconn.Error
	return !errors.As(err, &e) || e.Sent
}

// relay copies an answer to the caller and returns nil if it was complete. After an error, the
// caller's connection must be closed, so that the answer can't look complete.
func (p *Proxy) relay(x *exchange, resp *upconn.Response, flush bool) error {
	defer func() { _ = resp.Body.Close() }()
	x.record.framing = resp.Framing
	x.record.end = frame.Abandoned
	h := x.w.Header()
	closing := h.Get("Connection")
	hops.Strip(resp.Header)
	for k, v := range resp.Header {
		h[k] = v
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Del("Content-Length")
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.record.status = resp.Status
	x.answered = true
	x.w.WriteHeader(resp.Status)
	c := http.NewResponseController(x.w)
	b := make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(b)
		if n > 0 {
			x.record.addPart(time.Since(x.arrived), n)
			if _, e := x.w.Write(b[:n]); e != nil {
				return e
			}
			if flush {
				if e := c.Flush(); e != nil {
					return e
				}
			}
		}
		if err != nil {
			x.record.end = frame.EndOf(err)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// deliver relays an answer of an upstream that may have run the request, and records its result. If the answer broke off, it
// panics with http.ErrAbortHandler to close the caller's connection. An answer with a status that promises that the request
// didn't run is not relayed: its upstream has sent no proof, and the caller would run the request once more.
func (p *Proxy) deliver(x *exchange, u roster.Upstream, resp *upconn.Response, info calls.ResponseInfo, purpose string, flush bool) {
	x.record.instance, x.record.upstreamVersion = u.Instance, u.Version
	if fault.PromisesNotRun(resp.Status) {
		_ = resp.Body.Close()
		p.metrics.unprovenRefusals.Inc()
		p.recordResult(x, u, picker.Failed, info.Load, purpose)
		p.fail(x, unknownOutcomeFault(eris.Errorf("the upstream answered %d without proof that it didn't run the request", resp.Status)))
		return
	}
	if resp.Status < http.StatusMultipleChoices {
		defer p.noteOrigin(x, u)()
	}
	err := p.relay(x, resp, flush)
	p.metrics.answers.WithLabelValues(string(x.record.framing), string(x.record.end)).Inc()
	if err == nil {
		x.record.outcome = outcomeAnswered
		x.conn.SetServed()
		p.learnFromAnswer(x, u, info)
		p.recordResult(x, u, statusResult(resp.Status), info.Load, purpose)
		return
	}
	p.recordResult(x, u, interruptedResult(x), info.Load, purpose)
	p.learnFromAnswer(x, u, info)
	x.record.cause = err.Error()
	if x.r.Context().Err() != nil {
		x.record.outcome = outcomeCallerLeft
	}
	panic(http.ErrAbortHandler)
}

func statusResult(status int) picker.Result {
	if status >= http.StatusInternalServerError {
		return picker.Failed
	}
	return picker.Succeeded
}

// failContextDone fails an exchange whose context has ended.
func (p *Proxy) failContextDone(x *exchange, err error) { p.fail(x, p.contextFault(x, err)) }

// contextFault returns the fault for a request whose context has ended: its deadline has passed, its caller has left, or the
// shutdown has cut it off.
func (p *Proxy) contextFault(x *exchange, err error) *fault.Error {
	switch {
	case p.isCutOff(x) && x.mayHaveRun:
		return unknownOutcomeFault(errCutOff)
	case p.isCutOff(x):
		return stoppingFault("no time is left")
	case x.mayHaveRun:
		return fault.NotRun(fault.DeadlineExceeded, "no answer within the time limit: %v", err)
	}
	return overloadedFault(0, "no upstream took the request within its time: %v", err)
}
