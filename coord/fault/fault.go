// Package fault defines the errors that callers receive, and helpers that add context to
// errors.
//
// A request runs at an upstream, which is either a model engine or a plain service. An agent
// on the same VM relays the request to the upstream.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
)

// Code names the reason of a refusal or failure.
type Code string

// Codes that callers receive.
const (
	// BadRequest means that the request is malformed.
	BadRequest Code = "invalid_request"
	// BadKey means that the API key is missing, unknown, withdrawn or not valid for the route.
	BadKey Code = "invalid_api_key"
	// NoRoute means that no route matches the request.
	NoRoute Code = "route_not_found"
	// TooLarge means that the request exceeds a size limit.
	TooLarge Code = "request_too_large"
	// HeadTooLarge means that the request line and headers exceed the size limit.
	HeadTooLarge Code = "request_head_too_large"
	// RequestTimeout means that the request body did not arrive in time.
	RequestTimeout Code = "request_timeout"
	// OverLimit means that the workspace has used up its rate limit.
	OverLimit Code = "rate_limit_exceeded"
	// Overloaded means that the upstreams have no free capacity.
	Overloaded Code = "overloaded"
	// DeadlineExceeded means that the deadline of the request passed.
	DeadlineExceeded Code = "deadline_exceeded"
	// Unreachable means that no connection to an upstream or its agent could be made or kept.
	Unreachable Code = "upstream_unreachable"
	// UpstreamError means that an upstream failed or returned an incomplete response.
	UpstreamError Code = "upstream_error"
	// UpstreamEnded means that the process of an upstream ended while the request ran there.
	UpstreamEnded Code = "upstream_ended"
	// OutcomeUnknown means that the request ran or may have run, but its result is lost.
	OutcomeUnknown Code = "outcome_unknown"
	// OutcomeForgotten means that the request may be a duplicate of one that ran earlier, and
	// that the agent that had the record of the earlier one is gone or has restarted.
	OutcomeForgotten Code = "outcome_forgotten"
	// Leaving means that the process is shutting down and takes no new requests.
	Leaving Code = "leaving"
	// Duplicate means that the request was received before and can't run again.
	Duplicate Code = "duplicate_request"
	// Cancelled means that the caller has gone or that this attempt was cancelled. An entry
	// may make several attempts at a request, at different agents.
	Cancelled Code = "cancelled"
	// PromptQuarantined means that upstreams have crashed under requests with a part of the same prompt.
	PromptQuarantined Code = "prompt_quarantined"
	// RequestQuarantined means that upstreams have crashed under the same request.
	RequestQuarantined Code = "request_quarantined"
	// StreamUnknown means that a stream can't go on, since it isn't known which version of its upstream began it.
	StreamUnknown Code = "stream_unknown"
	// VersionGone means that a stream can't go on, since no upstream of the version that began it is left.
	VersionGone Code = "version_gone"
	// OutOfRegion means that no upstream is in a region in which the request may run.
	OutOfRegion Code = "no_upstream_in_region"
	// NoRoom means that the process holds as much for its callers as it may.
	NoRoom Code = "no_room"
	// NotReady means that the process can't serve requests yet or for now.
	NotReady Code = "not_ready"
)

// PromisesNotRun reports whether an HTTP status tells callers that their request has not run and never
// will, so that they may send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the HTTP status of an error: that of its code, or 502 if that would promise of a
// request that may have run that it hasn't.
func (e *Error) Status() int {
	if s := e.Code.Status(); e.Ran == wire.Ran_RAN_NO || !PromisesNotRun(s) {
		return s
	}
	return http.StatusBadGateway
}

// Status returns the HTTP status of a code, whether or not the request ran; see Error.Status.
func (c Code) Status() int {
	switch c {
	case BadRequest:
		return http.StatusBadRequest
	case BadKey:
		return http.StatusUnauthorized
	case NoRoute:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case RequestTimeout:
		return http.StatusRequestTimeout
	case OverLimit:
		return http.StatusTooManyRequests
	case Duplicate:
		return http.StatusConflict
	case UpstreamError, UpstreamEnded, OutcomeUnknown:
		return http.StatusBadGateway
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// Error is a refusal or failure of one request.
type Error struct {
	Code Code
	// Text is the message that the caller receives.
	Text string
	// Ran tells whether the request ran at an upstream: no, yes or unknown.
	Ran wire.Ran
	// RetryAt is the earliest time at which a retry may succeed; zero if not known.
	RetryAt time.Time
}

// Error returns the code and the text, as in "overloaded: all slots are taken".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Text)
}

// NotRun returns an Error with Ran set to no: the request did not run and never will. For a
// request that ran or may have run, call WithRan on the result.
func NotRun(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Text: fmt.Sprintf(format, args...), Ran: wire.Ran_RAN_NO}
}

// WithRetryAt returns a copy of e with RetryAt set to t.
func (e *Error) WithRetryAt(t time.Time) *Error {
	c := *e
	c.RetryAt = t
	return &c
}

// WithRan returns a copy of e with Ran set to r.
func (e *Error) WithRan(r wire.Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// RanText returns the text of r in error responses and metrics: "no", "yes" or "unknown".
func RanText(r wire.Ran) string {
	switch r {
	case wire.Ran_RAN_NO:
		return "no"
	case wire.Ran_RAN_YES:
		return "yes"
	default:
		return "unknown"
	}
}

// Annotate wraps *err with a formatted message unless *err is nil. Functions defer a call
// of it with the address of their named error result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
