package flow

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/verb"
)

const (
	// unlistedFormat formats the name of the sums over the customers or queues that are not
	// listed, from their number.
	unlistedFormat = "(%d others)"
	// keylessName is the name of callers without a valid key.
	keylessName = "(no key)"
)

// loadResult is the report of the load printed with --json. CPU is in thousandths of a core,
// times are in milliseconds.
type loadResult struct {
	Term           uint64         `json:"term"`
	Cell           cellLoad       `json:"cell"`
	Customers      []customerLoad `json:"customers"`
	OtherCustomers *customerLoad  `json:"otherCustomers,omitempty"`
	Queues         []queueLoad    `json:"queues"`
	OtherQueues    *queueLoad     `json:"otherQueues,omitempty"`
}

// cellLoad is the load of the cell as a whole.
type cellLoad struct {
	Contended bool `json:"contended"`
	// Ratio is the sum of the customers' CPU limits relative to the CPU of the servers.
	Ratio float64 `json:"ratio"`
	CPU   int64   `json:"cpu"`
	// FreeCPU is the free CPU of the Usable servers, which accept new tasks.
	FreeCPU int64  `json:"freeCPU"`
	Servers uint32 `json:"servers"`
	Usable  uint32 `json:"usable"`
	// Avoided, Probing and Proven are the numbers of servers that get no new task for a while,
	// that take one task at a time, and that recently ended a run successfully.
	Avoided      uint32   `json:"avoided"`
	Probing      uint32   `json:"probing"`
	Proven       uint32   `json:"proven"`
	DrainedZones []string `json:"drainedZones,omitempty"`
}

// customerLoad is the load of a customer, or the sums over Count customers.
type customerLoad struct {
	Name  string `json:"name,omitempty"`
	Count uint32 `json:"count,omitempty"`
	// Waiting is the number of flows of which no task has started.
	Waiting    uint32 `json:"waiting"`
	RunningCPU int64  `json:"runningCPU"`
	// CPULimit is nil without a limit.
	CPULimit *int64 `json:"cpuLimit,omitempty"`
	// Rate is the guaranteed rate in flows per second.
	Rate float64 `json:"rate"`
	// Accepted and Refused count the flows of the last ten seconds.
	Accepted uint32         `json:"accepted"`
	Refused  []refusalCount `json:"refused,omitempty"`
}

// refusalCount is a number of refusals with one result code.
type refusalCount struct {
	Code   uint32 `json:"code"`
	Reason string `json:"reason"`
	Count  uint32 `json:"count"`
}

// queueLoad is the load of a queue, or the sums over Count queues.
type queueLoad struct {
	Name  string `json:"name,omitempty"`
	Count uint32 `json:"count,omitempty"`
	// Steps is the number of steps that could start, Tasks that of their queued tasks, Oldest
	// the longest time that such a step has waited.
	Steps      uint32 `json:"steps"`
	Tasks      uint32 `json:"tasks"`
	Oldest     uint64 `json:"oldest"`
	RunningCPU int64  `json:"runningCPU"`
	// FloorCPU is the CPU that the queue may use before queues of higher priority; 0 unless
	// customers compete.
	FloorCPU int64 `json:"floorCPU"`
	// InTime, Late and Worthless divide Steps by whether the flow can probably still end in
	// time, and whether its end still has a value.
	InTime    uint32 `json:"inTime"`
	Late      uint32 `json:"late"`
	Worthless uint32 `json:"worthless"`
	// Begun is the number of flows in progress of which a task has started.
	Begun uint32 `json:"begun"`
}

type loadCommand struct{ controlFlags }

