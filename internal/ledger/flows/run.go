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

// server takes what a backend server reported of itself. A report never makes
// a leaving server take work again within one life: a delayed report may say so.
func (l *Ledger) server(at time.Duration, m *record.FlowServer) *code.Error {
	old, known := l.servers[m.GetId()]
	if known && m.GetBorn() < old.StartedAtMs {
		return code.New(code.SessionReplaced, "%s has begun another life", m.GetId())
	}
	b := &Server{
		ID: m.GetId(), StartedAtMs: m.GetBorn(), Address: m.GetAddress(), Zone: m.GetZone(), Pool: m.GetPool(), Machine: m.GetMachine(),
		Capacity: sizeOf(m.GetCapacity()), Labels: m.GetLabels(), ShuttingDown: m.GetLeaving(), LastReport: m.GetCall(), WarmUpEndsAt: at + time.Duration(m.GetCold())*time.Millisecond, HeldRuns: map[flow.TaskID]*HeldRun{},
	}
	if known && m.GetBorn() == old.StartedAtMs {
		if old.Ended {
			return code.New(code.SessionReplaced, "that life of %s is over", m.GetId())
		}
		if m.GetCall() < old.LastReport {
			return code.New(code.SessionReplaced, "%s has reported since", m.GetId())
		}
		b.ShuttingDown = b.ShuttingDown || old.ShuttingDown
		b.EndCursor, b.Used, b.HeldRuns = old.EndCursor, old.Used, old.HeldRuns
	} else if known {
		// The life before this one is over, and with it all that it held.
		l.over(at, old, nil, nil)
	}
	l.servers[b.ID] = b
	l.mixText(b.ID)
	l.mix(uint64(b.StartedAtMs))
	return nil
}

func sizeOf(m *v1.Size) capacity.Size {
	return capacity.Size{CPU: m.GetCpu(), Memory: m.GetMemory(), Accel: m.GetAccel(), Slots: m.GetSlots()}
}

// clear records that nothing runs any more of what one life held.
func (l *Ledger) clear(at time.Duration, c *record.FlowClear) *code.Error {
	b, ok := l.servers[c.GetId()]
	if !ok || b.StartedAtMs != c.GetBorn() {
		return code.New(code.SessionReplaced, "%s has begun another life", c.GetId())
	}
	b.Ended = b.Ended || c.GetOver()
	l.mixText(b.ID)
	if c.GetOver() {
		l.over(at, b, c.GetSaved(), c.GetBlamed())
		return nil
	}
	l.lose(at, b, inner.RunEnd_RUN_END_LOST, c.GetSaved())
	return nil
}

// over ends a life of a server and everything that it held.
func (l *Ledger) over(at time.Duration, b *Server, saved []*record.FlowSaved, blamed []*inner.Run) {
	if l.ShutdownPlanned(b) {
		l.lose(at, b, inner.RunEnd_RUN_END_LOST, saved)
		return
	}
	l.crash(at, b, blamed)
	l.lose(at, b, inner.RunEnd_RUN_END_CRASHED, saved)
}

// lose ends everything that a server held, in the order of the runs' names, so
// that every replica takes the same path.
func (l *Ledger) lose(at time.Duration, b *Server, how inner.RunEnd, saved []*record.FlowSaved) {
	kept := map[flow.RunID]string{}
	for _, s := range saved {
		kept[flow.RunOf(s.GetRun())] = s.GetCheckpoint()
	}
	for _, id := range sortedTasks(b.HeldRuns) {
		h := b.HeldRuns[id]
		l.end(at, b, h.RunID, how, kept[h.RunID])
	}
}

