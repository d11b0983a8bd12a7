package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
)

// TestEndlessAnswerIsCutOff guards against answers of an engine without an end, which would be held
// in memory until the call's time is up. The client must give up before that.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fake.Endless(w, "{") }))
	defer s.Close()
	c := New(s.URL)
	for name, call := range map[string]func(context.Context) error{
		"prefill":     func(ctx context.Context) error { _, err := c.Prefill(ctx, Prefill{}); return err },
		"allocations": func(ctx context.Context) error { _, err := c.ListAllocations(ctx); return err },
		"decode":      func(ctx context.Context) error { return c.Decode(ctx, Decode{}, nil) },
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
	if r, err := New(s.URL).Prefill(t.Context(), Prefill{}); err == nil {
		t.Errorf("result %v; want an error", r)
	}
}
