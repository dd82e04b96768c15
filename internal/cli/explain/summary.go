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

// Limits of a summary.
const (
	// maxFlows is the maximum number of flows kept in memory.
	maxFlows = 1_000_000
	// maxBarWidth is the length in characters of the longest bar in the chart.
	maxBarWidth = 50
	// maxCustomers is the maximum number of customers shown.
	maxCustomers = 10
)

// causeRow counts the flows of one queue and cause.
type causeRow struct {
	Queue string `json:"queue"`
	Cause Cause  `json:"cause"`
	Flows int    `json:"flows"`
	// Ended is the number of flows whose acceptance and end are both in the logs.
	Ended int `json:"ended"`
	// MedianLateSeconds is the median time by which the ended flows exceeded their
	// objective.
	MedianLateSeconds float64 `json:"late"`
}

// customerRow describes the service level of one customer.
type customerRow struct {
	Customer string `json:"customer"`
	Flows    int    `json:"flows"`
	// InTimeShare is the fraction of the flows that ended within their objective.
	InTimeShare float64 `json:"intime"`
	// Cause is the most frequent cause among the other flows.
	Cause Cause `json:"cause"`
}

// secondRow counts the flows that were accepted within one second.
type secondRow struct {
	Time  time.Time `json:"at"`
	Flows int       `json:"flows"`
	// Missed is the number of these flows that did not end within their objective.
	Missed int `json:"missed"`
	// LeaderChanges is the number of leader elections in that second.
	LeaderChanges int `json:"changes"`
}

// summary holds the counts of all flows in the logs.
type summary struct {
	Flows int        `json:"flows"`
	Rows  []causeRow `json:"rows"`
	// Customers holds the customers with the lowest fraction of flows in time.
	Customers []customerRow `json:"customers"`
	Seconds   []secondRow   `json:"seconds"`
	// Refusals holds the number of refused flows for each result code, as text.
	Refusals []string `json:"refusals"`
	// ForeignLines is the number of lines that are not from gypsumreel.
	ForeignLines int `json:"foreign"`
	// OmittedLines is the number of lines about flows beyond maxFlows.
	OmittedLines int `json:"left"`
}

// summaryBuilder collects the histories of all flows and the times of leader changes.
type summaryBuilder struct {
	// flows maps the id of a flow to its history.
	flows map[string]*flowHistory
	// leaderChanges holds the times of leader elections.
	leaderChanges []time.Time
	// lastLineAt is the time of the latest line, which stands for the end of the logs.
	lastLineAt time.Time
	// foreignLines is the number of lines that are not from gypsumreel.
	foreignLines int
	// omittedLines is the number of lines about flows beyond maxFlows.
	omittedLines int
}

// summaryEvents are the quoted names of the events that the summary is built from. Lines
// without one of them are not parsed.
var summaryEvents = [][]byte{
	[]byte(`"flow-accepted"`), []byte(`"call-answered"`), []byte(`"advice-taken"`), []byte(`"runs-placed"`),
	[]byte(`"last-attempt-placed"`), []byte(`"run-moved"`), []byte(`"run-ended"`), []byte(`"flow-cancelled"`), []byte(`"leader-elected"`),
	[]byte(`"attempt-lost"`), []byte(`"flow-given-up"`), []byte(`"flow-refused"`),
}

// addLine adds one line of a log to the history of its flow. It returns false if the line
// is not from gypsumreel.
func (b *summaryBuilder) addLine(_, object []byte) bool {
	if !slices.ContainsFunc(summaryEvents, func(n []byte) bool { return bytes.Contains(object, n) }) {
		return true
	}
	l, ok := parseLine(object)
	if !ok {
		return false
	}
	if l.Time.After(b.lastLineAt) {
		b.lastLineAt = l.Time
	}
	if l.EventName == "leader-elected" {
		b.leaderChanges = append(b.leaderChanges, l.Time)
		return true
	}
	id := stringField(l, "flow")
	history := b.flows[id]
	switch {
	case id == "":
		return true
	case history == nil && len(b.flows) >= maxFlows:
		b.omittedLines++
		return true
	case history == nil:
		if l.EventName == "call-answered" && !strings.Contains(stringField(l, "verb"), "SUBMIT") {
			return true
		}
		history = &flowHistory{}
		b.flows[id] = history
	}
	history.addLine(l)
	return true
}

