package router_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/wire"
)

// TestRefusedPrefillKeepsStartDeadline checks that the retry of a prefill that found no slot
// gets only the time left until the request must start. When each retry got the request's
// full patience again, the first token came 11 s late under overload.
func TestRefusedPrefillKeepsStartDeadline(t *testing.T) {
	x := newHarness(t)
	o := x.openMainRun(generatedCall("gen1"))
	p := effectsOf[router.OpenRun](x.step(router.RunGranted{Ref: o.Ref}))
	if len(p) != 1 {
		t.Fatalf("%d prefills opened, want 1", len(p))
	}
	x.now = x.now.Add(200 * time.Millisecond)
	e := x.step(router.RunFailed{Ref: p[0].Ref, Err: fault.NotRun(fault.DeadlineExceeded, "no slot")})
	again := effectsOf[router.OpenRun](e)
	if len(again) != 1 {
		t.Fatalf("effects %v, want one OpenRun for another prefill", e)
	}
	left := time.Duration(again[0].Open.PatienceMicros) * time.Microsecond
	if limit := 670*time.Millisecond - 200*time.Millisecond; left > limit {
		t.Errorf("the second prefill may wait %v for a slot, want at most %v", left, limit)
	}
	x.now = x.now.Add(time.Second)
	e = x.step(router.RunFailed{Ref: again[0].Ref, Err: fault.NotRun(fault.DeadlineExceeded, "no slot")})
	if f := effectsOf[router.Finish](e); len(f) != 1 || f[0].Err.Code != fault.DeadlineExceeded || f[0].Err.Ran == wire.Ran_RAN_YES {
		t.Errorf("effects %v, want one Finish with code too late that is not RAN_YES", e)
	}
}
