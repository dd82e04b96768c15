// Package pace decides how much of a server the tasks that fill it may use beside
// the tasks that serve there. It is pure.
package pace

// Bounds of the control.
const (
	// Full lets a task work as fast as it can.
	Full = 100
	// raiseThreshold is the part of the target below which more is given out: between
	// it and the target nothing changes, so that the pace does not swing.
	raiseThreshold = 0.7
	// reductionFactor is the part of what proportion allows that is taken when a target
	// is missed: the disturbance may still be growing.
	reductionFactor = 0.6
	// raiseStep is what is given out at a time while the targets are met, in percent.
	raiseStep = 10
	// minPace is the pace below which a task is stopped altogether: it would only
	// disturb.
	minPace = 5
)

// ServiceTask is a task that serves, as its server listed it.
type ServiceTask struct {
	// TailLatency and Target are in milliseconds.
	TailLatency   float64
	TargetLatency float64
}

// Next returns the pace, in percent, of the tasks that fill a server, from the
// one that they have. The task that is worst off decides.
func Next(percent int, services []ServiceTask) int {
	worstRatio := 0.0
	for _, s := range services {
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
