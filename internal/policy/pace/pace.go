// Package pace computes how much CPU the fill tasks on a server may use beside its serving
// tasks. Fill tasks use only CPU time that other tasks leave, and serving tasks have a target
// for their tail latency. The package has no side effects.
package pace

// Parameters of the control loop. The pace is a percentage of full speed.
const (
	// Full lets a task run without a limit.
	Full = 100
	// raiseThreshold is the part of the target latency below which the pace is raised. Between
	// it and the target the pace does not change, which prevents oscillation.
	raiseThreshold = 0.7
	// reductionFactor is an additional reduction of the pace when a target is missed. The
	// proportional value alone is too high if the disturbance is still growing.
	reductionFactor = 0.6
	// raiseStep is the increase of the pace per update while all targets are met, in percent.
	raiseStep = 10
	// minPace is the pace below which a fill task is stopped. A slower task would disturb the
	// serving tasks without useful progress.
	minPace = 5
)

// ServingTask is a serving task as reported by its server.
type ServingTask struct {
	// TailLatency and TargetLatency are in milliseconds.
	TailLatency   float64
	TargetLatency float64
}

// Initial returns the pace to begin with, in percent, if the present one is unknown. Beside
// serving tasks it is raised from zero, because a jump to full pace would disturb them.
func Initial(servingTasks []ServingTask) int {
	if len(servingTasks) == 0 {
		return Full
	}
	return 0
}

// Next returns the new pace of the fill tasks on a server, in percent, from their present
// pace. The serving task with the highest ratio of tail latency to target decides.
func Next(percent int, servingTasks []ServingTask) int {
	worstRatio := 0.0
	for _, s := range servingTasks {
		if s.TargetLatency > 0 {
			worstRatio = max(worstRatio, s.TailLatency/s.TargetLatency)
		}
	}
	switch {
	case worstRatio > 1:
		percent = int(float64(percent) * reductionFactor / worstRatio)
	case worstRatio < raiseThreshold:
		percent += raiseStep
	}
	if percent < minPace {
		return 0
	}
	return min(percent, Full)
}
