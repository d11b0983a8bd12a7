package router_test

import (
	"testing"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestEndOfDrainAnswersWhatWaits guards against requests that wait for tokens, a slot or an answer when a drain ends: their
// connections were closed without an answer. Only those that no upstream can have run are called "not run".
func TestEndOfDrainAnswersWhatWaits(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(x *harness)
		code  fault.Code
		ran   wire.Ran
	}{
		{"waits for tokens", func(x *harness) {
			x.step(router.Arrived{ID: 1, Call: plainCall("r", "once", "")})
		}, fault.Leaving, wire.Ran_RAN_NO},
		{"waits for a prefill", func(x *harness) { x.openMainRun(generatedCall("r")) }, fault.Leaving, wire.Ran_RAN_NO},
		{"may have been sent", func(x *harness) { x.openMainRun(plainCall("r", "once", "")) }, fault.OutcomeUnknown, wire.Ran_RAN_UNKNOWN},
		{"has begun its answer", func(x *harness) {
			o := x.openMainRun(plainCall("r", "often", ""))
			x.step(router.RunGranted{Ref: o.Ref})
			x.step(router.RunHead{Ref: o.Ref, Head: &wire.Head{Status: 200}})
			x.step(runData(o.Ref, 0, "begin"))
		}, fault.OutcomeUnknown, wire.Ran_RAN_YES},
	} {
		x := newHarness(t)
		c.begin(x)
		l := effectsOf[router.Finish](x.step(router.DrainEnded{}))
		if len(l) != 1 || l[0].Err == nil {
			t.Errorf("%s: it ends with %v, want an error", c.name, l)
			continue
		}
		if d := cmp.Diff([]any{c.code, c.ran, 0}, []any{l[0].Err.Code, l[0].Err.Ran, x.r.Active()}); d != "" {
			t.Errorf("%s: code, whether it ran, and requests left (-want +got):\n%s", c.name, d)
		}
		if hasTime := !l[0].Err.RetryAt.IsZero(); hasTime != (c.ran == wire.Ran_RAN_NO) {
			t.Errorf("%s: has a time to come back: %v", c.name, hasTime)
		}
	}
}
