package stand

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

// RawAnswer is an answer as it is written to the connection, which is closed after it.
type RawAnswer struct {
	Text string
	// Reset is true if the connection is reset instead.
	Reset bool
}

// resetDelay is the time between the last bytes of an answer and a reset, in which the receiver reads them.
const resetDelay = 20 * time.Millisecond

// write writes the answer to the connection of w.
func (a RawAnswer) write(w http.ResponseWriter) error {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, a.Text); err != nil {
		return err
	}
	if t, ok := c.(*net.TCPConn); ok && a.Reset {
		time.Sleep(resetDelay)
		return t.SetLinger(0)
	}
	return nil
}

// Script returns the answer to a call with a path and a body; nil for the usual one.
type Script func(path string, body []byte) *RawAnswer

// SetScript sets what answers the calls that come from now on; nil for the usual answers.
func (e *Engine) SetScript(s Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = s
}

// scripted lets the script answer calls, and the handler those for which it has no answer.
func (e *Engine) scripted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		e.mu.Lock()
		s := e.script
		e.mu.Unlock()
		if s == nil {
			h.ServeHTTP(w, q)
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if a := s(q.URL.Path, b); a != nil {
			_ = a.write(w)
			return
		}
		q.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, q)
	})
}
