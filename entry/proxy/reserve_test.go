package proxy

import (
	"slices"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/rules"
	"github.com/google/go-cmp/cmp"
)

// TestResumedStreamsComeFirst checks the order in which requests that wait for a place are served: streams that go on
// after a break, although their callers have waited before, then those that begin, each by their priority.
func TestResumedStreamsComeFirst(t *testing.T) {
	p, _ := newTestEntry(t, 0, 1, 0)
	now := time.Now()
	type request struct {
		name     string
		late     bool
		priority int32
	}
	var l []request
	for n, c := range map[string]struct {
		priority int
		resumes  string
	}{"new": {1, ""}, "urgent": {0, ""}, "resumed": {1, "r"}, "urgent-resumed": {0, "r"}} {
		x := &exchange{
			arrived: now, deadline: now.Add(5 * time.Second), prefillDeadline: now.Add(-time.Second),
			route: &rules.Route{Kind: rules.Streaming, Resumable: true, Priority: c.priority, TargetLatency: time.Second}, call: calls.RequestInfo{Resumes: c.resumes},
		}
		if c.resumes == "" {
			x.prefillDeadline = now.Add(time.Second)
		}
		startBy, expiresAt := p.reservationDeadlines(x, 100*time.Millisecond)
		if startBy.After(expiresAt) {
			t.Errorf("%s: in time until %s, which is after its end", n, startBy.Sub(expiresAt))
		}
		l = append(l, request{n, !startBy.After(now), p.reservationPriority(x)})
	}
	slices.SortFunc(l, func(a, b request) int { return int(a.priority - b.priority) })
	want := []request{{"urgent-resumed", false, resumedPriority}, {"resumed", false, resumedPriority + 1}, {"urgent", false, 0}, {"new", false, 1}}
	if d := cmp.Diff(want, l, cmp.AllowUnexported(request{})); d != "" {
		t.Errorf("order (-want +got):\n%s", d)
	}
}
