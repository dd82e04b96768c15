package state

import (
	"slices"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/ledger/chart"
	"gypsumreel/internal/ledger/command"
)

const gone = backend.Gone

// announceServer opens a session for a server process. A request with the nonce of the
// open session is a resend and gets the same incarnation. A new nonce opens a new
// session only if the older session holds no task. The older process may still run its
// tasks, so they hold capacity until the lease expires and a Fence command ends the
// session.
func (s *State) announceServer(a *record.Announce) Result {
	b, ok := s.servers[a.GetServer()]
	if ok && b.Nonce == a.GetNonce() && b.Server.State != gone {
		return Result{Incarnation: b.Incarnation}
	}
	if ok && b.Server.State != gone && len(s.placedTasks[b.ID]) > 0 {
		return refused(code.MembershipChangePending, "the lease of the older session has not expired")
	}
	b.Server = backend.Server{
		ID:          a.GetServer(),
		Incarnation: b.Incarnation + 1,
		Nonce:       a.GetNonce(),
		Capacity:    command.SizeFromMessage(a.GetCapacity()),
		Rack:        a.GetRack(),
		Zone:        a.GetZone(),
		Labels:      a.GetLabels(),
		State:       backend.Ready,
		StateSince:  s.now,
	}
	// A drain requested by an operator survives a restart of the server. A drain that
	// the server requested for its own shutdown ends when the server announces itself
	// again.
	s.putServer(b)
	s.observer().ServerChanged(s.withZoneDrain(s.servers[b.ID]))
	return Result{Incarnation: b.Incarnation}
}

// markServer changes the state of a server, which decides what work it may be given.
func (s *State) markServer(m *record.Mark) Result {
	b, ok := s.servers[m.GetServer()]
	if !ok || b.Incarnation != m.GetIncarnation() || b.Server.State == gone {
		return refused(code.SessionReplaced, m.GetServer())
	}
	event, ok := markEvents[backend.State(m.GetState())]
	if !ok {
		return refused(code.Malformed, "a Mark command cannot ask for this state")
	}
	if b.Server.State == backend.Suspect && event == chart.EndQuarantine {
		event = chart.ResumeHeartbeat
	}
	next, err := sessionChart.Next(chart.State(b.Server.State.String()), event)
	if err != nil {
		return refused(code.SessionReplaced, err.Error())
	}
	b.Server = b.WithState(stateByName(next), s.now)
	s.putServer(b)
	s.observer().ServerChanged(s.withZoneDrain(b))
	return Result{}
}

// sessionChart is the state chart of a backend server's session.
var sessionChart = chart.MustLoad(chart.Backend)

// markEvents maps the state that a Mark command asks for to the chart event that leads
// to it.
var markEvents = map[backend.State]chart.Event{
	backend.Ready:       chart.EndQuarantine,
	backend.Draining:    chart.Drain,
	backend.Suspect:     chart.MissHeartbeat,
	backend.Quarantined: chart.Quarantine,
}

func stateByName(name chart.State) backend.State {
	for s := backend.Ready; s <= backend.Gone; s++ {
		if s.String() == string(name) {
			return s
		}
	}
	return 0
}

// fenceServer ends a session whose lease has expired. All attempts on the server are
// released as lost.
func (s *State) fenceServer(f *record.Fence) Result {
	b, ok := s.servers[f.GetServer()]
	if !ok || b.Incarnation != f.GetIncarnation() || b.Server.State == gone {
		return refused(code.SessionReplaced, f.GetServer())
	}
	b.Server = b.WithState(gone, s.now)
	s.putServer(b)
	s.observer().ServerChanged(s.withZoneDrain(b))
	for _, id := range s.sortedTasksOn(b.ID) {
		t := s.tasks[id]
		if !t.Phase.HoldsCapacity() || t.Server != b.ID {
			continue // the release of another gang member may have released this task too
		}
		next := *t
		s.releaseTask(s.jobs[id.Job], &next, AttemptEnd{Started: true, Lost: true}, false)
	}
	return Result{}
}

// sortedTasksOn returns the tasks held on a server in a fixed order. Replicas must
// release them in the same order, and map iteration has none.
func (s *State) sortedTasksOn(server string) []task.ID {
	ids := make([]task.ID, 0, len(s.placedTasks[server]))
	for id := range s.placedTasks[server] {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, task.ID.Compare)
	return ids
}
