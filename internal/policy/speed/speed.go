// Package speed learns how fast machines are from the run times of tasks, and tells which
// servers suit a step where speeds differ a lot. It has no side effects.
//
// Declared run times are inaccurate, and their errors differ between queues, customers and
// steps, so a single run says little about its machine. Each run is compared with what is usual
// for its queue and customer and with the runs of its step on other machines. A run moves the
// estimate of its machine far if little is known of the machine and much of the step. All
// estimates are natural logarithms of ratios of actual to declared run times, since errors of
// declared run times are factors.
package speed

import (
	"math"
	"slices"

	"gypsumreel/internal/domain/flow"
)

// Parameters of the estimates. Variances are of logarithms: 0.04 is a deviation of a fifth.
const (
	// taskVariance is the variance among the run times of the tasks of a step.
	taskVariance = 0.04
	// stepVariance is the variance among steps that is assumed until the runs of a queue and
	// customer show their own: declared run times may be off by a factor of two.
	stepVariance = 0.5
	// assumedRuns is the number of runs for which that assumption counts.
	assumedRuns = 10
	// machineVariance is the variance among machines that is assumed of a machine without
	// runs. A machine whose estimate has at most half of it left counts as known.
	machineVariance = 0.12
	knownVariance   = machineVariance / 2
	// seedVariance is the variance of the record of an earlier leader. A machine may have
	// changed since, so a few new runs outweigh it.
	seedVariance = machineVariance / 6
	// changeVariance is added with each run, since a machine can change. Old runs lose their
	// weight after about ten new ones.
	changeVariance = 0.002
	// maxDeviations is the number of standard deviations up to which a run counts. A run
	// beyond them is an outlier: it tells of its task and not of its machine.
	maxDeviations = 2
	// maxOutliers is the number of outliers in a row, all slow or all fast, after which the
	// machine itself must have changed.
	maxOutliers = 3
	// minEndedShare is the part of the tasks of a step that have to end before its runs change
	// estimates. A task that takes many times as long as the others does not delay that.
	minEndedShare = 0.75
	// minKindWeight is the least weight of one run in the averages of a queue and customer.
	// maxExcess limits the influence of a single run on them: it is the logarithm of its ratio
	// to the usual run, so a run counts as at most e times as long or as short.
	minKindWeight = 0.01
	maxExcess     = 1
	// deviationFactor is the ratio of the standard to the mean deviation of normally
	// distributed values.
	deviationFactor = 1.25
)

// Kind is a kind of work whose declared run times are similarly accurate.
type Kind struct{ Queue, Customer string }

// Run is a run that ended successfully.
type Run struct {
	Machine string
	Kind    Kind
	Step    flow.StepID
	// Tasks is the number of tasks of the step.
	Tasks int
	// Ratio is the ratio of its actual to its declared run time.
	Ratio float64
}

// Estimator holds the estimates of one leader. Use New.
type Estimator struct {
	machines map[string]*machine
	kinds    map[Kind]*kind
	steps    map[flow.StepID]*step
}

// step holds the ended runs of a step in progress.
type step struct {
	kind *kind
	runs []run
	// judged is true once the runs have changed the estimates of their machines.
	judged bool
}

// run is an ended run. logRatio is the logarithm of the ratio of its actual to its declared run
// time.
type run struct {
	machine  *machine
	logRatio float64
}

// machine is the estimate of a machine. slowness is the logarithm of its run times relative to
// those on the average machine. variance is the variance of the error of slowness.
type machine struct {
	slowness, variance float64
	runs               uint32
	// outliers counts the latest runs in a row that were much slower than expected, or, if it
	// is negative, much faster.
	outliers int
}

// kind holds the logarithm of the usual ratio of a kind of work on an average machine, and the
// mean deviation from it.
type kind struct {
	runs             int
	usual, deviation float64
}

// New returns an estimator without runs.
func New() *Estimator {
	return &Estimator{machines: map[string]*machine{}, kinds: map[Kind]*kind{}, steps: map[flow.StepID]*step{}}
}

// Seed sets the speed of a machine to the record of an earlier leader. ratio is a value of
// Ratio.
func (e *Estimator) Seed(name string, ratio float64, runs uint32) {
	if ratio > 0 {
		e.machines[name] = &machine{slowness: math.Log(ratio), variance: seedVariance, runs: runs}
	}
}

// Observe learns from one run. The runs of a step are judged together once most of its tasks
// have ended: the first to end are the shortest, and would make all others look slow.
func (e *Estimator) Observe(r Run) {
	if r.Ratio <= 0 {
		return
	}
	s := e.steps[r.Step]
	if s == nil {
		s = &step{kind: e.kind(r.Kind)}
		e.steps[r.Step] = s
	}
	m := e.machine(r.Machine)
	s.runs = append(s.runs, run{m, math.Log(r.Ratio)})
	switch {
	case s.judged:
		s.judge(m, 1)
	case float64(len(s.runs)) >= minEndedShare*float64(r.Tasks):
		s.judged = true
		for _, counted := range s.machines() {
			s.judge(counted.machine, counted.runs)
		}
	}
}

// machineRuns is the number of runs of a step on a machine.
type machineRuns struct {
	machine *machine
	runs    int
}

