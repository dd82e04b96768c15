package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/speed"
	"gypsumreel/internal/policy/steps"
)

const (
	// speedUnit is the unit of the ratios in the ledger: thousandths.
	speedUnit = 1000
	// maxSpeedsPerCommand limits the machines in one command. Such a command is sent at most
	// once a second, so a new cell records its speeds within seconds.
	maxSpeedsPerCommand = 128
)

// machineSpeeds is what a leader knows about the speeds of machines, across restarts of their
// servers and from earlier leaders.
type machineSpeeds struct {
	estimator *speed.Estimator
	// unevenPools holds the pools in which speeds decide where work goes.
	unevenPools map[string]bool
}

// loadMachineSpeeds begins a term with the speeds that earlier leaders recorded, so that the first
// plan uses them.
func (d *Dispatcher) loadMachineSpeeds() {
	if d.Options.Unevenness <= 0 {
		return
	}
	d.leader.machineSpeeds = &machineSpeeds{estimator: speed.New(), unevenPools: map[string]bool{}}
	for machine, s := range d.Host.Flows().Speeds() {
		d.leader.machineSpeeds.estimator.Seed(machine, float64(s.Ratio)/speedUnit, s.Runs)
	}
	d.updateUnevenPools()
}

// measurement is what is needed to learn the speed of a machine from the end of a run. It is kept with the run,
// because the ledger drops the steps of a flow when the flow ends.
type measurement struct {
	speed.Run
	// declared is the declared run time.
	declared time.Duration
}

// measurementOf returns the measurement of a run that is placed now, or nil if its time will
// tell nothing about its server: the run resumes, may be throttled, waits for other members
// of its gang, is far from its data, or the server has just started.
func (d *Dispatcher) measurementOf(r *run, b *flows.Server) *measurement {
	step, ok := d.Host.Flows().Step(r.StepID)
	if d.leader.machineSpeeds == nil || !ok || r.Number > 1 || step.Spec.GetRuntime() == 0 || !isMeasured(step.Spec, b) || d.Host.LedgerTime() < b.SlowStartEndsAt {
		return nil
	}
	return &measurement{
		Run:      speed.Run{Machine: b.SpeedKey(), Kind: kindOf(step), Step: r.StepID, Tasks: len(step.Tasks)},
		declared: millis.Duration(step.Spec.GetRuntime()),
	}
}

// observeMachineSpeed updates the speed of a machine from the duration of a run.
func (d *Dispatcher) observeMachineSpeed(r *run, end inner.RunEnd, now time.Duration) {
	if r.measurement == nil || end != inner.RunEnd_RUN_END_DONE {
		return
	}
	measured := r.measurement.Run
	measured.Ratio = float64(now-r.placedAt) / float64(r.measurement.declared)
	d.leader.machineSpeeds.estimator.Observe(measured)
}

// isMeasured reports whether the run time of a task on a server depends on the speed of the
// server only. Far from its data, or from the other tasks, a task takes longer.
func isMeasured(s *v1.FlowStep, b *flows.Server) bool {
	near := s.GetRack() == "" || slices.Contains(b.Labels, s.GetRack())
	return near && !s.GetLasting() && !s.GetFills() && !s.GetTogether() && !(s.GetGang() && s.GetCount() > 1)
}

// kindOf returns the kind of work whose usual run times are learned together.
func kindOf(s *flows.Step) speed.Kind {
	return speed.Kind{Queue: s.Flow.QueueName, Customer: s.Flow.Customer}
}

// updateMachineSpeeds updates the uneven pools, records the speeds that have changed, and drops
// what is not needed any more. It iterates over all servers, so it runs only periodically.
func (d *Dispatcher) updateMachineSpeeds() {
	if d.leader.machineSpeeds == nil {
		return
	}
	ledger, machines := d.Host.Flows(), map[string]bool{}
	for _, b := range ledger.Servers() {
		machines[b.SpeedKey()] = true
	}
	d.leader.machineSpeeds.estimator.RetainMachines(func(machine string) bool { return machines[machine] })
	d.leader.machineSpeeds.estimator.RetainSteps(func(id flow.StepID) bool {
		s, ok := ledger.Step(id)
		return ok && s.DoneTasks < len(s.Tasks)
	})
	d.updateUnevenPools()
	d.recordMachineSpeeds(machines)
	d.countSpeeds()
}

// updateUnevenPools updates the estimates and decides in which pools speeds are uneven.
func (d *Dispatcher) updateUnevenPools() {
	state := d.leader.machineSpeeds
	state.estimator.Update()
	machines := map[string][]string{}
	for _, b := range d.Host.Flows().Servers() {
		if !b.Ended {
			machines[b.Pool] = append(machines[b.Pool], b.SpeedKey())
		}
	}
	for pool, names := range machines {
		unevenness := state.estimator.Unevenness(names)
		uneven := speed.IsUneven(unevenness, d.Options.Unevenness, state.unevenPools[pool])
		if uneven != state.unevenPools[pool] {
			event.Log(d.Log, event.SpeedsUneven, "pool", pool, "uneven", uneven, "ratio", unevenness, "servers", len(names), "term", d.leader.term)
		}
		state.unevenPools[pool] = uneven
	}
}

