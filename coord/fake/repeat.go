package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Repeater starts a server that answers each request by f and, on a connection that is in use again, first sends the
// answer to the request before once more. That is the latest moment at which a second copy can arrive.
func Repeater(f func(q *http.Request) string) (address string, stop func(), err error) {
	return Raw(func(c *net.TCPConn) { repeat(c, f) })
}

// repeat answers the requests on one connection, as described at Repeater.
func repeat(c net.Conn, f func(q *http.Request) string) {
	r := bufio.NewReader(c)
	for last := ""; ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		a := f(q)
		if _, err := io.WriteString(c, last+a); err != nil {
			return
		}
		last = a
	}
}
