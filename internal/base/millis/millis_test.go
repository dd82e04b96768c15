package millis_test

import (
	"math"
	"testing"
	"time"

	"gypsumreel/internal/base/millis"
)

// Guards against times that wrap around: what is due in thousands of years would be due now.
func TestTimesDoNotWrapAround(t *testing.T) {
	for name, c := range map[string]struct{ got, want time.Duration }{
		"usual":              {millis.Duration(uint64(1500)), 1500 * time.Millisecond},
		"negative":           {millis.Duration(int64(-3)), -3 * time.Millisecond},
		"largest":            {millis.Duration(uint64(math.MaxUint64)), millis.MaxDuration},
		"smallest":           {millis.Duration(int64(math.MinInt64)), -millis.MaxDuration},
		"usual scale":        {millis.Scale(1.5), 1500 * time.Microsecond},
		"infinite":           {millis.Scale(math.Inf(1)), millis.MaxDuration},
		"large and negative": {millis.Scale(-1e300), -millis.MaxDuration},
		"not a number":       {millis.Scale(math.NaN()), millis.MaxDuration},
		"due":                {millis.At(5000, 2, 100), 5200 * time.Millisecond},
		"due in 9999":        {millis.At(253402300799000, 0, 0), math.MaxInt64},
		"rare":               {millis.At(5000, 2, math.MaxUint64), math.MaxInt64},
		"often":              {millis.At(5000, math.MaxUint32, 1<<40), math.MaxInt64},
		"before 1970":        {millis.At(math.MinInt64, 1, 7), 7 * time.Millisecond},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
	if got := millis.FromFloat(-1); got != 0 {
		t.Errorf("a negative number gives %d, want 0", got)
	}
}
