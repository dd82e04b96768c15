package explain

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumreel/internal/cli/verb"
)

// Bounds of a summary.
const (
	// maxFlows bounds the flows that are kept.
	maxFlows = 1_000_000
	// maxBarWidth is the length of the longest bar of the chart.
	maxBarWidth = 50
	// maxCustomers bounds the customers that are shown.
	maxCustomers = 10
)

// causeRow counts the flows of one queue and cause; late is the median of how much longer
// than their objective they took, in seconds.
type causeRow struct {
	Queue             string  `json:"queue"`
	Cause             Cause   `json:"cause"`
	Flows             int     `json:"flows"`
	Ended             int     `json:"ended"`
	MedianLateSeconds float64 `json:"late"`
}

// customerRow is how one customer fared; cause is what most of its other flows met.
type customerRow struct {
	Customer    string  `json:"customer"`
	Flows       int     `json:"flows"`
	InTimeShare float64 `json:"intime"`
	Cause       Cause   `json:"cause"`
}

// secondRow counts the flows that were accepted in a second, and those not in time.
type secondRow struct {
	Time          time.Time `json:"at"`
	Flows         int       `json:"flows"`
	Missed        int       `json:"missed"`
	LeaderChanges int       `json:"changes"`
}

// summary is what became of all flows of a log.
type summary struct {
	Flows        int           `json:"flows"`
	Rows         []causeRow    `json:"rows"`
	Customers    []customerRow `json:"customers"`
	Seconds      []secondRow   `json:"seconds"`
	Refusals     []string      `json:"refusals"`
	ForeignLines int           `json:"foreign"`
	OmittedLines int           `json:"left"`
}

// summaryBuilder collects the journeys of all flows.
type summaryBuilder struct {
	flows         map[string]*flowHistory
	leaderChanges []time.Time
	lastLineAt    time.Time
	foreignLines  int
	omittedLines  int
}

// summaryEvents are the events that tell something of a flow or of the lead.
var summaryEvents = [][]byte{
	[]byte(`"flow-accepted"`), []byte(`"call-answered"`), []byte(`"advice-taken"`), []byte(`"runs-placed"`),
	[]byte(`"run-moved"`), []byte(`"run-ended"`), []byte(`"flow-cancelled"`), []byte(`"leader-elected"`),
	[]byte(`"attempt-lost"`), []byte(`"flow-given-up"`),
}

// addLine takes one line of a log.
func (c *summaryBuilder) addLine(_, object []byte) bool {
	if !slices.ContainsFunc(summaryEvents, func(n []byte) bool { return bytes.Contains(object, n) }) {
		return true
	}
	l, ok := parseLine(object)
	if !ok {
		return false
	}
	if l.Time.After(c.lastLineAt) {
		c.lastLineAt = l.Time
	}
	if l.EventName == "leader-elected" {
		c.leaderChanges = append(c.leaderChanges, l.Time)
		return true
	}
	id := stringField(l, "flow")
	history := c.flows[id]
	switch {
	case id == "":
		return true
	case history == nil && len(c.flows) >= maxFlows:
		c.omittedLines++
		return true
	case history == nil:
		if l.EventName == "call-answered" && !strings.Contains(stringField(l, "verb"), "SUBMIT") {
			return true
		}
		history = &flowHistory{}
		c.flows[id] = history
	}
	history.addLine(l)
	return true
}