// build returns the counts over the collected histories.
func (b *summaryBuilder) build() summary {
	result := summary{Flows: len(b.flows), ForeignLines: b.foreignLines, OmittedLines: b.omittedLines}
	type key struct {
		queue string
		cause Cause
	}
	rows, lateSeconds := map[key]*causeRow{}, map[key][]float64{}
	customers, missedByCustomer := map[string]*customerRow{}, map[string]map[Cause]int{}
	seconds, refusals := map[int64]*secondRow{}, map[int]int{}
	for _, history := range b.flows {
		cause := history.cause(b.leaderChanges, b.lastLineAt)
		if cause.isRefusal() {
			refusals[history.refusalCode]++
		}
		k := key{history.queue, cause}
		r := rows[k]
		if r == nil {
			r = &causeRow{Queue: history.queue, Cause: cause}
			rows[k] = r
		}
		r.Flows++
		if !history.endedAt.IsZero() && !history.acceptedAt.IsZero() {
			r.Ended++
			lateSeconds[k] = append(lateSeconds[k], (history.duration(b.lastLineAt) - history.objective).Seconds())
		}
		if history.acceptedAt.IsZero() || cause == CauseCancelled {
			continue
		}
		countAcceptedFlow(seconds, customers, missedByCustomer, history, cause)
	}
	for _, changedAt := range b.leaderChanges {
		if s := seconds[changedAt.Unix()]; s != nil {
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
	for _, unixSecond := range slices.Sorted(maps.Keys(seconds)) {
		result.Seconds = append(result.Seconds, *seconds[unixSecond])
	}
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		result.Refusals = append(result.Refusals, fmt.Sprintf("%d with code %d", refusals[code], code))
	}
	return result
}

// countAcceptedFlow adds an accepted flow to the counts of its second and its customer.
func countAcceptedFlow(seconds map[int64]*secondRow, customers map[string]*customerRow, missedByCustomer map[string]map[Cause]int, history *flowHistory, cause Cause) {
	acceptedSecond := history.acceptedAt.Unix()
	if seconds[acceptedSecond] == nil {
		seconds[acceptedSecond] = &secondRow{Time: time.Unix(acceptedSecond, 0).UTC()}
	}
	if customers[history.customer] == nil {
		customers[history.customer], missedByCustomer[history.customer] = &customerRow{Customer: history.customer}, map[Cause]int{}
	}
	seconds[acceptedSecond].Flows++
	customers[history.customer].Flows++
	if cause == CauseInTime {
		customers[history.customer].InTimeShare++
		return
	}
	seconds[acceptedSecond].Missed++
	missedByCustomer[history.customer][cause]++
}

// mostFrequentCause returns the cause with the highest count, or CauseInTime if there are
// no counts.
func mostFrequentCause(counts map[Cause]int) Cause {
	frequent := CauseInTime
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		if counts[c] > counts[frequent] {
			frequent = c
		}
	}
	return frequent
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// textTable returns the summary as text: the causes, the customers with the lowest
// fraction in time, and a bar chart of the flows accepted in each second. The part of a
// bar drawn with # stands for the flows that were not in time.
func (s summary) textTable() verb.TextTable {
	table := verb.TextTable{Header: []string{"queue", "cause", "flows", "ended", "late by, median"}}
	for _, r := range s.Rows {
		lateText := ""
		if r.Ended > 0 && r.Cause != CauseInTime {
			lateText = fmt.Sprintf("%.2f s", r.MedianLateSeconds)
		}
		table.Rows = append(table.Rows, []string{r.Queue, string(r.Cause), fmt.Sprint(r.Flows), fmt.Sprint(r.Ended), lateText})
	}
	table.Rows = append(table.Rows, nil, []string{"customer", "most often", "flows", "in time", ""})
	for _, c := range s.Customers {
		table.Rows = append(table.Rows, []string{c.Customer, string(c.Cause), fmt.Sprint(c.Flows), fmt.Sprintf("%.3f", c.InTimeShare), ""})
	}
	table.Rows = append(table.Rows, nil, []string{"second", "accepted, # not in time", "flows", "missed", "leaders elected"})
	largest := 1
	for _, second := range s.Seconds {
		largest = max(largest, second.Flows)
	}
	for _, second := range s.Seconds {
		leaderChangeText := ""
		if second.LeaderChanges > 0 {
			leaderChangeText = fmt.Sprint(second.LeaderChanges)
		}
		bar := strings.Repeat("#", second.Missed*maxBarWidth/largest)
		bar += strings.Repeat(".", second.Flows*maxBarWidth/largest-len(bar))
		table.Rows = append(table.Rows, []string{second.Time.Format("15:04:05"), bar, fmt.Sprint(second.Flows), fmt.Sprint(second.Missed), leaderChangeText})
	}
	footer := fmt.Sprintf("%d flows; refused: %s; %d lines are not from gypsumreel, %d were left out", s.Flows, strings.Join(s.Refusals, ", "), s.ForeignLines, s.OmittedLines)
	return verb.TextTable{Header: table.Header, Rows: append(table.Rows, nil, []string{footer})}
}