// recordMachineSpeeds records the speeds that have changed by more than a class.
func (d *Dispatcher) recordMachineSpeeds(machines map[string]bool) {
	recorded, estimator := d.Host.Flows().Speeds(), d.leader.machineSpeeds.estimator
	changed := &record.FlowSpeeds{}
	for machine := range machines {
		ratio, runs, ok := estimator.Ratio(machine)
		before, known := recorded[machine]
		if !ok || known && !speed.Differs(ratio, float64(before.Ratio)/speedUnit) {
			continue
		}
		changed.Speeds = append(changed.Speeds, &record.MachineSpeed{Machine: machine, Ratio: max(uint32(math.Round(ratio*speedUnit)), 1), Runs: runs})
		if len(changed.Speeds) == maxSpeedsPerCommand {
			break
		}
	}
	if len(changed.Speeds) == 0 {
		return
	}
	for _, m := range changed.Speeds {
		if before, known := recorded[m.GetMachine()]; known {
			event.Log(d.Log, event.SpeedChanged, "machine", m.GetMachine(), "ratio", m.GetRatio(), "before", before.Ratio, "runs", m.GetRuns(), "class", speed.Class(estimator.Speed(m.GetMachine())))
		}
	}
	d.applyOrLog(&record.Flow{What: &record.Flow_Speeds{Speeds: changed}})
}

// countSpeeds sets the numbers of servers by speed.
func (d *Dispatcher) countSpeeds() {
	counts := map[string]int{"slow": 0, "average": 0, "fast": 0}
	for _, b := range d.Host.Flows().Servers() {
		if !b.Ended {
			counts[speedLabel(speed.Class(d.leader.machineSpeeds.estimator.Speed(b.SpeedKey())))]++
		}
	}
	d.flowMetrics.setSpeeds(counts)
}

// speedLabel returns the label of a speed class in the metrics.
func speedLabel(class int) string {
	switch {
	case class < 0:
		return "slow"
	case class > 0:
		return "fast"
	}
	return "average"
}

// isUneven reports whether speeds decide where the work of a pool goes.
func (d *Dispatcher) isUneven(pool string) bool {
	return d.leader.machineSpeeds != nil && d.leader.machineSpeeds.unevenPools[pool]
}

// hasUnevenPool reports whether speeds decide where the work of any pool goes.
func (d *Dispatcher) hasUnevenPool() bool {
	if d.leader.machineSpeeds == nil {
		return false
	}
	for _, uneven := range d.leader.machineSpeeds.unevenPools {
		if uneven {
			return true
		}
	}
	return false
}

// serverSpeedFor returns the speed of a server relative to the average: that of its machine
// where speeds decide where work goes, and elsewhere the one that this leader has observed.
func (d *Dispatcher) serverSpeedFor(s *session, b *flows.Server) float64 {
	if d.isUneven(b.Pool) {
		return d.leader.machineSpeeds.estimator.Speed(b.SpeedKey())
	}
	return d.relativeSpeed(s)
}

// typicalRuntimeOn returns the expected run time of a run on its server, at the speed that
// the server had when the run was placed. A server that has turned slow since is judged by
// what was expected of it.
func (d *Dispatcher) typicalRuntimeOn(step *flows.Step, r *run) time.Duration {
	typical := d.typicalRuntime(step)
	if r.serverSpeed <= 0 {
		return typical
	}
	return time.Duration(float64(typical) / r.serverSpeed)
}

// addSpeedDemand adds to an item what decides which speeds suit it, unless speeds do not decide
// where it goes.
func (d *Dispatcher) addSpeedDemand(item *steps.Item) {
	if !d.isUneven(item.Pool) || item.Spec.GetLasting() || item.Spec.GetRuntime() == 0 {
		return
	}
	declared := millis.Duration(item.Spec.GetRuntime())
	item.Demand = speed.Step{Runtime: declared, Budget: item.Slack + declared, Gang: item.Spec.GetGang() && item.Spec.GetCount() > 1}
}

// speedClassOf returns 1 for a fast server, -1 for a slow one, and 0 for others and where
// speeds do not decide where work goes. Finer classes would change with every few runs.
func (d *Dispatcher) speedClassOf(b *flows.Server) int {
	if !d.isUneven(b.Pool) {
		return 0
	}
	return cmp.Compare(speed.Class(d.leader.machineSpeeds.estimator.Speed(b.SpeedKey())), 0)
}
