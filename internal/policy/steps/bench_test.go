package steps_test

import (
	"fmt"
	"iter"
	"maps"
	"testing"
	"time"

	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/steps"
)

// Few steps before many servers with room: what a leader plans most of the time.
func BenchmarkFewOfMany(b *testing.B) {
	var servers []steps.Server
	for i := range 350 {
		s := server(fmt.Sprintf("s%03d", i), 16000)
		s.Used = capacity.Size{CPU: int64(i*37) % 16000}
		servers = append(servers, s)
	}
	var items []steps.Item
	for i := range 8 {
		it := item(fmt.Sprintf("f%03d", i), tasks(4, 1500))
		it.NeedsPermit = true
		items = append(items, it)
	}
	v := view(servers, items...)
	var p steps.Planner
	b.ReportAllocs()
	for b.Loop() {
		p.Make(v)
	}
}

// A backlog of steps before servers that are nearly full: what a leader plans
// over and over while more comes than can run.
func BenchmarkBacklog(b *testing.B) {
	var servers []steps.Server
	for i := range 350 {
		s := server(fmt.Sprintf("s%03d", i), 16000)
		s.Used = capacity.Size{CPU: 15500}
		servers = append(servers, s)
	}
	var items []steps.Item
	for i := range 128 {
		spec := tasks(8, 1000)
		spec.Gang = i%2 == 0
		it := item(fmt.Sprintf("f%03d", i), spec)
		it.NeedsPermit = true
		items = append(items, it)
	}
	v := view(servers, items...)
	var p steps.Planner
	b.ReportAllocs()
	for b.Loop() {
		p.Make(v)
	}
}

// A burst at a large cell: many new steps, and as many about which the adviser was
// asked already, before a thousand servers in use at four fifths.
func BenchmarkBurst(b *testing.B) {
	const all, most, few = 1100, 150, 60
	var servers []steps.Server
	for i := range all {
		s := server(fmt.Sprintf("s%04d", i), 16000)
		s.Used = capacity.Size{CPU: int64(i*37*4) % 16000}
		s.ShortLease = i%5 == 0
		servers = append(servers, s)
	}
	may := map[flow.StepID]map[string]steps.Permission{}
	var items []steps.Item
	for i := range most {
		it := item(fmt.Sprintf("f%03d", i), tasks(4, 3900))
		it.NeedsPermit, it.Urgent, it.Priority = true, i%3 > 0, uint32(i%3)
		if i%2 == 0 {
			it.AdviserAsked = true
			may[it.StepID] = map[string]steps.Permission{}
			for j := range few {
				may[it.StepID][servers[(i*31+j*17)%all].ID] = steps.Permission(1 + j%3)
			}
		}
		items = append(items, it)
	}
	v := view(servers, items...)
	v.Permissions = func(id flow.StepID) iter.Seq2[string, steps.Permission] { return maps.All(may[id]) }
	v.AllowedShare = func(steps.Item) float64 { return 0.3 }
	v.Releases = func(string) []steps.Release {
		return []steps.Release{{After: time.Second, Size: capacity.Size{CPU: 3000}}, {After: 100 * time.Millisecond, Size: capacity.Size{CPU: 3000}}}
	}
	var p steps.Planner
	b.ReportAllocs()
	for b.Loop() {
		p.Make(v)
	}
}
