package flows

import (
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/flow"
)

func (l *Ledger) accept(at time.Duration, a *record.FlowAccept) *code.Error {
	id := a.GetSpec().GetId()
	if _, ok := l.flows[id]; ok {
		return nil // a resend: it remains one flow
	}
	if err := flow.Check(a.GetSpec()); err != nil {
		return err
	}
	f := &Flow{
		ID: id, Customer: a.GetCustomer(), QueueName: a.GetQueue(), Spec: a.GetSpec(), AcceptedAt: at,
		State: v1.FlowState_FLOW_STATE_QUEUED, Turns: map[uint32]*Turn{},
	}
	f.QueueAtAcceptance, _ = l.config.Queue(f.QueueName)
	l.flows[id] = f
	l.pending[f.QueueName]++
	l.open++
	l.mixText(id)
	if a.GetSpec().GetTimes() == 0 {
		l.turn(at, f)
	}
	return nil
}

// turn begins the next turn of a flow.
func (l *Ledger) turn(at time.Duration, f *Flow) {
	t := newTurn(f, f.NextTurn)
	f.Turns[f.NextTurn] = t
	f.NextTurn++
	for _, s := range t.Steps {
		s.ReadyAt = at
		l.index(s)
	}
}

func newTurn(f *Flow, number uint32) *Turn {
	t := &Turn{Number: number, left: len(f.Spec.GetSteps())}
	for i, spec := range f.Spec.GetSteps() {
		s := &Step{
			StepID: flow.StepID{Flow: f.ID, Turn: number, Step: uint32(i)}, Flow: f, Spec: spec,
			Tasks: make([]Task, spec.GetCount()), UnfinishedDependencies: len(spec.GetAfter()), QueuedTasks: int(spec.GetCount()),
		}
		for j := range s.Tasks {
			s.Tasks[j].Phase = Queued
		}
		t.Steps = append(t.Steps, s)
	}
	return t
}

// due begins a turn whose time has come.
func (l *Ledger) due(at time.Duration, d *record.FlowDue) *code.Error {
	f, ok := l.flows[d.GetId()]
	if !ok || f.Final() || f.NextTurn >= f.Spec.GetTimes() {
		return code.New(code.NotFound, "no turn of %s is due", d.GetId())
	}
	l.mixText(d.GetId())
	l.turn(at, f)
	return nil
}

func (l *Ledger) cancel(at time.Duration, c *record.FlowCancel) *code.Error {
	f, ok := l.flows[c.GetId()]
	if !ok {
		return code.New(code.NotFound, "%s", c.GetId())
	}
	if f.Final() {
		return nil
	}
	l.mixText(c.GetId())
	l.conclude(at, f, v1.FlowState_FLOW_STATE_CANCELLED)
	return nil
}

// conclude ends a flow: nothing of it is placed any more, and what its tasks
// still hold is to be stopped.
func (l *Ledger) conclude(at time.Duration, f *Flow, end v1.FlowState) {
	if f.State == v1.FlowState_FLOW_STATE_QUEUED {
		l.pending[f.QueueName]--
	}
	l.state(f, end)
	f.EndedAt = at
	l.open--
	for _, t := range f.Turns {
		for _, s := range t.Steps {
			delete(l.ready, s.StepID)
			l.stopStep(s)
		}
	}
	// The spec and the turns are not needed any more, and a flow is remembered
	// for minutes after its end.
	f.Turns, f.Spec, f.QueueAtAcceptance = nil, nil, nil
}

// stopStep marks everything that a step holds as unwanted.
func (l *Ledger) stopStep(s *Step) {
	for i, t := range s.Tasks {
		id := flow.TaskID{StepID: s.StepID, Index: uint32(i)}
		if b, ok := l.servers[t.Server]; ok && b.HeldRuns[id] != nil {
			l.unwanted[id] = b.HeldRuns[id]
		}
	}
}

// forget drops flows that ended long ago and servers that are over and empty.
func (l *Ledger) forget(c *record.FlowForget) *code.Error {
	for _, id := range c.GetFlows() {
		if f, ok := l.flows[id]; ok && f.Final() && f.HeldRuns == 0 {
			delete(l.flows, id)
			l.mixText(id)
		}
	}
	for _, id := range c.GetServers() {
		if b, ok := l.servers[id]; ok && b.Ended && len(b.HeldRuns) == 0 {
			delete(l.servers, id)
			l.mixText(id)
		}
	}
	return nil
}
