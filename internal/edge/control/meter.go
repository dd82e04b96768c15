package control

import "github.com/VictoriaMetrics/metrics"

// meter holds the pool's metrics.
type meter struct {
	pushes   *metrics.Counter
	items    *metrics.Counter
	refused  *metrics.Counter
	resent   *metrics.Counter
	stale    *metrics.Counter
	late     *metrics.Counter
	failures *metrics.Counter
	moves    *metrics.Counter
}

func newMeter(p *Client) *meter {
	set := p.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("gypsumreel_entry_leader_age_seconds", func() float64 { return p.age().Seconds() })
	set.NewGauge("gypsumreel_entry_pending_items", func() float64 { return float64(p.book.size()) })
	set.NewGauge("gypsumreel_entry_table_revision", func() float64 { return float64(p.TableRevision()) })
	return &meter{
		pushes:   set.NewCounter("gypsumreel_entry_pushes_total"),
		items:    set.NewCounter("gypsumreel_entry_items_total"),
		refused:  set.NewCounter("gypsumreel_entry_refused_total"),
		resent:   set.NewCounter("gypsumreel_entry_resent_total"),
		stale:    set.NewCounter("gypsumreel_entry_stale_total"),
		late:     set.NewCounter("gypsumreel_entry_late_replies_total"),
		failures: set.NewCounter("gypsumreel_entry_call_failures_total"),
		moves:    set.NewCounter("gypsumreel_entry_leader_moves_total"),
	}
}
