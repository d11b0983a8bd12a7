package edge

import (
	"slices"

	"cranberrypoint.example/coord/fleet"
	"github.com/sirupsen/logrus"
)

// noteEvacuations logs and counts the data centres that are evacuated since the last list of VMs, or no longer
// are. agents is 0 for one that isn't known.
func (e *Edge) noteEvacuations(before, now *fleet.List) {
	note := func(from, to *fleet.List, event, change string) {
		for _, dc := range to.Evacuated() {
			if slices.Contains(from.Evacuated(), dc) {
				continue
			}
			e.metrics.evacuations.WithLabelValues(change).Inc()
			e.log.WithFields(logrus.Fields{"event": event, "data-centre": dc, "agents": len(now.Agents(dc))}).Info("evacuation changed")
		}
	}
	note(before, now, "evacuation-began", "began")
	note(now, before, "evacuation-ended", "ended")
}
