package frame

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// readResponse parses a response to a request with a method and reads its body, one byte a read
// if slowly is true.
func readResponse(t *testing.T, method, text string, slowly bool) (f Framing, end End) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	b := io.Reader(NewBody(r))
	if slowly {
		b = iotest.OneByteReader(b)
	}
	_, err = io.Copy(io.Discard, b)
	return Of(r), EndOf(err)
}

// TestEndOfBody reads bodies with each framing that end in each way.
func TestEndOfBody(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n"
	const plain = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	type result struct {
		Framing Framing
		End     End
	}
	for name, c := range map[string]struct {
		method, text string
		want         result
	}{
		"plain, length":                      {"GET", plain + "Content-Length: 3\r\n\r\nabc", result{Length, Complete}},
		"plain, short length":                {"GET", plain + "Content-Length: 4\r\n\r\nabc", result{Length, Closed}},
		"plain, chunks":                      {"GET", plain + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", result{Chunked, Complete}},
		"plain, no last chunk":               {"GET", plain + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", result{Chunked, Closed}},
		"plain, malformed chunk":             {"GET", plain + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", result{Chunked, Failed}},
		"plain, connection":                  {"GET", plain + "\r\nabc", result{Connection, Complete}},
		"plain, connection, empty":           {"GET", plain + "\r\n", result{Connection, Complete}},
		"no body by method":                  {"HEAD", stream + "\r\n", result{Length, Complete}},
		"no body by status":                  {"GET", "HTTP/1.1 204 No Content\r\nContent-Type: text/event-stream\r\n\r\n", result{Length, Complete}},
		"events, connection":                 {"GET", stream + "\r\nid: 1\ndata: a\n\n", result{Connection, Complete}},
		"events, no blank line":              {"GET", stream + "\r\nid: 1\ndata: a\n", result{Connection, Closed}},
		"events, no line end":                {"GET", stream + "\r\nid: 1\ndata: a\n\nid: 2", result{Connection, Closed}},
		"events, none":                       {"GET", stream + "\r\n", result{Connection, Closed}},
		"events, only a comment":             {"GET", stream + "\r\n: a\n\n", result{Connection, Closed}},
		"events, comment at the end":         {"GET", stream + "\r\ndata: a\n\n: b\n", result{Connection, Complete}},
		"events, cut comment":                {"GET", stream + "\r\ndata: a\n\n: b", result{Connection, Closed}},
		"events, comment inside an event":    {"GET", stream + "\r\ndata: a\n: b\n", result{Connection, Closed}},
		"events, CR LF":                      {"GET", stream + "\r\ndata: a\r\n\r\n", result{Connection, Complete}},
		"events, CR LF, no blank line":       {"GET", stream + "\r\ndata: a\r\n", result{Connection, Closed}},
		"events, CR":                         {"GET", stream + "\r\ndata: a\r\r", result{Connection, Complete}},
		"events, CR, no blank line":          {"GET", stream + "\r\ndata: a\r", result{Connection, Closed}},
		"events, length inside an event":     {"GET", stream + "Content-Length: 8\r\n\r\ndata: a\n", result{Length, Closed}},
		"events, chunks inside an event":     {"GET", stream + "Transfer-Encoding: chunked\r\n\r\n8\r\ndata: a\n\r\n0\r\n\r\n", result{Chunked, Closed}},
		"events, chunks":                     {"GET", stream + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n", result{Chunked, Complete}},
		"events, none, chunks":               {"GET", stream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", result{Chunked, Complete}},
		"events, blank lines between events": {"GET", stream + "\r\n\n\ndata: a\n\n\n\n", result{Connection, Complete}},
	} {
		for _, slowly := range []bool{false, true} {
			f, end := readResponse(t, c.method, c.text, slowly)
			if d := cmp.Diff(c.want, result{f, end}); d != "" {
				t.Errorf("%s, slowly %t (-want +got):\n%s", name, slowly, d)
			}
		}
	}
}

// TestErrorsAreUnexpectedEOF checks that a body that lacks its end is an io.ErrUnexpectedEOF, as
// the standard library reports one.
func TestErrorsAreUnexpectedEOF(t *testing.T) {
	for _, err := range []error{errInsideEvent, errNoEvent} {
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%v isn't %v", err, io.ErrUnexpectedEOF)
		}
	}
}
