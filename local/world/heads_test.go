package world_test

import (
	"fmt"
	"net/http"
	"testing"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/local/world"
	"github.com/google/go-cmp/cmp"
)

// checkNoAnswer lets all plain services answer in a way that is no answer. Callers must get an error of the entry, which promises
// nothing, and after it whole answers again.
func checkNoAnswer(t *testing.T, w *world.World, name string, e fake.Ending) {
	t.Helper()
	setEnding(w, &e)
	c := dialEntry(t, w)
	sendEvents(t, c, "HTTP/1.1")
	if a := readRaw(c); a.status != http.StatusBadGateway || !a.complete {
		t.Errorf("%s: status %d, %q, complete %t; want %d", name, a.status, a.body, a.complete, http.StatusBadGateway)
	}
	setEnding(w, &fake.Ending{Framing: frame.Length})
	c = dialEntry(t, w)
	sendEvents(t, c, "HTTP/1.1")
	if d := cmp.Diff(raw{http.StatusOK, events, true}, readRaw(c), cmp.AllowUnexported(raw{})); d != "" {
		t.Errorf("a whole answer after %s (-want +got):\n%s", name, d)
	}
}

// TestStatusesOfNoAnswer guards against an answer of a plain service in trouble whose status doesn't exist. The entry couldn't write it, or
// passed it on.
func TestStatusesOfNoAnswer(t *testing.T) {
	w := start(t)
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 101 OK", "HTTP/2.0 200 OK", "HTTP/1.1", "000"} {
		for _, f := range []frame.Framing{frame.Length, frame.Connection} {
			checkNoAnswer(t, w, line+", "+string(f), fake.Ending{StatusLine: line, Framing: f})
		}
		checkNoAnswer(t, w, line+", then a whole answer", fake.Ending{StatusLine: line + "\r\nX-Other: a\r\n\r\nHTTP/1.1 200 OK", Framing: frame.Length})
	}
}

// TestFieldsOfNoAnswer guards against an answer of a plain service in trouble with a field whose name holds a blank or a control byte, or that
// is none.
func TestFieldsOfNoAnswer(t *testing.T) {
	w := start(t)
	for _, line := range []string{
		"X Other: a", "X-Other : a", "X-Other\t: a", "X\x00Other: a", "X-Other\x7f: a", "\x01X-Other: a", " X-Other: a", "\tX-Other: a", "X-Other: a\x00b", "X-Other: a\rb", ": a", "X-Other",
		"Content-Length : 2", "Content-Length\x00: 2", " Content-Length: 2", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked",
	} {
		for _, f := range []frame.Framing{frame.Length, frame.Connection} {
			checkNoAnswer(t, w, fmt.Sprintf("%q, %s", line, f), fake.Ending{Lines: line + "\r\n", Framing: f})
		}
	}
}

// TestFramingsOfNoAnswer guards against an answer of a plain service in trouble whose head leaves open where its body ends.
func TestFramingsOfNoAnswer(t *testing.T) {
	w := start(t)
	checkNoAnswer(t, w, "a length beside chunks", fake.Ending{Lines: "Content-Length: 2\r\n", Framing: frame.Chunked})
	checkNoAnswer(t, w, "two lengths", fake.Ending{Lines: "Content-Length: 2\r\n", Framing: frame.Length})
	checkNoAnswer(t, w, "chunks in HTTP/1.0", fake.Ending{StatusLine: "HTTP/1.0 200 OK", Framing: frame.Chunked})
}

// TestCutHeadIsNoAnswer lets all plain services close the connection after each byte of the head and of a framed body. No caller may get a whole answer
// with status 200 before the answer is whole.
func TestCutHeadIsNoAnswer(t *testing.T) {
	w := start(t)
	for _, f := range []frame.Framing{frame.Length, frame.Chunked} {
		for n := 1; ; n++ {
			setEnding(w, &fake.Ending{Framing: f, FirstBytes: n})
			c := dialEntry(t, w)
			sendEvents(t, c, "HTTP/1.1")
			a := readRaw(c)
			_ = c.Close()
			if !a.complete || a.status == http.StatusBadGateway {
				continue
			}
			if d := cmp.Diff(raw{http.StatusOK, events, true}, a, cmp.AllowUnexported(raw{})); d != "" || n < len(events) {
				t.Errorf("%s, %d bytes (-want +got):\n%s", f, n, d)
			}
			break
		}
	}
}
