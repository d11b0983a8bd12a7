package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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

// newRepeaterProxy returns a proxy, and an upstream that writes each answer once more on a connection that is in use again.
func newRepeaterProxy(t *testing.T, answer func(q *http.Request) string) (*Proxy, roster.Upstream, *rules.Service) {
	t.Helper()
	r, err := rules.New(rules.Config{
		Version:  1,
		Services: []rules.Service{{Name: "s"}},
		Routes:   []rules.Route{{Name: "r", Host: "h", Prefix: "/", Public: true, Destinations: []rules.Destination{{Service: "s", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	address, stop, err := fake.Repeater(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	u := roster.Upstream{Instance: "i", Service: "s", Address: address}
	p := newTestProxy(t.Context(), t)
	p.codec, p.picker = namingCodec{}, picker.New("", 1)
	p.snapshot.Store(&snapshot{rules: r, services: map[string][]roster.Upstream{"s": {u}}})
	var closePool func()
	p.conns, closePool = upconn.NewPool(nil)
	t.Cleanup(closePool)
	return p, u, r.Service("s")
}

// newExchange returns a request with an id.
func newExchange(id string, s *rules.Service) *exchange {
	q := httptest.NewRequest("GET", "http://h/x", nil)
	q.Header.Set("Id", id)
	return &exchange{r: q, call: calls.RequestInfo{ID: id}, path: "/x", service: s, deadline: time.Now().Add(5 * time.Second)}
}

// statusOf sends a request and returns the status of its answer.
func statusOf(t *testing.T, p *Proxy, x *exchange, u roster.Upstream) int {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
	defer cancel()
	resp, _, err := p.send(ctx, x, u, calls.UpstreamParams{}, "call")
	if err != nil {
		t.Fatalf("request %s: %v", x.call.ID, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.Status
}

// TestRepeatedRefusalIsNoAnswerToRetry guards against "not run" for a request that runs: it was refused, sent to the same
// upstream once more, and the refusal, which names the request, was written again on the connection.
func TestRepeatedRefusalIsNoAnswerToRetry(t *testing.T) {
	var sends atomic.Int64
	p, u, s := newRepeaterProxy(t, func(q *http.Request) string {
		if sends.Add(1) == 1 {
			return "HTTP/1.1 503 Service Unavailable\r\nId: " + q.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
		}
		return answerOf(q)
	})
	x := newExchange("1", s)
	got := []int{statusOf(t, p, x, u), statusOf(t, p, x, u), statusOf(t, p, newExchange("2", s), u)}
	if d := cmp.Diff([]int{503, 200, 200}, got); d != "" {
		t.Errorf("status of the answers (-want +got):\n%s", d)
	}
}

// TestLateCopyReachesNoOtherCaller guards against a late second copy of an answer without an id, to a control call or
// a request, that reaches the caller of the next request on the connection.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	p, u, s := newRepeaterProxy(t, answerOf)
	p.freeKVCache(candidate{upstream: u}, calls.KVHandle{})
	got := map[string]int{}
	for _, id := range []string{"1", "lost", "2"} {
		got[id] = statusOf(t, p, newExchange(id, s), u)
	}
	if d := cmp.Diff(map[string]int{"1": 200, "lost": 404, "2": 200}, got); d != "" {
		t.Errorf("status of the answers (-want +got):\n%s", d)
	}
}
