package node

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/control/entry"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/edge/platform"
	"gypsumreel/internal/replica/group"
)

// inspectWait bounds the wait for the control thread's part of a dump.
const inspectWait = time.Second

// Dump is the state of a control process for a person to read.
type Dump struct {
	Cell   string
	Name   string
	Ready  string
	Status leader.Status
	Group  group.Dump
	// Control is what the control thread holds; Fault tells why it is missing.
	Control leader.View
	Fault   string
	// Entries are those that fetch replies here, Mailboxes where they do.
	Entries   []*v1.MemberLine
	Mailboxes []entry.MailboxView
}

// State returns the state of the process for a person to read.
func (n *Node) State() any {
	d := Dump{Cell: n.Cell, Name: n.Name, Ready: "ready", Status: n.Control.Status()}
	if err := n.ready(); err != nil {
		d.Ready = err.Error()
	}
	if g := n.group.Load(); g != nil {
		d.Group = g.Dump()
	}
	if s := n.service.Load(); s != nil {
		d.Entries, d.Mailboxes = s.Entries(), s.Mailboxes()
	}
	ctx, cancel := context.WithTimeout(context.Background(), inspectWait)
	defer cancel()
	view, err := n.Control.Inspect(ctx)
	if err != nil {
		d.Fault = err.Error()
	}
	d.Control = view
	return d
}

// probes serves health, readiness and metrics. A replica is ready while it
// knows a leader, itself or another.
func (n *Node) probes() http.Handler {
	set := n.meters
	status := n.Control.Status
	set.NewGauge(meter.Name("control", "leads"), func() float64 {
		if status().Leads {
			return 1
		}
		return 0
	})
	set.NewGauge(meter.Name("control", "term"), func() float64 { return float64(status().Term) })
	set.NewGauge(meter.Name("control", "revision"), func() float64 { return float64(status().Revision) })
	set.NewGauge(meter.Name("control", "mailboxes"), func() float64 { return float64(len(n.service.Load().Mailboxes())) })
	set.NewGauge(meter.Name("control", "mailbox_replies"), func() float64 {
		sum := 0
		for _, b := range n.service.Load().Mailboxes() {
			sum += b.Replies
		}
		return float64(sum)
	})
	return (&platform.Probes{Ready: n.ready, MetricSets: []*metrics.Set{meter.ProcessMetrics, set}}).Handler()
}

// matches gives the index up to which each other replica has the log on its disk.
func matches(d group.Dump) map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range d.Peers {
		out[p.ID] = p.Match
	}
	return out
}
