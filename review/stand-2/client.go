package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request of a client, one attempt, and what came of it.
type call struct {
	id     string
	method string
	path   string
	// tokens is the value of Token-Count; empty for a plain request.
	tokens string
	body   string
	limit  time.Duration
	// gap is how long a client of a stream waits for its next event; 0 for no stream.
	gap time.Duration
	// resumes is the id of the attempt that brought a stream's first event, and lastEvent the number of the last event that
	// came.
	resumes   string
	lastEvent int

	entry string
	// sent is when the last byte was sent, ended when the channel or the answer ended.
	sent, ended time.Time
	status      int
	retryAfter  time.Duration
	got         string
	signature   string
	// complete is true if an answer came whole.
	complete bool
	// left is true if the client has closed the channel itself.
	left bool
	err  error
}

// connectTime is how long a client waits for a channel.
const connectTime = time.Second

// send makes a call on a new channel to an entry.
func (w *world) send(c *call, e *entry) {
	defer func() {
		c.ended = time.Now()
		w.record.line("%s is answered by %s: status %d, %d bytes, complete %v, left %v, %v", c.id, c.entry, c.status, len(c.got), c.complete, c.left, c.err)
	}()
	c.entry = e.name
	n, err := net.DialTimeout("tcp", e.callers, connectTime)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = n.Close() }()
	if _, c.err = n.Write(c.text()); c.err != nil {
		return
	}
	c.sent = time.Now()
	w.record.line("%s is sent to %s", c.id, e.name)
	c.read(n)
}

// text returns the request as it is sent.
func (c *call) text() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", c.method, c.path, host, headerID, c.id, headerDeadline, c.limit.Milliseconds(), key)
	if c.tokens != "" {
		in, _, _ := strings.Cut(c.tokens, ",")
		fmt.Fprintf(&b, "%sModel-Name: m\r\n%s: %s\r\n%sPrompt-Prefix: 5c1e07a2:100,%x:%d\r\n", prefix, headerTokens, c.tokens, prefix, c.id, number(in)-100)
	}
	if c.resumes != "" {
		fmt.Fprintf(&b, "Resumes: %s\r\n%s: %d\r\n", c.resumes, headerLastEvent, c.lastEvent)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return []byte(b.String())
}

// read reads the answer.
func (c *call) read(n net.Conn) {
	end := c.sent.Add(c.limit)
	extend := func() {
		t := end
		if g := time.Now().Add(c.gap); c.gap > 0 && g.Before(t) {
			t = g
		}
		_ = n.SetReadDeadline(t)
	}
	extend()
	a, err := http.ReadResponse(bufio.NewReader(n), &http.Request{Method: c.method})
	if err != nil {
		c.fail(err)
		return
	}
	c.status, c.signature = a.StatusCode, a.Header.Get(headerSignature)
	if s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
		c.retryAfter = time.Duration(s * float64(time.Second))
	}
	var got strings.Builder
	b := make([]byte, 16<<10)
	for {
		extend()
		k, err := a.Body.Read(b)
		got.Write(b[:k])
		c.got = got.String()
		if err == io.EOF {
			c.complete = true
			return
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *call) fail(err error) {
	c.err = err
	var t net.Error
	c.left = errors.As(err, &t) && t.Timeout()
}

// events returns the number of whole events that came.
func (c *call) events() int { return strings.Count(c.got, "\n\n") }

// calls sends calls at a steady rate and holds them.
type calls struct {
	mu  sync.Mutex
	all []*call
	// retry returns the next attempt after one that has ended, or nil; it may be nil itself.
	retry func(c *call) *call
}

func (l *calls) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, c)
}

// run sends calls at a rate until some time has passed, and waits for their ends.
func (l *calls) run(w *world, perSecond float64, d time.Duration, next func(n int) *call) {
	var wait sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < d; n++ {
		c := next(n)
		l.add(c)
		e := w.balance()
		wait.Go(func() {
			w.send(c, e)
			if l.retry == nil {
				return
			}
			if c = l.retry(c); c != nil {
				l.add(c)
				w.send(c, w.balance())
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / perSecond * float64(time.Second)))))
	}
	wait.Wait()
}
