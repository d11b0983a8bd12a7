package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fake"
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

// answerOf answers 404 without a name to a request without an id or with the id "lost", and 200 to others.
func answerOf(q *http.Request) string {
	if id := q.Header.Get("Id"); id != "" && id != "lost" {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
}

// TestLateCopyReachesNoOtherCaller guards against a late second copy of an answer without an id, to a control call or
// a request, that reaches the caller of the next request on the connection.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	r, err := rules.New(rules.Config{
		Version:  1,
		Services: []rules.Service{{Name: "s"}},
		Routes:   []rules.Route{{Name: "r", Host: "h", Prefix: "/", Public: true, Destinations: []rules.Destination{{Service: "s", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	address, stop, err := fake.Repeater(answerOf)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	u := roster.Upstream{Instance: "i", Service: "s", Address: address}
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
