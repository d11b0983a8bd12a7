package opsrv

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the prefix of all metric names, without the underscore after it.
const Namespace = "cranberrypoint"

// latencyBuckets are the upper bounds of the buckets of latency histograms, in seconds.
// They include the users' default latency targets: 34 ms between tokens, and 0.67 s until
// the first token.
var latencyBuckets = []float64{.005, .01, .02, .034, .05, .1, .2, .4, .67, 1, 2, 5, 10}

// NewRegistry returns a registry with the metrics of the Go runtime and of the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Counter creates a counter and registers it. It panics if the name is already registered.
func Counter(r prometheus.Registerer, name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help})
	r.MustRegister(c)
	return c
}

// Counters creates a counter vector with the labels and registers it. It panics if the name
// is already registered.
func Counters(r prometheus.Registerer, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

// Gauges creates a gauge vector with the labels and registers it. It panics if the name is
// already registered.
func Gauges(r prometheus.Registerer, name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.MustRegister(g)
	return g
}

// Latency creates a histogram of durations in seconds and registers it. It panics if the
// name is already registered.
func Latency(r prometheus.Registerer, name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: Namespace,
		Name:      name,
		Help:      help,
		Buckets:   latencyBuckets,
	})
	r.MustRegister(h)
	return h
}

// Latencies creates a histogram vector of durations in seconds with the labels and registers
// it. It panics if the name is already registered.
func Latencies(r prometheus.Registerer, name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace,
		Name:      name,
		Help:      help,
		Buckets:   latencyBuckets,
	}, labels)
	r.MustRegister(h)
	return h
}
