// Package opsrv is the operators' HTTP server of a daemon: metrics, liveness,
// readiness, the time line, the status and profiles.
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

// Status is what a daemon tells of itself.
type Status struct {
	VM          string `json:"vm"`
	Program     string `json:"program"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	Active      int    `json:"active"`
}

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
)

// Serve serves on l until the returned function is called.
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
	m.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { reply(w, status()) })
	m.HandleFunc("/timeline", func(w http.ResponseWriter, q *http.Request) {
		reply(w, trace.Merge(q.FormValue("request"), t.Events()))
	})
	m.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	m.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	s := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
