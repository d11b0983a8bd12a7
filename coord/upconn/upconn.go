// Package upconn is an HTTP/1.1 client with a connection pool for requests to upstreams.
//
// It parses responses with the standard library, but doesn't use its transport. That may send
// a request again on a new connection if the upstream has closed the reused one; Do sends
// each request at most once. Each error says whether the request may have reached the
// upstream. If Request.Matches is set, a late or duplicate response to another request is
// never passed on; Request.HasRequestID and Request.Group keep those that name no request apart.
package upconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/heads"
	"cranberrypoint.example/coord/resets"
	"github.com/rotisserie/eris"
)

const (
	// defaultMaxIdle bounds the idle connections to one address if the request sets no bound.
	defaultMaxIdle = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
	// maxSyncBodyBytes is the largest request body that is written before the response is read.
	// Larger ones are written by a goroutine of their own.
	maxSyncBodyBytes = 32 << 10
	// maxResponseBytes bounds the bytes that are read from the connection until the head of the
	// response is complete. Whole responses that are skipped before it count too.
	maxResponseBytes = 256 << 10
	// maxResponses bounds the responses that are read for one request: interim ones, those
	// that belong to other requests, and its own.
	maxResponses = 3
)

// ControlGroup is the group of this system's own calls to upstreams, whose responses name no request.
const ControlGroup = "control"

// Request is a request to one upstream.
type Request struct {
	Method string
	// Target is the request target as it is written in the request line.
	Target string
	Host   string
	Header http.Header
	// Body is in pieces.
	Body [][]byte
	// ForceContentLength sends a Content-Length header even if the body is empty.
	ForceContentLength bool
	// MaxConns bounds the connections of the pool to the address; 0 for no bound. Callers set
	// the number of connections that the upstream accepts from all its clients together.
	MaxConns int
	// MaxIdle bounds the idle connections that the pool keeps to the address; 0 for a default.
	MaxIdle int
	// CloseAfter reports whether the connection of a response with this header is closed after
	// the response; nil leaves that to the protocol.
	CloseAfter func(h http.Header) bool
	// Matches reports whether a response with this status and header can belong to this
	// request; nil accepts any.
	Matches func(status int, h http.Header) bool
	// HasRequestID reports whether a response with this header states its request's id; nil if all do. After
	// one that doesn't, the connection is closed: a late copy of it would be taken for the next response.
	HasRequestID func(h http.Header) bool
	// Group separates the connections to an address: a connection is reused only within its group. Requests
	// whose responses state no id need a group of their own, so that a late copy never answers another kind of
	// request.
	Group string
	// NewConn is true if the request has been sent to the address before. Responses name the request, not the send, so
	// a late copy of the earlier response would be taken for the new one on a connection that is reused.
	NewConn bool
}

// bodySize returns the size of the body in bytes.
func (q *Request) bodySize() (n int) {
	for _, p := range q.Body {
		n += len(p)
	}
	return n
}

// Response is an upstream's response. Body must be closed. Closing it before its end closes
// the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown or the body is a stream
	// of events, of which it doesn't prove the end.
	Length int64
	// Framing is what marks the end of the body.
	Framing frame.Framing
	// RequestWritten is true if the whole request was written before the response began.
	RequestWritten bool
	Body           io.ReadCloser
}

// Error is the failure of a request for which Do returns no response: it was not sent, or no
// valid response that belongs to it was read.
type Error struct {
	// Sent is true if the request may have reached the upstream: a connection was available
	// and writing was tried, even if it failed.
	Sent bool
	Err  error
}

// Error returns the cause and the value of Sent.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent, no answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNoMatch means that the request's response wasn't among the first maxResponses that were
// read, or came after one of another request whose end can't be found.
var errNoMatch = errors.New("the answer belongs to another request")

// errHeadUnfinished means that the parser took a part of a head for the whole.
var errHeadUnfinished = eris.New("the head of the answer has no end")

// ErrMaxConns means that Request.MaxConns connections are open. The upstream would reset
// another one.
var ErrMaxConns = errors.New("the upstream takes no more connections")

// idleKey says for which requests an idle connection can be reused.
type idleKey struct{ address, group string }

// Pool holds connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[idleKey][]*conn
	// open counts the connections to an address, including those being dialed.
	open map[string]int
	// total is the sum of open, and maxTotal its bound; 0 for none.
	total, maxTotal int
	closed          bool
	// onDial is called after each successful dial, if not nil.
	onDial func()
}

