package proxy

import (
	"cranberrypoint.example/coord/admit"
	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	sends      *prometheus.CounterVec
	// unprovenRefusals counts answers whose status promises that the request didn't run, without proof.
	unprovenRefusals prometheus.Counter
	answers          *prometheus.CounterVec
	upstreamStates   *prometheus.CounterVec
	placed           *prometheus.CounterVec
	workEstimates    *prometheus.CounterVec
	coldUpstreams    *prometheus.CounterVec
	connections      prometheus.Counter
	upstreamsEnded   prometheus.Counter
	quarantined      prometheus.Counter
	slotWaits        *prometheus.CounterVec
	outOfRegion      prometheus.Counter
	resumed          *prometheus.CounterVec
	repeats          *prometheus.CounterVec
	budgetSpent      *prometheus.CounterVec
	configAge        prometheus.Histogram
	storeReads       prometheus.Counter
	storeReadErrors  prometheus.Counter
	storeEpochs      prometheus.Counter
	entryListings    prometheus.Counter
	evacuations      *prometheus.CounterVec
	dataCentreSends  *prometheus.GaugeVec
	// admit counts the decisions on engines that this entry manages.
	admit *admit.Metrics
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry:         r,
		requests:         opsrv.Counters(r, "proxy_requests_total", "Requests that ended.", "kind", "outcome"),
		duration:         opsrv.Latencies(r, "proxy_request_seconds", "Time from a request to the end of its answer.", "kind", "outcome"),
		firstEvent:       opsrv.Latency(r, "proxy_first_event_seconds", "Time from a request to the first part of a stream."),
		sends:            opsrv.Counters(r, "proxy_sends_total", "Sends to upstreams.", "purpose", "result"),
		answers:          opsrv.Counters(r, "proxy_answers_total", "Answers of upstreams that were relayed, by how they were framed and how reading them ended.", "framing", "end"),
		unprovenRefusals: opsrv.Counter(r, "proxy_unproven_refusals_total", "Answers of upstreams with a status that promises that the request didn't run, without proof. Callers got 502."),
		upstreamStates:   opsrv.Counters(r, "proxy_upstream_states_total", "What upstreams said of themselves in answers: that they leave, want a pause, name a limit or their slowness, or something that can't be understood.", "state"),
		placed:           opsrv.Counters(r, "proxy_placed_total", "Requests sent to upstreams of which one has named its slowness, by that of the upstream then: usual or slow.", "upstream"),
		workEstimates:    opsrv.Counters(r, "proxy_work_estimates_total", "Answers whose work was within one error of the estimate, or beyond.", "error"),
		coldUpstreams:    opsrv.Counters(r, "proxy_cold_upstreams_total", "Upstreams that became cold, by where the entry has that from.", "source"),
		connections:      opsrv.Counter(r, "proxy_connections_total", "Connections opened to upstreams."),
		upstreamsEnded:   opsrv.Counter(r, "proxy_upstreams_ended_total", "Requests under which their upstream ended."),
		quarantined:      opsrv.Counter(r, "proxy_quarantined_total", "Checks that stopped a quarantined request, or one with a quarantined part in its prompt."),
		outOfRegion:      opsrv.Counter(r, "proxy_out_of_region_total", "Requests refused since no upstream was in a region that is allowed for them."),
		resumed:          opsrv.Counters(r, "proxy_resumed_total", "Streams that callers took up again, by how it was found which version began them.", "origin"),
		slotWaits:        opsrv.Counters(r, "proxy_slot_waits_total", "Plain requests that found the upstreams without room, by what became of their wait.", "end"),
		repeats:          opsrv.Counters(r, "proxy_repeats_total", "Sends of requests beyond their first, and prefills that were refused or lost, by reason.", "service", "reason"),
		budgetSpent:      opsrv.Counters(r, "proxy_budget_spent_total", "Repeats that the retry budget didn't allow, by reason.", "service", "reason"),
		configAge:        opsrv.Latency(r, "proxy_config_age_seconds", "Age of the configuration with which requests were admitted."),
		storeReads:       opsrv.Counter(r, "store_reads_total", "Reads of the store."),
		entryListings:    opsrv.Counter(r, "store_learned_total", "Listings taken over from other entries."),
		storeEpochs:      opsrv.Counter(r, "store_epochs_total", "New epochs of the store: it was restored from a copy."),
		evacuations:      opsrv.Counters(r, "proxy_evacuations_total", "Evacuations of data centres that began or ended.", "data_centre", "change"),
		dataCentreSends:  opsrv.Gauges(r, "proxy_data_centre_sends", "Sends to upstreams of a data centre that haven't ended.", "data_centre"),
		admit:            admit.NewMetrics(r),
		storeReadErrors:  opsrv.Counter(r, "store_read_errors_total", "Reads of the store that failed."),
	}
}
