package flows

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/millis"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/chart"
)

// applyServerReport records what a backend server reported about itself. Within one
// incarnation a report never ends a graceful shutdown, because the report may be a
// delayed older one.
func (l *Ledger) applyServerReport(now time.Duration, m *record.FlowServer) *code.Error {
	old, known := l.servers[m.GetId()]
	if known && m.GetBorn() < old.StartedAtMs {
		return code.New(code.SessionReplaced, "server %s: report of an older incarnation", m.GetId())
	}
	b := &Server{
		ID: m.GetId(), StartedAtMs: m.GetBorn(), Address: m.GetAddress(), Zone: m.GetZone(), Pool: m.GetPool(), Machine: m.GetMachine(),
		Capacity: sizeFromMessage(m.GetCapacity()), Labels: m.GetLabels(), ShuttingDown: m.GetLeaving(), LastReport: m.GetCall(), SlowStartEndsAt: now + millis.Duration(m.GetCold()), HeldRuns: map[flow.TaskID]*HeldRun{},
	}
	if known && m.GetBorn() == old.StartedAtMs {
		if old.Ended {
			return code.New(code.SessionReplaced, "server %s: this incarnation has ended", m.GetId())
		}
		if m.GetCall() < old.LastReport {
			return code.New(code.SessionReplaced, "server %s: a later report is already recorded", m.GetId())
		}
		b.ShuttingDown = b.ShuttingDown || old.ShuttingDown
		b.EndCursor, b.Used, b.HeldRuns = old.EndCursor, old.Used, old.HeldRuns
		b.inheritFailures(old)
		b.ProvenAt = old.ProvenAt
		if m.GetCold() == 0 {
			b.SlowStartEndsAt = min(now, old.SlowStartEndsAt) // a later change is not another start
		}
	} else if known {
		b.inheritFailures(old)
		// The previous incarnation has ended, and all runs that it held ended with it.
		l.endIncarnation(now, old, nil, nil)
	}
	l.servers[b.ID] = b
	if known && old.SpeedKey() != b.SpeedKey() {
		l.forgetSpeeds()
	}
	l.addTextToDigest(b.ID)
	l.addToDigest(uint64(b.StartedAtMs))
	return nil
}

func sizeFromMessage(m *v1.Size) capacity.Size {
	return capacity.Size{CPU: m.GetCpu(), Memory: m.GetMemory(), Accel: m.GetAccel(), Slots: m.GetSlots()}
}

// clearServer records that none of the runs held by one server incarnation is in
// progress any more.
func (l *Ledger) clearServer(now time.Duration, c *record.FlowClear) *code.Error {
	b, ok := l.servers[c.GetId()]
	if !ok || b.StartedAtMs != c.GetBorn() {
		return code.New(code.SessionReplaced, "server %s runs another incarnation", c.GetId())
	}
	b.Ended = b.Ended || c.GetOver()
	l.addTextToDigest(b.ID)
	if c.GetOver() {
		l.endIncarnation(now, b, c.GetSaved(), c.GetBlamed())
		return nil
	}
	l.endAllRuns(now, b, inner.RunEnd_RUN_END_LOST, c.GetSaved())
	return nil
}

// endIncarnation ends a server incarnation and all runs that it held. Unless the
// shutdown was planned, it counts as a crash.
func (l *Ledger) endIncarnation(now time.Duration, b *Server, saved []*record.FlowSaved, blamed []*inner.Run) {
	if l.ShutdownPlanned(b) {
		l.endAllRuns(now, b, inner.RunEnd_RUN_END_LOST, saved)
		return
	}
	l.countCrash(now, b, blamed)
	l.endAllRuns(now, b, inner.RunEnd_RUN_END_CRASHED, saved)
}

// endAllRuns ends all runs that a server held. The runs are sorted, so that every
// replica applies the ends in the same order.
func (l *Ledger) endAllRuns(now time.Duration, b *Server, runEnd inner.RunEnd, saved []*record.FlowSaved) {
	checkpoints := map[flow.RunID]string{}
	for _, s := range saved {
		checkpoints[flow.RunIDFromMessage(s.GetRun())] = s.GetCheckpoint()
	}
	for _, id := range sortedTaskIDs(b.HeldRuns) {
		h := b.HeldRuns[id]
		l.recordEnd(now, b, h.RunID, runEnd, checkpoints[h.RunID])
	}
}

