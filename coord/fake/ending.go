package fake

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cranberrypoint.example/coord/frame"
)

// resetDelay is the time between the last bytes of an answer and a reset of its connection, in
// which the receiver reads the bytes. A reset drops what it has not read.
const resetDelay = 30 * time.Millisecond

// Ending is how an upstream frames an answer and how the answer ends.
type Ending struct {
	Framing frame.Framing
	// Missing is the number of bytes at the end of the body that are not sent.
	Missing int
	// Marked is true if the framing marks the end where the sent bytes end, although bytes
	// are missing.
	Marked bool
	// Endless is true if the head or, with a framing, the body goes on until the connection is
	// closed.
	Endless bool
	// Reset is true if the connection is reset instead of closed.
	Reset bool
	// StatusLine is the first line of the answer, without its end; empty for one with status 200.
	StatusLine string
	// Lines are written as they are at the end of the head, before those of the framing.
	Lines string
	// FirstBytes is the number of bytes, from the beginning of the answer, that are sent; 0 for all.
	FirstBytes int
	// Early is true if the answer comes before the body of the request is read.
	Early bool
}

// ReadBody reads the body of a request that is to be answered with an ending; nil is the usual one.
func (e *Ending) ReadBody(q *http.Request) ([]byte, error) {
	if e != nil && e.Early {
		return nil, nil
	}
	return io.ReadAll(q.Body)
}

// Write writes an answer with status 200, the headers of w and this ending to the connection of
// w, and ends the connection.
func (e Ending) Write(w http.ResponseWriter, body string) (err error) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	out := io.Writer(c)
	if e.FirstBytes > 0 {
		out = &firstBytes{c, e.FirstBytes}
	}
	_, _ = fmt.Fprintf(out, "%s\r\n", cmp.Or(e.StatusLine, "HTTP/1.1 200 OK"))
	if e.Missing == 0 && e.Framing != frame.Connection {
		// A client that kept the connection of a whole answer might send its next request just before it is
		// closed.
		w.Header().Set("Connection", "close")
	}
	_ = w.Header().Write(out)
	_, _ = io.WriteString(out, e.Lines)
	e.writeBody(out, body)
	for e.Endless && err == nil {
		_, err = c.Write([]byte(endlessPart))
	}
	t, ok := c.(*net.TCPConn)
	switch {
	case ok && e.Reset:
		time.Sleep(resetDelay)
		return t.SetLinger(0)
	case ok && e.Early:
		// A close with unread bytes would be a reset.
		_ = t.CloseWrite()
		_, _ = io.Copy(io.Discard, t)
	}
	return nil
}

// writeBody writes the headers of the framing and the body without its missing bytes. Without a
// framing it writes a header that is not finished.
func (e Ending) writeBody(c io.Writer, body string) {
	sent := body[:max(0, len(body)-e.Missing)]
	marked := e.Marked || len(sent) == len(body)
	switch e.Framing {
	case frame.Length:
		n := len(body)
		if marked {
			n = len(sent)
		}
		_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", n, sent)
	case frame.Chunked:
		_, _ = fmt.Fprint(c, "Transfer-Encoding: chunked\r\n\r\n")
		if len(sent) > 0 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(sent), sent)
		}
		if marked {
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
		}
	case frame.Connection:
		_, _ = fmt.Fprintf(c, "Connection: close\r\n\r\n%s", sent)
	default:
		_, _ = fmt.Fprint(c, "X-Long: ")
	}
}

// firstBytes passes on the first left bytes, and drops the others.
type firstBytes struct {
	w    io.Writer
	left int
}

// Write implements io.Writer.
func (f *firstBytes) Write(b []byte) (int, error) {
	n, err := f.w.Write(b[:min(len(b), f.left)])
	f.left -= n
	return len(b), err
}
