// Package pace decides how much of a server the tasks that fill it may use beside
// the tasks that serve there. It is pure.
package pace

// Bounds of the control.
const (
	// Full lets a task work as fast as it can.
	Full = 100
	// comfort is the part of the target below which more is given out: between
	// it and the target nothing changes, so that the pace does not swing.
	comfort = 0.7
	// backoff is the part of what proportion allows that is taken when a target
	// is missed: the disturbance may still be growing.
	backoff = 0.6
	// step is what is given out at a time while the targets are met, in percent.
	step = 10
	// least is the pace below which a task is stopped altogether: it would only
	// disturb.
	least = 5
)

// ServiceTask is a task that serves, as its server listed it.
type ServiceTask struct {
	// TailLatency and Target are in milliseconds.
	TailLatency   float64
	TargetLatency float64
}

// Next returns the pace, in percent, of the tasks that fill a server, from the
// one that they have. The task that is worst off decides.
func Next(now int, serving []ServiceTask) int {
	worst := 0.0
	for _, s := range serving {
		if s.TargetLatency > 0 {
			worst = max(worst, s.TailLatency/s.TargetLatency)
		}
	}
	switch {
	case worst > 1:
		now = int(float64(now) * backoff / worst)
	case worst < comfort:
		now += step
	}
	if now < least {
		return 0
	}
	return min(now, Full)
}
