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

// A few steps and many servers with room: the most common plan.
func BenchmarkFewStepsManyServers(b *testing.B) {
	var servers []steps.Server
	for i := range 350 {
		s := server(fmt.Sprintf("s%03d", i), 16000)
		s.Used = capacity.Size{CPU: int64(i*37) % 16000}
		servers = append(servers, s)
	}
	var items []steps.Item
	for i := range 8 {
		testItem := item(fmt.Sprintf("f%03d", i), tasks(4, 1500))
		testItem.NeedsPermit = true
		items = append(items, testItem)
	}
	v := view(servers, items...)
	var p steps.Planner
	b.ReportAllocs()
	for b.Loop() {
		p.Make(v)
	}
}

// A backlog of steps and servers that are nearly full: the usual plan under overload.
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
		testItem := item(fmt.Sprintf("f%03d", i), spec)
		testItem.NeedsPermit = true
		items = append(items, testItem)
	}
	v := view(servers, items...)
	var p steps.Planner
	b.ReportAllocs()
	for b.Loop() {
		p.Make(v)
	}
}

// A burst in a large cell: many new steps, as many steps with known permissions, and a thousand
// servers of which four fifths are in use.
func BenchmarkBurst(b *testing.B) {
	const serverCount, itemCount, knownPerItem = 1100, 150, 60
	var servers []steps.Server
	for i := range serverCount {
		s := server(fmt.Sprintf("s%04d", i), 16000)
		s.Used = capacity.Size{CPU: int64(i*37*4) % 16000}
		s.ShortLease = i%5 == 0
		servers = append(servers, s)
	}
	permissions := map[flow.StepID]map[string]steps.Permission{}
	var items []steps.Item
	for i := range itemCount {
		testItem := item(fmt.Sprintf("f%03d", i), tasks(4, 3900))
		testItem.NeedsPermit, testItem.Urgent, testItem.Priority = true, i%3 > 0, uint32(i%3)
		if i%2 == 0 {
			testItem.AdviserAsked = true
			permissions[testItem.StepID] = map[string]steps.Permission{}
			for j := range knownPerItem {
				permissions[testItem.StepID][servers[(i*31+j*17)%serverCount].ID] = steps.Permission(1 + j%3)
			}
		}
		items = append(items, testItem)
	}
	v := view(servers, items...)
	v.Permissions = func(id flow.StepID) iter.Seq2[string, steps.Permission] { return maps.All(permissions[id]) }
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
