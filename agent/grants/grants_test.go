package grants

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestStageInProgressIsTold covers what other agents are told of an engine: while it
// changes its stage, the one that it will serve, or several would be ordered away.
func TestStageInProgressIsTold(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		reported time.Time
		busy     bool
		ordered  wire.Stage
		want     wire.Stage
	}{
		{"silent", now.Add(-time.Minute), false, wire.Stage_STAGE_UNKNOWN, wire.Stage_STAGE_UNKNOWN},
		{"sound", now, false, wire.Stage_STAGE_DECODE, wire.Stage_STAGE_PREFILL},
		{"changing", now, true, wire.Stage_STAGE_DECODE, wire.Stage_STAGE_DECODE},
		{"busy with another's order", now, true, wire.Stage_STAGE_UNKNOWN, wire.Stage_STAGE_PREFILL},
	} {
		g := &EngineAgent{
			reported: c.reported,
			ordered:  c.ordered,
			report:   calls.EngineReport{Stage: wire.Stage_STAGE_PREFILL, Busy: c.busy},
		}
		self := &wire.Member{}
		g.refresh(self)
		if d := cmp.Diff(c.want, self.Stage); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}
