// Package platform serves the platform's HTTP endpoints for health, readiness and metrics.
package platform

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// MaxConns limits the connections to a listener for health checks or metrics.
const MaxConns = 64

// Probes serves health, readiness and metrics. The fields are set before Handler is
// called.
type Probes struct {
	// Ready returns nil if the load balancer may send requests to this process. Otherwise
	// the error states the reason.
	Ready func() error
	// MetricSets are the metrics that are served in addition to those of the Go process.
	MetricSets []*metrics.Set
}

// Handler returns the handler for /healthz, /readyz and /metrics.
func (p *Probes) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, nil) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, p.Ready()) })
	mux.HandleFunc("GET /metrics", p.metrics)
	return mux
}

// writeHealth writes "ok", or the error with status 503.
func writeHealth(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(err.Error() + "\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (p *Probes) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	for _, set := range p.MetricSets {
		set.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}
