package admit

import (
	"strconv"

	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what the managers of a process decide. Use NewMetrics.
type Metrics struct {
	// placeRequests counts the requests that were granted or refused. A request whose stream
	// ends while it waits isn't counted.
	placeRequests *prometheus.CounterVec
	// sharedPlaces counts those of them for which several workspaces or classes competed.
	sharedPlaces *prometheus.CounterVec
	waits        *prometheus.HistogramVec
	prompts      *prometheus.CounterVec
	polls        *prometheus.CounterVec
	orders       *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r, which can be done once.
func NewMetrics(r prometheus.Registerer) *Metrics {
	return &Metrics{
		placeRequests: opsrv.Counters(r, "grants_places_total", "Place requests that were granted or refused.", "granted", "reason"),
		sharedPlaces:  opsrv.Counters(r, "grants_shared_places_total", "Place requests that were granted or refused while several workspaces or priorities competed, by whether the workspace was beyond its share.", "granted", "over"),
		waits:         opsrv.Latencies(r, "grants_wait_seconds", "Time from a place request to its grant or refusal.", "granted"),
		prompts:       opsrv.Counters(r, "grants_prompts_total", "Prompts that entries asked the engine to prefill.", "granted"),
		polls:         opsrv.Counters(r, "grants_reports_total", "Polls of the engine's report.", "answered"),
		orders:        opsrv.Counters(r, "grants_orders_total", "Stage orders by HTTP status of the engine's response, or none.", "status"),
	}
}

func boolLabel(b bool) string { return strconv.FormatBool(b) }
