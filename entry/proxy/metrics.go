package proxy

import (
	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	seconds     *prometheus.HistogramVec
	first       prometheus.Histogram
	sends       *prometheus.CounterVec
	connections prometheus.Counter
	lists       prometheus.Counter
	listErrors  prometheus.Counter
	learned     prometheus.Counter
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry:    r,
		requests:    opsrv.Counters(r, "proxy_requests_total", "Requests that ended.", "kind", "outcome"),
		seconds:     opsrv.Latencies(r, "proxy_request_seconds", "Time from a request to the end of its answer.", "kind", "outcome"),
		first:       opsrv.Latency(r, "proxy_first_event_seconds", "Time from a request to the first part of a stream."),
		sends:       opsrv.Counters(r, "proxy_sends_total", "Sends to upstreams.", "purpose", "result"),
		connections: opsrv.Counter(r, "proxy_connections_total", "Connections opened to upstreams."),
		lists:       opsrv.Counter(r, "store_reads_total", "Reads of the store."),
		learned:     opsrv.Counter(r, "store_learned_total", "Listings taken over from other entries."),
		listErrors:  opsrv.Counter(r, "store_read_errors_total", "Reads of the store that failed."),
	}
}
