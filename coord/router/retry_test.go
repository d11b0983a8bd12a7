package router_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/wire"
)

// TestRefusedPrefillGetsNoMorePatience repeats what let the first token come 11 s late
// under overload: a prefill that found no slot was retried with the patience of the whole
// request.
func TestRefusedPrefillGetsNoMorePatience(t *testing.T) {
	x := newTable(t)
	o := x.open(generated("gen1"))
	p := only[router.OpenRun](x.step(router.RunGranted{Ref: o.Ref}))
	if len(p) != 1 {
		t.Fatalf("%d prefills opened, want 1", len(p))
	}
	x.now = x.now.Add(200 * time.Millisecond)
	e := x.step(router.RunFailed{Ref: p[0].Ref, Err: fault.NotRun(fault.TooLate, "no slot")})
	again := only[router.OpenRun](e)
	if len(again) != 1 {
		t.Fatalf("effects %v, want another prefill", e)
	}
	left := time.Duration(again[0].Open.PatienceMicros) * time.Microsecond
	if limit := 670*time.Millisecond - 200*time.Millisecond; left > limit {
		t.Errorf("the second prefill may wait %v, want at most %v", left, limit)
	}
	x.now = x.now.Add(time.Second)
	e = x.step(router.RunFailed{Ref: again[0].Ref, Err: fault.NotRun(fault.TooLate, "no slot")})
	if f := only[router.Finish](e); len(f) != 1 || f[0].Err.Code != fault.TooLate || f[0].Err.Ran == wire.Ran_RAN_YES {
		t.Errorf("effects %v, want the end at once", e)
	}
}
