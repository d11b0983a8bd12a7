package feed

import (
	"fmt"
	"sync/atomic"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"github.com/prometheus/client_golang/prometheus"
)

// Collectors returns Prometheus counters for c, whose names begin with the namespace.
func (c *Counts) Collectors(namespace string) []prometheus.Collector {
	newCounter := func(name, help string, v *atomic.Uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      name,
			Help:      help,
		}, func() float64 { return float64(v.Load()) })
	}
	return []prometheus.Collector{
		newCounter("platform_reads_total", "Reads of the platform.", &c.Reads),
		newCounter("platform_read_errors_total", "Reads of the platform that failed.", &c.ReadErrors),
		newCounter("peer_exchanges_total", "Digests sent to peers.", &c.Exchanges),
		newCounter("configuration_adopted_total", "Configurations put in force.", &c.Adopted),
		newCounter("configuration_rejected_total", "Configurations refused.", &c.Rejected),
	}
}

// FormatRevisions returns the revisions of the settings and of the list of VMs as text.
// Callers record it as trace.Event.Detail when they adopt a configuration.
func FormatRevisions(t *tree.Tree, l *fleet.List) string {
	return fmt.Sprintf("settings %d, list %d", t.Revision(), l.Revision())
}
