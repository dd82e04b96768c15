package speed

import (
	"math"
	"slices"
)

const (
	// minUnevenMachines is the number of machines with known speeds from which on a pool is
	// judged, so that each quarter holds one.
	minUnevenMachines = 4
	// maxMachinesPerKnown is the number of machines of a pool for each known one up to which the
	// pool is judged. Only servers that have had work are known, and work fills up some servers
	// before others.
	maxMachinesPerKnown = 8
	// quarterDistance is the distance between the means of the lowest and the highest quarter
	// of normally distributed values, in standard deviations.
	quarterDistance = 2.54
	// remainFactor is the part of the threshold down to which a pool stays uneven, so that
	// the decision does not change back and forth.
	remainFactor = 0.9
	// classWidth is the ratio between the speeds of neighbouring classes.
	classWidth = 1.25
)

// Unevenness returns the ratio between the mean speeds of the fastest and the slowest quarter
// of some machines. The difference that the errors of the estimates alone would cause does not
// count. It returns 1 while too few speeds are known.
func (e *Estimator) Unevenness(machines []string) float64 {
	var slowness []float64
	deviations := 0.0
	for _, name := range machines {
		if m := e.machines[name]; m.known() {
			slowness = append(slowness, m.slowness)
			deviations += math.Sqrt(m.variance)
		}
	}
	n := len(slowness)
	if n < minUnevenMachines || n*maxMachinesPerKnown < len(machines) {
		return 1
	}
	slices.Sort(slowness)
	quarter := n / 4
	difference := mean(slowness[n-quarter:]) - mean(slowness[:quarter])
	scatter := quarterDistance * deviations / float64(n)
	return math.Exp(math.Sqrt(max(difference*difference-scatter*scatter, 0))) // independent causes add up in squares
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// IsUneven reports whether speeds differ so much that they decide where work goes. before is
// the previous answer. A threshold of 0 is never reached.
func IsUneven(unevenness, threshold float64, before bool) bool {
	if before {
		threshold *= remainFactor
	}
	return threshold > 0 && unevenness >= threshold
}

// Class returns the class of a relative speed: 0 is the average, a higher class is faster.
func Class(speed float64) int { return int(math.Round(math.Log(speed) / math.Log(classWidth))) }

// Differs reports whether two speeds differ by more than a class.
func Differs(a, b float64) bool { return math.Abs(math.Log(a/b)) > math.Log(classWidth) }
