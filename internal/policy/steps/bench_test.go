package steps_test

import (
	"fmt"
	"testing"

	"gypsumreel/internal/domain/capacity"
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
		it.Permits = true
		items = append(items, it)
	}
	v := view(servers, items...)
	b.ReportAllocs()
	for b.Loop() {
		steps.Make(v)
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
		it.Permits = true
		items = append(items, it)
	}
	v := view(servers, items...)
	b.ReportAllocs()
	for b.Loop() {
		steps.Make(v)
	}
}
