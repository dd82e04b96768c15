package flows

import (
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/flow"
)

func (l *Ledger) acceptFlow(now time.Duration, a *record.FlowAccept) *code.Error {
	id := a.GetSpec().GetId()
	if _, ok := l.flows[id]; ok {
		return nil // a resend of a flow that was already accepted
	}
	if err := flow.CheckSpec(a.GetSpec()); err != nil {
		return err
	}
	f := &Flow{
		ID: id, Customer: a.GetCustomer(), QueueName: a.GetQueue(), Spec: a.GetSpec(), AcceptedAt: now,
		State: v1.FlowState_FLOW_STATE_QUEUED, Turns: map[uint32]*Turn{},
	}
	f.QueueAtAcceptance, _ = l.config.Queue(f.QueueName)
	f.Address = AddressOf(f.QueueAtAcceptance)
	l.flows[id] = f
	l.pendingFlows[f.QueueName]++
	l.openFlows++
	l.addBytes(f, flow.SpecBytes(f.Spec))
	l.addTextToDigest(id)
	if a.GetSpec().GetTimes() == 0 {
		l.beginTurn(now, f)
	}
	return nil
}

// beginTurn starts the next turn of a flow.
func (l *Ledger) beginTurn(now time.Duration, f *Flow) {
	t := newTurn(f, f.NextTurn)
	f.Turns[f.NextTurn] = t
	f.NextTurn++
	l.addBytes(f, flow.TurnBytes(f.Spec))
	for _, s := range t.Steps {
		s.ReadyAt = now
		l.updateReadySteps(s)
	}
}

func newTurn(f *Flow, number uint32) *Turn {
	t := &Turn{Number: number, unfinishedSteps: len(f.Spec.GetSteps())}
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

// beginDueTurn starts the next turn of a flow whose scheduled time has come.
func (l *Ledger) beginDueTurn(now time.Duration, d *record.FlowDue) *code.Error {
	f, ok := l.flows[d.GetId()]
	if !ok || f.Final() || f.NextTurn >= f.Spec.GetTimes() {
		return code.New(code.NotFound, "flow %s has no turn left to start", d.GetId())
	}
	l.addTextToDigest(d.GetId())
	l.beginTurn(now, f)
	return nil
}

func (l *Ledger) cancelFlow(now time.Duration, c *record.FlowCancel) *code.Error {
	f, ok := l.flows[c.GetId()]
	if !ok {
		return code.New(code.NotFound, "%s", c.GetId())
	}
	if f.Final() {
		return nil
	}
	l.addTextToDigest(c.GetId())
	l.endFlow(now, f, v1.FlowState_FLOW_STATE_CANCELLED)
	return nil
}

// endFlow puts a flow into a final state. None of its tasks is placed any more, and the
// runs that servers still hold are marked to be stopped.
func (l *Ledger) endFlow(now time.Duration, f *Flow, finalState v1.FlowState) {
	if f.State == v1.FlowState_FLOW_STATE_QUEUED {
		l.pendingFlows[f.QueueName]--
	}
	l.setFlowState(f, finalState)
	f.EndedAt = now
	l.openFlows--
	l.addBytes(f, -f.bytes)
	stopped := 0
	for _, t := range f.Turns {
		for _, s := range t.Steps {
			delete(l.readySteps, s.StepID)
			stopped += l.stopStep(s)
		}
	}
	if finalState != v1.FlowState_FLOW_STATE_DONE && stopped < f.HeldRuns {
		l.stopFlow(f)
	}
	// The spec and the turns are not needed any more, and the ledger keeps an ended
	// flow for minutes.
	f.Turns, f.Spec, f.QueueAtAcceptance = nil, nil, nil
}

// stopStep marks all held runs of a step to be stopped and returns their number.
func (l *Ledger) stopStep(s *Step) int {
	stopped := 0
	for i, t := range s.Tasks {
		id := flow.TaskID{StepID: s.StepID, Index: uint32(i)}
		if b, ok := l.servers[t.Server]; ok && b.HeldRuns[id] != nil {
			l.runsToStop[id] = b.HeldRuns[id]
			stopped++
		}
	}
	return stopped
}

// stopFlow marks all held runs of a flow to be stopped. Runs of done turns are found only
// on their servers. They are rare, because the members of a gang end almost together.
func (l *Ledger) stopFlow(f *Flow) {
	for _, b := range l.servers {
		for id, h := range b.HeldRuns {
			if id.Flow == f.ID {
				l.runsToStop[id] = h
			}
		}
	}
}

// forgetRecords removes flows past their retention and ended servers without held runs.
func (l *Ledger) forgetRecords(c *record.FlowForget) *code.Error {
	for _, id := range c.GetFlows() {
		if f, ok := l.flows[id]; ok && f.Final() && f.HeldRuns == 0 {
			delete(l.flows, id)
			l.addTextToDigest(id)
		}
	}
	for _, id := range c.GetServers() {
		if b, ok := l.servers[id]; ok && b.Ended && len(b.HeldRuns) == 0 {
			delete(l.servers, id)
			l.addTextToDigest(id)
		}
	}
	if len(c.GetServers()) > 0 {
		l.forgetSpeeds()
	}
	return nil
}
