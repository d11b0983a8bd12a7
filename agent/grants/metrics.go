package grants

import (
	"strconv"

	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	registry *prometheus.Registry
	// placeRequests counts the requests that were granted or refused. A request whose stream
	// ends while it waits isn't counted.
	placeRequests *prometheus.CounterVec
	waits         *prometheus.HistogramVec
	prompts       *prometheus.CounterVec
	polls         *prometheus.CounterVec
	orders        *prometheus.CounterVec
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry:      r,
		placeRequests: opsrv.Counters(r, "grants_places_total", "Place requests that were granted or refused.", "granted", "reason"),
		waits:         opsrv.Latencies(r, "grants_wait_seconds", "Time from a place request to its grant or refusal.", "granted"),
		prompts:       opsrv.Counters(r, "grants_prompts_total", "Prompts that entries asked the engine to prefill.", "granted"),
		polls:         opsrv.Counters(r, "grants_reports_total", "Polls of the engine's report.", "answered"),
		orders:        opsrv.Counters(r, "grants_orders_total", "Stage orders by HTTP status of the engine's response, or none.", "status"),
	}
}

func boolLabel(b bool) string { return strconv.FormatBool(b) }
