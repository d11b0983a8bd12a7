package upconn

import (
	"context"
	"net"

	"cranberrypoint.example/coord/heads"
	"cranberrypoint.example/coord/resets"
)

// singleConn is a connection that carries one request. Its reads check the head of the response.
type singleConn struct {
	net.Conn
	head *heads.Reader
}

// Read reads from the connection.
func (c *singleConn) Read(b []byte) (int, error) { return c.head.Read(b) }

// Dial opens a TCP connection for one request of an HTTP client other than Pool, as http.Transport.DialContext without a
// dialer of its own does. As in Pool, a reset is never an orderly end, and a head that is none of HTTP/1.1 is an error.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := resets.New(n)
	h := heads.NewReader(c)
	return &singleConn{c, h}, h.Begin(nil)
}