// startRuns places either all of the given runs or none. It repeats the planner's
// checks, because every placement passes through here: the step's dependencies, the
// server's state and free capacity, the customer's limit, and that gangs are placed as
// a whole.
func (l *Ledger) startRuns(now time.Duration, c *record.FlowStart) *code.Error {
	if err := l.checkPlacements(c.GetPlaces()); err != nil {
		return err
	}
	for _, p := range c.GetPlaces() {
		id := flow.RunIDFromMessage(p.GetRun())
		s, _ := l.Step(id.StepID)
		b := l.servers[p.GetServer()]
		t := &s.Tasks[id.Index]
		t.LatestRun, t.Server, t.ServerStartedAtMs = id.Number, b.ID, b.StartedAtMs
		l.addHeldRun(b, &HeldRun{RunID: id, Server: b.ID, Customer: s.Flow.Customer, Size: flow.TaskSize(s.Spec), PlacedAt: now})
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

// checkPlacements returns an error unless all placements are possible together.
func (l *Ledger) checkPlacements(places []*record.FlowPlace) *code.Error {
	addedByServer, addedByCustomer := map[string]capacity.Size{}, map[string]capacity.Size{}
	placedByGang, seen := map[flow.StepID]int{}, map[flow.TaskID]bool{}
	for _, p := range places {
		id := flow.RunIDFromMessage(p.GetRun())
		s, ok := l.Step(id.StepID)
		switch {
		case !ok || s.UnfinishedDependencies > 0 || int(id.Index) >= len(s.Tasks) || s.Flow.Final():
			return code.New(code.NotFound, "run %s: its task cannot be started", id)
		case s.Tasks[id.Index].Phase != Queued || seen[id.TaskID] || id.Number <= s.Tasks[id.Index].LatestRun:
			return code.New(code.Internal, "run %s: its task is not queued", id)
		}
		seen[id.TaskID] = true
		b, ok := l.servers[p.GetServer()]
		if !ok || !l.AcceptsWork(b) {
			return code.New(code.SessionReplaced, "server %s accepts no new work", p.GetServer())
		}
		size := flow.TaskSize(s.Spec)
		addedByServer[b.ID] = addedByServer[b.ID].Add(size)
		if !b.Used.Add(addedByServer[b.ID]).Fits(b.Capacity) {
			return code.New(code.Unplaceable, "server %s has too little free capacity", b.ID)
		}
		customer := s.Flow.Customer
		addedByCustomer[customer] = addedByCustomer[customer].Add(size)
		if !l.customerUsage[customer].Add(addedByCustomer[customer]).Within(l.CustomerLimit(customer)) {
			return code.New(code.Unplaceable, "limit of customer %s exceeded", customer)
		}
		if s.Spec.GetGang() {
			placedByGang[s.StepID]++
		}
	}
	for id, n := range placedByGang {
		if s, _ := l.Step(id); n != len(s.Tasks) {
			return code.New(code.Internal, "gang %s is not placed as a whole", id)
		}
	}
	return nil
}

// addHeldRun and removeHeldRun are the only functions that change which runs a server
// holds.
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

// recordEnds records run ends that a server incarnation listed or that are proved in
// another way.
func (l *Ledger) recordEnds(now time.Duration, c *record.FlowEnds) *code.Error {
	b, ok := l.servers[c.GetServer()]
	if !ok || b.StartedAtMs != c.GetBorn() {
		return code.New(code.SessionReplaced, "server %s runs another incarnation", c.GetServer())
	}
	for _, e := range c.GetEnds() {
		l.recordEnd(now, b, flow.RunIDFromMessage(e.GetRun()), e.GetHow(), e.GetCheckpoint())
	}
	b.EndCursor = max(b.EndCursor, c.GetCursor())
	l.addTextToDigest(b.ID)
	l.addToDigest(b.EndCursor)
	return nil
}

// recordEnd records the end of one run. It frees the capacity of the run and updates
// its task. If the run is not the latest of its task, only the capacity is freed.
func (l *Ledger) recordEnd(now time.Duration, b *Server, id flow.RunID, runEnd inner.RunEnd, checkpoint string) {
	h := b.HeldRuns[id.TaskID]
	held := h != nil && h.Number == id.Number
	if held {
		isSuspect := runEnd == inner.RunEnd_RUN_END_FAILED && l.FailureSuspectsServer(now, h)
		l.removeHeldRun(b, h)
		b.countEnd(h, runEnd, isSuspect)
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
		l.finishTask(now, s, id)
	case t.Phase == Placed && held:
		if runEnd == inner.RunEnd_RUN_END_FAILED {
			l.recordFailedRun(now, s, h)
		}
		l.requeueOrFail(now, s, id, runEnd)
	}
	l.updateReadySteps(s)
}

// recordFailedRun records where and when a run of a task failed.
func (l *Ledger) recordFailedRun(now time.Duration, s *Step, h *HeldRun) {
	t := &s.Tasks[h.Index]
	t.FailedAt, t.FailedAfter = h.PlacedAt, now-h.PlacedAt
	if s.runsUntilCancelled() && t.FailedAfter >= flow.LastingStartTime {
		s.forgetFailedServers(t)
		return
	}
	s.addFailedServer(t, h.Server, l.MaxAttempts(s.Flow))
}

// saveCheckpoint stores a checkpoint. The checkpoint of any gang member is valid for
// the whole gang.
func (l *Ledger) saveCheckpoint(s *Step, index uint32, checkpoint string) {
	if !s.Spec.GetGang() {
		s.Tasks[index].Checkpoint = checkpoint
		return
	}
	for i := range s.Tasks {
		s.Tasks[i].Checkpoint = checkpoint
	}
}

// finishTask records a successful end. One successful member finishes the whole gang. The
// other members end together with it, so they need no stop, and their capacity is freed
// when their own runs end.
func (l *Ledger) finishTask(now time.Duration, s *Step, id flow.RunID) {
	if s.Spec.GetGang() {
		for i := range s.Tasks {
			delete(l.runsToStop, flow.TaskID{StepID: s.StepID, Index: uint32(i)})
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
		for _, dependency := range next.Spec.GetAfter() {
			if dependency == s.Step {
				next.UnfinishedDependencies--
			}
		}
		if next.UnfinishedDependencies == 0 && next != s {
			if next.ReadyAt < now && next.QueuedTasks == len(next.Tasks) {
				next.ReadyAt = now
			}
			l.updateReadySteps(next)
		}
	}
	if turn.unfinishedSteps > 0 {
		return
	}
	delete(s.Flow.Turns, s.Turn)
	l.addBytes(s.Flow, -flow.TurnBytes(s.Flow.Spec))
	if len(s.Flow.Turns) == 0 && s.Flow.NextTurn >= max(s.Flow.Spec.GetTimes(), 1) {
		l.endFlow(now, s.Flow, v1.FlowState_FLOW_STATE_DONE)
	}
}

// requeueOrFail handles a run that did not end successfully: its task is queued again,
// or its flow fails. The other members of a gang are stopped first.
func (l *Ledger) requeueOrFail(now time.Duration, s *Step, id flow.RunID, runEnd inner.RunEnd) {
	if l.countFailure(s, id, runEnd) {
		l.endFlow(now, s.Flow, v1.FlowState_FLOW_STATE_FAILED)
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

// countFailure counts a run that failed or crashed its server, and reports whether the
// limit is reached. Failed runs of lasting steps, whose tasks run until
// cancelled, are not limited.
func (l *Ledger) countFailure(s *Step, id flow.RunID, runEnd inner.RunEnd) bool {
	switch {
	case runEnd == inner.RunEnd_RUN_END_CRASHED:
		return s.Tasks[id.Index].exceedsCrashLimit()
	case runEnd != inner.RunEnd_RUN_END_FAILED || s.runsUntilCancelled():
		return false
	}
	maxAttempts := l.MaxAttempts(s.Flow)
	if s.Spec.GetGang() {
		if s.LastFailedRun == id.Number {
			return false // one failure per run of a gang, whatever the number of failed members
		}
		s.LastFailedRun = id.Number
		s.FailedRuns++
		return s.FailedRuns >= maxAttempts
	}
	t := &s.Tasks[id.Index]
	t.FailedRuns++
	return t.FailedRuns >= maxAttempts
}

// DefaultAttempts is the number of failed runs after which a task fails if its queue
// sets no limit. A single failure is often caused by the server, three rarely are.
const DefaultAttempts = 3