// machines returns the machines of the runs, in the order of their first runs.
func (s *step) machines() (out []machineRuns) {
	for _, r := range s.runs {
		i := slices.IndexFunc(out, func(c machineRuns) bool { return c.machine == r.machine })
		if i < 0 {
			out = append(out, machineRuns{machine: r.machine})
			i = len(out) - 1
		}
		out[i].runs++
	}
	return out
}

// judge learns from the latest n runs of the step on a machine.
func (s *step) judge(m *machine, n int) {
	var own []float64
	for _, r := range s.runs {
		if r.machine == m {
			own = append(own, r.logRatio-s.kind.usual)
		}
	}
	repeated := len(own) - n
	own = own[repeated:]
	offset, variance := s.declaredError(m)
	for _, value := range own {
		s.kind.add(value - m.slowness)
	}
	// Runs of one step on one machine share the error of the comparison, so further ones add
	// little.
	m.add(median(own)-offset, n, (taskVariance/float64(n)+variance)*float64(1+repeated))
}

// declaredError returns by how much the step runs longer than usual for its kind because of its
// declared run time, as a logarithm, and the variance of that estimate. It uses the runs on other
// machines than the given one, which may itself be the cause.
func (s *step) declaredError(m *machine) (offset, variance float64) {
	var others []float64
	for _, r := range s.runs {
		if r.machine != m {
			others = append(others, r.logRatio-r.machine.slowness-s.kind.usual)
			variance += r.machine.variance + taskVariance
		}
	}
	stepVariance := s.kind.variance()
	if len(others) == 0 {
		return 0, stepVariance
	}
	n := float64(len(others))
	own := variance / (n * n)
	weight := stepVariance / (stepVariance + own)
	return weight * median(others), weight * own
}

func (e *Estimator) machine(name string) *machine {
	m := e.machines[name]
	if m == nil {
		m = &machine{variance: machineVariance}
		e.machines[name] = m
	}
	return m
}

func (e *Estimator) kind(id Kind) *kind {
	k := e.kinds[id]
	if k == nil {
		k = &kind{deviation: math.Sqrt(stepVariance) / deviationFactor}
		e.kinds[id] = k
	}
	return k
}

// add moves the estimate towards the slowness that was observed in some runs, with an error of
// the given variance.
func (m *machine) add(observed float64, runs int, variance float64) {
	m.runs += uint32(runs)
	m.variance = min(m.variance+changeVariance, machineVariance)
	limit := maxDeviations * math.Sqrt(m.variance+variance)
	difference := min(max(observed-m.slowness, -limit), limit)
	switch {
	case difference == limit:
		m.outliers = max(m.outliers, 0) + 1
	case difference == -limit:
		m.outliers = min(m.outliers, 0) - 1
	default:
		m.outliers = 0
	}
	if max(m.outliers, -m.outliers) >= maxOutliers {
		m.variance = machineVariance
	}
	gain := m.variance / (m.variance + variance)
	m.slowness += gain * difference
	m.variance *= 1 - gain
}

// add adds a run to the averages. excess is the logarithm of its ratio to the usual run.
func (k *kind) add(excess float64) {
	k.runs++
	excess = min(max(excess, -maxExcess), maxExcess)
	weight := max(1/float64(k.runs), minKindWeight)
	k.usual += weight * excess
	k.deviation += max(1/float64(k.runs+assumedRuns), minKindWeight) * (math.Abs(excess) - k.deviation)
}

// variance returns the variance among the steps of a kind of work.
func (k *kind) variance() float64 {
	return max(deviationFactor*deviationFactor*k.deviation*k.deviation, taskVariance)
}

// median returns the median of some values, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// known reports whether the estimate is accurate enough to be used. It is false for nil.
func (m *machine) known() bool { return m != nil && m.variance <= knownVariance }

// Update makes the average machine the unit of all speeds again. It iterates over all
// machines.
func (e *Estimator) Update() {
	sum, count := 0.0, 0
	for _, m := range e.machines {
		if m.known() {
			sum += m.slowness
			count++
		}
	}
	average := sum / float64(max(count, 1))
	for _, m := range e.machines {
		m.slowness -= average
	}
	for _, k := range e.kinds {
		k.usual += average
	}
}

// RetainSteps drops the steps for which keep returns false.
func (e *Estimator) RetainSteps(keep func(flow.StepID) bool) {
	for id := range e.steps {
		if !keep(id) {
			delete(e.steps, id)
		}
	}
}

// RetainMachines drops the machines for which keep returns false.
func (e *Estimator) RetainMachines(keep func(machine string) bool) {
	for name := range e.machines {
		if !keep(name) {
			delete(e.machines, name)
		}
	}
}

// Speed returns the speed of a machine relative to the average, or 1 while it is not known. A
// machine of speed 2 runs tasks in half the time.
func (e *Estimator) Speed(name string) float64 {
	m := e.machines[name]
	if !m.known() {
		return 1
	}
	return math.Exp(-m.slowness)
}

// Ratio returns the ratio of actual to declared run times on a machine, relative to the average
// machine, and the number of runs that it is based on. ok is false while it is not known.
func (e *Estimator) Ratio(name string) (ratio float64, runs uint32, ok bool) {
	m := e.machines[name]
	if !m.known() {
		return 0, 0, false
	}
	return math.Exp(m.slowness), m.runs, true
}
