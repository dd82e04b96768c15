// Package platform answers the platform: health, readiness and metrics.
package platform

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Probes serves health, readiness and metrics. Set the fields, then mount it with Route.
type Probes struct {
	// Ready returns nil when the balancer may send requests here, else why not.
	Ready func() error
	// MetricSets are the sets of metrics to show beside the process's own.
	MetricSets []*metrics.Set
}

// Handler returns the handler for /healthz, /readyz and /metrics.
func (p *Probes) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answer(w, nil) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Ready()) })
	mux.HandleFunc("GET /metrics", p.metrics)
	return mux
}

func answer(w http.ResponseWriter, fault error) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if fault != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(fault.Error() + "\n"))
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
