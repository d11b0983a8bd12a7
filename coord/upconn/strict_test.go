package upconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cranberrypoint.example/coord/fake"
	"github.com/google/go-cmp/cmp"
)

// got is what a caller gets of an answer: its status, which is 0 for none, and its body.
type got struct {
	Status int
	Body   string
}

// callRaw sends a request to an upstream that answers with a text and closes the connection in an orderly way.
func callRaw(t *testing.T, text string) got {
	t.Helper()
	address, stop, err := fake.Raw(func(c *net.TCPConn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, text)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	r, err := newPool(t).Do(t.Context(), address, newRequest("1"))
	if err != nil {
		return got{}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return got{Status: r.Status, Body: "broken off"}
	}
	return got{r.Status, string(b)}
}

// checkRefused checks that answers that begin with a head, given without the end of its last line, are none.
func checkRefused(t *testing.T, heads map[string]string) {
	t.Helper()
	for name, head := range heads {
		if d := cmp.Diff(got{}, callRaw(t, head+"\r\n\r\nbody!")); d != "" {
			t.Errorf("%s (-want +got):\n%s", name, d)
		}
	}
}

// TestStatusLinesOfNoAnswer guards against answers of upstreams in trouble whose first line is none of HTTP/1.1. One with status
// 000 was taken for an interim answer, and what followed it for the answer.
func TestStatusLinesOfNoAnswer(t *testing.T) {
	const next = "\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5"
	heads := map[string]string{}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 001 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  OK",
		"HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "XTTP/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 20\x000 OK", " HTTP/1.1 200 OK", "\x00HTTP/1.1 200 OK", "ICY 200 OK", "",
	} {
		heads[line] = line + "\r\nId: 1\r\nContent-Length: 5"
		heads[line+", then a whole answer"] = line + next
	}
	checkRefused(t, heads)
}

