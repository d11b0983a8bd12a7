package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
)

const (
	// notReadyRetryAfter is the retry delay for callers while the entry has no current
	// configuration.
	notReadyRetryAfter = 500 * time.Millisecond
	// defaultTimeout limits a request for which neither route nor caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// slowCallerGrace is how long after the deadline of a request the end of its answer may still be on its way
	// to a caller on a slow link.
	slowCallerGrace = 3 * time.Second
	// fieldOverheadBytes is the size of a header field besides its name and value.
	// headOverheadBytes is the size of a head besides fields, method, target and host name.
	fieldOverheadBytes = len(": \r\n")
	headOverheadBytes  = len("  HTTP/1.1\r\nHost: \r\n\r\n")
)

// ServeHTTP serves a request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began, ok := p.clientConns.beginRequest(r.Context())
	if !ok {
		panic(http.ErrAbortHandler)
	}
	p.activeRequests.Add(1)
	defer p.activeRequests.Add(-1)
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{w: w, r: r, firstByteAt: began, arrived: time.Now(), arrivedInstant: clock.Now(), conn: intake.FromContext(r.Context())}
	x.setWriteDeadline(x.arrived.Add(defaultTimeout))
	// The server reads the rest of the body of a request that is refused. An error means that the writer is a test's.
	_ = http.NewResponseController(w).SetReadDeadline(x.arrived.Add(defaultTimeout))
	x.record.outcome = outcomeIncomplete
	defer p.finish(x)
	if e := p.admit(x); e != nil {
		p.fail(x, e)
		return
	}
	x.setWriteDeadline(x.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(p.signals.cutOff, cancel)()
	x.ctx = ctx
	if e := p.pinResumed(x); e != nil {
		p.fail(x, e)
		return
	}
	if x.runsOnEngine() {
		p.serveStream(x)
		return
	}
	p.servePlain(x)
}

// setWriteDeadline bounds the time for writing the answer to a caller who doesn't read it: a request that is to be
// answered at deadline must not hold its place and its memory any longer than slowCallerGrace after that.
func (x *exchange) setWriteDeadline(deadline time.Time) {
	// An error means that the connection is closed, or that the writer is a test's.
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(slowCallerGrace))
}

// admit validates and authenticates a request, reads its body and applies the rate limit.
func (p *Proxy) admit(x *exchange) *fault.Error {
	hasRoom := x.conn.Begin()
	c, err := p.codec.RequestInfo(x.r.Header)
	if err != nil {
		return fault.NotRun(fault.BadRequest, "%v", err)
	}
	x.call = c
	if !hasRoom {
		return noRoomFault()
	}
	v := p.snapshot.Load()
	if v == nil {
		return p.notReadyFault("no configuration is known yet")
	}
	x.record.configVersion, x.record.configAge = v.rules.Version(), v.age()
	x.record.admittedVersion = v.rules.Version()
	p.metrics.configAge.Observe(x.record.configAge.Seconds())
	if p.clientConns.hasConflictingLength(x.r) {
		x.w.Header().Set("Connection", "close")
		return fault.NotRun(fault.BadRequest, "the request has a length and is chunked")
	}
	if !strings.HasPrefix(x.r.RequestURI, "/") {
		return fault.NotRun(fault.BadRequest, "the request target is not a path")
	}
	if maxBytes := v.rules.Limits().MaxHeaderBytes; maxBytes > 0 && headSize(x.r) > maxBytes {
		return fault.NotRun(fault.HeadTooLarge, "the head of the request is larger than %d bytes", maxBytes)
	}
	x.path, _, _ = strings.Cut(x.r.RequestURI, "?")
	if e := p.resolve(x, v); e != nil {
		return e
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.route.Timeout <= 0 {
		x.deadline = x.arrived.Add(defaultTimeout)
	}
	if d := x.arrived.Add(c.TimeLeft); c.TimeLeft > 0 && d.Before(x.deadline) {
		x.deadline = d
	}
	if e := cmp.Or(p.checkDrain(x), p.checkEndsBeforeShutdown(x)); e != nil {
		return e
	}
	if e := p.readBody(x, v.rules.Limits()); e != nil {
		return e
	}
	return p.applyRateLimit(x)
}

func (p *Proxy) notReadyFault(text string) *fault.Error {
	return fault.NotRun(fault.NotReady, "%s", text).WithRetryAt(time.Now().Add(notReadyRetryAfter))
}

// resolve finds the route, the workspace and the service of a request.
func (p *Proxy) resolve(x *exchange, v *snapshot) *fault.Error {
	if p.lagsBehind(v) {
		return p.notReadyFault("the configuration is too old, and others may have a newer one")
	}
	x.route = v.rules.Route(hostWithoutPort(x.r.Host), x.path)
	if x.route == nil {
		return p.noRouteFault(v)
	}
	if !x.route.Public && v.rules.RequiresKeys() {
		if !v.isFresh(p.settings.ConfigMaxAge) {
			return p.notReadyFault("the configuration is too old to prove a key")
		}
		x.workspace = v.rules.Workspace(x.call.Key)
		if x.call.Key == "" || x.workspace == nil {
			return p.noKeyFault(v)
		}
	} else if x.call.Key != "" && v.isFresh(p.settings.ConfigMaxAge) {
		x.workspace = v.rules.Workspace(x.call.Key)
	}
	if !x.conn.SetOwner(x.owner()) {
		x.close()
		return noRoomFault()
	}
	x.service = v.rules.Service(x.route.Pick(rand.Int()))
	if x.service == nil {
		return fault.NotRun(fault.Unreachable, "the route has no service").WithRetryAt(time.Now().Add(notReadyRetryAfter))
	}
	return nil
}

// headSize returns the size of a request's head in bytes, including the request line.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + headOverheadBytes
	for k, l := range r.Header {
		for _, v := range l {
			n += len(k) + len(v) + fieldOverheadBytes
		}
	}
	return n
}

