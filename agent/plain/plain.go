// Package plain is a client for a plain service: an ordinary HTTP service, as opposed to a
// model engine, which generates tokens. It forwards a caller's request and streams the
// response back.
package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/hops"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
)

// RequestIDHeader is the request header that carries the request's ID to the service.
const RequestIDHeader = "X-Request-Id"

// readBufferBytes is the largest part of a response body that is passed on at once.
const readBufferBytes = 16 << 10

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 32 << 10

// Client calls one service. It is safe for concurrent use. It sets no timeouts; the context
// of each call limits its duration.
type Client struct {
	base string
	// http opens a connection for each request: answers don't name their request, so on a connection
	// that is in use again, a late second copy of one would reach the next caller. And http.Transport
	// never retries by itself, which it does when an idle connection turns out to be closed.
	http *http.Client
}

// New returns a client for the service at a base URL.
func New(base string) *Client {
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: newHTTPClient(&http.Transport{DialContext: upconn.Dial, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}),
	}
}

// newHTTPClient returns a client that passes redirects on instead of following them.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Sink receives a response.
type Sink struct {
	// Head is called once, before Data, with the status and the headers.
	Head func(*wire.Head)
	// Data is called with each part of the body, in order, and may keep it. An error ends
	// the call.
	Data func([]byte) error
	// Ended is called once after Head, when the body has ended or reading it has failed.
	Ended func(frame.Framing, frame.End)
}

// Call sends the request in o to the service, passes the response to s and returns the
// response's trailers. An error states whether the service may have run the request.
func (c *Client) Call(ctx context.Context, o *wire.Open, body io.Reader, s Sink) ([]*wire.Header, *fault.Error) {
	req, err := http.NewRequestWithContext(ctx, o.Method, c.base+o.Path, body)
	if err != nil {
		return nil, fault.NotRun(fault.BadRequest, "%v", err)
	}
	for _, h := range o.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(RequestIDHeader, o.Request)
	setLength(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b := frame.NewBody(resp)
	if b.Length < 0 {
		resp.Header.Del("Content-Length")
	}
	s.Head(&wire.Head{Status: int32(resp.StatusCode), Headers: WireHeaders(resp.Header)})
	err = copyBody(b, s)
	s.Ended(frame.Of(resp), frame.EndOf(err))
	if err != nil {
		// The service has answered, so WithRan overrides the default of NotRun.
		return nil, fault.NotRun(fault.UpstreamError, "the upstream's answer broke off: %v", err).WithRan(wire.Ran_RAN_YES)
	}
	return WireHeaders(resp.Trailer), nil
}

// setLength removes the Content-Length header, which net/http ignores, and sets
// req.ContentLength, which it sends, to the header's value. A missing or malformed length
// becomes unknown, so the body is sent chunked. A length of 0 needs http.NoBody, as 0
// with another body means unknown.
func setLength(req *http.Request) {
	n, err := strconv.ParseInt(req.Header.Get("Content-Length"), 10, 64)
	req.Header.Del("Content-Length")
	switch {
	case err != nil:
		req.ContentLength = -1
	case n == 0:
		req.Body = http.NoBody
		req.ContentLength = 0
	default:
		req.ContentLength = n
	}
}

// callError converts the error of a call that got no response. Only a failure to connect
// proves that the service didn't run the request.
func callError(err error) *fault.Error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return fault.NotRun(fault.Unreachable, "the upstream refused the connection")
	}
	e := fault.NotRun(fault.UpstreamError, "the upstream gave no answer")
	return e.WithRan(wire.Ran_RAN_UNKNOWN)
}

// copyBody passes a response body to s. Each part gets a buffer of its own because s may
// keep it.
func copyBody(r io.Reader, s Sink) error {
	for {
		b := make([]byte, readBufferBytes)
		n, err := r.Read(b)
		if n > 0 {
			if err := s.Data(shrink(b[:n])); err != nil {
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

// shrink returns a part that was read without the rest of its buffer, if that is most of it.
func shrink(p []byte) []byte {
	if len(p) >= cap(p)/2 {
		return p
	}
	return bytes.Clone(p)
}

// WireHeaders converts headers to protobuf messages, without the hop-by-hop headers, which
// concern only one connection.
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