// start places runs, all or none. It checks again what the planner checked, in
// the one place where every placement passes: that the step's turn has come,
// the server's life and room, the customer's limit, and that gangs are whole.
func (l *Ledger) start(at time.Duration, c *record.FlowStart) *code.Error {
	if err := l.startable(c.GetPlaces()); err != nil {
		return err
	}
	for _, p := range c.GetPlaces() {
		id := flow.RunOf(p.GetRun())
		s, _ := l.Step(id.StepID)
		b := l.servers[p.GetServer()]
		t := &s.Tasks[id.Index]
		t.LatestRun, t.Server, t.ServerStartedAtMs = id.Number, b.ID, b.StartedAtMs
		l.hold(b, &HeldRun{RunID: id, Server: b.ID, Customer: s.Flow.Customer, Size: flow.SizeOf(s.Spec), PlacedAt: at})
		l.move(s, id.Index, chart.Place)
		if s.Flow.State == v1.FlowState_FLOW_STATE_QUEUED {
			l.pending[s.Flow.QueueName]--
			l.state(s.Flow, v1.FlowState_FLOW_STATE_RUNNING)
		}
		l.index(s)
		l.mix(uint64(id.Index), uint64(id.Number))
	}
	return nil
}

// startable tells whether all places can be taken at once.
func (l *Ledger) startable(places []*record.FlowPlace) *code.Error {
	more, total := map[string]capacity.Size{}, map[string]capacity.Size{}
	gangs, seen := map[flow.StepID]int{}, map[flow.TaskID]bool{}
	for _, p := range places {
		id := flow.RunOf(p.GetRun())
		s, ok := l.Step(id.StepID)
		switch {
		case !ok || s.UnfinishedDependencies > 0 || int(id.Index) >= len(s.Tasks) || s.Flow.Final():
			return code.New(code.NotFound, "%s", id)
		case s.Tasks[id.Index].Phase != Queued || seen[id.TaskID] || id.Number <= s.Tasks[id.Index].LatestRun:
			return code.New(code.Internal, "%s does not wait", id)
		}
		seen[id.TaskID] = true
		b, ok := l.servers[p.GetServer()]
		if !ok || !l.AcceptsWork(b) {
			return code.New(code.SessionReplaced, "%s takes no work", p.GetServer())
		}
		size := flow.SizeOf(s.Spec)
		more[b.ID] = more[b.ID].Add(size)
		if !b.Used.Add(more[b.ID]).Fits(b.Capacity) {
			return code.New(code.Unplaceable, "%s is full", b.ID)
		}
		owner := s.Flow.Customer
		total[owner] = total[owner].Add(size)
		if !l.used[owner].Add(total[owner]).Within(l.CustomerLimit(owner)) {
			return code.New(code.Unplaceable, "limit of %s", owner)
		}
		if s.Spec.GetGang() {
			gangs[s.StepID]++
		}
	}
	for id, n := range gangs {
		if s, _ := l.Step(id); n != len(s.Tasks) {
			return code.New(code.Internal, "part of gang %s", id)
		}
	}
	return nil
}

// hold and release are the only ones that change what is held.
func (l *Ledger) hold(b *Server, h *HeldRun) {
	b.HeldRuns[h.TaskID] = h
	b.Used = b.Used.Add(h.Size)
	l.used[h.Customer] = l.used[h.Customer].Add(h.Size)
	if f, ok := l.flows[h.Flow]; ok {
		f.HeldRuns++
	}
}

func (l *Ledger) release(b *Server, h *HeldRun) {
	delete(b.HeldRuns, h.TaskID)
	if l.unwanted[h.TaskID] == h {
		delete(l.unwanted, h.TaskID)
	}
	b.Used = b.Used.Sub(h.Size)
	l.used[h.Customer] = l.used[h.Customer].Sub(h.Size)
	if f, ok := l.flows[h.Flow]; ok {
		f.HeldRuns--
	}
}

// ends records ends that a server listed or that are proved otherwise.
func (l *Ledger) ends(at time.Duration, c *record.FlowEnds) *code.Error {
	b, ok := l.servers[c.GetServer()]
	if !ok || b.StartedAtMs != c.GetBorn() {
		return code.New(code.SessionReplaced, "%s has begun another life", c.GetServer())
	}
	for _, e := range c.GetEnds() {
		l.end(at, b, flow.RunOf(e.GetRun()), e.GetHow(), e.GetCheckpoint())
	}
	b.EndCursor = max(b.EndCursor, c.GetCursor())
	l.mixText(b.ID)
	l.mix(b.EndCursor)
	return nil
}

