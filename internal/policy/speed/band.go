package speed

import (
	"math"
	"slices"
)

// minBandWidth is the least ratio between the fastest and the slowest speed of a band.
const minBandWidth = 1.5

// Bands groups servers of similar speed: it returns the band of each speed, a higher one for
// faster servers, and replaces each element of speeds by the mean of its band. Servers whose
// estimates differ by chance alone are then equal. A band is as wide as the distance between the
// means of the fastest and the slowest quarter, so that each lies in the middle of one of two
// neighbouring bands, but at least minBandWidth.
func Bands(speeds []float64) []int {
	logSpeeds := make([]float64, len(speeds))
	for i, s := range speeds {
		logSpeeds[i] = math.Log(s)
	}
	sorted := slices.Sorted(slices.Values(logSpeeds))
	quarter := max(len(sorted)/4, 1)
	slowest, fastest := mean(sorted[:quarter]), mean(sorted[len(sorted)-quarter:])
	middle, width := (slowest+fastest)/2, max(fastest-slowest, math.Log(minBandWidth))
	bands := make([]int, len(speeds))
	members := map[int][]float64{}
	for i, s := range logSpeeds {
		bands[i] = int(math.Floor((s - middle) / width))
		members[bands[i]] = append(members[bands[i]], s)
	}
	means := map[int]float64{}
	for band, values := range members {
		means[band] = math.Exp(mean(values))
	}
	for i, band := range bands {
		speeds[i] = means[band]
	}
	return bands
}
