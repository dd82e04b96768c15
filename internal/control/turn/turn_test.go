package turn_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/domain/flow"
)

// watched runs a Watch over a meter for a while and returns the log lines.
func watched(t *testing.T, thread string, record func(m *turn.Meter, now func() time.Duration)) []map[string]any {
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		now := func() time.Duration { return time.Since(begin) + time.Minute }
		m := &turn.Meter{}
		ctx, cancel := context.WithCancel(t.Context())
		w := &turn.Watch{Meter: m, Thread: thread, Now: now, Log: event.New(&out, "info")}
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		record(m, now)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	var lines []map[string]any
	for line := range strings.Lines(out.String()) {
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fields)
	}
	return lines
}

// standingThread stands for the control thread in a turn that does not end.
func standingThread(end <-chan struct{}) { <-end }

// Guards against a control thread of which the log does not tell where it stands.
func TestTurnThatDoesNotEndIsLoggedOnceWithItsStack(t *testing.T) {
	lines := watched(t, "turn_test.standingThread", func(m *turn.Meter, now func() time.Duration) {
		end := make(chan struct{})
		go standingThread(end)
		m.Begin(turn.Function, now())
		m.Enter(turn.Plan)
		m.SetSubject(flow.StepID{Flow: "f", Step: 3})
		time.Sleep(10 * time.Second)
		close(end)
	})
	if len(lines) != 1 {
		t.Fatalf("%d lines were logged, want 1: %v", len(lines), lines)
	}
	if got := lines[0]; got["name"] != "turn-late" || got["step"] != "plan" || got["subject"] != "f.0.3" || !strings.Contains(got["stack"].(string), "turn_test.standingThread control/turn/turn_test.go:") {
		t.Errorf("the line is %v", got)
	}
}

// Guards against a leader whose decisions are never committed and of which the log shows a control
// thread that does nothing.
func TestProposalWithoutCommitIsLoggedOnce(t *testing.T) {
	lines := watched(t, "none", func(m *turn.Meter, now func() time.Duration) {
		m.SetOldestProposal(now())
		time.Sleep(3 * time.Second)
		m.SetOldestProposal(0)
		time.Sleep(time.Second)
		m.SetOldestProposal(now())
		time.Sleep(3 * time.Second)
	})
	if len(lines) != 2 || lines[0]["name"] != "commit-late" || lines[0]["step"] != "idle" || lines[1]["name"] != "commit-late" {
		t.Errorf("the lines are %v, want two of commit-late", lines)
	}
}

// A control thread with many turns, each of which ends, is not reported.
func TestTurnsThatEndAreNotLogged(t *testing.T) {
	lines := watched(t, "none", func(m *turn.Meter, now func() time.Duration) {
		for range 100 {
			m.Begin(turn.Timers, now())
			time.Sleep(90 * time.Millisecond)
			if took := m.End(now()); took != 90*time.Millisecond {
				t.Fatalf("a turn of 90 ms took %v", took)
			}
		}
	})
	if len(lines) > 0 {
		t.Errorf("the lines are %v, want none", lines)
	}
}
