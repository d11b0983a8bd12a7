package host

import (
	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
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
	r := opsrv.NewRegistry()
	return &metrics{
		registry: r,
		started:  opsrv.Counters(r, "agent_calls_started_total", "Calls to the upstream.", "stage"),
		events:   opsrv.Counters(r, "agent_events_total", "Events of the time line.", "kind"),
		freed:    opsrv.Counter(r, "agent_engine_freed_total", "Requests freed at the engine that nobody claimed."),
		reserved: opsrv.Counter(r, "agent_tokens_reserved_total", "Tokens granted to reservations."),
		returned: opsrv.Counter(r, "agent_tokens_returned_total", "Tokens given back by reservations."),
	}
}
