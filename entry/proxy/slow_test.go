package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/coord/upconn"
	"github.com/google/go-cmp/cmp"
)

// endlessBody is a body without an end, until its context ends.
type endlessBody struct{ ctx context.Context }

func (b endlessBody) Read(p []byte) (int, error) { return len(p), b.ctx.Err() }
func (b endlessBody) Close() error               { return nil }

// TestCallerWhoStopsReadingHoldsNothing lets a caller read nothing of a large answer. The request must end soon after its
// deadline, with all that it holds.
func TestCallerWhoStopsReadingHoldsNothing(t *testing.T) {
	p := newTestProxy(t.Context(), t)
	const timeout = 300 * time.Millisecond
	ended := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, arrived: time.Now(), deadline: time.Now().Add(timeout)}
		x.setWriteDeadline(x.deadline)
		ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
		defer cancel()
		ended <- p.relay(x, &upconn.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Framing: frame.Chunked, Body: endlessBody{ctx}}, true)
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
	case err := <-ended:
		if err == nil {
			t.Error("an answer that was given up counts as whole")
		}
	case <-time.After(timeout + slowCallerGrace + time.Second):
		t.Error("the request still holds its place")
	}
}

// TestSlowReaderGetsWholeAnswer lets a caller read an answer slowly, with long pauses, yet within its time. It must get
// all of it.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	p := newTestProxy(t.Context(), t)
	const size = 24 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, arrived: time.Now(), deadline: time.Now().Add(10 * time.Second)}
		x.setWriteDeadline(x.deadline)
		body := io.NopCloser(io.LimitReader(endlessBody{r.Context()}, size))
		_ = p.relay(x, &upconn.Response{Status: http.StatusOK, Header: http.Header{}, Length: size, Framing: frame.Length, Body: body}, true)
	}))
	defer s.Close()
	r, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	time.Sleep(2500 * time.Millisecond)
	n, err := io.Copy(io.Discard, r.Body)
	if n != size || err != nil {
		t.Errorf("%d bytes of %d, error %v", n, size, err)
	}
}

// relayStream relays a stream whose upstream writes each of the parts after a pause, to a request with some time. It
// returns how the stream ended, what the caller got and how long that took.
func relayStream(t *testing.T, parts []string, pause, timeout time.Duration) (end frame.End, body string, took time.Duration) {
	t.Helper()
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, s := range parts {
			if _, err := io.WriteString(w, s); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(pause)
		}
	}))
	defer u.Close()
	p := newTestProxy(t.Context(), t)
	conns, closePool := upconn.NewPool(nil)
	defer closePool()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	w := httptest.NewRecorder()
	x := &exchange{w: w, r: httptest.NewRequest("GET", "/", nil), arrived: time.Now()}
	resp, err := conns.Do(ctx, u.Listener.Addr().String(), &upconn.Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	err = p.relay(x, resp, true)
	if (err == nil) != (x.record.end == frame.Complete) {
		t.Errorf("error %v at the end %q", err, x.record.end)
	}
	return x.record.end, w.Body.String(), time.Since(x.arrived)
}

// TestStalledStreamEnds lets an upstream send a comment or a part of an event now and then, and never a whole event. The
// stream must end with the request's time, and not as a whole one.
func TestStalledStreamEnds(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for _, part := range []string{":\n\n", "d"} {
		end, _, took := relayStream(t, slices.Repeat([]string{part}, 1000), 20*time.Millisecond, timeout)
		if end != frame.Abandoned || took > 2*timeout {
			t.Errorf("%q again and again: end %q after %s; want %q within %s", part, end, took, frame.Abandoned, 2*timeout)
		}
	}
}

// TestSlowSoundStreamIsNotCut lets an upstream pause between events for longer than an idle connection may last and than
// bytes may stay unacknowledged. All events must arrive.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	end, body, _ := relayStream(t, []string{"data: 1\n\n", "data: 2\n\n"}, 4500*time.Millisecond, 20*time.Second)
	if d := cmp.Diff("data: 1\n\ndata: 2\n\n", body); d != "" || end != frame.Complete {
		t.Errorf("end %q, events (-want +got):\n%s", end, d)
	}
}
