package proxy

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/region"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"github.com/sirupsen/logrus"
)

// exchange is one request of a caller and the state of its processing.
type exchange struct {
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	// firstByteAt is when the request's first bytes arrived, arrived when its head was read.
	firstByteAt time.Time
	arrived     time.Time
	// arrivedInstant is arrived on the clock that counts suspensions.
	arrivedInstant clock.Instant
	// received is when the whole request had arrived; zero until then.
	received time.Time
	// deadline is when the request must have been answered.
	deadline time.Time
	call     calls.RequestInfo
	route    *rules.Route
	service  *rules.Service
	path     string
	// conn is the caller's connection; nil if it isn't guarded. body was read whole if hasBody is true, and bodyBytes of
	// memory were taken for it.
	conn      *intake.Conn
	body      intake.Body
	hasBody   bool
	bodyBytes int64
	// fingerprint identifies the request among all that callers send; see poison.Fingerprint. It is empty
	// until the body was read.
	fingerprint string
	// poisonKeys name what may be at fault if upstreams end under the request.
	poisonKeys []poison.Key
	// workspace is nil if no key was authenticated, which is only accepted on public routes and
	// if the configuration requires no keys.
	workspace *rules.Workspace
	// tokens is how many tokens were taken from the workspace's limit.
	tokens int64
	// started is when the process of the engine that streams the answer started, as reservation.started.
	started int64
	// origin is where the stream began that the request takes up again; its version is empty for none.
	origin origin.Origin
	// bounds are the regions in which the request may run, and regions those of the data centres.
	bounds  region.Bounds
	regions map[string]string
	// prefillDeadline is when the prefill of a stream must end for its answer to begin on time.
	prefillDeadline time.Time
	// kvCache is the prompt's KV cache on a prefill engine, if there is one.
	kvCache kvCache
	// releaseLocalPrefill ends the reservation for a prefill by the decode engine; nil if there
	// is none.
	releaseLocalPrefill func()
	// attempts and prefillAttempts count the sends that may have reached an upstream.
	attempts        int
	prefillAttempts int
	// sentTo holds the addresses of the upstreams that the request may have reached, whatever for.
	sentTo map[string]bool
	// mayHaveRun is true once an upstream may have run the request.
	mayHaveRun bool
	// answered is true once the head of an answer was written.
	answered bool
	// placement is what a plain request was last placed by.
	placement placement
	record    accessRecord
}

// accessRecord holds what the log line of a request contains besides the request itself.
type accessRecord struct {
	status          int
	outcome         string
	cause           string
	sends           int
	instance        string
	upstreamVersion string
	prefillInstance string
	// localPrefill is true if this entry chose the decode engine for the prefill and its agent
	// permitted that. It is not set if the decode engine prefills because a remote prefill
	// failed or its KV cache is gone.
	localPrefill bool
	// moved is true if the request left the queue of one engine for a place at another.
	moved bool
	// reservationSlack is the time from the last request for a reservation to the latest grant
	// with which the answer begins on time.
	reservationSlack time.Duration
	// waited is the time from the request until a reservation was granted or finally refused, or the time for
	// which a plain request waited for slots.
	waited time.Duration
	// queued is the number of requests that waited for a slot of a plain upstream when this one came.
	queued      int
	prefillTime time.Duration
	// firstEvent is the time from the request to the first part of the answer.
	firstEvent time.Duration
	// longestPause is the longest time between two parts of a streamed answer.
	longestPause time.Duration
	// lastPart is the time from the request to the last part of the answer.
	lastPart time.Duration
	bytes    int64
	// parts is the number of parts of the answer.
	parts int
	// framing and end say how the upstream framed its answer and how reading it ended; empty
	// if no answer was relayed.
	framing frame.Framing
	end     frame.End
	// configVersion and configAge are those of the configuration at the last check, admittedVersion that of the one with
	// which the request was admitted.
	configVersion   uint64
	configAge       time.Duration
	admittedVersion uint64
	// originVersions are the versions that may have begun a resumed stream of which there is no note, and originObserved for
	// how long somebody has seen all versions.
	originVersions []string
	originObserved time.Duration
	// repeats are the reasons why the request was sent once more.
	repeats []string
}

// addPart records a part of the answer that arrived some time after the request.
func (r *accessRecord) addPart(at time.Duration, bytes int) {
	if r.firstEvent == 0 {
		r.firstEvent = at
	} else {
		r.longestPause = max(r.longestPause, at-r.lastPart)
	}
	r.lastPart = at
	r.parts++
	r.bytes += int64(bytes)
}

// Outcomes of requests, in logs and metrics. outcomeIncomplete is the initial one, and remains if
// the answer breaks off while the caller is still there.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeIncomplete = "cut"
	outcomeCallerLeft = "caller-left"
)

