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
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/edge/platform"
	"gypsumreel/internal/replica/group"
)

// inspectTimeout limits the wait for the control thread's part of a state dump.
const inspectTimeout = time.Second

// Dump is the state dump of a control process.
type Dump struct {
	Cell   string
	Name   string
	Ready  string
	Status leader.Status
	Group  group.Dump
	// Turn is the progress of the control thread, and Stack its stack if it did not answer.
	Turn  turn.Progress
	Stack string
	// Control is the state of the control thread.
	Control leader.View
	// Fault is the reason why Control is missing; empty if it is present.
	Fault string
	// Entries are the entries that pull replies from this process.
	Entries []*v1.MemberLine
	// Mailboxes are the open mailboxes of these entries.
	Mailboxes []entry.MailboxView
}

// State returns the state of the process as a Dump.
func (n *Node) State() any {
	d := Dump{Cell: n.Cell, Name: n.Name, Ready: "ready", Status: n.Control.Status()}
	if err := n.readiness(); err != nil {
		d.Ready = err.Error()
	}
	if g := n.group.Load(); g != nil {
		d.Group = g.Dump()
	}
	if service := n.entryService.Load(); service != nil {
		d.Entries, d.Mailboxes = service.Entries(), service.Mailboxes()
	}
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	view, err := n.Control.Inspect(ctx)
	if err != nil {
		d.Fault, d.Stack = err.Error(), turn.Stack(controlThread)
	}
	d.Control, d.Turn = view, n.Control.Turns.Progress(n.now())
	return d
}

// probeHandler serves the health, readiness and metrics endpoints. A replica is ready
// while it knows a leader, which may be itself.
func (n *Node) probeHandler() http.Handler {
	set := n.metrics
	status := n.Control.Status
	set.NewGauge(meter.Name("control", "leads"), func() float64 {
		if status().Leads {
			return 1
		}
		return 0
	})
	set.NewGauge(meter.Name("control", "term"), func() float64 { return float64(status().Term) })
	set.NewGauge(meter.Name("control", "revision"), func() float64 { return float64(status().Revision) })
	set.NewGauge(meter.Name("control", "mailboxes"), func() float64 { return float64(len(n.entryService.Load().Mailboxes())) })
	set.NewGauge(meter.Name("control", "mailbox_replies"), func() float64 {
		replies := 0
		for _, b := range n.entryService.Load().Mailboxes() {
			replies += b.Replies
		}
		return float64(replies)
	})
	return (&platform.Probes{Ready: n.readiness, MetricSets: []*metrics.Set{meter.ProcessMetrics, set}}).Handler()
}

// matchIndexes returns, for each other replica, the log index up to which the replica
// has stored the log on its disk.
func matchIndexes(d group.Dump) map[string]uint64 {
	indexes := map[string]uint64{}
	for _, p := range d.Peers {
		indexes[p.ID] = p.Match
	}
	return indexes
}
