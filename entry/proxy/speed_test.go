package proxy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestShortPromptsTellNoSpeed replays short prompts that took long for the send's sake: a long
// one must not be taken for hopeless by them.
func TestShortPromptsTellNoSpeed(t *testing.T) {
	var s speed
	s.learn(10, 50*time.Millisecond)
	if d := cmp.Diff(time.Duration(0), s.time(900)); d != "" {
		t.Errorf("expected time after a short prompt (-want +got):\n%s", d)
	}
	s.learn(1000, 20*time.Millisecond)
	s.learn(5, time.Second)
	if d := cmp.Diff(18*time.Millisecond, s.time(900)); d != "" {
		t.Errorf("expected time after a long prompt (-want +got):\n%s", d)
	}
}