// Run prints the leader's report of the load.
func (c *loadCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	ctx, cancel, err := c.withTimeout(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	report, err := callLeader(ctx, c.controlFlags, func(ctx context.Context, replica inner.Flows) (*inner.LoadReport, error) {
		return replica.Load(ctx, &inner.LoadRequest{Cell: c.Cell})
	})
	if err != nil {
		return err
	}
	result := newLoadResult(report)
	if c.JSON {
		return c.Print(env.Out, result, verb.TextTable{})
	}
	for i, table := range []verb.TextTable{result.Cell.table(), result.customerTable(), result.queueTable()} {
		if i > 0 {
			fmt.Fprintln(env.Out)
		}
		if err := c.Print(env.Out, nil, table); err != nil {
			return err
		}
	}
	return nil
}

func newLoadResult(r *inner.LoadReport) loadResult {
	l := r.GetLoad()
	out := loadResult{
		Term: r.GetTerm(), Customers: []customerLoad{}, Queues: []queueLoad{},
		Cell: cellLoad{
			Contended: l.GetContended(), Ratio: l.GetRatio(), CPU: l.GetCpu(), FreeCPU: l.GetFreeCpu(), Servers: l.GetServers(),
			Usable: l.GetUsable(), Avoided: l.GetAvoided(), Probing: l.GetProbing(), Proven: l.GetProven(), DrainedZones: l.GetDrainedZones(),
		},
	}
	for _, c := range r.GetCustomers() {
		out.Customers = append(out.Customers, newCustomerLoad(c))
	}
	if others := r.GetOtherCustomers(); others != nil {
		sums := newCustomerLoad(others)
		out.OtherCustomers = &sums
	}
	for _, q := range r.GetQueues() {
		out.Queues = append(out.Queues, newQueueLoad(q))
	}
	if others := r.GetOtherQueues(); others != nil {
		sums := newQueueLoad(others)
		out.OtherQueues = &sums
	}
	return out
}

func newCustomerLoad(c *inner.CustomerLoad) customerLoad {
	out := customerLoad{Name: c.GetName(), Count: c.GetCount(), Waiting: c.GetWaiting(), RunningCPU: c.GetRunningCpu(), CPULimit: c.CpuLimit, Rate: c.GetRate(), Accepted: c.GetAccepted()}
	for _, r := range c.GetRefused() {
		out.Refused = append(out.Refused, refusalCount{Code: r.GetCode(), Reason: code.Code(r.GetCode()).String(), Count: r.GetCount()})
	}
	return out
}

func newQueueLoad(q *inner.QueueLoad) queueLoad {
	return queueLoad{
		Name: q.GetName(), Count: q.GetCount(), Steps: q.GetSteps(), Tasks: q.GetTasks(), Oldest: q.GetOldest(), RunningCPU: q.GetRunningCpu(), FloorCPU: q.GetFloorCpu(),
		InTime: q.GetInTime(), Late: q.GetLate(), Worthless: q.GetWorthless(), Begun: q.GetBegun(),
	}
}

func (l cellLoad) table() verb.TextTable {
	contended := "no"
	if l.Contended {
		contended = "yes"
	}
	return verb.TextTable{
		Header: []string{"CONTENDED", "RATIO", "CPU", "FREE", "SERVERS", "USABLE", "AVOIDED", "PROBING", "PROVEN", "DRAINED"},
		Rows: [][]string{{
			contended, fmt.Sprintf("%.2f", l.Ratio), cores(l.CPU), cores(l.FreeCPU), fmt.Sprint(l.Servers),
			fmt.Sprint(l.Usable), fmt.Sprint(l.Avoided), fmt.Sprint(l.Probing), fmt.Sprint(l.Proven), orDash(strings.Join(l.DrainedZones, ",")),
		}},
	}
}

func (r loadResult) customerTable() verb.TextTable {
	table := verb.TextTable{Header: []string{"CUSTOMER", "WAITING", "RUNNING", "LIMIT", "RATE", "ACCEPTED", "REFUSED"}}
	for _, c := range r.Customers {
		name := c.Name
		if name == "" {
			name = keylessName
		}
		table.Rows = append(table.Rows, c.row(name))
	}
	if r.OtherCustomers != nil {
		table.Rows = append(table.Rows, r.OtherCustomers.row(fmt.Sprintf(unlistedFormat, r.OtherCustomers.Count)))
	}
	return table
}

func (c customerLoad) row(name string) []string {
	limit := ""
	if c.CPULimit != nil {
		limit = cores(*c.CPULimit)
	}
	var refused []string
	for _, r := range c.Refused {
		refused = append(refused, fmt.Sprintf("%d (%d: %s)", r.Count, r.Code, r.Reason))
	}
	return []string{name, fmt.Sprint(c.Waiting), cores(c.RunningCPU), orDash(limit), fmt.Sprint(c.Rate), fmt.Sprint(c.Accepted), orDash(strings.Join(refused, ", "))}
}

func (r loadResult) queueTable() verb.TextTable {
	table := verb.TextTable{Header: []string{"QUEUE", "STEPS", "TASKS", "OLDEST", "RUNNING", "FLOOR", "IN TIME", "LATE", "WORTHLESS", "BEGUN"}}
	for _, q := range r.Queues {
		table.Rows = append(table.Rows, q.row(q.Name))
	}
	if r.OtherQueues != nil {
		table.Rows = append(table.Rows, r.OtherQueues.row(fmt.Sprintf(unlistedFormat, r.OtherQueues.Count)))
	}
	return table
}

func (q queueLoad) row(name string) []string {
	oldest := (time.Duration(q.Oldest) * time.Millisecond).Round(100 * time.Millisecond)
	return []string{
		name, fmt.Sprint(q.Steps), fmt.Sprint(q.Tasks), oldest.String(), cores(q.RunningCPU), cores(q.FloorCPU),
		fmt.Sprint(q.InTime), fmt.Sprint(q.Late), fmt.Sprint(q.Worthless), fmt.Sprint(q.Begun),
	}
}

// cores formats thousandths of a core.
func cores(cpu int64) string { return fmt.Sprintf("%.1f", float64(cpu)/1000) }

// orDash makes an empty cell of a table visible.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
