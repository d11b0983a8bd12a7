package upconn

import (
	"context"
	"net"
	"sync"

	"cranberrypoint.example/coord/heads"
	"cranberrypoint.example/coord/resets"
)

// checkedConn is a connection of an HTTP client other than Pool. Its reads check the heads of responses.
type checkedConn struct {
	net.Conn
	// kept is true if the connection carries one request without a body after the other. Otherwise it carries one.
	kept bool
	// mu guards head: a client may read while it writes.
	mu   sync.Mutex
	head heads.Checker
}

// Read reads from the connection. The error is that of the head, in place of the bytes that show it.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.head.Add(b[:n]); e != nil {
		return 0, e
	}
	return n, err
}

// Write writes to the connection. The head of a response follows the first part of a request.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.kept && !c.head.InHead() {
		c.head.Begin()
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Dial opens a TCP connection for one request of an HTTP client other than Pool, as http.Transport.DialContext without a
// dialer of its own does. As in Pool, a reset is never an orderly end, and a head that is none of HTTP/1 is an error.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialChecked(ctx, &net.Dialer{}, network, address, false)
}

// DialKept returns a function as Dial for a client whose requests have no body and that sends one after the other on a connection.
func DialKept(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialChecked(ctx, d, network, address, true)
	}
}

func dialChecked(ctx context.Context, d *net.Dialer, network, address string, kept bool) (net.Conn, error) {
	n, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &checkedConn{Conn: resets.New(n), kept: kept}
	c.head.Begin()
	return c, nil
}
