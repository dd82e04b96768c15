package scenario_test

import (
	"testing"
	"time"

	"gypsumreel/internal/demo/scenario"
)

// The demo kills the leader of a busy cell: nothing accepted is lost, nothing
// runs twice, and every promise that it checks holds.
func TestTheDemoHolds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes ten seconds")
	}
	// The race detector makes every copied byte cost tens of times more.
	report, err := (&scenario.Scenario{Dir: t.TempDir(), Interval: 100 * time.Millisecond}).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if !report.Passed() || report.Accepted == 0 || report.Done+report.Unknown != report.Accepted || report.Duplicates+report.Lost != 0 {
		t.Errorf("%+v", *report)
	}
}
