package upconn

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"github.com/google/go-cmp/cmp"
)

// unnamedError is an error response that doesn't say which request it belongs to.
const unnamedError = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// namedRequest returns a request that a response matches if it has the request's id, or is an error and has none.
func namedRequest(id string) *Request {
	q := newRequest(id)
	q.HasRequestID = func(h http.Header) bool { return h.Get("Id") != "" }
	q.Matches = func(status int, h http.Header) bool {
		return h.Get("Id") == id || h.Get("Id") == "" && status >= http.StatusBadRequest
	}
	return q
}

// status sends a request and returns the status and the body of its response; 0 for none.
func status(t *testing.T, p *Pool, address string, q *Request) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := p.Do(ctx, address, q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Errorf("body: %v", err)
	}
	return r.Status, string(b)
}

// TestSecondCopyIsNoAnswerToNextRequest lets a second copy of each response arrive after the next request was sent on
// the same connection. Named ones are skipped; after one without a name the connection must not be in use again.
func TestSecondCopyIsNoAnswerToNextRequest(t *testing.T) {
	address, stop, err := fake.Repeater(func(q *http.Request) string {
		id := q.Header.Get("Id")
		if id == "full" {
			return unnamedError
		}
		return okResponse(id, id)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	p := newPool(t)
	type answer struct {
		Status int
		Body   string
	}
	var got []answer
	for _, id := range []string{"1", "full", "2", "3"} {
		s, b := status(t, p, address, namedRequest(id))
		got = append(got, answer{s, b})
	}
	want := []answer{{200, "1"}, {503, ""}, {200, "2"}, {200, "3"}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
}

// TestGroupsShareNoConnection lets a second copy of the response to a control call, which names no request, arrive
// late. It must not answer a caller's request.
func TestGroupsShareNoConnection(t *testing.T) {
	address, stop, err := fake.Repeater(func(q *http.Request) string {
		if id := q.Header.Get("Id"); id != "" {
			return okResponse(id, id)
		}
		return unnamedError
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	p := newPool(t)
	control := &Request{Method: http.MethodDelete, Target: "/kept", Host: "h", Header: http.Header{}, Group: "control"}
	if s, _ := status(t, p, address, control); s != http.StatusServiceUnavailable {
		t.Fatalf("control call: status %d", s)
	}
	s, b := status(t, p, address, namedRequest("1"))
	if d := cmp.Diff([]any{200, "1"}, []any{s, b}); d != "" {
		t.Errorf("answer after a control call (-want +got):\n%s", d)
	}
}

// TestRetryNeedsNewConnection checks that a request that was sent to an address before isn't sent on a connection that is
// idle, and that one makes room for it where the upstream takes no more.
func TestRetryNeedsNewConnection(t *testing.T) {
	address, stop, err := fake.Repeater(func(q *http.Request) string { return okResponse(q.Header.Get("Id"), q.Header.Get("Id")) })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	dials := 0
	p, closePool := NewPool(func() { dials++ })
	defer closePool()
	var got []int
	for _, newConn := range []bool{false, false, true, true} {
		q := namedRequest("1")
		q.NewConn, q.MaxConns = newConn, 2
		if s, b := status(t, p, address, q); s != http.StatusOK {
			t.Errorf("status %d %s", s, b)
		}
		got = append(got, dials)
	}
	if d := cmp.Diff([]int{1, 1, 2, 3}, got); d != "" {
		t.Errorf("dials (-want +got):\n%s", d)
	}
}
