package upconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bounded asks with a bound on connections.
func bounded(ctx context.Context, p *Pool, u *upstream, id string, most, share int) (*Response, error) {
	q := request(id)
	q.MaxConns, q.MaxIdle = most, share
	return p.Do(ctx, u.address, q)
}

// TestNoMoreConnectionsThanAreTaken holds as many answers as the upstream takes connections:
// the next request is not sent, and is once one has ended.
func TestNoMoreConnectionsThanAreTaken(t *testing.T) {
	u := serve(t, answerOf("1", "one"), answerOf("1", "one"))
	p := newPool(t)
	var held []*Response
	for range 2 {
		a, err := bounded(t.Context(), p, u, "1", 2, 2)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, a)
	}
	_, err := bounded(t.Context(), p, u, "1", 2, 2)
	if !errors.Is(err, ErrMaxConns) || sent(err) {
		t.Errorf("error %v; %v, not sent, would be right", err, ErrMaxConns)
	}
	_ = held[0].Body.Close()
	a, err := bounded(t.Context(), p, u, "1", 2, 2)
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	_ = held[1].Body.Close()
	if d := cmp.Diff(map[string]int{}, p.open); d != "" {
		t.Errorf("connections that are counted after all were closed (-want +got):\n%s", d)
	}
}

// TestIdleConnectionsKeepToTheShare ends two answers at once, of which one connection may be
// kept.
func TestIdleConnectionsKeepToTheShare(t *testing.T) {
	u := serve(t, answerOf("1", "one"))
	p := newPool(t)
	var held []*Response
	for range 2 {
		a, err := bounded(t.Context(), p, u, "1", 0, 1)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, a)
	}
	for _, a := range held {
		b := make([]byte, 16)
		for {
			if _, err := a.Body.Read(b); err != nil {
				break
			}
		}
	}
	if d := cmp.Diff([]int{1, 1}, []int{len(p.idle[u.address]), p.open[u.address]}); d != "" {
		t.Errorf("idle and open connections (-want +got):\n%s", d)
	}
}

// TestConnectionsThatFailAreNotCounted asks where nobody listens.
func TestConnectionsThatFailAreNotCounted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	p := newPool(t)
	for range 3 {
		q := &Request{Method: http.MethodGet, Target: "/", Host: "h", MaxConns: 1}
		if _, err := p.Do(t.Context(), l.Addr().String(), q); errors.Is(err, ErrMaxConns) {
			t.Errorf("error %v of an upstream without connections", err)
		}
	}
}
