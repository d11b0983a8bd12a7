// Package fault defines the errors that a caller is told, and helpers to add
// context to errors.
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

// Codes told to callers.
const (
	BadRequest    Code = "invalid_request"
	BadKey        Code = "invalid_api_key"
	NoRoute       Code = "route_not_found"
	TooLarge      Code = "request_too_large"
	HeadTooLarge  Code = "request_head_too_large"
	RequestTimeout       Code = "request_timeout"
	OverLimit     Code = "rate_limit_exceeded"
	Overloaded    Code = "overloaded"
	DeadlineExceeded       Code = "deadline_exceeded"
	Unreachable   Code = "upstream_unreachable"
	UpstreamError Code = "upstream_error"
	OutcomeUnknown       Code = "outcome_unknown"
	OutcomeForgotten     Code = "outcome_forgotten"
	Leaving       Code = "leaving"
	Duplicate     Code = "duplicate_request"
	Cancelled     Code = "cancelled"
	NotReady      Code = "not_ready"
)

// Status returns the HTTP status of a code. Those of refusals promise that the request
// didn't run and never will.
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
	case UpstreamError, OutcomeUnknown:
		return http.StatusBadGateway
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// Error is a refusal or failure of one request.
type Error struct {
	Code Code
	Text string
	// Ran says whether the request ran at an upstream.
	Ran wire.Ran
	// RetryAt is the time at which a retry makes sense; zero if none is known.
	RetryAt time.Time
}

// Error returns the code and the text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Text)
}

// NotRun returns an Error for a request that did not run and never will.
func NotRun(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Text: fmt.Sprintf(format, args...), Ran: wire.Ran_RAN_NO}
}

// WithRetryAt returns a copy of e that names the time for a retry.
func (e *Error) WithRetryAt(t time.Time) *Error {
	c := *e
	c.RetryAt = t
	return &c
}

// WithRan returns a copy of e that says whether the request ran.
func (e *Error) WithRan(r wire.Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// RanText returns "no", "yes" or "unknown".
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

// Annotate adds context to *err where it is not nil. Deferred functions call it
// once with the named result of the surrounding function.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
