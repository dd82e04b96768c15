// Package contention tells whether customers compete for too little room. It has no side
// effects.
package contention

import "gypsumreel/internal/domain/capacity"

// Ratio returns the sum of the customers' CPU limits relative to the CPU capacity of the
// servers. Customers without a limit do not count. It returns 0 while the servers have no capacity.
func Ratio(limits []capacity.Size, total capacity.Size) float64 {
	if total.CPU <= 0 {
		return 0
	}
	sum := int64(0)
	for _, limit := range limits {
		if limit.CPU != capacity.Unlimited {
			sum += limit.CPU
		}
	}
	return float64(sum) / float64(total.CPU)
}

// Reached reports whether customers compete: the ratio is at least the threshold. A
// threshold of 0 is never reached.
func Reached(ratio, threshold float64) bool { return threshold > 0 && ratio >= threshold }
