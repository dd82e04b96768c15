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
	// barWidth is the length of the longest bar of the chart.
	barWidth = 50
	// worstCustomers bounds the customers that are shown.
	worstCustomers = 10
)

// row counts the flows of one queue and cause; late is the median of how much longer
// than their objective they took, in seconds.
type row struct {
	Queue             string  `json:"queue"`
	Cause             Cause   `json:"cause"`
	Flows             int     `json:"flows"`
	Ended             int     `json:"ended"`
	MedianLateSeconds float64 `json:"late"`
}

// share is how one customer fared; cause is what most of its other flows met.
type share struct {
	Customer    string  `json:"customer"`
	Flows       int     `json:"flows"`
	InTimeShare float64 `json:"intime"`
	Cause       Cause   `json:"cause"`
}

// second counts the flows that were accepted in a second, and those not in time.
type second struct {
	Time          time.Time `json:"at"`
	Flows         int       `json:"flows"`
	Missed        int       `json:"missed"`
	LeaderChanges int       `json:"changes"`
}

// summary is what became of all flows of a log.
type summary struct {
	Flows        int      `json:"flows"`
	Rows         []row    `json:"rows"`
	Customers    []share  `json:"customers"`
	Seconds      []second `json:"seconds"`
	Refusals     []string `json:"refusals"`
	ForeignLines int      `json:"foreign"`
	OmittedLines int      `json:"left"`
}

// census collects the journeys of all flows.
type census struct {
	flows   map[string]*journey
	changes []time.Time
	end     time.Time
	foreign int
	left    int
}

// names are the events that tell something of a flow or of the lead.
var names = [][]byte{
	[]byte(`"flow-accepted"`), []byte(`"call-answered"`), []byte(`"advice-taken"`), []byte(`"runs-placed"`),
	[]byte(`"run-moved"`), []byte(`"run-ended"`), []byte(`"flow-cancelled"`), []byte(`"leader-elected"`),
	[]byte(`"attempt-lost"`), []byte(`"flow-given-up"`),
}

// take takes one line of a log.
func (c *census) take(_, object []byte) bool {
	if !slices.ContainsFunc(names, func(n []byte) bool { return bytes.Contains(object, n) }) {
		return true
	}
	l, ok := parse(object)
	if !ok {
		return false
	}
	if l.Time.After(c.end) {
		c.end = l.Time
	}
	if l.EventName == "leader-elected" {
		c.changes = append(c.changes, l.Time)
		return true
	}
	id := text(l, "flow")
	j := c.flows[id]
	switch {
	case id == "":
		return true
	case j == nil && len(c.flows) >= maxFlows:
		c.left++
		return true
	case j == nil:
		if l.EventName == "call-answered" && !strings.Contains(text(l, "verb"), "SUBMIT") {
			return true
		}
		j = &journey{}
		c.flows[id] = j
	}
	j.take(l)
	return true
}

// summary counts what was collected.
func (c *census) summary() summary {
	out := summary{Flows: len(c.flows), ForeignLines: c.foreign, OmittedLines: c.left}
	type key struct {
		queue string
		cause Cause
	}
	rows, late := map[key]*row{}, map[key][]float64{}
	customers, missed := map[string]*share{}, map[string]map[Cause]int{}
	seconds, refusals := map[int64]*second{}, map[int]int{}
	for _, j := range c.flows {
		cause := j.cause(c.changes, c.end)
		if cause == CauseRefused {
			refusals[j.refusal]++
		}
		k := key{j.queue, cause}
		r := rows[k]
		if r == nil {
			r = &row{Queue: j.queue, Cause: cause}
			rows[k] = r
		}
		r.Flows++
		if !j.ended.IsZero() && !j.accepted.IsZero() {
			r.Ended++
			late[k] = append(late[k], (j.took(c.end) - j.aim).Seconds())
		}
		if j.accepted.IsZero() || cause == CauseCancelled {
			continue
		}
		count(seconds, customers, missed, j, cause)
	}
	for _, at := range c.changes {
		if s := seconds[at.Unix()]; s != nil {
			s.LeaderChanges++
		}
	}
	for k, r := range rows {
		r.MedianLateSeconds = median(late[k])
		out.Rows = append(out.Rows, *r)
	}
	slices.SortFunc(out.Rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cause, b.Cause))
	})
	for name, s := range customers {
		s.InTimeShare /= float64(s.Flows)
		s.Cause = most(missed[name])
		out.Customers = append(out.Customers, *s)
	}
	slices.SortFunc(out.Customers, func(a, b share) int {
		return cmp.Or(cmp.Compare(a.InTimeShare, b.InTimeShare), cmp.Compare(a.Customer, b.Customer))
	})
	out.Customers = out.Customers[:min(len(out.Customers), worstCustomers)]
	for _, at := range slices.Sorted(maps.Keys(seconds)) {
		out.Seconds = append(out.Seconds, *seconds[at])
	}
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		out.Refusals = append(out.Refusals, fmt.Sprintf("%d with code %d", refusals[code], code))
	}
	return out
}

// count adds an accepted flow to its second and its customer.
func count(seconds map[int64]*second, customers map[string]*share, missed map[string]map[Cause]int, j *journey, cause Cause) {
	at := j.accepted.Unix()
	if seconds[at] == nil {
		seconds[at] = &second{Time: time.Unix(at, 0).UTC()}
	}
	if customers[j.customer] == nil {
		customers[j.customer], missed[j.customer] = &share{Customer: j.customer}, map[Cause]int{}
	}
	seconds[at].Flows++
	customers[j.customer].Flows++
	if cause == CauseInTime {
		customers[j.customer].InTimeShare++
		return
	}
	seconds[at].Missed++
	missed[j.customer][cause]++
}

// most returns the cause that comes most often; InTime when there is none.
func most(of map[Cause]int) Cause {
	out := CauseInTime
	for _, c := range slices.Sorted(maps.Keys(of)) {
		if of[c] > of[out] {
			out = c
		}
	}
	return out
}

func median(of []float64) float64 {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[len(of)/2]
}

// grid is the summary as a person reads it: causes, the worst-served customers, and
// a chart of the flows that were accepted in each second, of which # were not in time.
func (s summary) grid() verb.TextTable {
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
	for _, one := range s.Seconds {
		largest = max(largest, one.Flows)
	}
	for _, one := range s.Seconds {
		changes := ""
		if one.LeaderChanges > 0 {
			changes = fmt.Sprint(one.LeaderChanges)
		}
		bar := strings.Repeat("#", one.Missed*barWidth/largest)
		bar += strings.Repeat(".", one.Flows*barWidth/largest-len(bar))
		g.Rows = append(g.Rows, []string{one.Time.Format("15:04:05"), bar, fmt.Sprint(one.Flows), fmt.Sprint(one.Missed), changes})
	}
	note := fmt.Sprintf("%d flows; refused: %s; %d lines are not of gypsumreel, %d were left out", s.Flows, strings.Join(s.Refusals, ", "), s.ForeignLines, s.OmittedLines)
	return verb.TextTable{Header: g.Header, Rows: append(g.Rows, nil, []string{note})}
}
