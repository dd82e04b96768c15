package flows

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/chart"
)

// applyServerReport takes what a backend server reported of itself. A report never makes
// a leaving server take work again within one life: a delayed report may say so.
func (l *Ledger) applyServerReport(at time.Duration, m *record.FlowServer) *code.Error {
	old, known := l.servers[m.GetId()]
	if known && m.GetBorn() < old.StartedAtMs {
		return code.New(code.Stale, "%s has begun another life", m.GetId())
	}
	b := &Server{
		ID: m.GetId(), StartedAtMs: m.GetBorn(), Address: m.GetAddress(), Zone: m.GetZone(), Pool: m.GetPool(), Machine: m.GetMachine(),
		Capacity: sizeFromMessage(m.GetCapacity()), Labels: m.GetLabels(), ShuttingDown: m.GetLeaving(), LastReport: m.GetCall(), WarmUpEndsAt: at + time.Duration(m.GetCold())*time.Millisecond, HeldRuns: map[flow.TaskID]*HeldRun{},
	}
	if known && m.GetBorn() == old.StartedAtMs {
		if old.Ended {
			return code.New(code.Stale, "that life of %s is over", m.GetId())
		}
		if m.GetCall() < old.LastReport {
			return code.New(code.Stale, "%s has reported since", m.GetId())
		}
		b.ShuttingDown = b.ShuttingDown || old.ShuttingDown
		b.EndCursor, b.Used, b.HeldRuns = old.EndCursor, old.Used, old.HeldRuns
	} else if known {
		// The life before this one is over, and with it all that it held.
		l.endIncarnation(at, old, nil, nil)
	}
	l.servers[b.ID] = b
	l.addTextToDigest(b.ID)
	l.addToDigest(uint64(b.StartedAtMs))
	return nil
}

func sizeFromMessage(m *v1.Size) capacity.Size {
	return capacity.Size{CPU: m.GetCpu(), Memory: m.GetMemory(), Accel: m.GetAccel(), Slots: m.GetSlots()}
}

// clearServer records that nothing runs any more of what one life held.
func (l *Ledger) clearServer(at time.Duration, c *record.FlowClear) *code.Error {
	b, ok := l.servers[c.GetId()]
	if !ok || b.StartedAtMs != c.GetBorn() {
		return code.New(code.Stale, "%s has begun another life", c.GetId())
	}
	b.Ended = b.Ended || c.GetOver()
	l.addTextToDigest(b.ID)
	if c.GetOver() {
		l.endIncarnation(at, b, c.GetSaved(), c.GetBlamed())
		return nil
	}
	l.endAllRuns(at, b, inner.RunEnd_RUN_END_LOST, c.GetSaved())
	return nil
}

// endIncarnation ends a life of a server and everything that it held.
func (l *Ledger) endIncarnation(at time.Duration, b *Server, saved []*record.FlowSaved, blamed []*inner.Run) {
	if l.ShutdownPlanned(b) {
		l.endAllRuns(at, b, inner.RunEnd_RUN_END_LOST, saved)
		return
	}
	l.countCrash(at, b, blamed)
	l.endAllRuns(at, b, inner.RunEnd_RUN_END_CRASHED, saved)
}

// endAllRuns ends everything that a server held, in the order of the runs' names, so
// that every replica takes the same path.
func (l *Ledger) endAllRuns(at time.Duration, b *Server, runEnd inner.RunEnd, saved []*record.FlowSaved) {
	checkpoints := map[flow.RunID]string{}
	for _, s := range saved {
		checkpoints[flow.RunOf(s.GetRun())] = s.GetCheckpoint()
	}
	for _, id := range sortedTaskIDs(b.HeldRuns) {
		h := b.HeldRuns[id]
		l.recordEnd(at, b, h.RunID, runEnd, checkpoints[h.RunID])
	}
}

// startRuns places runs, all or none. It checks again what the planner checked, in
// the one place where every placement passes: that the step's turn has come,
// the server's life and room, the customer's limit, and that gangs are whole.
func (l *Ledger) startRuns(at time.Duration, c *record.FlowStart) *code.Error {
	if err := l.checkPlacements(c.GetPlaces()); err != nil {
		return err
	}
	for _, p := range c.GetPlaces() {
		id := flow.RunOf(p.GetRun())
		s, _ := l.Step(id.StepID)
		b := l.servers[p.GetServer()]
		t := &s.Tasks[id.Index]
		t.LatestRun, t.Server, t.ServerStartedAtMs = id.Number, b.ID, b.StartedAtMs
		l.addHeldRun(b, &HeldRun{RunID: id, Server: b.ID, Customer: s.Flow.Customer, Size: flow.SizeOf(s.Spec), PlacedAt: at})
		l.moveTask(s, id.Index, chart.Place)
		if s.Flow.State == v1.FlowState_FLOW_STATE_QUEUED {
			l.pendingFlows[s.Flow.QueueName]--
			l.setFlowState(s.Flow, v1.FlowState_FLOW_STATE_RUNNING)
		}
		l.updateReadySteps(s)
		l.addToDigest(uint64(id.Index), uint64(id.Number))
	}
	return nil
}

