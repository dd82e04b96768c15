package control

import "github.com/VictoriaMetrics/metrics"

// clientMetrics holds the metrics of a Client.
type clientMetrics struct {
	pushes        *metrics.Counter
	items         *metrics.Counter
	refusedItems  *metrics.Counter
	resentItems   *metrics.Counter
	failedStale   *metrics.Counter
	lateReplies   *metrics.Counter
	callFailures  *metrics.Counter
	leaderChanges *metrics.Counter
}

func newClientMetrics(c *Client) *clientMetrics {
	set := c.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("gypsumreel_entry_leader_age_seconds", func() float64 { return c.contactAge().Seconds() })
	set.NewGauge("gypsumreel_entry_pending_items", func() float64 { return float64(c.queue.pendingCount()) })
	set.NewGauge("gypsumreel_entry_table_revision", func() float64 { return float64(c.TableRevision()) })
	return &clientMetrics{
		pushes:        set.NewCounter("gypsumreel_entry_pushes_total"),
		items:         set.NewCounter("gypsumreel_entry_items_total"),
		refusedItems:  set.NewCounter("gypsumreel_entry_refused_total"),
		resentItems:   set.NewCounter("gypsumreel_entry_resent_total"),
		failedStale:   set.NewCounter("gypsumreel_entry_stale_total"),
		lateReplies:   set.NewCounter("gypsumreel_entry_late_replies_total"),
		callFailures:  set.NewCounter("gypsumreel_entry_call_failures_total"),
		leaderChanges: set.NewCounter("gypsumreel_entry_leader_moves_total"),
	}
}
