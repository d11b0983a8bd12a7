package fault

import (
	"testing"

	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestStatusOfExecutedRequestPromisesNothing guards against statuses that callers take for "not run" on errors of requests that ran
// or may have run, such as those whose outcome was forgotten.
func TestStatusOfExecutedRequestPromisesNothing(t *testing.T) {
	for _, c := range []Code{
		BadRequest, BadKey, NoRoute, TooLarge, HeadTooLarge, RequestTimeout, OverLimit, Overloaded, DeadlineExceeded, Unreachable, UpstreamError, UpstreamEnded,
		OutcomeUnknown, OutcomeForgotten, Leaving, Duplicate, Cancelled, PromptQuarantined, RequestQuarantined, StreamUnknown, VersionGone, OutOfRegion, NoRoom, NotReady,
	} {
		if d := cmp.Diff(c.Status(), NotRun(c, "").Status()); d != "" {
			t.Errorf("%s, not run (-want +got):\n%s", c, d)
		}
		for _, r := range []wire.Ran{wire.Ran_RAN_YES, wire.Ran_RAN_UNKNOWN} {
			if s := NotRun(c, "").WithRan(r).Status(); PromisesNotRun(s) {
				t.Errorf("%s, ran %s: status %d", c, RanText(r), s)
			}
		}
	}
}