// checkPlacements tells whether all places can be taken at once.
func (l *Ledger) checkPlacements(places []*record.FlowPlace) *code.Error {
	addedByServer, addedByCustomer := map[string]capacity.Size{}, map[string]capacity.Size{}
	placedByGang, seen := map[flow.StepID]int{}, map[flow.TaskID]bool{}
	for _, p := range places {
		id := flow.RunOf(p.GetRun())
		s, ok := l.Step(id.StepID)
		switch {
		case !ok || s.UnfinishedDependencies > 0 || int(id.Index) >= len(s.Tasks) || s.Flow.Final():
			return code.New(code.Unknown, "%s", id)
		case s.Tasks[id.Index].Phase != Queued || seen[id.TaskID] || id.Number <= s.Tasks[id.Index].LatestRun:
			return code.New(code.Internal, "%s does not wait", id)
		}
		seen[id.TaskID] = true
		b, ok := l.servers[p.GetServer()]
		if !ok || !l.AcceptsWork(b) {
			return code.New(code.Stale, "%s takes no work", p.GetServer())
		}
		size := flow.SizeOf(s.Spec)
		addedByServer[b.ID] = addedByServer[b.ID].Add(size)
		if !b.Used.Add(addedByServer[b.ID]).Fits(b.Capacity) {
			return code.New(code.NeverFits, "%s is full", b.ID)
		}
		customer := s.Flow.Customer
		addedByCustomer[customer] = addedByCustomer[customer].Add(size)
		if !l.customerUsage[customer].Add(addedByCustomer[customer]).Within(l.CustomerLimit(customer)) {
			return code.New(code.NeverFits, "limit of %s", customer)
		}
		if s.Spec.GetGang() {
			placedByGang[s.StepID]++
		}
	}
	for id, n := range placedByGang {
		if s, _ := l.Step(id); n != len(s.Tasks) {
			return code.New(code.Internal, "part of gang %s", id)
		}
	}
	return nil
}

// addHeldRun and release are the only ones that change what is held.
func (l *Ledger) addHeldRun(b *Server, h *HeldRun) {
	b.HeldRuns[h.TaskID] = h
	b.Used = b.Used.Add(h.Size)
	l.customerUsage[h.Customer] = l.customerUsage[h.Customer].Add(h.Size)
	if f, ok := l.flows[h.Flow]; ok {
		f.HeldRuns++
	}
}

func (l *Ledger) removeHeldRun(b *Server, h *HeldRun) {
	delete(b.HeldRuns, h.TaskID)
	if l.runsToStop[h.TaskID] == h {
		delete(l.runsToStop, h.TaskID)
	}
	b.Used = b.Used.Sub(h.Size)
	l.customerUsage[h.Customer] = l.customerUsage[h.Customer].Sub(h.Size)
	if f, ok := l.flows[h.Flow]; ok {
		f.HeldRuns--
	}
}

// recordEnds records ends that a server listed or that are proved otherwise.
func (l *Ledger) recordEnds(at time.Duration, c *record.FlowEnds) *code.Error {
	b, ok := l.servers[c.GetServer()]
	if !ok || b.StartedAtMs != c.GetBorn() {
		return code.New(code.Stale, "%s has begun another life", c.GetServer())
	}
	for _, e := range c.GetEnds() {
		l.recordEnd(at, b, flow.RunOf(e.GetRun()), e.GetHow(), e.GetCheckpoint())
	}
	b.EndCursor = max(b.EndCursor, c.GetCursor())
	l.addTextToDigest(b.ID)
	l.addToDigest(b.EndCursor)
	return nil
}

