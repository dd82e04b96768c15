package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/fairness"
	"gypsumreel/internal/policy/load"
	"gypsumreel/internal/policy/steps"
)

const (
	// maxLoadRows is the largest number of customers, and of queues, in a report. An operator
	// can still read as many, and the metrics by queue stay bounded.
	maxLoadRows = 64
	// entriesPerYield is the number of flows, steps or servers after which a pass over many of them
	// yields to other work, so that a large cell does not delay heartbeats.
	entriesPerYield = 256
)

// loadReader makes a report in one pass over the flows, the ready steps and the servers.
type loadReader struct {
	*Dispatcher
	// now is the time of the leader's clock, clock that of the ledger's clock.
	now, clock time.Duration
	cell       *inner.CellLoad
	customers  map[string]*inner.CustomerLoad
	queues     map[string]*inner.QueueLoad
	// poolCPU holds, by pool, the CPU of the servers that accept new tasks.
	poolCPU map[string]int64
	// entryCount is the number of flows, steps and servers read so far.
	entryCount int
}

// newLoadReport reads the state of the leader. It takes no commit: the report is only shown.
func (d *Dispatcher) newLoadReport(now time.Duration) *inner.LoadReport {
	r := &loadReader{
		Dispatcher: d, now: now, clock: d.Host.LedgerTime(), poolCPU: map[string]int64{},
		cell:      &inner.CellLoad{Contended: d.leader.contended, Ratio: d.leader.contentionRatio, DrainedZones: slices.Sorted(maps.Keys(d.Host.Flows().DrainedZones()))},
		customers: map[string]*inner.CustomerLoad{}, queues: map[string]*inner.QueueLoad{},
	}
	r.readConfig()
	r.readFlows()
	r.readSteps()
	r.readServers()
	r.addFloors()
	r.addSubmissions()
	report := &inner.LoadReport{Term: d.leader.term, Load: r.cell}
	report.Customers, report.OtherCustomers = cutCustomers(slices.Collect(maps.Values(r.customers)))
	report.Queues, report.OtherQueues = cutQueues(slices.Collect(maps.Values(r.queues)))
	return report
}

// yield counts an entry, and lets other work run after each entriesPerYield of them.
func (r *loadReader) yield() {
	r.entryCount++
	r.yieldAt(r.entryCount)
}

// customer returns the row of a customer, and adds it if there is none.
func (r *loadReader) customer(name string) *inner.CustomerLoad {
	c := r.customers[name]
	if c == nil {
		c = &inner.CustomerLoad{Name: name, RunningCpu: r.Host.Flows().CustomerUsage(name).CPU}
		if limit := r.Host.Flows().CustomerLimit(name).CPU; limit != capacity.Unlimited {
			c.CpuLimit = &limit
		}
		r.customers[name] = c
	}
	return c
}

// queue returns the row of a queue, and adds it if there is none.
func (r *loadReader) queue(name string) *inner.QueueLoad {
	q := r.queues[name]
	if q == nil {
		q = &inner.QueueLoad{Name: name}
		r.queues[name] = q
	}
	return q
}

// readConfig adds a row for each configured customer and queue.
func (r *loadReader) readConfig() {
	for _, c := range r.Host.Flows().Config().GetCustomers() {
		r.customer(c.GetName()).Rate = c.GetWeight()
	}
	for _, q := range r.Host.Flows().Config().GetQueues() {
		r.queue(q.GetName())
	}
}

// readFlows counts the flows that wait by customer and those that have begun by queue.
func (r *loadReader) readFlows() {
	for _, f := range r.Host.Flows().Flows() {
		r.yield()
		switch f.State {
		case v1.FlowState_FLOW_STATE_QUEUED:
			r.customer(f.Customer).Waiting++
		case v1.FlowState_FLOW_STATE_RUNNING:
			r.queue(f.QueueName).Begun++
		}
	}
}

// readSteps adds the ready steps to their queues.
func (r *loadReader) readSteps() {
	for _, s := range r.Host.Flows().ReadySteps() {
		r.yield()
		q, ok := r.Host.Flows().QueueOf(s.Flow)
		if !ok {
			continue
		}
		row := r.queue(s.Flow.QueueName)
		row.Steps++
		row.Tasks += uint32(s.QueuedTasks)
		row.Oldest = max(row.Oldest, uint64(max(r.clock-s.ReadyAt, 0)/time.Millisecond))
		item := steps.Item{Step: s, Urgent: r.isUrgentRank(q.GetPool(), q.GetPriority()), Begun: s.Flow.State == v1.FlowState_FLOW_STATE_RUNNING}
		switch item = item.WithAge(r.stepTimes(s, q), r.clock-startOfTurn(s)); {
		case item.Worthless:
			row.Worthless++
		case item.Overdue:
			row.Late++
		default:
			row.InTime++
		}
	}
}

