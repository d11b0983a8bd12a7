package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
	"github.com/google/go-cmp/cmp"
)

// TestEndlessAnswerIsCutOff guards against answers of an engine without an end, which would be held
// in memory until the call's time is up. The client must give up before that.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fake.Endless(w, "{") }))
	defer s.Close()
	c := New(s.URL)
	for name, call := range map[string]func(context.Context) error{
		"prefill":     func(ctx context.Context) error { _, err := c.Prefill(ctx, Prefill{}, nil); return err },
		"allocations": func(ctx context.Context) error { _, err := c.ListAllocations(ctx); return err },
		"decode":      func(ctx context.Context) error { return c.Decode(ctx, Decode{}, nil, nil) },
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		if err := call(ctx); err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: error %v; want one that isn't a timeout", name, err)
		}
		cancel()
	}
}

// TestEmptyAnswerIsNoHandle guards against an answer to a prefill that breaks off after its head and
// is taken for a result.
func TestEmptyAnswerIsNoHandle(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := (fake.Ending{Framing: frame.Connection}).Write(w, ""); err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	if r, err := New(s.URL).Prefill(t.Context(), Prefill{}, nil); err == nil {
		t.Errorf("result %v; want an error", r)
	}
}

// TestSecondCopyIsNoResult guards against a late second copy of an answer that is taken for the answer to the next call.
func TestSecondCopyIsNoResult(t *testing.T) {
	n := 0
	address, stop, err := fake.Repeater(func(*http.Request) string {
		n++
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"handle\":\"%d\"}", n)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	c := New("http://" + address)
	var got []string
	for range 2 {
		r, err := c.Prefill(t.Context(), Prefill{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, r.Handle)
	}
	if d := cmp.Diff([]string{"1", "2"}, got); d != "" {
		t.Errorf("handles (-want +got):\n%s", d)
	}
}