// recordEnd records one end: what the run held is free, and its task goes on by how
// it ended. An end of a run that is not the task's latest only frees room.
func (l *Ledger) recordEnd(at time.Duration, b *Server, id flow.RunID, runEnd inner.RunEnd, checkpoint string) {
	held := false
	if h := b.HeldRuns[id.TaskID]; h != nil && h.Number == id.Number {
		held = true
		l.removeHeldRun(b, h)
	}
	l.addToDigest(uint64(id.Index), uint64(id.Number), uint64(runEnd))
	s, ok := l.Step(id.StepID)
	if !ok || int(id.Index) >= len(s.Tasks) || s.Flow.Final() {
		return
	}
	t := &s.Tasks[id.Index]
	if t.LatestRun != id.Number || t.Phase == Done || t.Server != b.ID || t.ServerStartedAtMs != b.StartedAtMs {
		return
	}
	if checkpoint != "" {
		l.saveCheckpoint(s, id.Index, checkpoint)
	}
	switch {
	case runEnd == inner.RunEnd_RUN_END_DONE && !s.runsUntilCancelled():
		l.finishTask(at, s, id)
	case t.Phase == Placed && held:
		l.requeueOrFail(at, s, id, runEnd)
	}
	l.updateReadySteps(s)
}

// saveCheckpoint keeps a checkpoint; that of any member is good for its whole gang.
func (l *Ledger) saveCheckpoint(s *Step, index uint32, checkpoint string) {
	if !s.Spec.GetGang() {
		s.Tasks[index].Checkpoint = checkpoint
		return
	}
	for i := range s.Tasks {
		s.Tasks[i].Checkpoint = checkpoint
	}
}

// finishTask records a good end. The members of a gang end together: the end of
// one is that of all, and what the others still hold is freed by their own ends.
func (l *Ledger) finishTask(at time.Duration, s *Step, id flow.RunID) {
	if s.Spec.GetGang() {
		for i := range s.Tasks {
			if s.Tasks[i].Phase != Done {
				l.moveTask(s, uint32(i), chart.Finish)
			}
		}
	} else {
		l.moveTask(s, id.Index, chart.Finish)
	}
	if s.DoneTasks < len(s.Tasks) {
		return
	}
	turn := s.Flow.Turns[s.Turn]
	turn.unfinishedSteps--
	for _, next := range turn.Steps {
		for _, before := range next.Spec.GetAfter() {
			if before == s.Step {
				next.UnfinishedDependencies--
			}
		}
		if next.UnfinishedDependencies == 0 && next != s {
			if next.ReadyAt < at && next.QueuedTasks == len(next.Tasks) {
				next.ReadyAt = at
			}
			l.updateReadySteps(next)
		}
	}
	if turn.unfinishedSteps > 0 {
		return
	}
	delete(s.Flow.Turns, s.Turn)
	if len(s.Flow.Turns) == 0 && s.Flow.NextTurn >= max(s.Flow.Spec.GetTimes(), 1) {
		l.endFlow(at, s.Flow, v1.FlowState_FLOW_STATE_DONE)
	}
}

// requeueOrFail records an end that is not a good one: the task waits again, or its flow
// has failed. The other members of a gang are stopped first.
func (l *Ledger) requeueOrFail(at time.Duration, s *Step, id flow.RunID, runEnd inner.RunEnd) {
	if l.countFailure(s, id, runEnd) {
		l.endFlow(at, s.Flow, v1.FlowState_FLOW_STATE_FAILED)
		return
	}
	if !s.Spec.GetGang() {
		l.moveTask(s, id.Index, chart.Requeue)
		return
	}
	l.moveTask(s, id.Index, chart.WaitForGang)
	l.stopStep(s)
	if s.PlacedTasks > 0 {
		return
	}
	for i := range s.Tasks {
		if s.Tasks[i].Phase == WaitingForGang {
			l.moveTask(s, uint32(i), chart.Retry)
		}
	}
}

// countFailure counts a run that its task may be at fault for, and tells whether it was
// one too many. Lasting tasks may fail without end.
func (l *Ledger) countFailure(s *Step, id flow.RunID, runEnd inner.RunEnd) bool {
	switch {
	case runEnd == inner.RunEnd_RUN_END_CRASHED:
		return s.Tasks[id.Index].exceedsCrashLimit()
	case runEnd != inner.RunEnd_RUN_END_FAILED || s.runsUntilCancelled():
		return false
	}
	q, ok := l.QueueOf(s.Flow)
	maxAttempts := q.GetAttempts()
	if !ok || maxAttempts == 0 {
		maxAttempts = DefaultAttempts
	}
	if s.Spec.GetGang() {
		if s.LastFailedRun == id.Number {
			return false // once for a whole gang
		}
		s.LastFailedRun = id.Number
		s.FailedRuns++
		return s.FailedRuns >= maxAttempts
	}
	t := &s.Tasks[id.Index]
	t.FailedRuns++
	return t.FailedRuns >= maxAttempts
}

// DefaultAttempts is how often a task may fail when its queue does not say:
// once is often the server's fault, three times seldom.
const DefaultAttempts = 3
