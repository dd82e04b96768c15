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

func sortedTaskIDs[V any](m map[flow.TaskID]V) []flow.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTaskIDs)
}

func compareTaskIDs(a, b flow.TaskID) int {
	return cmp.Or(cmp.Compare(a.Flow, b.Flow), cmp.Compare(a.Turn, b.Turn), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// recordsPerYield is the number of records after which a snapshot lets other work run. They take
// far less time than callers wait for an answer.
const recordsPerYield = 256

// Record returns the whole state as a sorted snapshot record. Data that later commands
// change is copied.
func (l *Ledger) Record() *record.FlowsRecord { return l.RecordYielding(func() {}) }

// RecordYielding is Record for a caller that must not compute for long: it calls yield after each
// few records. The ledger must not change meanwhile.
func (l *Ledger) RecordYielding(yield func()) *record.FlowsRecord {
	r := &record.FlowsRecord{Document: l.config.Document, Digest: l.digest}
	for i, id := range slices.Sorted(maps.Keys(l.flows)) {
		if i%recordsPerYield == 0 {
			yield()
		}
		r.Flows = append(r.Flows, flowRecord(l.flows[id]))
	}
	for i, id := range slices.Sorted(maps.Keys(l.servers)) {
		if i%recordsPerYield == 0 {
			yield()
		}
		r.Servers = append(r.Servers, serverRecord(l.servers[id]))
	}
	for _, w := range l.Waves() {
		r.Waves = append(r.Waves, waveRecord(w))
	}
	r.Zones = l.zoneRecords()
	r.Speeds = l.speedRecords()
	return r
}

func flowRecord(f *Flow) *record.FlowRecord {
	r := &record.FlowRecord{
		Accept: &record.FlowAccept{Queue: f.QueueName, Customer: f.Customer, Spec: f.Spec},
		Id:     f.ID, Accepted: int64(f.AcceptedAt), State: f.State, Ended: int64(f.EndedAt), Next: f.NextTurn, Queue: f.QueueAtAcceptance,
	}
	if f.Final() {
		r.Queue = &v1.Queue{Host: f.Address.Host, Path: f.Address.Path}
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
			Crashes: t.ConsecutiveCrashes, Blamed: t.BlamedCrashes, Failed: t.FailedServers, Tried: int64(t.FailedAt), Took: int64(t.FailedAfter),
		})
	}
	return r
}

func serverRecord(b *Server) *record.ServerRecord {
	r := &record.ServerRecord{Server: &record.FlowServer{
		Id: b.ID, Born: b.StartedAtMs, Address: b.Address, Zone: b.Zone, Pool: b.Pool, Machine: b.Machine,
		Capacity: &v1.Size{Cpu: b.Capacity.CPU, Memory: b.Capacity.Memory, Accel: b.Capacity.Accel, Slots: b.Capacity.Slots},
		Labels:   b.Labels, Leaving: b.ShuttingDown, Cursor: b.EndCursor, Call: b.LastReport,
	}, Over: b.Ended, Warm: int64(b.SlowStartEndsAt), Fails: b.ConsecutiveFailures, Culprit: b.LastFailedFlow, Proven: int64(b.ProvenAt)}
	for _, id := range sortedTaskIDs(b.HeldRuns) {
		h := b.HeldRuns[id]
		r.Held = append(r.Held, &record.HeldRecord{
			Run: h.Message(), Customer: h.Customer, Since: int64(h.PlacedAt),
			Size: &v1.Size{Cpu: h.Size.CPU, Memory: h.Size.Memory, Accel: h.Size.Accel},
		})
	}
	return r
}

// Restore builds a ledger from a record written by Record, including all derived
// fields.
func Restore(r *record.FlowsRecord) (*Ledger, *code.Error) {
	return RestoreYielding(r, func() {})
}

// RestoreYielding is Restore for a caller that must not compute for long: it calls yield after each
// few records.
func RestoreYielding(r *record.FlowsRecord, yield func()) (*Ledger, *code.Error) {
	l := New()
	l.digest = r.GetDigest()
	l.config = flow.NewConfig(r.GetDocument())
	for i, m := range r.GetFlows() {
		if i%recordsPerYield == 0 {
			yield()
		}
		f, err := restoreFlow(m)
		if err != nil {
			return nil, err
		}
		l.flows[f.ID] = f
	}
	for i, m := range r.GetServers() {
		if i%recordsPerYield == 0 {
			yield()
		}
		l.restoreServer(m)
	}
	for _, m := range r.GetWaves() {
		w := restoreWave(m)
		l.waves[w.Number] = w
	}
	l.restoreZones(r.GetZones())
	l.restoreSpeeds(r.GetSpeeds())
	yield()
	for _, f := range l.flows {
		l.restoreDerived(f)
	}
	yield()
	l.restoreRunsToStop()
	return l, nil
}

