package feed

import (
	"fmt"
	"sync/atomic"

	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"github.com/prometheus/client_golang/prometheus"
)

// Collectors returns the metrics of the counts under a namespace.
func (c *Counts) Collectors(namespace string) []prometheus.Collector {
	f := func(name, help string, v *atomic.Uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      name,
			Help:      help,
		}, func() float64 { return float64(v.Load()) })
	}
	return []prometheus.Collector{
		f("platform_reads_total", "Reads of the platform.", &c.Reads),
		f("platform_read_errors_total", "Reads of the platform that failed.", &c.ReadErrors),
		f("peer_exchanges_total", "Digests sent to peers.", &c.Exchanges),
		f("configuration_adopted_total", "Configurations put in force.", &c.Adopted),
		f("configuration_rejected_total", "Configurations refused.", &c.Rejected),
	}
}

// FormatRevisions tells which settings and list are in force.
func FormatRevisions(t *tree.Tree, l *fleet.List) string {
	return fmt.Sprintf("settings %d, list %d", t.Revision(), l.Revision())
}
