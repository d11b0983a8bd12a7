package upconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// endlessUpstream sends a beginning and then the same bytes again and again, until its caller closes. It pauses after each
// piece of some bytes if pause isn't 0.
type endlessUpstream struct {
	begin, repeat string
	piece         int
	pause         time.Duration
}

// start returns the upstream's address.
func (u endlessUpstream) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return l.Addr().String()
}

func (u endlessUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_, err := c.Write([]byte(u.begin))
	b := bytes.Repeat([]byte(u.repeat), max(1, u.piece/len(u.repeat)))
	for err == nil {
		_, err = c.Write(b)
		time.Sleep(u.pause)
	}
}

const (
	// endlessCalls is the number of calls at a time, and maxCallBytes the memory that each may take.
	endlessCalls = 64
	maxCallBytes = 256 << 10
	// endlessTime is how long the calls last at most.
	endlessTime = 400 * time.Millisecond
)

// TestEndlessAnswersAreBounded guards against upstreams that send bytes without end where a head, a body or what follows it is due:
// processes that had called them kept the bytes, parsed, and ran out of memory.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\nId: 1\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, begin, repeat string }{
		{"short lines in a head", ok, "a:\r\n"},
		{"lines of other names in a head", ok, "a:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\ng:\r\nh:\r\n"},
		{"a line in a head", ok + "A: ", "aaaaaaaa"},
		{"continuation lines in a head", ok + "A: b\r\n", " c\r\n"},
		{"no answer at all", "", "\x00\x01garbage"},
		{"a status line", "HTTP/1.1 200 ", "OK"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"answers to others", "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"},
		{"an answer to another one", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1000000000\r\n\r\n", "body"},
		{"a body", ok + "\r\n", "body\n"},
		{"a body in chunks", chunked, "1\r\nx\r\n"},
		{"a chunk's extension", chunked + "1;", "extension"},
		{"extensions of chunks", chunked, "1;extension=extension\r\nx\r\n"},
		{"a trailer", chunked + "0\r\n", "A: b\r\n"},
		{"a line in a trailer", chunked + "0\r\nA: ", "bbbbbbbb"},
	} {
		for name, u := range map[string]endlessUpstream{
			"at full speed":                 {c.begin, c.repeat, 64 << 10, 0},
			"a little at a time":            {c.begin, c.repeat, 1, time.Millisecond},
			"much and then a little":        {c.begin + strings.Repeat(c.repeat, maxResponseBytes*3/4/len(c.repeat)), c.repeat, 1, time.Millisecond},
			"30 KB and then a little":       {c.begin + strings.Repeat(c.repeat, 30<<10/len(c.repeat)), c.repeat, 1, time.Millisecond},
			"1,500 bytes and then a little": {c.begin + strings.Repeat(c.repeat, 1500/len(c.repeat)), c.repeat, 1, time.Millisecond},
		} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				if n := callEndless(t, u.start(t)); n > endlessCalls*maxCallBytes {
					t.Errorf("%d calls took %d bytes, %d are allowed", endlessCalls, n, endlessCalls*maxCallBytes)
				}
			})
		}
	}
}

// callEndless calls an upstream that never ends its answers, and returns the most memory that the calls took.
func callEndless(t *testing.T, address string) (most int64) {
	p := newPool(t)
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	before := liveBytes()
	var wait sync.WaitGroup
	for range endlessCalls {
		wait.Go(func() {
			r, err := p.Do(ctx, address, newRequest("1"))
			for isDialError(err) && ctx.Err() == nil {
				// A busy machine takes no connection in time, so nothing was sent.
				r, err = p.Do(ctx, address, newRequest("1"))
			}
			if isDialError(err) {
				return
			}
			if err != nil {
				if !maybeSent(err) {
					t.Errorf("error %v of a call that was sent", err)
				}
				return
			}
			defer func() { _ = r.Body.Close() }()
			_, _ = io.Copy(io.Discard, r.Body)
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for {
		most = max(most, liveBytes()-before)
		select {
		case <-done:
			return most
		case <-time.After(endlessTime / 5):
		}
	}
}

// isDialError reports whether a connection couldn't be opened.
func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// liveBytes returns the size of the live objects on the heap.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestLargeHeadsAreRead checks that the bounds on heads leave out what a sound upstream sends: a head of many lines or of long
// ones, a body of empty lines that arrives with the head, and answers before it.
func TestLargeHeadsAreRead(t *testing.T) {
	const end = "Id: 1\r\nContent-Length: 4000\r\n\r\n"
	body := strings.Repeat("\n", 4000)
	for name, begin := range map[string]string{
		"many lines":            "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 500),
		"long lines":            "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: "+strings.Repeat("b", 4000)+"\r\n", 7),
		"lines without a CR":    "HTTP/1.1 200 OK\n" + strings.Repeat("A: b\n", 500),
		"interim answers":       strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 2) + "HTTP/1.1 200 OK\r\n",
		"an answer to another":  "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n\r", 50000) + "HTTP/1.1 200 OK\r\n",
		"no lines but the last": "HTTP/1.1 200 OK\r\n",
	} {
		u := startUpstream(t, begin+end+body, okResponse("3", "three"))
		p := newPool(t)
		got, err := fetch(p, u, "1")
		if d := cmp.Diff(body, got); d != "" || err != nil {
			t.Errorf("%s: error %v, body (-want +got):\n%s", name, err, d)
		}
		if got, err := fetch(p, u, "3"); got != "three" || err != nil {
			t.Errorf("%s: next answer %q, error %v", name, got, err)
		}
	}
}