// end records one end: what the run held is free, and its task goes on by how
// it ended. An end of a run that is not the task's latest only frees room.
func (l *Ledger) end(at time.Duration, b *Server, id flow.RunID, how inner.RunEnd, checkpoint string) {
	held := false
	if h := b.HeldRuns[id.TaskID]; h != nil && h.Number == id.Number {
		held = true
		l.release(b, h)
	}
	l.mix(uint64(id.Index), uint64(id.Number), uint64(how))
	s, ok := l.Step(id.StepID)
	if !ok || int(id.Index) >= len(s.Tasks) || s.Flow.Final() {
		return
	}
	t := &s.Tasks[id.Index]
	if t.LatestRun != id.Number || t.Phase == Done || t.Server != b.ID || t.ServerStartedAtMs != b.StartedAtMs {
		return
	}
	if checkpoint != "" {
		l.save(s, id.Index, checkpoint)
	}
	switch {
	case how == inner.RunEnd_RUN_END_DONE && !s.lasts():
		l.finish(at, s, id)
	case t.Phase == Placed && held:
		l.fall(at, s, id, how)
	}
	l.index(s)
}

// save keeps a checkpoint; that of any member is good for its whole gang.
func (l *Ledger) save(s *Step, index uint32, checkpoint string) {
	if !s.Spec.GetGang() {
		s.Tasks[index].Checkpoint = checkpoint
		return
	}
	for i := range s.Tasks {
		s.Tasks[i].Checkpoint = checkpoint
	}
}

// finish records a good end. The members of a gang end together: the end of
// one is that of all, and what the others still hold is freed by their own ends.
func (l *Ledger) finish(at time.Duration, s *Step, id flow.RunID) {
	if s.Spec.GetGang() {
		for i := range s.Tasks {
			if s.Tasks[i].Phase != Done {
				l.move(s, uint32(i), chart.Finish)
			}
		}
	} else {
		l.move(s, id.Index, chart.Finish)
	}
	if s.DoneTasks < len(s.Tasks) {
		return
	}
	turn := s.Flow.Turns[s.Turn]
	turn.left--
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
			l.index(next)
		}
	}
	if turn.left > 0 {
		return
	}
	delete(s.Flow.Turns, s.Turn)
	if len(s.Flow.Turns) == 0 && s.Flow.NextTurn >= max(s.Flow.Spec.GetTimes(), 1) {
		l.conclude(at, s.Flow, v1.FlowState_FLOW_STATE_DONE)
	}
}

// fall records an end that is not a good one: the task waits again, or its flow
// has failed. The other members of a gang are stopped first.
func (l *Ledger) fall(at time.Duration, s *Step, id flow.RunID, how inner.RunEnd) {
	if l.failed(s, id, how) {
		l.conclude(at, s.Flow, v1.FlowState_FLOW_STATE_FAILED)
		return
	}
	if !s.Spec.GetGang() {
		l.move(s, id.Index, chart.Requeue)
		return
	}
	l.move(s, id.Index, chart.WaitForGang)
	l.stopStep(s)
	if s.PlacedTasks > 0 {
		return
	}
	for i := range s.Tasks {
		if s.Tasks[i].Phase == WaitingForGang {
			l.move(s, uint32(i), chart.Retry)
		}
	}
}

// failed counts a run that its task may be at fault for, and tells whether it was
// one too many. Lasting tasks may fail without end.
func (l *Ledger) failed(s *Step, id flow.RunID, how inner.RunEnd) bool {
	switch {
	case how == inner.RunEnd_RUN_END_CRASHED:
		return s.Tasks[id.Index].crashing()
	case how != inner.RunEnd_RUN_END_FAILED || s.lasts():
		return false
	}
	q, ok := l.QueueOf(s.Flow)
	most := q.GetAttempts()
	if !ok || most == 0 {
		most = DefaultAttempts
	}
	if s.Spec.GetGang() {
		if s.LastFailedRun == id.Number {
			return false // once for a whole gang
		}
		s.LastFailedRun = id.Number
		s.FailedRuns++
		return s.FailedRuns >= most
	}
	t := &s.Tasks[id.Index]
	t.FailedRuns++
	return t.FailedRuns >= most
}

// DefaultAttempts is how often a task may fail when its queue does not say:
// once is often the server's fault, three times seldom.
const DefaultAttempts = 3
