package edge

import (
	"sync/atomic"

	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of an entry and the count that its drain waits for.
type metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	runsOpened  *prometheus.CounterVec
	traceEvents *prometheus.CounterVec
	evacuations *prometheus.CounterVec
	runsResumed prometheus.Counter
	// unsettled counts the settlements that were given up after settleTimeout.
	unsettled     prometheus.Counter
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	// pendingSettlements is the number of settlements that are still being attempted. It is
	// not exported.
	pendingSettlements atomic.Int64
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry:      r,
		requests:      opsrv.Counters(r, "entry_requests_total", "Requests by outcome and by whether they ran at an upstream.", "code", "ran"),
		runsOpened:    opsrv.Counters(r, "entry_runs_opened_total", "Runs opened at agents.", "stage"),
		traceEvents:   opsrv.Counters(r, "entry_events_total", "Trace events by kind.", "kind"),
		evacuations:   opsrv.Counters(r, "entry_evacuations_total", "Data centres that were evacuated (began) or taken back (ended).", "change"),
		runsResumed:   opsrv.Counter(r, "entry_runs_resumed_total", "Runs resumed on a new stream after the old one was lost."),
		unsettled:     opsrv.Counter(r, "entry_unsettled_total", "Reservations whose holder did not confirm that they were settled."),
		firstToken:    opsrv.Latency(r, "entry_first_token_seconds", "Time to the first token."),
		betweenTokens: opsrv.Latency(r, "entry_between_tokens_seconds", "Time between two tokens."),
	}
}
