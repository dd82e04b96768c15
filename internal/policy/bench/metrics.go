package bench

import (
	"slices"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/policy/share"
)

// Metrics collects the measurements of one run.
type Metrics struct {
	// MeasureFrom is the virtual time at which the warm-up ends.
	MeasureFrom time.Duration
	// FaultAt is the virtual time at which the fault is injected; 0 before it.
	FaultAt time.Duration

	simulation          *Simulation
	waits               [job.Service + 1][]time.Duration
	coreSecondsDone     [job.Service + 1]float64
	coreSecondsLost     float64
	packingSamples      []float64
	shareDistances      []float64
	lastMinuteDistances map[string][]float64
	worstDistance       float64
	queuedTasks         int
	decisionCount       int
	decideTime          time.Duration
	decisionTimes       []time.Duration
	actionCounts        [plan.Restore + 1]int
	// lostByReason holds the lost core-hours by the reason for which the tasks were
	// stopped.
	lostByReason map[string]float64
	idealWaits   map[uint64]time.Duration
	slowdowns    []float64
	// inOneRack and inOneZone hold one value for each gang: 1 if all its tasks started
	// in one rack or one zone, else 0.
	inOneRack, inOneZone            []float64
	waitsAfterFault, waitsAfterLoss []time.Duration
}

func newMetrics(w *Simulation) *Metrics {
	return &Metrics{simulation: w, lastMinuteDistances: map[string][]float64{}, lostByReason: map[string]float64{}, idealWaits: map[uint64]time.Duration{}}
}

func (m *Metrics) measuring() bool { return m.simulation.now >= m.MeasureFrom }

// timeDecide calls decide and records its duration.
func (m *Metrics) timeDecide(decide func() []plan.Decision) []plan.Decision {
	start := time.Now()
	decisions := decide()
	elapsed := time.Since(start)
	m.decideTime += elapsed
	m.decisionCount += len(decisions)
	if len(decisions) > 0 {
		m.decisionTimes = append(m.decisionTimes, elapsed/time.Duration(len(decisions)))
	}
	return decisions
}

func (m *Metrics) recordDecision(d plan.Decision) {
	m.actionCounts[d.Action]++
	if d.Action == plan.Place && m.measuring() && m.simulation.jobs[d.Job][0].spec.AllOrNothing() {
		racks, zones := map[string]bool{}, map[string]bool{}
		for _, placement := range d.Placements {
			s := m.simulation.servers[placement.Server]
			racks[s.Zone+s.Rack], zones[s.Zone] = true, true
		}
		m.inOneRack = append(m.inOneRack, oneIfSingle(len(racks)))
		m.inOneZone = append(m.inOneZone, oneIfSingle(len(zones)))
	}
}

// oneIfSingle returns 1 if n is 1, else 0.
func oneIfSingle(n int) float64 {
	if n == 1 {
		return 1
	}
	return 0
}

// recordSubmission records how long a gang would wait if no other task waited.
func (m *Metrics) recordSubmission(id uint64) {
	if m.measuring() && m.simulation.jobs[id][0].spec.AllOrNothing() {
		m.idealWaits[id] = m.simulation.idealWait(m.simulation.jobs[id])
	}
}

func (m *Metrics) recordPlacement(t *Task) {
	if !t.measureWait || !m.measuring() {
		return
	}
	wait := m.simulation.now - t.waitingSince
	if m.FaultAt > 0 && t.spec.Kind == job.Urgent {
		if t.attempts > 0 {
			m.waitsAfterLoss = append(m.waitsAfterLoss, wait)
		} else if t.acceptedAt >= m.FaultAt && t.acceptedAt < m.FaultAt+30*time.Second {
			m.waitsAfterFault = append(m.waitsAfterFault, wait)
		}
	}
	m.waits[t.spec.Kind] = append(m.waits[t.spec.Kind], wait)
	if idealWait, ok := m.idealWaits[t.id.Job]; ok && t.id.Index == 0 && t.attempts == 0 {
		m.slowdowns = append(m.slowdowns, wait.Seconds()/max(1, idealWait.Seconds()))
	}
}

func (m *Metrics) recordCompletion(t *Task) {
	if m.measuring() {
		m.coreSecondsDone[t.spec.Kind] += coreSeconds(t, m.simulation.now-max(t.startedAt, m.MeasureFrom))
	}
}

// recordLostWork records the last part of an attempt, of duration d, as lost and the rest
// as done.
func (m *Metrics) recordLostWork(t *Task, d time.Duration) {
	if m.measuring() {
		m.coreSecondsLost += coreSeconds(t, d)
		m.lostByReason[t.stopReason] += coreSeconds(t, d) / 3600
		m.coreSecondsDone[t.spec.Kind] += coreSeconds(t, max(0, m.simulation.now-max(t.startedAt, m.MeasureFrom)-d))
	}
}

