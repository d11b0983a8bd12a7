package admit

import (
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/wire"
	"github.com/google/go-cmp/cmp"
)

// TestAnnouncedStage checks the stage that other managers are told. While the engine changes its
// stage, it must be the new one: managers that saw the old stage would order their engines to
// change too.
func TestAnnouncedStage(t *testing.T) {
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
		m := &Manager{
			limits:       pacer.New(pacer.NoShare),
			reportTTL:    reportTTL,
			reportedAt:   c.reportedAt,
			orderedStage: c.orderedStage,
			report:       calls.EngineReport{Stage: wire.Stage_STAGE_PREFILL, Busy: c.busy},
		}
		if d := cmp.Diff(c.want, m.AnnouncedStage()); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}
