package world_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"cranberrypoint.example/local/world"
	"github.com/google/go-cmp/cmp"
)

// send makes a call with a body of unknown size.
func send(t *testing.T, w *world.World, body io.Reader) (status int, answer string) {
	t.Helper()
	q, err := http.NewRequest("POST", "http://"+w.Entries[w.Order[0]].CallersAddress()+"/decisions/body", body)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+world.ExampleKey)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(b)
}

func TestBodyGoesOnWhileItComes(t *testing.T) {
	w := start(t)
	r, out := io.Pipe()
	go func() {
		for range 100 {
			_, _ = out.Write(bytes.Repeat([]byte("x"), 4096))
		}
		// The upstream is called before the body has ended.
		await(t, "the upstream is called", func() bool {
			for _, s := range w.Services {
				if _, urls := s.Seen(); strings.Contains(strings.Join(urls, " "), "/decisions/body") {
					return true
				}
			}
			return false
		})
		_ = out.Close()
	}()
	status, answer := send(t, w, r)
	if diff := cmp.Diff("POST /decisions/body\n"+strings.Repeat("x", 100*4096), answer); status != 200 || diff != "" {
		t.Errorf("status %d, answer (-want +got):\n%s", status, diff)
	}
}

func TestBodyOfUnknownSizeIsBounded(t *testing.T) {
	w := start(t)
	status, answer := send(t, w, io.LimitReader(zeros{}, 2<<20))
	if status != http.StatusRequestEntityTooLarge || !strings.Contains(answer, "request_too_large") {
		t.Errorf("status %d, answer %q, want 413", status, answer)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