func hostWithoutPort(h string) string {
	if n, _, err := net.SplitHostPort(h); err == nil {
		return n
	}
	return h
}

// readBody reads the whole body, so that it can be sent again to another upstream, and so that the
// server notices a caller who leaves.
func (p *Proxy) readBody(x *exchange, l rules.Limits) *fault.Error {
	c := http.NewResponseController(x.w)
	maxBytes := p.maxBodyBytes(l.MaxBodyBytes)
	if x.r.ContentLength > maxBytes {
		return fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", maxBytes)
	}
	_ = c.SetReadDeadline(x.deadline)
	defer context.AfterFunc(p.signals.cutOff, func() { _ = c.SetReadDeadline(time.Now()) })()
	held := x.conn.Held()
	b, err := x.conn.ReadBody(http.MaxBytesReader(x.w, x.r.Body, maxBytes), x.r.ContentLength)
	x.bodyBytes = x.conn.Held() - held
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return fault.NotRun(fault.TooLarge, "the body is larger than %d bytes", maxBytes)
	case errors.Is(err, intake.ErrNoRoom):
		return noRoomFault()
	case errors.Is(err, os.ErrDeadlineExceeded) && p.isCutOff(x):
		return stoppingFault("the body hasn't come yet")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.NotRun(fault.RequestTimeout, "the body didn't come in time")
	case err != nil:
		return fault.NotRun(fault.BadRequest, "the body can't be read: %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	x.conn.Arrived()
	x.received = time.Now()
	x.body, x.hasBody = b, true
	x.fingerprint = poison.Fingerprint(x.workspaceName(), x.r.Method, hostWithoutPort(x.r.Host), x.r.RequestURI, b...)
	x.poisonKeys = poison.Keys(x.fingerprint, x.call.PromptParts)
	return nil
}

// checkStillAllowed checks just before a send that the current configuration still lets the request
// run at its service.
func (p *Proxy) checkStillAllowed(x *exchange) *fault.Error {
	v := p.snapshot.Load()
	x.record.configVersion, x.record.configAge = v.rules.Version(), v.age()
	t := v.rules.Route(hostWithoutPort(x.r.Host), x.path)
	if t == nil {
		return p.noRouteFault(v)
	}
	if x.workspace != nil {
		if !v.isFresh(p.settings.ConfigMaxAge) {
			return p.notReadyFault("the configuration is too old to prove a key")
		}
		w := v.rules.Workspace(x.call.Key)
		if w == nil {
			return fault.NotRun(fault.BadKey, "the key is not granted")
		}
		if w.Name != x.workspace.Name {
			return p.notReadyFault("the key has moved to another workspace")
		}
	}
	p.updateBounds(x, v, t)
	if t.Serves(x.service.Name) {
		return nil
	}
	return p.notReadyFault("the route has moved to another service")
}

// overloadedFault returns the fault for a request that no upstream ran and that may be sent again
// after retryAfter.
func overloadedFault(retryAfter time.Duration, format string, args ...any) *fault.Error {
	return fault.NotRun(fault.Overloaded, format, args...).WithRetryAt(time.Now().Add(retryAfter))
}

// unknownOutcomeFault returns the fault for a request that an upstream may have run.
func unknownOutcomeFault(err error) *fault.Error {
	return fault.NotRun(fault.OutcomeUnknown, "%v", err).WithRan(wire.Ran_RAN_UNKNOWN)
}
