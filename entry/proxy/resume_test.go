package proxy

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/origin"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
	"github.com/google/go-cmp/cmp"
)

// TestStreamOfUnknownOriginNeedsCurrentList guards against streams that go on at another version than the one that began them, at
// an entry that was cut off or stood still while upstreams of that version joined: nobody answers where the stream began, and
// the entry has seen a single version.
func TestStreamOfUnknownOriginNeedsCurrentList(t *testing.T) {
	for _, c := range []struct {
		name string
		// gap is a time without a list that ended a second before the request.
		gap time.Duration
		// age is that of the last list when the request comes, and next the time until the next one; 0 for none.
		age, next time.Duration
		want      fault.Code
	}{
		{"calm", 0, 300 * time.Millisecond, 200 * time.Millisecond, ""},
		{"cut off for a moment", 0, 300 * time.Millisecond, 0, fault.StreamUnknown},
		{"cut off for 1 s", 0, time.Second, 0, fault.StreamUnknown},
		{"cut off for 3 s", 0, 3 * time.Second, 0, fault.StreamUnknown},
		{"cut off for 10 s", 0, 10 * time.Second, 0, fault.StreamUnknown},
		{"cut off for 3 s, and back", 0, 3 * time.Second, 200 * time.Millisecond, fault.StreamUnknown},
		{"stood still for 2 s", 2 * time.Second, 300 * time.Millisecond, 200 * time.Millisecond, fault.StreamUnknown},
		{"stood still for 7 s", 7 * time.Second, 300 * time.Millisecond, 200 * time.Millisecond, fault.StreamUnknown},
		{"stood still for 10 s and then cut off", 10 * time.Second, time.Second, 0, fault.StreamUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestProxy(t.Context(), t)
			adopt := func(revision uint64, age time.Duration) {
				l := calls.Listing{Rules: mustRules(t, 7), Epoch: 1, Revision: revision, Upstreams: []roster.Upstream{{Instance: "i", Service: "s", Address: "127.0.0.1:1", Version: "v1"}}}
				if err := p.adopt(l, clock.Now().Add(-age)); err != nil {
					t.Error(err)
				}
			}
			adopt(1, c.age)
			p.versions = origin.NewHistory()
			for age := 20 * time.Second; age >= c.age; age -= 100 * time.Millisecond {
				if age <= time.Second || age >= time.Second+c.gap {
					p.versions.Observe(time.Now().Add(-age))
				}
			}
			x := &exchange{
				ctx: t.Context(), arrived: time.Now(), arrivedInstant: clock.Now(), deadline: time.Now().Add(5 * time.Second),
				call: calls.RequestInfo{ID: "again", Resumes: "first", LastEvent: "3"}, service: &rules.Service{Name: "s"},
				route: &rules.Route{Kind: rules.Streaming, Resumable: true, Timeout: 5 * time.Second, Destinations: []rules.Destination{{Service: "s"}}},
			}
			if c.next > 0 {
				time.AfterFunc(c.next, func() { adopt(2, 0) })
			}
			p.startedAt = time.Now().Add(-time.Minute)
			e := p.pinResumed(x)
			got := fault.Code("")
			if e != nil {
				got = e.Code
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("%v, origin %+v (-want +got):\n%s", e, x.origin, d)
			}
		})
	}
}
