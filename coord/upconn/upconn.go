// Package upconn owns the connections of an entry to upstreams.
//
// The standard library parses the answers, but nothing is sent that the caller of Do
// didn't decide: its transport would repeat a request on a stale connection. Each error
// says whether the request may have reached the upstream. An answer is matched to its
// request, so that a late or second answer of another request is never passed on.
package upconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
)

const (
	// maxIdle bounds the idle connections to one address where the request names no share.
	maxIdle = 16
	// maxHeader bounds the head of an answer, and answers of other requests before it, in bytes.
	maxHeader = 256 << 10
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 8 << 10
	// inlineBody is the largest body, in bytes, that is written before the answer is read.
	inlineBody = 32 << 10
	// maxForeign bounds the answers of other requests that are skipped.
	maxForeign = 3
)

// Request is one send to one upstream.
type Request struct {
	Method string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ForceContentLength sends the length of an empty body too.
	ForceContentLength bool
	// MaxConns is the number of connections that the upstream takes from all its callers
	// together, and Share how many of them may be kept idle here; 0 if there is no bound.
	MaxConns int
	MaxIdle  int
	// Matches reports whether the head of an answer can be that to this request.
	Matches func(status int, h http.Header) bool
}

// Response is an upstream's answer. Body must be closed; closing it before its end
// closes the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body in bytes, or -1 if it isn't known.
	Length int64
	Body   io.ReadCloser
}

// Error is a send without an answer.
type Error struct {
	// Sent is true if the upstream may have got the request.
	Sent bool
	Err  error
}

// Error returns the cause and whether the request was sent.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent, no answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errForeign means that the answers on a connection belonged to other requests.
var errForeign = errors.New("the answer belongs to another request")

// ErrMaxConns means that as many connections are open as the upstream takes: it would reset
// another one.
var ErrMaxConns = errors.New("the upstream takes no more connections")

// Pool holds the connections. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// open counts the connections to an address, those that are being opened too.
	open map[string]int
	shut bool
	// opened counts new connections.
	opened func()
}

// NewPool returns a pool and a function that closes the idle connections. Opened is
// called for each new connection.
func NewPool(opened func()) (p *Pool, closeAll func()) {
	p = &Pool{idle: map[string][]*conn{}, open: map[string]int{}, opened: opened}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	p.shut = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, l := range idle {
		closeAll(l)
	}
}

// CloseIdle closes the idle connections of an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	l := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(l)
}

// closeAll closes connections. The end of each takes the pool's lock.
func closeAll(l []*conn) {
	for _, c := range l {
		_ = c.Close()
	}
}

// take returns an idle connection that is fit for use, the one used last, or nil.
func (p *Pool) take(address string) *conn {
	for {
		p.mu.Lock()
		l := p.idle[address]
		if len(l) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := l[len(l)-1]
		p.idle[address] = l[:len(l)-1]
		p.mu.Unlock()
		if time.Now().Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// put keeps an idle connection, and reports false if there are enough.
func (p *Pool) put(address string, c *conn, share int) bool {
	if share <= 0 {
		share = maxIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || len(p.idle[address]) >= share {
		return false
	}
	p.idle[address] = append(p.idle[address], c)
	return true
}

func (p *Pool) get(ctx context.Context, address string, most int) (*conn, error) {
	if c := p.take(address); c != nil {
		return c, nil
	}
	if !p.reserve(address, most) {
		return nil, ErrMaxConns
	}
	n, err := dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		p.closed(address)
		return nil, err
	}
	if p.opened != nil {
		p.opened()
	}
	l := &io.LimitedReader{R: n, N: math.MaxInt64}
	c := &conn{Conn: n, limit: l, r: bufio.NewReaderSize(l, readBuffer)}
	c.ended = sync.OnceFunc(func() { p.closed(address) })
	return c, nil
}

// reserve counts a connection that is about to be opened, unless there are as many as the
// upstream takes.
func (p *Pool) reserve(address string, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if most > 0 && p.open[address] >= most {
		return false
	}
	p.open[address]++
	return true
}

// closed counts the end of a connection.
func (p *Pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Do sends a request to an address and returns the head of its answer. When the context
// ends, the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, address string, q *Request) (a *Response, err error) {
	c, err := p.get(ctx, address, q.MaxConns)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err = p.exchange(address, c, q, stop)
	if err != nil {
		stop()
		_ = c.Close()
		if e := ctx.Err(); e != nil {
			err = e
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return a, nil
}

// write sends the request. A larger body is written while the answer is awaited,
// since an upstream may answer before it has read all.
func write(c *conn, q *Request) (written chan error) {
	written = make(chan error, 1)
	var b bytes.Buffer
	head(&b, q)
	if len(q.Body) <= inlineBody {
		b.Write(q.Body)
		_, err := c.Write(b.Bytes())
		written <- err
		return written
	}
	go func() {
		_, err := c.Write(b.Bytes())
		if err == nil {
			_, err = c.Write(q.Body)
		}
		written <- err
	}()
	return written
}

func head(b *bytes.Buffer, q *Request) {
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if len(q.Body) > 0 || q.ForceContentLength {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	// The caller's own host and length stand above.
	_ = q.Header.WriteSubset(b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
}

func (p *Pool) exchange(address string, c *conn, q *Request, stop func() bool) (a *Response, err error) {
	defer fault.Annotate(&err, "%s", address)
	written := write(c, q)
	h, err := answer(c, q)
	if err != nil {
		return nil, err
	}
	whole := false
	select {
	case e := <-written:
		whole = e == nil
	default:
	}
	b := &body{pool: p, address: address, share: q.MaxIdle, conn: c, stop: stop, ReadCloser: h.Body}
	b.until = time.Now().Add(keep(h.Header))
	framed := h.ContentLength >= 0 || len(h.TransferEncoding) > 0
	b.reuse = whole && framed && !h.Close && h.ProtoAtLeast(1, 1)
	return &Response{Status: h.StatusCode, Header: h.Header, Length: h.ContentLength, Body: b}, nil
}

// answer reads the head of the answer to q. Interim answers and whole answers of other
// requests before it are skipped.
func answer(c *conn, q *Request) (*http.Response, error) {
	c.limit.N = maxHeader
	defer func() { c.limit.N = math.MaxInt64 }()
	for range maxForeign {
		h, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
		if err != nil {
			return nil, err
		}
		if h.StatusCode < http.StatusOK {
			continue
		}
		if q.Matches == nil || q.Matches(h.StatusCode, h.Header) {
			return h, nil
		}
		if h.ContentLength < 0 && len(h.TransferEncoding) == 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, h.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// body reads an answer's body and takes the connection back at its end.
type body struct {
	io.ReadCloser
	pool    *Pool
	address string
	share   int
	conn    *conn
	stop    func() bool
	until   time.Time
	reuse   bool
	over    bool
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end(b.reuse)
	}
	return n, err
}

// Close ends the use of the connection.
func (b *body) Close() error {
	b.end(false)
	return nil
}

func (b *body) end(reuse bool) {
	if b.over {
		return
	}
	b.over = true
	// A stop that comes too late means that the context has ended the connection.
	if !b.stop() || !reuse || b.conn.r.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	b.conn.until = b.until
	if !b.pool.put(b.address, b.conn, b.share) {
		_ = b.conn.Close()
	}
}
