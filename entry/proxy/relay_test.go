package proxy

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/rules"
)

// TestUpstreamLeavesWhileRequestWaits guards against sends to an upstream that left after it was
// picked. Under overload a request waits for seconds in between, and the list changes meanwhile.
func TestUpstreamLeavesWhileRequestWaits(t *testing.T) {
	r, err := rules.New(rules.Config{
		Version:  1,
		Services: []rules.Service{{Name: "llm"}},
		Routes:   []rules.Route{{Name: "r", Host: "h", Prefix: "/", Public: true, Destinations: []rules.Destination{{Service: "llm", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := newTestProxy(t.Context(), t)
	chosen := roster.Upstream{Instance: "leaves", Service: "llm", Address: "127.0.0.1:1"}
	p.snapshot.Store(&snapshot{rules: r, services: map[string][]roster.Upstream{"llm": {{Instance: "stays", Service: "llm"}}}})
	x := &exchange{r: httptest.NewRequest("POST", "http://h/x", nil), path: "/x", service: r.Service("llm"), deadline: time.Now().Add(time.Second)}
	_, _, err = p.send(t.Context(), x, chosen, calls.UpstreamParams{}, "decode")
	if !errors.Is(err, errUpstreamLeaving) || maybeSent(err) {
		t.Errorf("error %v; want %v, not sent", err, errUpstreamLeaving)
	}
}
