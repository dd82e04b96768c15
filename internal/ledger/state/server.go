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

// announce opens a session. The same nonce again is a resend and gets the same
// incarnation. A new nonce opens a new one only when nothing is held on the
// older one: the old process may still run its tasks, so they count until its
// lease is over and Fence says so.
func (s *State) announce(a *record.Announce) Result {
	b, ok := s.servers[a.GetServer()]
	if ok && b.Nonce == a.GetNonce() && b.Server.State != gone {
		return Result{Incarnation: b.Incarnation}
	}
	if ok && b.Server.State != gone && len(s.placed[b.ID]) > 0 {
		return refused(code.MembershipChangePending, "the older session's lease is not over")
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
		Since:       s.at,
	}
	// A drain by an operator outlives the server's restart; one that the
	// server asked for when leaving ends with its return.
	s.putServer(b)
	s.watch().ServerChanged(s.zoned(s.servers[b.ID]))
	return Result{Incarnation: b.Incarnation}
}

// mark changes what a server may be given.
func (s *State) mark(m *record.Mark) Result {
	b, ok := s.servers[m.GetServer()]
	if !ok || b.Incarnation != m.GetIncarnation() || b.Server.State == gone {
		return refused(code.SessionReplaced, m.GetServer())
	}
	on, ok := markEvents[backend.State(m.GetState())]
	if !ok {
		return refused(code.Malformed, "no such mark")
	}
	if b.Server.State == backend.Suspect && on == chart.EndQuarantine {
		on = chart.ResumeHeartbeat
	}
	next, err := sessions.Next(chart.State(b.Server.State.String()), on)
	if err != nil {
		return refused(code.SessionReplaced, err.Error())
	}
	b.Server = b.WithState(stateNamed(next), s.at)
	s.putServer(b)
	s.watch().ServerChanged(s.zoned(b))
	return Result{}
}

// sessions is the chart of a backend server's session.
var sessions = chart.MustLoad(chart.Backend)

// markEvents are the events that lead to what a Mark asks for.
var markEvents = map[backend.State]chart.Event{
	backend.Ready:       chart.EndQuarantine,
	backend.Draining:    chart.Drain,
	backend.Suspect:     chart.MissHeartbeat,
	backend.Quarantined: chart.Quarantine,
}

func stateNamed(name chart.State) backend.State {
	for s := backend.Ready; s <= backend.Gone; s++ {
		if s.String() == string(name) {
			return s
		}
	}
	return 0
}

// fence ends a session whose lease is over: what it held runs no more.
func (s *State) fence(f *record.Fence) Result {
	b, ok := s.servers[f.GetServer()]
	if !ok || b.Incarnation != f.GetIncarnation() || b.Server.State == gone {
		return refused(code.SessionReplaced, f.GetServer())
	}
	b.Server = b.WithState(gone, s.at)
	s.putServer(b)
	s.watch().ServerChanged(s.zoned(b))
	for _, id := range s.placedOn(b.ID) {
		t := s.tasks[id]
		if !t.Phase.HoldsCapacity() || t.Server != b.ID {
			continue // a gang's release may have moved it on already
		}
		next := *t
		s.release(s.jobs[id.Job], &next, AttemptEnd{Started: true, Lost: true}, false)
	}
	return Result{}
}

// placedOn returns the tasks held on a server in a fixed order: replicas must
// release them alike, and maps have no order.
func (s *State) placedOn(server string) []task.ID {
	ids := make([]task.ID, 0, len(s.placed[server]))
	for id := range s.placed[server] {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, task.ID.Compare)
	return ids
}
