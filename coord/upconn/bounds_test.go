package upconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// doWithLimits sends a request with limits on connections.
func doWithLimits(ctx context.Context, p *Pool, u *testUpstream, id string, maxConns, maxIdle int) (*Response, error) {
	q := newRequest(id)
	q.MaxConns, q.MaxIdle = maxConns, maxIdle
	return p.Do(ctx, u.address, q)
}

// TestMaxConns keeps MaxConns responses open. The next request must fail without being sent,
// and a request must succeed once one of the responses is closed.
func TestMaxConns(t *testing.T) {
	u := startUpstream(t, okResponse("1", "one"), okResponse("1", "one"))
	p := newPool(t)
	var held []*Response
	for range 2 {
		r, err := doWithLimits(t.Context(), p, u, "1", 2, 2)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, r)
	}
	_, err := doWithLimits(t.Context(), p, u, "1", 2, 2)
	if !errors.Is(err, ErrMaxConns) || maybeSent(err) {
		t.Errorf("error %v; want %v, not sent", err, ErrMaxConns)
	}
	_ = held[0].Body.Close()
	r, err := doWithLimits(t.Context(), p, u, "1", 2, 2)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	_ = held[1].Body.Close()
	if d := cmp.Diff(map[string]int{}, p.open); d != "" {
		t.Errorf("connections counted as open after all were closed (-want +got):\n%s", d)
	}
}

// TestMaxIdle reads two responses on two connections to their end; MaxIdle is 1.
// The pool must keep one connection and close the other.
func TestMaxIdle(t *testing.T) {
	u := startUpstream(t, okResponse("1", "one"))
	p := newPool(t)
	var held []*Response
	for range 2 {
		r, err := doWithLimits(t.Context(), p, u, "1", 0, 1)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, r)
	}
	for _, r := range held {
		b := make([]byte, 16)
		for {
			if _, err := r.Body.Read(b); err != nil {
				break
			}
		}
	}
	if d := cmp.Diff([]int{1, 1}, []int{len(p.idle[idleKey{address: u.address}]), p.open[u.address]}); d != "" {
		t.Errorf("idle and open connections (-want +got):\n%s", d)
	}
}

// TestFailedDialsAreNotCounted sends requests to a closed port. Failed dials must not use
// up the limit on connections.
func TestFailedDialsAreNotCounted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	p := newPool(t)
	for range 3 {
		q := &Request{Method: http.MethodGet, Target: "/", Host: "h", MaxConns: 1}
		if _, err := p.Do(t.Context(), l.Addr().String(), q); errors.Is(err, ErrMaxConns) {
			t.Errorf("error %v although no connection is open", err)
		}
	}
}
