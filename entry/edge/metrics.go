package edge

import (
	"sync/atomic"

	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	opened    *prometheus.CounterVec
	events    *prometheus.CounterVec
	resumed   prometheus.Counter
	unsettled prometheus.Counter
	first     prometheus.Histogram
	between   prometheus.Histogram
	// settling counts the settlements that are not confirmed yet.
	settling atomic.Int64
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry:  r,
		requests:  opsrv.Counters(r, "entry_requests_total", "Requests by outcome and by whether they ran.", "code", "ran"),
		opened:    opsrv.Counters(r, "entry_runs_opened_total", "Runs opened at agents.", "stage"),
		events:    opsrv.Counters(r, "entry_events_total", "Events of the time line.", "kind"),
		resumed:   opsrv.Counter(r, "entry_runs_resumed_total", "Streams that replaced a lost one."),
		unsettled: opsrv.Counter(r, "entry_unsettled_total", "Reservations whose holder did not confirm that they were settled."),
		first:     opsrv.Latency(r, "entry_first_token_seconds", "Time to the first token."),
		between:   opsrv.Latency(r, "entry_between_tokens_seconds", "Time between two tokens."),
	}
}
