package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// connectTime is how long a client waits for a new channel.
	connectTime = time.Second
	// deadline is a client's time limit.
	deadline = 4 * time.Second
)

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is a channel of a client to an entry.
type channel struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a channel to an entry.
func dial(p *process) (*channel, error) {
	c, err := net.DialTimeout("tcp", p.ip+":8360", connectTime)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// send sends a request and reads the head of its answer.
func (c *channel) send(method, path, id, body string, more http.Header, limit time.Duration) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(limit))
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		method, path, host, headerID, id, headerDeadline, limit.Milliseconds(), key, len(body))
	for k, l := range more {
		h += k + ": " + l[0] + "\r\n"
	}
	if _, err := io.WriteString(c, h+"\r\n"+body); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.r, &http.Request{Method: method})
}
