package grants

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestMemberShowsOrderedStage checks the stage in the agent's membership record. While the
// engine changes its stage, the record must show the new one: other agents that saw the old
// stage would order their engines to change too.
func TestMemberShowsOrderedStage(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name         string
		reportedAt   time.Time
		busy         bool
		orderedStage wire.Stage
		want         wire.Stage
	}{
		{"unhealthy", now.Add(-time.Minute), false, wire.Stage_STAGE_UNKNOWN, wire.Stage_STAGE_UNKNOWN},
		{"healthy", now, false, wire.Stage_STAGE_DECODE, wire.Stage_STAGE_PREFILL},
		{"changing", now, true, wire.Stage_STAGE_DECODE, wire.Stage_STAGE_DECODE},
		{"changing by an order that this process did not send", now, true, wire.Stage_STAGE_UNKNOWN, wire.Stage_STAGE_PREFILL},
	} {
		e := &EngineAgent{
			reportedAt:   c.reportedAt,
			orderedStage: c.orderedStage,
			report:       calls.EngineReport{Stage: wire.Stage_STAGE_PREFILL, Busy: c.busy},
		}
		self := &wire.Member{}
		e.updateMember(self)
		if d := cmp.Diff(c.want, self.Stage); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}
