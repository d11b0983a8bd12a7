// Package opsrv implements the operators' HTTP server of a daemon. It serves metrics,
// liveness, readiness, status, profiles and the timeline: the recent events of the daemon,
// most of which belong to a request. The package also has functions that create metrics and
// one that reports violated invariants.
package opsrv

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"cranberrypoint.example/coord/trace"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Status is the JSON body of /status.
type Status struct {
	// VM is the name of the machine that runs the daemon.
	VM         string `json:"vm"`
	Program    string `json:"program"`
	DataCentre string `json:"data-centre"`
	// Incarnation tells apart the runs of the daemon on this VM. It is the start time in
	// nanoseconds since the Unix epoch.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the revision of the configuration.
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	// Draining is true while the daemon finishes its requests before it stops.
	Draining bool `json:"draining"`
	// Active is the number of callers' requests, or of their runs, that the daemon handles.
	Active int `json:"active"`
}

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
)

// Serve starts the HTTP server on l and returns a function that shuts it down, waiting at
// most shutdownTimeout for operators' requests to it. /readyz answers 503 while status
// reports that the daemon isn't ready. /timeline returns events of t as JSON: those of the
// request whose ID is the query parameter request, or all if it is missing or empty.
func Serve(l net.Listener, g prometheus.Gatherer, t *trace.Log, status func() Status) (stop func()) {
	m := mux.NewRouter()
	m.Handle("/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !status().Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	m.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status()) })
	m.HandleFunc("/timeline", func(w http.ResponseWriter, q *http.Request) {
		writeJSON(w, trace.Merge(q.FormValue("request"), t.Events()))
	})
	m.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	m.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	s := &http.Server{Handler: m, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.Serve(l) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
