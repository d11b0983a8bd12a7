package world_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/local/world"
	"github.com/google/go-cmp/cmp"
)

// events is a whole stream of two events.
const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// raw is an answer as a caller reads it from its connection.
type raw struct {
	status int
	body   string
	// complete is true if the answer's framing says that the body is whole.
	complete bool
}

// setEnding sets how the answers of all plain services end.
func setEnding(w *world.World, e *fake.Ending) {
	for _, s := range w.Services {
		s.SetEnding(e)
	}
}

// dialEntry opens a caller's connection to the first entry.
func dialEntry(t *testing.T, w *world.World) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.Entries[w.Order[0]].CallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

// sendEvents asks a plain service for an answer with the events, by a protocol such as "HTTP/1.1".
func sendEvents(t *testing.T, c net.Conn, protocol string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /decisions/events %s\r\nHost: h\r\nAccept: text/event-stream\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		protocol, world.ExampleKey, len(events), events)
	if err != nil {
		t.Fatal(err)
	}
}

// readRaw reads an answer from a caller's connection.
func readRaw(c net.Conn) raw {
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return raw{}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return raw{r.StatusCode, string(b), err == nil}
}

// endings are the ways in which the stream of events can break off so that it shows.
var endings = map[string]fake.Ending{
	"length":                               {Framing: frame.Length, Missing: 3},
	"length, reset":                        {Framing: frame.Length, Missing: 3, Reset: true},
	"length inside an event":               {Framing: frame.Length, Missing: 3, Marked: true},
	"chunks":                               {Framing: frame.Chunked, Missing: 3},
	"chunks, reset":                        {Framing: frame.Chunked, Missing: 3, Reset: true},
	"last chunk inside an event":           {Framing: frame.Chunked, Missing: 3, Marked: true},
	"no framing":                           {Framing: frame.Connection, Missing: 3},
	"no framing, before the blank line":    {Framing: frame.Connection, Missing: 1},
	"no framing, before the first event":   {Framing: frame.Connection, Missing: len(events)},
	"no framing, reset between two events": {Framing: frame.Connection, Missing: len(events) / 2, Reset: true},
}

// TestBrokenOffPlainAnswerLooksBrokenOff guards against a stream of a plain service that breaks off
// and reaches its caller, through the service's agent, as if it were complete.
func TestBrokenOffPlainAnswerLooksBrokenOff(t *testing.T) {
	w := start(t)
	for name, e := range endings {
		setEnding(w, &e)
		c := dialEntry(t, w)
		sendEvents(t, c, "HTTP/1.1")
		if a := readRaw(c); a.complete && a.status == http.StatusOK {
			t.Errorf("%s: status %d, %d bytes, complete", name, a.status, len(a.body))
		}
	}
}

// TestWholePlainAnswerLooksComplete checks that streams which end as they should, in each framing,
// reach their callers whole.
func TestWholePlainAnswerLooksComplete(t *testing.T) {
	w := start(t)
	for _, f := range []frame.Framing{frame.Length, frame.Chunked, frame.Connection} {
		setEnding(w, &fake.Ending{Framing: f})
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			c := dialEntry(t, w)
			sendEvents(t, c, protocol)
			if d := cmp.Diff(raw{http.StatusOK, events, true}, readRaw(c), cmp.AllowUnexported(raw{})); d != "" {
				t.Errorf("%s, caller with %s (-want +got):\n%s", f, protocol, d)
			}
		}
	}
}

// TestBrokenOffPlainAnswerToOldCaller guards against a stream that breaks off and looks complete to a
// caller that speaks HTTP/1.0. To such a caller an orderly close of its connection is the end.
func TestBrokenOffPlainAnswerToOldCaller(t *testing.T) {
	w := start(t)
	for name, e := range endings {
		setEnding(w, &e)
		c := dialEntry(t, w)
		sendEvents(t, c, "HTTP/1.0")
		if a := readRaw(c); a.complete && a.status == http.StatusOK {
			t.Errorf("%s: status %d, %d bytes, complete", name, a.status, len(a.body))
		}
	}
}

// TestHalfClosedCallerSeesBreak guards against an answer that is given up since its caller has closed
// its sending side, and that then ends as if it were complete.
func TestHalfClosedCallerSeesBreak(t *testing.T) {
	w := start(t)
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := dialEntry(t, w)
		sendChat(t, c, protocol, true)
		r := bufio.NewReader(c)
		a, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.Body.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(a.Body)
		if err == nil && !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
			t.Errorf("%s: a complete answer that ends with %q", protocol, b[max(0, len(b)-40):])
		}
		_ = a.Body.Close()
	}
}

// TestHalfClosedCallerGetsNoEmptyAnswer is TestHalfClosedCallerSeesBreak for a completion that is not
// streamed, of which nothing has been sent when it is given up.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	w := start(t)
	c := dialEntry(t, w)
	sendChat(t, c, "HTTP/1.1", false)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if a := readRaw(c); a.complete && a.body == "" {
		t.Errorf("a complete answer with status %d and no body", a.status)
	}
}

// sendChat asks for a long completion.
func sendChat(t *testing.T, c net.Conn, protocol string, stream bool) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"chat-1","messages":[{"role":"user","content":"hello"}],"max_tokens":400,"stream":%t}`, stream)
	_, err := fmt.Fprintf(c, "POST /v1/chat/completions %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", protocol, world.ExampleKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
}
