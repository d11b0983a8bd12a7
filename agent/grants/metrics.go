package grants

import (
	"strconv"

	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	registry *prometheus.Registry
	places   *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	prompts  *prometheus.CounterVec
	reports  *prometheus.CounterVec
	orders   *prometheus.CounterVec
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry: r,
		places:   opsrv.Counters(r, "grants_places_total", "Places that were asked for.", "granted", "reason"),
		waits:    opsrv.Latencies(r, "grants_wait_seconds", "Time from asking for a place to the answer.", "granted"),
		prompts:  opsrv.Counters(r, "grants_prompts_total", "Prompts that were to be read here.", "granted"),
		reports:  opsrv.Counters(r, "grants_reports_total", "Questions to the engine.", "answered"),
		orders:   opsrv.Counters(r, "grants_orders_total", "Orders to the engine by its answer.", "status"),
	}
}

func boolLabel(b bool) string { return strconv.FormatBool(b) }
