// Package plain calls a plain HTTP service.
package plain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/hops"
	"cranberrypoint.example/coord/wire"
)

// RequestIDHeader carries the name of a request to the service.
const RequestIDHeader = "X-Request-Id"

// partSize is the size of the parts in which an answer is read, in bytes.
const partSize = 16 << 10

// Client calls one service.
type Client struct {
	base string
	// repeatable keeps connections. The transport repeats some requests by itself
	// when a kept connection turns out to be dead.
	repeatable *http.Client
	// once opens a connection for each call, so that nothing is repeated.
	once *http.Client
}

// New returns a client for the service at a base URL.
func New(base string) *Client {
	return &Client{
		base:       strings.TrimSuffix(base, "/"),
		repeatable: client(&http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}),
		once:       client(&http.Transport{DisableCompression: true, DisableKeepAlives: true}),
	}
}

func client(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Sink receives an answer.
type Sink struct {
	Head func(*wire.Head)
	Data func([]byte) error
}

// Call makes a call and returns the trailers of its answer.
func (c *Client) Call(ctx context.Context, o *wire.Open, body io.Reader, s Sink) ([]*wire.Header, *fault.Error) {
	q, err := http.NewRequestWithContext(ctx, o.Method, c.base+o.Path, body)
	if err != nil {
		return nil, fault.NotRun(fault.BadRequest, "%v", err)
	}
	for _, h := range o.Headers {
		q.Header.Add(h.Name, h.Value)
	}
	q.Header.Set(RequestIDHeader, o.Request)
	setLength(q)
	h := c.once
	if o.Idempotent {
		h = c.repeatable
	}
	a, err := h.Do(q)
	if err != nil {
		return nil, failure(err)
	}
	defer func() { _ = a.Body.Close() }()
	s.Head(&wire.Head{Status: int32(a.StatusCode), Headers: WireHeaders(a.Header)})
	if err := read(a.Body, s); err != nil {
		return nil, fault.NotRun(fault.UpstreamError, "the upstream's answer broke off: %v", err).WithRan(wire.Ran_RAN_YES)
	}
	return WireHeaders(a.Trailer), nil
}

// setLength turns a declared length into that of the request.
func setLength(q *http.Request) {
	n, err := strconv.ParseInt(q.Header.Get("Content-Length"), 10, 64)
	q.Header.Del("Content-Length")
	switch {
	case err != nil:
		q.ContentLength = -1
	case n == 0:
		q.Body = http.NoBody
		q.ContentLength = 0
	default:
		q.ContentLength = n
	}
}

func failure(err error) *fault.Error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return fault.NotRun(fault.Unreachable, "the upstream refused the connection")
	}
	e := fault.NotRun(fault.UpstreamError, "the upstream gave no answer")
	return e.WithRan(wire.Ran_RAN_UNKNOWN)
}

func read(r io.Reader, s Sink) error {
	for {
		b := make([]byte, partSize)
		n, err := r.Read(b)
		if n > 0 {
			if err := s.Data(b[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// WireHeaders returns the wire form of headers without those of one connection.
func WireHeaders(h http.Header) []*wire.Header {
	c := h.Clone()
	hops.Strip(c)
	var r []*wire.Header
	for n, vs := range c {
		for _, v := range vs {
			r = append(r, &wire.Header{Name: n, Value: v})
		}
	}
	return r
}
