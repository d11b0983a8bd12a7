package crowd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// patience bounds each exchange of an ordinary caller; it says nothing about speed.
	patience = time.Minute
	// tries is the number of times that an ordinary caller sends a request.
	tries = 4
	// usualPause is the time until the next try if the answer names none.
	usualPause = 100 * time.Millisecond
)

// Request is what an ordinary caller sends: a request line without the protocol, header fields, each with its line end, and a
// body.
type Request struct {
	Line, Fields string
	Body         Body
}

// Refusal is the error of an answer with another status than 200.
type Refusal struct {
	Status int
	Header http.Header
	Body   string
}

func (r *Refusal) Error() string { return fmt.Sprintf("status %d: %s", r.Status, r.Body) }

// Caller is an ordinary caller's connection. Use Dial.
type Caller struct {
	conn   net.Conn
	answer *bufio.Reader
}

// Dial opens a connection. The function that it returns closes it.
func Dial(address string) (c *Caller, closeConn func(), err error) {
	n, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return nil, nil, err
	}
	return &Caller{n, bufio.NewReader(n)}, func() { _ = n.Close() }, nil
}

// Ask sends a request and reads the answer. The error is nil if the status is 200 and the body whole.
func (c *Caller) Ask(q Request) error {
	if err := c.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	sent := writeRequest(c.conn, q.Line, q.Fields, q.Body)
	// A refusal may come before the body is sent.
	a, err := http.ReadResponse(c.answer, nil)
	if err != nil {
		return errors.Join(sent, err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return &Refusal{a.StatusCode, a.Header, string(b)}
	}
	return nil
}

// Ask sends a request on a connection of its own.
func Ask(address string, q Request) error {
	c, closeConn, err := Dial(address)
	if err != nil {
		return err
	}
	defer closeConn()
	return c.Ask(q)
}

// AskAgain sends requests, each on a connection of its own, until one is answered, and waits as long as the refusals ask
// for. It returns the errors of those that were not.
func AskAgain(address string, next func() Request) (refused []error, ok bool) {
	for range tries {
		err := Ask(address, next())
		if err == nil {
			return refused, true
		}
		refused = append(refused, err)
		time.Sleep(pauseAfter(err))
	}
	return refused, false
}

// pauseAfter returns the time until the next try.
func pauseAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
			return time.Duration(s * float64(time.Second))
		}
	}
	return usualPause
}
