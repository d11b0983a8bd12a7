package proxy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestShortPromptsAreNotSampled guards against an estimate that makes long prompts look hopeless
// because short prompts, whose time is mostly that of the send, were sampled.
func TestShortPromptsAreNotSampled(t *testing.T) {
	var s prefillSpeed
	s.record(10, 50*time.Millisecond)
	if d := cmp.Diff(time.Duration(0), s.estimate(900)); d != "" {
		t.Errorf("expected time after a short prompt (-want +got):\n%s", d)
	}
	s.record(1000, 20*time.Millisecond)
	s.record(5, time.Second)
	if d := cmp.Diff(18*time.Millisecond, s.estimate(900)); d != "" {
		t.Errorf("expected time after a long prompt (-want +got):\n%s", d)
	}
}
