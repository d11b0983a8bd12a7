package opsrv

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace starts the names of all metrics.
const Namespace = "cranberrypoint"

// latencyBuckets are those of latency histograms, in seconds. They hold the users'
// targets of 34 ms and 0.67 s.
var latencyBuckets = []float64{.005, .01, .02, .034, .05, .1, .2, .4, .67, 1, 2, 5, 10}

// NewRegistry returns a registry with the metrics of the Go runtime and of the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Counter returns a counter that is registered.
func Counter(r prometheus.Registerer, name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help})
	r.MustRegister(c)
	return c
}

// Counters returns a family of counters that is registered.
func Counters(r prometheus.Registerer, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

// Latency returns a histogram of seconds that is registered.
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

// Latencies returns a family of histograms of seconds that is registered.
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
