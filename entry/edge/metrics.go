package edge

import (
	"fmt"
	"sync/atomic"

	"cranberrypoint.example/coord/feed"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/tree"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "cranberrypoint"

type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	opened    *prometheus.CounterVec
	events    *prometheus.CounterVec
	resumed   prometheus.Counter
	unsettled prometheus.Counter
	first     prometheus.Histogram
	between   prometheus.Histogram
	settling  atomic.Int64
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: counters("entry_requests_total", "Requests by outcome and by whether they ran.", "code", "ran"),
		opened:   counters("entry_runs_opened_total", "Runs opened at agents.", "stage"),
		events:   counters("entry_events_total", "Events of the time line.", "kind"),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "entry_runs_resumed_total",
			Help:      "Streams that replaced a lost one.",
		}),
		unsettled: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "entry_unsettled_total",
			Help:      "Reservations whose holder did not confirm that they were settled.",
		}),
		first:   histogram("entry_first_token_seconds", "Time to the first token."),
		between: histogram("entry_between_tokens_seconds", "Time between two tokens."),
	}
	m.registry.MustRegister(m.requests, m.opened, m.events, m.resumed, m.unsettled, m.first, m.between,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Buckets of latency histograms, in seconds.
var buckets = []float64{.005, .01, .02, .034, .05, .1, .2, .4, .67, 1, 2, 5, 10}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	})
}

func (m *metrics) watchFeed(c *feed.Counts) {
	m.registry.MustRegister(c.Collectors(namespace)...)
}

func revisionText(t *tree.Tree, l *fleet.List) string {
	return fmt.Sprintf("settings %d, list %d", t.Revision(), l.Revision())
}