// recordSent records that the request may have reached an upstream.
func (x *exchange) recordSent(u roster.Upstream) {
	if x.sentTo == nil {
		x.sentTo = map[string]bool{}
	}
	x.sentTo[u.Address] = true
}

func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }

func (x *exchange) kind() string {
	if x.route == nil {
		return "unknown"
	}
	return string(x.route.Kind)
}

// workspaceName returns the name of the workspace, or "" if there is none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// fail ends an exchange with an error response. If the request may have run, a fault whose status
// promises that it did not is sent as 502 instead.
func (p *Proxy) fail(x *exchange, e *fault.Error) {
	code := e.Code.Status()
	if x.mayHaveRun && fault.PromisesNotRun(code) {
		code = http.StatusBadGateway
	}
	x.record.cause = e.Error()
	x.record.status = code
	x.record.outcome = outcomeRefused
	if x.mayHaveRun {
		x.record.outcome = outcomeFailed
	} else {
		p.refund(x)
	}
	if x.r.Context().Err() != nil {
		// The response is written all the same. The context also ends if the body can't be
		// read, and without a response the standard library's server would send a 200.
		x.record.outcome = outcomeCallerLeft
	}
	x.refuseBody(e.Code)
	h := x.w.Header()
	if p.draining.Load() {
		h.Set("Connection", "close")
	}
	p.codec.SetRequestID(h, x.call.ID)
	if !e.RetryAt.IsZero() && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(max(0, time.Until(e.RetryAt).Seconds()), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	b, err := json.Marshal(map[string]map[string]string{"error": {"code": string(e.Code), "message": e.Text}})
	if err != nil {
		p.log.WithError(err).Error("failed to encode the body of an error response as JSON")
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	x.answered = true
	x.w.WriteHeader(code)
	_, _ = x.w.Write(b)
}

// unusualProtocol returns the HTTP version of the caller if it isn't 1.1, otherwise "".
func (x *exchange) unusualProtocol() string {
	if x.r.ProtoMajor == 1 && x.r.ProtoMinor == 1 {
		return ""
	}
	return x.r.Proto
}

// finish records the end of an exchange in the metrics and the log.
func (p *Proxy) finish(x *exchange) {
	r := x.record
	took := time.Since(x.arrived)
	p.metrics.requests.WithLabelValues(x.kind(), r.outcome).Inc()
	p.metrics.duration.WithLabelValues(x.kind(), r.outcome).Observe(took.Seconds())
	if r.firstEvent > 0 && x.kind() == string(rules.Streaming) {
		p.metrics.firstEvent.Observe(r.firstEvent.Seconds())
	}
	f := logrus.Fields{
		"event": "request", "request": x.call.ID, "kind": x.kind(), "workspace": x.workspaceName(),
		"outcome": r.outcome, "status": r.status, "took-ms": took.Milliseconds(), "sends": r.sends,
		"version": r.configVersion, "rules-age-ms": r.configAge.Milliseconds(),
	}
	if x.route != nil {
		f["route"] = x.route.Name
	}
	for k, v := range map[string]string{
		"cause": r.cause, "instance": r.instance, "upstream-version": r.upstreamVersion, "prefill": r.prefillInstance, "framing": string(r.framing), "end": string(r.end),
		"protocol": x.unusualProtocol(), "resumes": x.call.Resumes, "last-event": x.call.LastEvent,
		"parts": strings.Join(x.call.PromptParts, ","), "repeats": strings.Join(r.repeats, ","),
		"origin-versions": strings.Join(r.originVersions, ","),
	} {
		if v != "" {
			f[k] = v
		}
	}
	for k, v := range map[string]time.Duration{"slack-ms": r.reservationSlack, "waited-ms": r.waited, "read-ms": r.prefillTime, "first-ms": r.firstEvent, "pause-ms": r.longestPause, "origin-observed-ms": r.originObserved} {
		if v != 0 {
			f[k] = v.Milliseconds()
		}
	}
	if r.outcome != outcomeAnswered && x.fingerprint != "" {
		f["fingerprint"] = x.fingerprint
	}
	if r.queued > 0 {
		f["queued"], f["weight"] = r.queued, p.shareWeight(x)
	}
	if r.admittedVersion != r.configVersion {
		f["admitted-version"] = r.admittedVersion
	}
	if r.localPrefill {
		f["own-read"] = true
	}
	if r.moved {
		f["moved"] = true
	}
	if r.bytes > 0 {
		f["bytes"] = r.bytes
	}
	maps.Copy(f, x.placement.fields())
	p.log.WithFields(f).Info("request finished")
}