func restoreFlow(m *record.FlowRecord) (*Flow, *code.Error) {
	f := &Flow{
		ID: m.GetId(), Customer: m.GetAccept().GetCustomer(), QueueName: m.GetAccept().GetQueue(), Spec: m.GetAccept().GetSpec(),
		AcceptedAt: time.Duration(m.GetAccepted()), EndedAt: time.Duration(m.GetEnded()), State: m.GetState(), NextTurn: m.GetNext(), Address: AddressOf(m.GetQueue()),
	}
	if f.Final() {
		return f, nil
	}
	f.QueueAtAcceptance = m.GetQueue()
	f.Turns = map[uint32]*Turn{}
	for _, turn := range m.GetTurns() {
		t := newTurn(f, turn.GetNumber())
		if len(turn.GetSteps()) != len(t.Steps) {
			return nil, code.New(code.Internal, "snapshot: flow %s has %d steps, its record has %d", f.ID, len(t.Steps), len(turn.GetSteps()))
		}
		for i, step := range turn.GetSteps() {
			if err := restoreStep(t.Steps[i], step); err != nil {
				return nil, err
			}
		}
		t.countUnfinished()
		f.Turns[t.Number] = t
	}
	return f, nil
}

func restoreStep(s *Step, m *record.StepRecord) *code.Error {
	if len(m.GetTasks()) != len(s.Tasks) {
		return code.New(code.Internal, "snapshot: step %s has %d tasks, its record has %d", s.StepID, len(s.Tasks), len(m.GetTasks()))
	}
	s.FailedRuns, s.LastFailedRun, s.ReadyAt = m.GetFails(), m.GetCounted(), time.Duration(m.GetSince())
	s.QueuedTasks = 0
	for i, taskRecord := range m.GetTasks() {
		s.Tasks[i] = Task{
			Phase: Phase(taskRecord.GetPhase()), LatestRun: taskRecord.GetNumber(), FailedRuns: taskRecord.GetFails(), Checkpoint: taskRecord.GetCheckpoint(),
			Server: taskRecord.GetServer(), ServerStartedAtMs: taskRecord.GetBorn(), ConsecutiveCrashes: taskRecord.GetCrashes(), BlamedCrashes: taskRecord.GetBlamed(),
			FailedServers: taskRecord.GetFailed(), FailedAt: time.Duration(taskRecord.GetTried()), FailedAfter: time.Duration(taskRecord.GetTook()),
		}
		s.FailedServers += len(s.Tasks[i].FailedServers)
		if len(s.Tasks[i].FailedServers) > 0 {
			s.FailedTasks++
		}
		s.adjustPhaseCount(s.Tasks[i].Phase, 1)
	}
	return nil
}

// countUnfinished recomputes the number of unfinished steps and the unfinished
// dependencies of each step.
func (t *Turn) countUnfinished() {
	t.unfinishedSteps = 0
	for _, s := range t.Steps {
		if s.DoneTasks < len(s.Tasks) {
			t.unfinishedSteps++
		}
		s.UnfinishedDependencies = 0
		for _, dependency := range s.Spec.GetAfter() {
			if b := t.Steps[dependency]; b.DoneTasks < len(b.Tasks) {
				s.UnfinishedDependencies++
			}
		}
	}
}

func (l *Ledger) restoreServer(m *record.ServerRecord) {
	s := m.GetServer()
	b := &Server{
		ID: s.GetId(), StartedAtMs: s.GetBorn(), Address: s.GetAddress(), Zone: s.GetZone(), Pool: s.GetPool(), Machine: s.GetMachine(),
		Capacity: sizeFromMessage(s.GetCapacity()), Labels: s.GetLabels(), ShuttingDown: s.GetLeaving(), EndCursor: s.GetCursor(),
		LastReport: s.GetCall(), Ended: m.GetOver(), SlowStartEndsAt: time.Duration(m.GetWarm()),
		ConsecutiveFailures: m.GetFails(), LastFailedFlow: m.GetCulprit(), ProvenAt: time.Duration(m.GetProven()), HeldRuns: map[flow.TaskID]*HeldRun{},
	}
	l.servers[b.ID] = b
	for _, h := range m.GetHeld() {
		id := flow.RunIDFromMessage(h.GetRun())
		l.addHeldRun(b, &HeldRun{RunID: id, Server: b.ID, Customer: h.GetCustomer(), Size: sizeFromMessage(h.GetSize()), PlacedAt: time.Duration(h.GetSince())})
	}
}

// restoreDerived adds a restored flow to the derived fields.
func (l *Ledger) restoreDerived(f *Flow) {
	if !f.Final() {
		l.openFlows++
		l.addBytes(f, flow.SpecBytes(f.Spec)+int64(len(f.Turns))*flow.TurnBytes(f.Spec))
	}
	if f.State == v1.FlowState_FLOW_STATE_QUEUED {
		l.pendingFlows[f.QueueName]++
	}
	for _, t := range f.Turns {
		for _, s := range t.Steps {
			l.updateReadySteps(s)
		}
	}
}

// restoreRunsToStop recomputes which held runs have to be stopped.
func (l *Ledger) restoreRunsToStop() {
	for _, b := range l.servers {
		for id, h := range b.HeldRuns {
			if f, ok := l.flows[id.Flow]; !ok || l.shouldStop(f, h) {
				l.runsToStop[id] = h
			}
		}
	}
}

// shouldStop reports whether a held run has to be stopped: its flow was cancelled or has
// failed, its gang is being stopped, or its task has a later run.
func (l *Ledger) shouldStop(f *Flow, h *HeldRun) bool {
	if f.Final() {
		// The members of a gang end together, so the remaining runs of a done flow end
		// without a stop order.
		return f.State != v1.FlowState_FLOW_STATE_DONE
	}
	s, ok := l.Step(h.StepID)
	if !ok {
		return false // a member of a gang whose turn is done
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

// FreeCapacity returns the capacity of the server that is not used.
func (b *Server) FreeCapacity() capacity.Size { return b.Capacity.Sub(b.Used) }
