package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTimelyPromptsGoFirst replays a full prefill engine: prompts that can still be in time
// pass those that are late.
func TestTimelyPromptsGoFirst(t *testing.T) {
	var r Reads
	for _, n := range []string{"a", "b"} {
		if d := cmp.Diff([]string{n}, granted(r.Ask(epoch, ask(n, 100, 0, 0, time.Second)))); d != "" {
			t.Fatalf("granted (-want +got):\n%s", d)
		}
	}
	r.Ask(epoch, ask("late", 100, 0, 0, 2*time.Second))
	r.Ask(epoch, ask("timely", 100, 0, 500*time.Millisecond, 2*time.Second))
	r.Ask(epoch, ask("sooner", 100, 0, 300*time.Millisecond, 2*time.Second))
	r.Ask(epoch, ask("left", 100, 0, 100*time.Millisecond, 2*time.Second))
	if d := cmp.Diff(int64(600), r.Backlog()); d != "" {
		t.Errorf("backlog (-want +got):\n%s", d)
	}
	var order []string
	for _, n := range []string{"left", "a", "b", "sooner"} {
		order = append(order, granted(r.Release(epoch, n))...)
	}
	if d := cmp.Diff([]string{"sooner", "timely", "late"}, order); d != "" {
		t.Errorf("order (-want +got):\n%s", d)
	}
}
