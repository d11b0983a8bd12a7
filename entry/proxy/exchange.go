package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/rules"
	"github.com/sirupsen/logrus"
)

// exchange is one request of a caller and what became of it.
type exchange struct {
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	// began is when the first bytes came, arrived when the head was read.
	began   time.Time
	arrived time.Time
	// deadline is when the request must have its final answer.
	deadline time.Time
	call     calls.RequestInfo
	route    *rules.Route
	service  *rules.Service
	path     string
	body     []byte
	// workspace is nil on open routes without a key.
	workspace *rules.Workspace
	// tokens were taken from the workspace's limit.
	tokens int64
	// timely is until when a stream's prompt must be read for its answer to begin in time.
	timely time.Time
	// read is the prompt's KV cache, while it may be there.
	read read
	// ownRead ends the reading of the prompt by the engine of the answer; nil without one.
	ownRead func()
	// arrivals and prefills count the sends that may have reached an upstream.
	arrivals int
	prefills int
	// sent is true once an upstream may have run the request.
	sent bool
	// answered is true once the head of an answer was written.
	answered bool
	note     note
}

// note is what the log line of a request tells besides its identity.
type note struct {
	status   int
	outcome  string
	cause    string
	sends    int
	instance string
	prefill  string
	// own is true if the engine of the answer was left to read the prompt.
	own bool
	// slack is how long a place could be awaited for an answer that begins in time.
	slack   time.Duration
	waited  time.Duration
	read    time.Duration
	first   time.Duration
	bytes   int64
	version uint64
	age     time.Duration
}

// Outcomes of requests.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeCut      = "cut"
	outcomeLeft     = "caller-left"
)

func (x *exchange) left() time.Duration { return time.Until(x.deadline) }

func (x *exchange) kind() string {
	if x.route == nil {
		return "unknown"
	}
	return string(x.route.Kind)
}

// workspaceName returns the name of the workspace, or nothing.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// fail ends an exchange with an answer of the system's own. A fault that says that the
// request didn't run turns into one that promises nothing if it may have.
func (p *Proxy) fail(x *exchange, e *fault.Error) {
	code := e.Code.Status()
	if x.sent && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		code = http.StatusBadGateway
	}
	x.note.cause = e.Error()
	x.note.status = code
	x.note.outcome = outcomeRefused
	if x.sent {
		x.note.outcome = outcomeFailed
	} else {
		p.refund(x)
	}
	if x.r.Context().Err() != nil {
		// The answer is written all the same: the context also ends where a body can't be
		// read, and without an answer the server of the standard library would send a 200.
		x.note.outcome = outcomeLeft
	}
	h := x.w.Header()
	p.codec.SetRequestID(h, x.call.ID)
	if !e.Again.IsZero() && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(max(0, time.Until(e.Again).Seconds()), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	b, err := json.Marshal(map[string]map[string]string{"error": {"code": string(e.Code), "message": e.Text}})
	if err != nil {
		p.log.WithError(err).Error("encode a fault")
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	x.answered = true
	x.w.WriteHeader(code)
	_, _ = x.w.Write(b)
}

// finish counts and logs the end of an exchange.
func (p *Proxy) finish(x *exchange) {
	n := x.note
	took := time.Since(x.arrived)
	p.metrics.requests.WithLabelValues(x.kind(), n.outcome).Inc()
	p.metrics.seconds.WithLabelValues(x.kind(), n.outcome).Observe(took.Seconds())
	if n.first > 0 && x.kind() == string(rules.Streaming) {
		p.metrics.first.Observe(n.first.Seconds())
	}
	f := logrus.Fields{
		"event": "request", "request": x.call.ID, "kind": x.kind(), "workspace": x.workspaceName(),
		"outcome": n.outcome, "status": n.status, "took-ms": took.Milliseconds(), "sends": n.sends,
		"version": n.version, "rules-age-ms": n.age.Milliseconds(),
	}
	if x.route != nil {
		f["route"] = x.route.Name
	}
	for k, v := range map[string]string{"cause": n.cause, "instance": n.instance, "prefill": n.prefill} {
		if v != "" {
			f[k] = v
		}
	}
	for k, v := range map[string]time.Duration{"slack-ms": n.slack, "waited-ms": n.waited, "read-ms": n.read, "first-ms": n.first} {
		if v != 0 {
			f[k] = v.Milliseconds()
		}
	}
	if n.own {
		f["own-read"] = true
	}
	if n.bytes > 0 {
		f["bytes"] = n.bytes
	}
	p.log.WithFields(f).Info("request")
}
