package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestCallerWhoStopsReadingEndsWrites lets a caller read nothing of an answer. Writing it must end soon after the
// request's deadline.
func TestCallerWhoStopsReadingEndsWrites(t *testing.T) {
	ended := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		limitWrites(w, time.Now())
		for b := make([]byte, 1<<16); ; {
			if _, err := w.Write(b); err != nil {
				return
			}
		}
	}))
	defer s.CloseClientConnections()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(slowCallerGrace + time.Second):
		t.Error("the answer is still being written")
	}
}
