package flows

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
)

func sortedTasks[V any](m map[flow.TaskID]V) []flow.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTasks)
}

func compareTasks(a, b flow.TaskID) int {
	return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Turn, b.Turn), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// Record returns the whole state, sorted. It copies what later commands change.
func (l *Ledger) Record() *record.FlowsRecord {
	r := &record.FlowsRecord{Document: l.config.Document, Digest: l.digest}
	for _, id := range slices.Sorted(maps.Keys(l.flows)) {
		r.Flows = append(r.Flows, flowRecord(l.flows[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		r.Servers = append(r.Servers, serverRecord(l.servers[id]))
	}
	for _, w := range l.Waves() {
		r.Waves = append(r.Waves, waveRecord(w))
	}
	r.Zones = l.zoneRecords()
	return r
}

func flowRecord(f *Flow) *record.FlowRecord {
	r := &record.FlowRecord{
		Accept: &record.FlowAccept{Queue: f.QueueName, Customer: f.Customer, Spec: f.Spec},
		Id:     f.ID, Accepted: int64(f.AcceptedAt), State: f.State, Ended: int64(f.EndedAt), Next: f.NextTurn, Queue: f.QueueAtAcceptance,
	}
	for _, n := range slices.Sorted(maps.Keys(f.Turns)) {
		t := &record.TurnRecord{Number: n}
		for _, s := range f.Turns[n].Steps {
			t.Steps = append(t.Steps, stepRecord(s))
		}
		r.Turns = append(r.Turns, t)
	}
	return r
}

func stepRecord(s *Step) *record.StepRecord {
	r := &record.StepRecord{Fails: s.FailedRuns, Counted: s.LastFailedRun, Since: int64(s.ReadyAt)}
	for _, t := range s.Tasks {
		r.Tasks = append(r.Tasks, &record.TaskRecord{
			Phase: uint32(t.Phase), Number: t.LatestRun, Fails: t.FailedRuns, Checkpoint: t.Checkpoint, Server: t.Server, Born: t.ServerStartedAtMs,
			Crashes: t.ConsecutiveCrashes, Blamed: t.BlamedCrashes,
		})
	}
	return r
}

func serverRecord(b *Server) *record.ServerRecord {
	r := &record.ServerRecord{Server: &record.FlowServer{
		Id: b.ID, Born: b.StartedAtMs, Address: b.Address, Zone: b.Zone, Pool: b.Pool, Machine: b.Machine,
		Capacity: &v1.Size{Cpu: b.Capacity.CPU, Memory: b.Capacity.Memory, Accel: b.Capacity.Accel, Slots: b.Capacity.Slots},
		Labels:   b.Labels, Leaving: b.ShuttingDown, Cursor: b.EndCursor, Call: b.LastReport,
	}, Over: b.Ended, Warm: int64(b.WarmUpEndsAt)}
	for _, id := range sortedTasks(b.HeldRuns) {
		h := b.HeldRuns[id]
		r.Held = append(r.Held, &record.HeldRecord{
			Run: h.Message(), Customer: h.Customer, Since: int64(h.PlacedAt),
			Size: &v1.Size{Cpu: h.Size.CPU, Memory: h.Size.Memory, Accel: h.Size.Accel},
		})
	}
	return r
}

// Restore reads a state that Record wrote and builds what is derived from it.
func Restore(r *record.FlowsRecord) (*Ledger, *code.Error) {
	l := New()
	l.digest = r.GetDigest()
	l.config = flow.NewConfig(r.GetDocument())
	for _, m := range r.GetFlows() {
		f, err := restoreFlow(m)
		if err != nil {
			return nil, err
		}
		l.flows[f.ID] = f
	}
	for _, m := range r.GetServers() {
		l.restoreServer(m)
	}
	for _, m := range r.GetWaves() {
		w := restoreWave(m)
		l.waves[w.Number] = w
	}
	l.restoreZones(r.GetZones())
	for _, f := range l.flows {
		l.derive(f)
	}
	l.haunt()
	return l, nil
}

func restoreFlow(m *record.FlowRecord) (*Flow, *code.Error) {
	f := &Flow{
		ID: m.GetId(), Customer: m.GetAccept().GetCustomer(), QueueName: m.GetAccept().GetQueue(), Spec: m.GetAccept().GetSpec(),
		AcceptedAt: time.Duration(m.GetAccepted()), EndedAt: time.Duration(m.GetEnded()), State: m.GetState(), NextTurn: m.GetNext(), QueueAtAcceptance: m.GetQueue(),
	}
	if f.Final() {
		return f, nil
	}
	f.Turns = map[uint32]*Turn{}
	for _, tm := range m.GetTurns() {
		t := newTurn(f, tm.GetNumber())
		if len(tm.GetSteps()) != len(t.Steps) {
			return nil, code.New(code.Internal, "flow %s has %d steps, its record %d", f.ID, len(t.Steps), len(tm.GetSteps()))
		}
		for i, sm := range tm.GetSteps() {
			if err := restoreStep(t.Steps[i], sm); err != nil {
				return nil, err
			}
		}
		t.settle()
		f.Turns[t.Number] = t
	}
	return f, nil
}

func restoreStep(s *Step, m *record.StepRecord) *code.Error {
	if len(m.GetTasks()) != len(s.Tasks) {
		return code.New(code.Internal, "step %s has %d tasks, its record %d", s.StepID, len(s.Tasks), len(m.GetTasks()))
	}
	s.FailedRuns, s.LastFailedRun, s.ReadyAt = m.GetFails(), m.GetCounted(), time.Duration(m.GetSince())
	s.QueuedTasks = 0
	for i, tm := range m.GetTasks() {
		s.Tasks[i] = Task{
			Phase: Phase(tm.GetPhase()), LatestRun: tm.GetNumber(), FailedRuns: tm.GetFails(), Checkpoint: tm.GetCheckpoint(),
			Server: tm.GetServer(), ServerStartedAtMs: tm.GetBorn(), ConsecutiveCrashes: tm.GetCrashes(), BlamedCrashes: tm.GetBlamed(),
		}
		s.count(s.Tasks[i].Phase, 1)
	}
	return nil
}

// settle counts again which steps are done and which wait for others.
func (t *Turn) settle() {
	t.left = 0
	for _, s := range t.Steps {
		if s.DoneTasks < len(s.Tasks) {
			t.left++
		}
		s.UnfinishedDependencies = 0
		for _, before := range s.Spec.GetAfter() {
			if b := t.Steps[before]; b.DoneTasks < len(b.Tasks) {
				s.UnfinishedDependencies++
			}
		}
	}
}

func (l *Ledger) restoreServer(m *record.ServerRecord) {
	s := m.GetServer()
	b := &Server{
		ID: s.GetId(), StartedAtMs: s.GetBorn(), Address: s.GetAddress(), Zone: s.GetZone(), Pool: s.GetPool(), Machine: s.GetMachine(),
		Capacity: sizeOf(s.GetCapacity()), Labels: s.GetLabels(), ShuttingDown: s.GetLeaving(), EndCursor: s.GetCursor(),
		LastReport: s.GetCall(), Ended: m.GetOver(), WarmUpEndsAt: time.Duration(m.GetWarm()), HeldRuns: map[flow.TaskID]*HeldRun{},
	}
	l.servers[b.ID] = b
	for _, h := range m.GetHeld() {
		id := flow.RunOf(h.GetRun())
		l.hold(b, &HeldRun{RunID: id, Server: b.ID, Customer: h.GetCustomer(), Size: sizeOf(h.GetSize()), PlacedAt: time.Duration(h.GetSince())})
	}
}

// derive builds what follows from a flow's record.
func (l *Ledger) derive(f *Flow) {
	if !f.Final() {
		l.open++
	}
	if f.State == v1.FlowState_FLOW_STATE_QUEUED {
		l.pending[f.QueueName]++
	}
	for _, t := range f.Turns {
		for _, s := range t.Steps {
			l.index(s)
		}
	}
}

// haunt finds the runs that are to be stopped.
func (l *Ledger) haunt() {
	for _, b := range l.servers {
		for id, h := range b.HeldRuns {
			if f, ok := l.flows[id.Flow]; !ok || l.stray(f, h) {
				l.unwanted[id] = h
			}
		}
	}
}

// stray tells whether a run is not wanted any more: its flow has ended, its
// gang is being stopped, or another run of its task is the latest.
func (l *Ledger) stray(f *Flow, h *HeldRun) bool {
	if f.Final() {
		// The members of a gang end together: those of a flow that is done are
		// about to end by themselves.
		return f.State != v1.FlowState_FLOW_STATE_DONE
	}
	s, ok := l.Step(h.StepID)
	if !ok {
		return true
	}
	t := s.Tasks[h.Index]
	if t.LatestRun != h.Number {
		return true
	}
	if !s.Spec.GetGang() || t.Phase != Placed {
		return false
	}
	for _, other := range s.Tasks {
		if other.Phase == WaitingForGang {
			return true
		}
	}
	return false
}

// FreeCapacity returns the room that a server has left.
func (b *Server) FreeCapacity() capacity.Size { return b.Capacity.Sub(b.Used) }
