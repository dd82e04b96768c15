package bench_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/policy/bench"
)

// BenchmarkScale measures placements per second of one core, notes to the
// planner included, and the time of one decision, in full cells of four sizes.
func BenchmarkScale(b *testing.B) {
	for _, n := range []struct{ servers, teams, tasks int }{{50, 6, 220}, {500, 60, 2200}, {5000, 300, 22_000}, {16_000, 960, 70_000}, {50, 6, 0}, {500, 60, 0}, {5000, 300, 0}, {16_000, 960, 0}} {
		b.Run(fmt.Sprintf("servers=%d/tasks=%d", n.servers, n.tasks), func(b *testing.B) {
			s := bench.NewFullCell(bench.Product(0), n.servers, n.teams, n.tasks, 1)
			b.ReportAllocs()
			b.ResetTimer()
			began, placed := time.Now(), 0
			for b.Loop() {
				placed += s.Step(2)
			}
			b.ReportMetric(float64(placed)/time.Since(began).Seconds(), "placements/s")
			b.ReportMetric(float64(s.DecideP99().Nanoseconds()), "p99-ns/decision")
			b.ReportMetric(float64(s.Running()), "running")
		})
	}
}