// build counts what was collected.
func (c *summaryBuilder) build() summary {
	result := summary{Flows: len(c.flows), ForeignLines: c.foreignLines, OmittedLines: c.omittedLines}
	type key struct {
		queue string
		cause Cause
	}
	rows, lateSeconds := map[key]*causeRow{}, map[key][]float64{}
	customers, missedByCustomer := map[string]*customerRow{}, map[string]map[Cause]int{}
	seconds, refusals := map[int64]*secondRow{}, map[int]int{}
	for _, j := range c.flows {
		cause := j.cause(c.leaderChanges, c.lastLineAt)
		if cause == CauseRefused {
			refusals[j.refusalCode]++
		}
		k := key{j.queue, cause}
		r := rows[k]
		if r == nil {
			r = &causeRow{Queue: j.queue, Cause: cause}
			rows[k] = r
		}
		r.Flows++
		if !j.endedAt.IsZero() && !j.acceptedAt.IsZero() {
			r.Ended++
			lateSeconds[k] = append(lateSeconds[k], (j.duration(c.lastLineAt) - j.objective).Seconds())
		}
		if j.acceptedAt.IsZero() || cause == CauseCancelled {
			continue
		}
		countAcceptedFlow(seconds, customers, missedByCustomer, j, cause)
	}
	for _, at := range c.leaderChanges {
		if s := seconds[at.Unix()]; s != nil {
			s.LeaderChanges++
		}
	}
	for k, r := range rows {
		r.MedianLateSeconds = median(lateSeconds[k])
		result.Rows = append(result.Rows, *r)
	}
	slices.SortFunc(result.Rows, func(a, b causeRow) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cause, b.Cause))
	})
	for name, s := range customers {
		s.InTimeShare /= float64(s.Flows)
		s.Cause = mostFrequentCause(missedByCustomer[name])
		result.Customers = append(result.Customers, *s)
	}
	slices.SortFunc(result.Customers, func(a, b customerRow) int {
		return cmp.Or(cmp.Compare(a.InTimeShare, b.InTimeShare), cmp.Compare(a.Customer, b.Customer))
	})
	result.Customers = result.Customers[:min(len(result.Customers), maxCustomers)]
	for _, at := range slices.Sorted(maps.Keys(seconds)) {
		result.Seconds = append(result.Seconds, *seconds[at])
	}
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		result.Refusals = append(result.Refusals, fmt.Sprintf("%d with code %d", refusals[code], code))
	}
	return result
}

// countAcceptedFlow adds an accepted flow to its second and its customer.
func countAcceptedFlow(seconds map[int64]*secondRow, customers map[string]*customerRow, missedByCustomer map[string]map[Cause]int, j *flowHistory, cause Cause) {
	at := j.acceptedAt.Unix()
	if seconds[at] == nil {
		seconds[at] = &secondRow{Time: time.Unix(at, 0).UTC()}
	}
	if customers[j.customer] == nil {
		customers[j.customer], missedByCustomer[j.customer] = &customerRow{Customer: j.customer}, map[Cause]int{}
	}
	seconds[at].Flows++
	customers[j.customer].Flows++
	if cause == CauseInTime {
		customers[j.customer].InTimeShare++
		return
	}
	seconds[at].Missed++
	missedByCustomer[j.customer][cause]++
}

// mostFrequentCause returns the cause that comes most often; InTime when there is none.
func mostFrequentCause(counts map[Cause]int) Cause {
	out := CauseInTime
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		if counts[c] > counts[out] {
			out = c
		}
	}
	return out
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// textTable is the summary as a person reads it: causes, the worst-served customers, and
// a chart of the flows that were accepted in each second, of which # were not in time.
func (s summary) textTable() verb.TextTable {
	g := verb.TextTable{Header: []string{"queue", "cause", "flows", "ended", "late by, median"}}
	for _, r := range s.Rows {
		late := ""
		if r.Ended > 0 && r.Cause != CauseInTime {
			late = fmt.Sprintf("%.2f s", r.MedianLateSeconds)
		}
		g.Rows = append(g.Rows, []string{r.Queue, string(r.Cause), fmt.Sprint(r.Flows), fmt.Sprint(r.Ended), late})
	}
	g.Rows = append(g.Rows, nil, []string{"customer", "most often", "flows", "in time", ""})
	for _, c := range s.Customers {
		g.Rows = append(g.Rows, []string{c.Customer, string(c.Cause), fmt.Sprint(c.Flows), fmt.Sprintf("%.3f", c.InTimeShare), ""})
	}
	g.Rows = append(g.Rows, nil, []string{"second", "accepted, # not in time", "flows", "missed", "leaders elected"})
	largest := 1
	for _, second := range s.Seconds {
		largest = max(largest, second.Flows)
	}
	for _, second := range s.Seconds {
		changes := ""
		if second.LeaderChanges > 0 {
			changes = fmt.Sprint(second.LeaderChanges)
		}
		bar := strings.Repeat("#", second.Missed*maxBarWidth/largest)
		bar += strings.Repeat(".", second.Flows*maxBarWidth/largest-len(bar))
		g.Rows = append(g.Rows, []string{second.Time.Format("15:04:05"), bar, fmt.Sprint(second.Flows), fmt.Sprint(second.Missed), changes})
	}
	note := fmt.Sprintf("%d flows; refused: %s; %d lines are not of gypsumreel, %d were left out", s.Flows, strings.Join(s.Refusals, ", "), s.ForeignLines, s.OmittedLines)
	return verb.TextTable{Header: g.Header, Rows: append(g.Rows, nil, []string{note})}
}
