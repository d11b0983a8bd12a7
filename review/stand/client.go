package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method  string
	path    string
	id      string
	key     string
	body    []byte
	timeout time.Duration
	// resumes and lastEvent are set if the attempt takes a stream up again.
	resumes   string
	lastEvent int
}

// answer is what came of an attempt.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	complete   bool
	err        error
	retryAfter time.Duration
}

// newHTTP returns the attempt as an HTTP request.
func (q request) newHTTP(ctx context.Context, address string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	if q.method == http.MethodGet {
		r.Body, r.ContentLength = nil, 0
	}
	// The standard client would send a request again whose body it can get again.
	r.GetBody = nil
	r.Host = host
	r.Header.Set(headerID, q.id)
	r.Header.Set(headerDeadline, strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.resumes != "" {
		r.Header.Set(headerResumes, q.resumes)
		r.Header.Set(headerLastEvent, strconv.Itoa(q.lastEvent))
	}
	return r
}

// send sends an attempt on a new connection and reads the answer.
func (w *world) send(address string, q request) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	w.add("client: sends %s (%s %s, key %q, resumes %q after %d) to %s", q.id, q.method, q.path, q.key, q.resumes, q.lastEvent, address)
	defer func() { w.add("client: %s: %s", q.id, a) }()
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(q.newHTTP(ctx, address))
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(resp)
}

// readAnswer reads an answer to its end.
func readAnswer(resp *http.Response) answer {
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// String describes an answer in a line.
func (a answer) String() string {
	b := strings.Join(strings.Fields(string(a.body[:min(len(a.body), 120)])), " ")
	return fmt.Sprintf("status %d, receipt %q, retry after %v, complete %t, error %v: %s", a.status, a.header.Get(headerReceipt), a.retryAfter, a.complete, a.err, b)
}

// connection is a kept connection on which a client sends requests itself.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func openConnection(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// head returns the attempt as it stands on the wire, without its body.
func (q request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, headerID, q.id, headerDeadline, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// read reads the next answer on a connection.
func (c *connection) read(q request, until time.Time) answer {
	_ = c.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(resp)
}

// isClosed reports whether a connection was closed or reset by the other end before an answer was complete.
func (a answer) isClosed() bool {
	var n net.Error
	return a.err != nil && (!errors.As(a.err, &n) || !n.Timeout())
}
