package host

import (
	"cranberrypoint.example/coord/opsrv"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of an agent.
type metrics struct {
	registry         *prometheus.Registry
	callsStarted     *prometheus.CounterVec
	traceEvents      *prometheus.CounterVec
	allocationsFreed prometheus.Counter
	tokensReserved   prometheus.Counter
	tokensReturned   prometheus.Counter
	// noMemory counts the runs that were refused for want of memory.
	noMemory prometheus.Counter
	// answers counts the answers of plain services.
	answers *prometheus.CounterVec
}

func newMetrics() *metrics {
	r := opsrv.NewRegistry()
	return &metrics{
		registry:         r,
		callsStarted:     opsrv.Counters(r, "agent_calls_started_total", "Calls to the upstream that were started, by stage.", "stage"),
		traceEvents:      opsrv.Counters(r, "agent_events_total", "Events added to the trace log, by kind.", "kind"),
		allocationsFreed: opsrv.Counter(r, "agent_engine_freed_total", "Allocations freed at the engine because no running run owned them."),
		tokensReserved:   opsrv.Counter(r, "agent_tokens_reserved_total", "Tokens of workspace limits granted to reservations."),
		noMemory:         opsrv.Counter(r, "agent_no_memory_total", "Runs refused since the agent holds as much for its runs as it may."),
		answers:          opsrv.Counters(r, "agent_answers_total", "Answers of the plain service, by how they were framed and how reading them ended.", "framing", "end"),
		tokensReturned:   opsrv.Counter(r, "agent_tokens_returned_total", "Reserved tokens that were not used and were returned."),
	}
}

// addMemory adds the memory that runs make the agent hold.
func (m *metrics) addMemory(x *memory) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: opsrv.Namespace, Name: "agent_held_bytes", Help: "Memory that prompts and bodies of runs use.",
	}, func() float64 { return float64(x.load()) }))
}
