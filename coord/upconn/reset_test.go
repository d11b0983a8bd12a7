package upconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
	"github.com/google/go-cmp/cmp"
)

// earlyUpstream answers as soon as it has read the head of a request, and ends the connection without reading the body.
type earlyUpstream struct {
	// answer is sent as it is.
	answer string
	// pause is the time between the answer and the end.
	pause time.Duration
	// end ends the connection, which is closed after it.
	end func(c *net.TCPConn)
	// kept is true if the connection has answered another request before.
	kept bool
}

// reset makes the close of a connection a reset.
func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// drain closes only the sending side, and reads what still comes.
func drain(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// stall closes only the sending side, and reads no more until the caller has had time for the end.
func stall(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(50 * time.Millisecond)
}

// start returns the upstream's address.
func (u earlyUpstream) start(t *testing.T) string {
	t.Helper()
	address, stop, err := fake.Raw(func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if u.kept {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, okResponse("first", "first"))
		}
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, u.answer)
		time.Sleep(u.pause)
		u.end(c)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// ending is how the answer to an upload ended.
type ending struct {
	End  frame.End
	Body string
}

// upload sends a request with a body of some bytes and returns how its answer ended. The end is Failed if there is no answer.
func (u earlyUpstream) upload(t *testing.T, p *Pool, address string, size int) ending {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if u.kept {
		if s, b := status(t, p, address, newRequest("first")); s != http.StatusOK {
			t.Fatalf("first request: %d %s", s, b)
		}
	}
	q := newRequest("1")
	q.Body = [][]byte{make([]byte, size/2), make([]byte, size-size/2)}
	r, err := p.Do(ctx, address, q)
	if err != nil {
		return ending{End: frame.Failed}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return ending{frame.EndOf(err), string(b)}
}

// Heads of early answers.
const (
	earlyHead    = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	earlyStream  = earlyHead + "Content-Type: text/event-stream\r\n\r\n"
	earlyEvent   = "id: 1\ndata: a\n\n"
	earlyChunked = earlyHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// uploads are sizes of bodies: one that is written before the answer is read, and ones of which the kernel takes
// all, a part and little before the upstream reads them.
var uploads = []int{1 << 10, 100 << 10, 4 << 20, 16 << 20}

// TestResetBesideUploadLooksBrokenOff guards against an answer without a length that is reset while the request is
// still being written, and that looked complete: the write met the reset, and the read saw an orderly end.
func TestResetBesideUploadLooksBrokenOff(t *testing.T) {
	const tries = 12
	for name, answer := range map[string]string{
		"no body":         earlyHead + "\r\n",
		"a part":          earlyHead + "\r\npart",
		"a large part":    earlyHead + "\r\n" + strings.Repeat("part", 16<<10),
		"a whole event":   earlyStream + earlyEvent,
		"many events":     earlyStream + strings.Repeat(earlyEvent, 1000),
		"HTTP/1.0":        strings.Replace(earlyHead, "1.1", "1.0", 1) + "\r\npart",
		"a short length":  earlyHead + "Content-Length: 5\r\n\r\npart",
		"no last chunk":   earlyChunked + "4\r\npart\r\n",
		"half of a chunk": earlyChunked + "8\r\npart",
	} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, kept := range []bool{false, true} {
				u := earlyUpstream{answer, pause, reset, kept}
				t.Run(fmt.Sprintf("%s, reset after %s, kept %t", name, pause, kept), func(t *testing.T) {
					t.Parallel()
					p, address := newPool(t), u.start(t)
					for _, size := range uploads {
						complete := 0
						for range tries {
							if u.upload(t, p, address, size).End == frame.Complete {
								complete++
							}
						}
						if complete > 0 {
							t.Errorf("upload of %d bytes: %d of %d answers look complete", size, complete, tries)
						}
					}
				})
			}
		}
	}
}

// TestEarlyAnswerIsComplete checks that answers which come before the request is written are whole if they end as they
// should: in an orderly way, or by their length or last chunk, whatever follows.
func TestEarlyAnswerIsComplete(t *testing.T) {
	const body = "whole"
	for name, u := range map[string]earlyUpstream{
		"no length, upload read":      {answer: earlyHead + "\r\n" + body, end: drain},
		"no length, upload unread":    {answer: earlyHead + "\r\n" + body, end: stall},
		"HTTP/1.0, upload unread":     {answer: strings.Replace(earlyHead, "1.1", "1.0", 1) + "\r\n" + body, end: stall},
		"refusal without a length":    {answer: strings.Replace(earlyHead, "200 OK", "413 Too Large", 1) + "\r\n" + body, end: stall},
		"after an interim answer":     {answer: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + earlyHead + "\r\n" + body, end: stall},
		"length, then a reset":        {answer: earlyHead + "Content-Length: 5\r\n\r\n" + body, end: reset, pause: 30 * time.Millisecond},
		"last chunk, then a reset":    {answer: earlyChunked + "5\r\n" + body + "\r\n0\r\n\r\n", end: reset, pause: 30 * time.Millisecond},
		"length, kept, upload unread": {answer: earlyHead + "Content-Length: 5\r\n\r\n" + body, end: stall, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := u.start(t)
			for _, size := range uploads {
				// Another pool keeps the connection that the upstream is about to reset out of use.
				if d := cmp.Diff(ending{frame.Complete, body}, u.upload(t, newPool(t), address, size)); d != "" {
					t.Errorf("upload of %d bytes (-want +got):\n%s", size, d)
				}
			}
		})
	}
}