// coreSeconds returns the processor time of a task over d, in core-seconds.
func coreSeconds(t *Task, d time.Duration) float64 {
	return float64(t.spec.Size.CPU) / 1000 * d.Seconds()
}

// Sample takes a sample once a second of virtual time.
func (m *Metrics) Sample() {
	if m.measuring() {
		m.takeSample()
	}
	m.simulation.Schedule(m.simulation.now+time.Second, m.Sample)
}

func (m *Metrics) takeSample() {
	w := m.simulation
	var readyCapacity, used, demand capacity.Size
	for _, id := range w.serverIDs {
		if w.servers[id].State == backend.Ready {
			readyCapacity = readyCapacity.Add(w.servers[id].Capacity)
			used = used.Add(w.Checker.usedCapacity[id])
		}
	}
	waiting := map[string]capacity.Size{}
	for _, t := range w.unfinished {
		if !t.placed && t.spec.Size.Fits(w.maxCapacity) {
			waiting[t.spec.Team] = waiting[t.spec.Team].Add(t.spec.Size)
			demand = demand.Add(t.spec.Size)
		}
	}
	if maxUsedShare := min(1, used.Add(demand).DominantShare(readyCapacity)); !demand.IsZero() && maxUsedShare > 0.95 {
		m.packingSamples = append(m.packingSamples, used.DominantShare(readyCapacity)/maxUsedShare)
		m.recordShareDistance(waiting, readyCapacity)
	}
}

func (m *Metrics) recordShareDistance(waiting map[string]capacity.Size, readyCapacity capacity.Size) {
	var shareTeams []share.Team
	var usedShares []float64
	rows := m.simulation.table.Rows()
	for _, row := range rows {
		used := m.simulation.Checker.teamUsage[row.Name]
		usedShares = append(usedShares, used.DominantShare(readyCapacity))
		demand := used.Add(waiting[row.Name]).DominantShare(readyCapacity)
		if limitShare := row.Limit.DominantShare(readyCapacity); limitShare > 0 {
			demand = min(demand, limitShare)
		}
		shareTeams = append(shareTeams, share.Team{Guarantee: float64(row.GuaranteedShare) / 1000, Weight: float64(row.Weight), Demand: min(1, demand)})
	}
	sum := 0.0
	for i, target := range share.Divide(shareTeams) {
		distance := max(target-usedShares[i], usedShares[i]-target)
		sum += distance
		m.recordTeamDistance(rows[i].Name, distance)
	}
	m.shareDistances = append(m.shareDistances, sum/float64(len(rows)))
}

// recordTeamDistance records a team's distance from its fair share and updates the
// largest one-minute mean.
func (m *Metrics) recordTeamDistance(team string, distance float64) {
	lastMinute := append(m.lastMinuteDistances[team], distance)
	if len(lastMinute) > 60 {
		lastMinute = lastMinute[1:]
	}
	m.lastMinuteDistances[team] = lastMinute
	if len(lastMinute) == 60 {
		m.worstDistance = max(m.worstDistance, mean(lastMinute))
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(1, len(x)))
}

func meanDuration(x []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range x {
		sum += d
	}
	return sum / time.Duration(max(1, len(x)))
}

func quantile[T time.Duration | float64](x []T, q float64) T {
	if len(x) == 0 {
		return 0
	}
	sorted := slices.Clone(x)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// idealWait returns how long a gang would wait if no other task waited. It frees the
// capacity of the running tasks in the order of their real end times until the gang
// fits.
func (w *Simulation) idealWait(tasks []*Task) time.Duration {
	type end struct {
		at   time.Duration
		task *Task
	}
	free := map[string]capacity.Size{}
	var ends []end
	for _, id := range w.serverIDs {
		if w.servers[id].State != backend.Ready {
			continue
		}
		free[id] = w.servers[id].Capacity.Sub(w.Checker.usedCapacity[id])
		for _, t := range w.Checker.tasksByServer[id] {
			ends = append(ends, end{t.startedAt + t.remaining, t})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return int(a.at - b.at) })
	size := tasks[0].spec.Size
	fits := func() bool {
		n := 0
		for _, freeSize := range free {
			for size.Fits(freeSize) {
				freeSize = freeSize.Sub(size)
				n++
			}
		}
		return n >= len(tasks)
	}
	if fits() {
		return 0
	}
	for _, e := range ends {
		free[e.task.server] = free[e.task.server].Add(e.task.spec.Size)
		if fits() {
			return max(0, e.at-w.now)
		}
	}
	return 0
}
