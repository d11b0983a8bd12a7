package router_test

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/poison"
	"cranberrypoint.example/coord/router"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// engineEnded is the failure that an agent reports when its engine ends under a run.
func engineEnded() *fault.Error {
	return fault.NotRun(fault.UpstreamEnded, "the engine ended").WithRan(wire.Ran_RAN_UNKNOWN)
}

// crashAll sends a call and lets the engine end under each of its runs. It returns the number of runs, and
// the error that the caller gets.
func (x *harness) crashAll(id router.RequestID, c router.Call) (runs int, err *fault.Error) {
	x.t.Helper()
	x.now = x.now.Add(2 * time.Second)
	effects := x.step(router.Arrived{ID: id, Call: c})
	for range 20 {
		x.now = x.now.Add(250 * time.Millisecond)
		if f := effectsOf[router.Finish](effects); len(f) > 0 {
			return runs, f[0].Err
		}
		if v := effectsOf[router.Reserve](effects); len(v) > 0 {
			effects = x.step(router.ReserveAnswered{ID: id, VM: v[0].VM, Reply: &wire.ReserveReply{Granted: v[0].Tokens}})
			continue
		}
		if o := effectsOf[router.OpenRun](effects); len(o) > 0 {
			runs++
			effects = x.step(router.RunFailed{Ref: o[0].Ref, Err: engineEnded()})
			continue
		}
		effects = x.step(router.Ticked{})
	}
	x.t.Fatal("the request didn't end")
	return runs, nil
}

// TestPromptThatCrashesEnginesIsNotRepeated guards against a prompt that ends engine after engine: first by
// repeats of one request, then by further requests that share a part with it.
func TestPromptThatCrashesEnginesIsNotRepeated(t *testing.T) {
	x := newHarness(t)
	bad := func(name string, parts ...string) router.Call {
		c := generatedCall(name)
		for _, p := range parts {
			c.PoisonKeys = append(c.PoisonKeys, poison.PartKey(p))
		}
		return c
	}
	runs, err := x.crashAll(1, bad("first", "system", "bad"))
	if d := cmp.Diff(2, runs); d != "" || err.Code != fault.UpstreamEnded {
		t.Errorf("runs of the first request, which ended with %v (-want +got):\n%s", err, d)
	}
	runs, err = x.crashAll(2, bad("second", "system", "bad", "more"))
	if d := cmp.Diff(1, runs); d != "" || err.Code != fault.UpstreamEnded {
		t.Errorf("runs of the second request, which ended with %v (-want +got):\n%s", err, d)
	}
	runs, err = x.crashAll(3, bad("third", "system", "bad"))
	if d := cmp.Diff(0, runs); d != "" || err.Code != fault.PromptQuarantined || err.Ran != wire.Ran_RAN_NO || err.RetryAt.IsZero() {
		t.Errorf("runs of the third request, which ended with %v (-want +got):\n%s", err, d)
	}
	if runs, err = x.crashAll(4, bad("sound", "system", "good")); runs == 0 {
		t.Errorf("a request that shares the other part was refused: %v", err)
	}
}