// NewPool returns a pool and a function that closes the pool's idle connections; after it the
// pool keeps no idle connections. If onDial is not nil, it is called after each successful dial.
func NewPool(onDial func(), opts ...Option) (p *Pool, closePool func()) {
	p = &Pool{idle: map[idleKey][]*conn{}, open: map[string]int{}, onDial: onDial}
	for _, o := range opts {
		o(p)
	}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[idleKey][]*conn{}
	p.mu.Unlock()
	for _, l := range idle {
		closeConns(l)
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var l []*conn
	for k, idle := range p.idle {
		if k.address == address {
			l = append(l, idle...)
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	closeConns(l)
}

// closeConns closes connections. The caller must not hold the pool's lock, since conn.Close
// locks the pool to update its count.
func closeConns(l []*conn) {
	for _, c := range l {
		_ = c.Close()
	}
}

// takeIdle removes and returns the idle connection that was used last among those that have
// not expired and that isQuiet accepts, or nil. It closes the others that it comes across.
func (p *Pool) takeIdle(k idleKey) *conn {
	for {
		p.mu.Lock()
		l := p.idle[k]
		if len(l) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := l[len(l)-1]
		p.idle[k] = l[:len(l)-1]
		p.mu.Unlock()
		if time.Now().Before(c.expiresAt) && c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
}

// putIdle keeps an idle connection. It returns false if the pool is closed or holds maxIdle
// of them already.
func (p *Pool) putIdle(k idleKey, c *conn, maxIdle int) bool {
	if maxIdle <= 0 {
		maxIdle = defaultMaxIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[k]) >= maxIdle {
		return false
	}
	p.idle[k] = append(p.idle[k], c)
	return true
}

// get returns an idle connection, unless the request needs a new one, or dials.
func (p *Pool) get(ctx context.Context, k idleKey, q *Request) (*conn, error) {
	if !q.NewConn {
		if c := p.takeIdle(k); c != nil {
			return c, nil
		}
		return p.dial(ctx, k.address, q.MaxConns)
	}
	c, err := p.dial(ctx, k.address, q.MaxConns)
	if !errors.Is(err, ErrMaxConns) {
		return c, err
	}
	// An idle connection makes room.
	idle := p.takeIdle(k)
	if idle == nil {
		return nil, err
	}
	_ = idle.Close()
	return p.dial(ctx, k.address, q.MaxConns)
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, address string, maxConns int) (*conn, error) {
	p.closeExcess()
	if !p.reserveConn(address, maxConns) {
		return nil, ErrMaxConns
	}
	n, err := newDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseConn(address)
		return nil, err
	}
	if p.onDial != nil {
		p.onDial()
	}
	s := resets.New(n)
	h := heads.NewReader(s)
	c := &conn{Conn: s, head: h, r: bufio.NewReaderSize(h, readBufferBytes)}
	c.onClose = sync.OnceFunc(func() { p.releaseConn(address) })
	return c, nil
}

// Do sends a request to an address and returns the head of its response. Its errors are of
// type *Error. When the context ends, the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, address string, q *Request) (r *Response, err error) {
	c, err := p.get(ctx, idleKey{address, q.Group}, q)
	if err != nil {
		return nil, &Error{Err: err}
	}
	detachContext := context.AfterFunc(ctx, c.abort)
	r, err = p.roundTrip(address, c, q, detachContext)
	if err != nil {
		detachContext()
		_ = c.Close()
		if e := ctx.Err(); e != nil {
			err = e
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return r, nil
}

// writeRequest sends the request; the result of the write is sent on written. A body above
// maxSyncBodyBytes is written while the response is awaited, since an upstream may respond
// before it has read the whole body.
func writeRequest(c *conn, q *Request) (written chan error) {
	written = make(chan error, 1)
	var b bytes.Buffer
	writeHead(&b, q)
	if q.bodySize() <= maxSyncBodyBytes {
		for _, p := range q.Body {
			b.Write(p)
		}
		_, err := c.Write(b.Bytes())
		written <- err
		return written
	}
	go func() {
		_, err := c.Write(b.Bytes())
		for _, p := range q.Body {
			if err != nil {
				break
			}
			_, err = c.Write(p)
		}
		written <- err
	}()
	return written
}

// writeHead writes the request line and the headers.
func writeHead(b *bytes.Buffer, q *Request) {
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if n := q.bodySize(); n > 0 || q.ForceContentLength {
		b.WriteString("Content-Length: " + strconv.Itoa(n) + "\r\n")
	}
	// This client sets the host and the body's framing itself, so these three are dropped from
	// the caller's header.
	_ = q.Header.WriteSubset(b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
}

// roundTrip sends a request on a connection and reads the head of its response. The body of
// the response calls detachContext at its end; see responseBody.
func (p *Pool) roundTrip(address string, c *conn, q *Request, detachContext func() bool) (r *Response, err error) {
	defer fault.Annotate(&err, "%s", address)
	if q.bodySize() > maxSyncBodyBytes {
		defer c.allowSlowReader()()
	}
	written := writeRequest(c, q)
	resp, err := readResponse(c, q)
	if err != nil {
		return nil, err
	}
	requestWritten := false
	select {
	case e := <-written:
		requestWritten = e == nil
	default:
	}
	body := frame.NewBody(resp)
	b := &responseBody{pool: p, key: idleKey{address, q.Group}, maxIdle: q.MaxIdle, conn: c, detachContext: detachContext, ReadCloser: body}
	b.expiresAt = time.Now().Add(idleTimeout(resp.Header))
	f := frame.Of(resp)
	b.reuse = requestWritten && f != frame.Connection && !resp.Close && resp.ProtoAtLeast(1, 1)
	if q.CloseAfter != nil && q.CloseAfter(resp.Header) || q.HasRequestID != nil && !q.HasRequestID(resp.Header) {
		b.reuse = false
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: body.Length, Framing: f, RequestWritten: requestWritten, Body: b}, nil
}

// readResponse reads the head of the response to q. It skips interim responses. It also skips
// a response to another request if its end is known from a length or chunks; otherwise that
// response is an error.
func readResponse(c *conn, q *Request) (*http.Response, error) {
	c.head.Limit(maxResponseBytes)
	defer c.head.Lift()
	for range maxResponses {
		// Peek can't fail: it asks for no more than there is.
		buffered, _ := c.r.Peek(c.r.Buffered())
		if err := c.head.Begin(buffered); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if c.head.InHead() {
			return nil, errHeadUnfinished
		}
		if q.Matches == nil || q.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if frame.Of(resp) == frame.Connection {
			return nil, errNoMatch
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errNoMatch
}