// readServers adds the servers in session, and what runs on them to the queues.
func (r *loadReader) readServers() {
	for _, s := range r.leader.sortedSessions {
		r.yield()
		b, ok := r.Host.Flows().Server(s.id)
		if !ok {
			continue
		}
		r.cell.Servers++
		r.cell.Cpu += b.Capacity.CPU
		for _, held := range b.HeldRuns {
			if f, ok := r.Host.Flows().Flow(held.Flow); ok {
				r.queue(f.QueueName).RunningCpu += held.Size.CPU
			}
		}
		r.readUse(s, b)
	}
}

// readUse counts a server by whether and which new tasks it takes.
func (r *loadReader) readUse(s *session, b *flows.Server) {
	if r.now < s.avoidUntil {
		r.cell.Avoided++
	}
	server := steps.Server{Server: b}
	r.addEvidence(&server, s, r.clock)
	if server.Probing {
		r.cell.Probing++
	}
	if server.Proven {
		r.cell.Proven++
	}
	if r.acceptsTasks(s, b, r.now) {
		r.cell.Usable++
		r.cell.FreeCpu += max(b.FreeCapacity().CPU, 0)
		r.poolCPU[b.Pool] += b.Capacity.CPU
	}
}

// addFloors adds the floors of the queues that are in force.
func (r *loadReader) addFloors() {
	if !r.leader.contended {
		return
	}
	for _, q := range r.Host.Flows().Config().GetQueues() {
		r.queue(q.GetName()).FloorCpu = fairness.Shortfall(0, r.poolCPU[q.GetPool()], r.Options.Floor)
	}
}

// addSubmissions adds the recent submissions to their customers.
func (r *loadReader) addSubmissions() {
	for name, counts := range r.leader.load.counts {
		row := r.customer(name)
		row.Accepted = counts.accepted.Sum(r.now)
		for c, refused := range counts.refused {
			if n := refused.Sum(r.now); n > 0 {
				row.Refused = append(row.Refused, &inner.RefusalCount{Code: uint32(c), Count: n})
			}
		}
		sortRefusals(row)
	}
}

// sortRefusals sorts the refusals of a row by result code, so that reports are comparable.
func sortRefusals(row *inner.CustomerLoad) {
	slices.SortFunc(row.Refused, func(a, b *inner.RefusalCount) int { return cmp.Compare(a.GetCode(), b.GetCode()) })
}

// refusedFlows returns the number of refusals of a customer, whatever their reason.
func refusedFlows(c *inner.CustomerLoad) uint32 {
	sum := uint32(0)
	for _, r := range c.GetRefused() {
		sum += r.GetCount()
	}
	return sum
}

// cutCustomers returns the customers of which most flows wait or are refused, and the sums over
// the others.
func cutCustomers(rows []*inner.CustomerLoad) (largest []*inner.CustomerLoad, others *inner.CustomerLoad) {
	largest, rest := load.Largest(rows, maxLoadRows, func(a, b *inner.CustomerLoad) int {
		return cmp.Or(cmp.Compare(a.GetWaiting()+refusedFlows(a), b.GetWaiting()+refusedFlows(b)), cmp.Compare(a.GetRunningCpu(), b.GetRunningCpu()), cmp.Compare(b.GetName(), a.GetName()))
	})
	if len(rest) == 0 {
		return largest, nil
	}
	others = &inner.CustomerLoad{Count: uint32(len(rest))}
	refused := map[uint32]uint32{}
	for _, c := range rest {
		others.Waiting += c.GetWaiting()
		others.RunningCpu += c.GetRunningCpu()
		others.Rate += c.GetRate()
		others.Accepted += c.GetAccepted()
		for _, r := range c.GetRefused() {
			refused[r.GetCode()] += r.GetCount()
		}
	}
	for c, n := range refused {
		others.Refused = append(others.Refused, &inner.RefusalCount{Code: c, Count: n})
	}
	sortRefusals(others)
	return largest, others
}

// cutQueues returns the queues with most waiting tasks, and the sums over the others.
func cutQueues(rows []*inner.QueueLoad) (largest []*inner.QueueLoad, others *inner.QueueLoad) {
	largest, rest := load.Largest(rows, maxLoadRows, func(a, b *inner.QueueLoad) int {
		return cmp.Or(cmp.Compare(a.GetTasks(), b.GetTasks()), cmp.Compare(a.GetRunningCpu(), b.GetRunningCpu()), cmp.Compare(b.GetName(), a.GetName()))
	})
	if len(rest) == 0 {
		return largest, nil
	}
	others = &inner.QueueLoad{Count: uint32(len(rest))}
	for _, q := range rest {
		others.Steps += q.GetSteps()
		others.Tasks += q.GetTasks()
		others.Oldest = max(others.Oldest, q.GetOldest())
		others.RunningCpu += q.GetRunningCpu()
		others.FloorCpu += q.GetFloorCpu()
		others.InTime += q.GetInTime()
		others.Late += q.GetLate()
		others.Worthless += q.GetWorthless()
		others.Begun += q.GetBegun()
	}
	return largest, others
}
