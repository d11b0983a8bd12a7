package intake

import (
	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are those of a guard.
type metrics struct {
	evicted, refused, largeHeads prometheus.Counter

	connections, held prometheus.GaugeFunc
}

func newMetrics(g *Guard) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: opsrv.Namespace, Name: name, Help: help})
	}
	gauge := func(name, help string, value func(*Table) float64) prometheus.GaugeFunc {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: opsrv.Namespace, Name: name, Help: help}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value(g.table)
		})
	}
	return &metrics{
		evicted:     counter("intake_evicted_total", "Connections of callers that were closed to make room."),
		refused:     counter("intake_refused_total", "Connections and requests of callers that were refused for want of room."),
		largeHeads:  counter("intake_large_heads_total", "Requests that were refused with 431 before their head ended."),
		connections: gauge("intake_connections", "Open connections of callers.", func(t *Table) float64 { return float64(t.Conns()) }),
		held:        gauge("intake_held_bytes", "Memory that callers make the process hold, as it is counted.", func(t *Table) float64 { return float64(t.Held()) }),
	}
}

// Collectors returns the metrics of the guard.
func (g *Guard) Collectors() []prometheus.Collector {
	return []prometheus.Collector{g.metrics.evicted, g.metrics.refused, g.metrics.largeHeads, g.metrics.connections, g.metrics.held}
}