// TestOddHeadsOfAnswers checks that answers with unusual heads that are legal, or that receivers may read as such, are passed on.
func TestOddHeadsOfAnswers(t *testing.T) {
	const field = "\r\nId: 1\r\nContent-Length: 5"
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"no reason":                        {"HTTP/1.1 200 " + field, 200},
		"no reason and no space":           {"HTTP/1.1 200" + field, 200},
		"two blanks before the status":     {"HTTP/1.1  200 OK" + field, 200},
		"a reason in another language":     {"HTTP/1.1 404 Gibt\xe4s nicht" + field, 404},
		"a tab in the reason":              {"HTTP/1.1 200 O\tK" + field, 200},
		"HTTP/1.0":                         {"HTTP/1.0 200 OK" + field, 200},
		"an unknown status":                {"HTTP/1.1 599 Odd" + field, 599},
		"status 299":                       {"HTTP/1.1 299 Odd" + field, 299},
		"two interim answers":              {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK" + field, 200},
		"line feeds only":                  {strings.ReplaceAll("HTTP/1.1 200 OK"+field, "\r\n", "\n"), 200},
		"an empty value":                   {"HTTP/1.1 200 OK\r\nX-Empty:" + field, 200},
		"blanks around a value":            {"HTTP/1.1 200 OK\r\nX-Blank: \t a \t " + field, 200},
		"no blank before a value":          {"HTTP/1.1 200 OK\r\nId:1\r\nContent-Length:5", 200},
		"an odd name":                      {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a" + field, 200},
		"a colon first in a value":         {"HTTP/1.1 200 OK\r\nX-Colon::a: b" + field, 200},
		"another alphabet in a value":      {"HTTP/1.1 200 OK\r\nX-Text: \xc3\xa4\xff" + field, 200},
		"the same name twice":              {"HTTP/1.1 200 OK\r\nX-Two: a\r\nx-two: b" + field, 200},
		"the same length twice":            {"HTTP/1.1 200 OK\r\nContent-Length: 5" + field, 200},
		"no framing":                       {"HTTP/1.1 200 OK\r\nId: 1", 200},
		"no framing, Connection: close":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1", 200},
		"a refusal without a request's id": {"HTTP/1.1 503 Full\r\nId: 1\r\nX-Not-Run: 1\r\nContent-Length: 5", 503},
	} {
		if d := cmp.Diff(got{c.status, "body!"}, callRaw(t, c.head+"\r\n\r\nbody!")); d != "" {
			t.Errorf("%s (-want +got):\n%s", name, d)
		}
	}
	const chunks = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: Chunked\r\n\r\n5;ext=1\r\nbody!\r\n0\r\nX-Trailer: a\r\n\r\n"
	if d := cmp.Diff(got{200, "body!"}, callRaw(t, chunks)); d != "" {
		t.Errorf("chunks with an extension and a trailer (-want +got):\n%s", d)
	}
}

// TestFieldLinesOfNoAnswer guards against answers of upstreams in trouble with a field whose name holds a blank or a control byte,
// or that is no field. The parser drops some of them, as a length, so that the body was another one, and passes others on.
func TestFieldLinesOfNoAnswer(t *testing.T) {
	heads := map[string]string{}
	for _, line := range []string{
		"Content-Length : 5", "Content-Length\t: 5", "Content- Length: 5", "Content Length: 5", " Content-Length: 5", "\tContent-Length: 5", "Content-Length\x00: 5", "\x00Content-Length: 5",
		"Content\x7f-Length: 5", "Content\x01-Length: 5", "Content\r-Length: 5", "\rContent-Length: 5", "Content-Length: \x005", "X-Other: a\x00b", "X-Other: a\rb", "X-Other: a\x7f", "X-Other: a\x1b[0m",
		": 5", " : 5", "Content-Length", "Content(Length): 5", "Content\xe4Length: 5", "\"Content-Length\": 5", "Content/Length: 5", "{\"error\":1}", "<html>", "X-Other: a\r\r",
	} {
		heads["first: "+line] = "HTTP/1.1 200 OK\r\n" + line + "\r\nId: 1"
		heads["last: "+line] = "HTTP/1.1 200 OK\r\nId: 1\r\n" + line
		heads["after another field: "+line] = "HTTP/1.1 200 OK\r\nId: 1\r\nX-Other: a\r\n" + line
		heads["beside a length: "+line] = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n" + line
		heads["in an interim answer: "+line] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5"
	}
	checkRefused(t, heads)
}

// TestFramingsOfNoAnswer guards against heads that leave open where the body ends.
func TestFramingsOfNoAnswer(t *testing.T) {
	const head = "\r\nId: 1\r\n"
	checkRefused(t, map[string]string{
		"two lengths":            "HTTP/1.1 200 OK" + head + "Content-Length: 5\r\nContent-Length: 4",
		"two lengths in a line":  "HTTP/1.1 200 OK" + head + "Content-Length: 5, 4",
		"a length beside chunks": "HTTP/1.1 200 OK" + head + "Content-Length: 5\r\nTransfer-Encoding: chunked",
		"chunks beside a length": "HTTP/1.1 200 OK" + head + "Transfer-Encoding: chunked\r\nContent-Length: 5",
		"chunks in HTTP/1.0":     "HTTP/1.0 200 OK" + head + "Transfer-Encoding: chunked",
		"another coding":         "HTTP/1.1 200 OK" + head + "Transfer-Encoding: gzip",
		"two codings":            "HTTP/1.1 200 OK" + head + "Transfer-Encoding: gzip, chunked",
		"two lines of codings":   "HTTP/1.1 200 OK" + head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"a signed length":        "HTTP/1.1 200 OK" + head + "Content-Length: +5",
		"a negative length":      "HTTP/1.1 200 OK" + head + "Content-Length: -5",
		"an empty length":        "HTTP/1.1 200 OK" + head + "Content-Length:",
		"a length in words":      "HTTP/1.1 200 OK" + head + "Content-Length: five",
		"a length too large":     "HTTP/1.1 200 OK" + head + "Content-Length: 99999999999999999999",
	})
}

// TestCutAnswerIsNoAnswer closes the connection after each byte of an answer, in each framing: no part may be a complete answer,
// besides what a body that ends with its connection leaves open.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nX-Other: a b\r\n"
	for name, c := range map[string]struct{ text, unframed string }{
		"length":              {head + "Content-Length: 5\r\n\r\nbody!", ""},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbody!\r\n0\r\n\r\n", ""},
		"chunks and trailer":  {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbody!\r\n0\r\nX-Trailer: a\r\n\r\n", ""},
		"no framing":          {head + "\r\n", "body!"},
		"events":              {head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", ""},
		"interim answer":      {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 5\r\n\r\nbody!", ""},
		"line feeds only":     {strings.ReplaceAll(head+"Content-Length: 5\r\n\r\n", "\r\n", "\n") + "body!", ""},
		"another one's first": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" + head + "Content-Length: 5\r\n\r\nbody!", ""},
	} {
		for n := range len(c.text) {
			if g := callRaw(t, c.text[:n]); g != (got{}) && g.Body != "broken off" {
				t.Errorf("%s: %d of %d bytes give status %d and %q", name, n, len(c.text), g.Status, g.Body)
			}
		}
		if g := callRaw(t, c.text+c.unframed); g.Status != http.StatusOK || g.Body == "broken off" {
			t.Errorf("%s: the whole answer gives status %d and %q", name, g.Status, g.Body)
		}
	}
}
