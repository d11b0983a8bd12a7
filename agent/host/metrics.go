package host

import (
	"fmt"

	"cranberrypoint.example/coord/feed"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

type metrics struct {
	registry *prometheus.Registry
	started  *prometheus.CounterVec
	events   *prometheus.CounterVec
	freed    prometheus.Counter
	reserved prometheus.Counter
	returned prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		started:  counters("agent_calls_started_total", "Calls to the upstream.", "stage"),
		events:   counters("agent_events_total", "Events of the time line.", "kind"),
		freed:    counter("agent_engine_freed_total", "Requests freed at the engine that nobody claimed."),
		reserved: counter("agent_tokens_reserved_total", "Tokens granted to reservations."),
		returned: counter("agent_tokens_returned_total", "Tokens given back by reservations."),
	}
	m.registry.MustRegister(m.started, m.events, m.freed, m.reserved, m.returned,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

const namespace = "cranberrypoint"

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func (m *metrics) watchFeed(c *feed.Counts) {
	m.registry.MustRegister(c.Collectors(namespace)...)
}

func revisionText(t *tree.Tree, l *fleet.List) string {
	return fmt.Sprintf("settings %d, list %d", t.Revision(), l.Revision())
}
