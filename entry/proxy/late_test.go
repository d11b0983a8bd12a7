package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/picker"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/upconn"
	"github.com/google/go-cmp/cmp"
)

// namingCodec knows responses by the header Id, which errors may lack.
type namingCodec struct{ calls.Codec }

func (namingCodec) FreeRequest(calls.KVHandle) (method, path string) {
	return http.MethodDelete, "/kept"
}
func (namingCodec) RewriteHeaders(http.Header, calls.UpstreamParams) {}
func (namingCodec) ResponseInfo(int, http.Header) (r calls.ResponseInfo) {
	return calls.ResponseInfo{Signed: true}
}
func (namingCodec) Matches(status int, h http.Header, id string) bool {
	return h.Get("Id") == id || h.Get("Id") == "" && status >= http.StatusBadRequest
}

// serveLateCopies answers the requests of one connection: 404 without a name to the first and to one with the id
// "lost", 200 to others. A second copy of each answer arrives when the next request was sent.
func serveLateCopies(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for last := ""; ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		a := "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		if id := q.Header.Get("Id"); id != "" && id != "lost" {
			a = "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}
		if _, err := io.WriteString(c, last+a); err != nil {
			return
		}
		last = a
	}
}

// TestLateCopyReachesNoOtherCaller guards against a late second copy of an answer without an id, to a control call or
// a request, that reaches the caller of the next request on the connection.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveLateCopies(c)
		}
	}()
	r, err := rules.New(rules.Config{
		Version:  1,
		Services: []rules.Service{{Name: "s"}},
		Routes:   []rules.Route{{Name: "r", Host: "h", Prefix: "/", Public: true, Destinations: []rules.Destination{{Service: "s", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	u := roster.Upstream{Instance: "i", Service: "s", Address: l.Addr().String()}
	p := newTestProxy(t.Context(), t)
	p.codec, p.picker = namingCodec{}, picker.New("", 1)
	p.snapshot.Store(&snapshot{rules: r, services: map[string][]roster.Upstream{"s": {u}}})
	var closePool func()
	p.conns, closePool = upconn.NewPool(nil)
	defer closePool()
	p.freeKVCache(candidate{upstream: u}, calls.KVHandle{})
	got := map[string]int{}
	for _, id := range []string{"1", "lost", "2"} {
		q := httptest.NewRequest("GET", "http://h/x", nil)
		q.Header.Set("Id", id)
		x := &exchange{r: q, call: calls.RequestInfo{ID: id}, path: "/x", service: r.Service("s"), deadline: time.Now().Add(5 * time.Second)}
		ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
		resp, _, err := p.send(ctx, x, u, calls.UpstreamParams{}, "call")
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		got[id] = resp.Status
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		cancel()
	}
	if d := cmp.Diff(map[string]int{"1": 200, "lost": 404, "2": 200}, got); d != "" {
		t.Errorf("status of the answers (-want +got):\n%s", d)
	}
}
