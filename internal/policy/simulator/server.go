package simulator

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// server is a simulated backend server.
type server struct {
	spec         serverSpec
	disconnected bool
	// silenceDetected is true when the leader has detected that the server is silent.
	silenceDetected bool
	lastHeard       time.Duration
	runs            map[flow.TaskID]*run
	// pendingReports are delivered to the leader when the server is connected again.
	pendingReports []func()
}

// run is a task that is running on a server.
type run struct {
	flow.RunID
	startedAt, endsAt time.Duration
	step              *flows.Step
}

// scheduleFaults schedules the leader outages, server outages and server shutdowns of the
// scenario.
func (m *Simulation) scheduleFaults() {
	for _, outage := range m.scenario.LeaderOutages {
		m.schedule(outage.Start, func() { m.hasLeader = false })
		m.schedule(outage.End, m.restoreLeader)
	}
	for _, i := range sortedKeys(m.scenario.ServerOutages) {
		if i >= len(m.serverIDs) {
			continue
		}
		s, outage := m.servers[m.serverIDs[i]], m.scenario.ServerOutages[i]
		m.schedule(outage.Start, func() { m.disconnect(s, outage.End) })
	}
	for _, i := range sortedKeys(m.scenario.Shutdowns) {
		if i >= len(m.serverIDs) {
			continue
		}
		s := m.servers[m.serverIDs[i]]
		m.schedule(m.scenario.Shutdowns[i], func() { m.whenLeader(func() { m.shutDown(s) }) })
	}
}

// restoreLeader ends a leader outage and runs the actions that waited for a leader.
func (m *Simulation) restoreLeader() {
	for _, outage := range m.scenario.LeaderOutages {
		if m.now >= outage.Start && m.now < outage.End {
			return // another outage overlaps
		}
	}
	m.hasLeader, m.changed, m.questions = true, true, nil
	waiting := m.waitingForLeader
	m.waitingForLeader = nil
	for _, fn := range waiting {
		fn()
	}
}

// disconnect cuts off a server until the given time. Its runs continue until its lease expires.
func (m *Simulation) disconnect(s *server, until time.Duration) {
	s.disconnected, s.lastHeard = true, m.now
	m.scheduleAfter(detectionTime, func() { s.silenceDetected = s.disconnected })
	expiry := m.now + m.policy.Lease
	m.schedule(expiry, func() {
		if s.disconnected && s.lastHeard+m.policy.Lease == expiry {
			m.whenLeader(func() { m.expireLease(s) })
		}
	})
	m.schedule(until, func() {
		s.disconnected, s.silenceDetected = false, false
		reports := s.pendingReports
		s.pendingReports = nil
		for _, fn := range reports {
			m.whenLeader(fn)
		}
	})
}

// expireLease ends all runs of a server that is still disconnected.
func (m *Simulation) expireLease(s *server) {
	if !s.disconnected {
		return
	}
	for _, r := range s.runs {
		m.wastedCoreSeconds += m.coreSeconds(r)
	}
	s.runs, s.pendingReports = map[flow.TaskID]*run{}, nil
	m.apply(&record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: s.spec.id, Born: 1}}})
}

// coreSeconds returns the core-seconds that a run has used so far.
func (m *Simulation) coreSeconds(r *run) float64 {
	return (m.now - r.startedAt).Seconds() * float64(r.step.Spec.GetSize().GetCpu()) / 1000
}

// shutdownTime is how long a server keeps running its tasks after the start of its shutdown.
const shutdownTime = 2 * time.Second

// shutDown starts the shutdown of a server. Runs that do not end within shutdownTime are lost.
func (m *Simulation) shutDown(s *server) {
	b, _ := m.ledger.Server(s.spec.id)
	m.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{
		Id: b.ID, Born: 1, Address: b.ID, Pool: pool, Machine: b.ID, Labels: b.Labels, Leaving: true, Capacity: sizeMessage(b.Capacity),
	}}})
	m.scheduleAfter(shutdownTime, func() {
		for _, r := range s.runs {
			m.wastedCoreSeconds += m.coreSeconds(r)
		}
		s.runs = map[flow.TaskID]*run{}
		m.whenLeader(func() {
			m.apply(&record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: b.ID, Born: 1, Over: true}}})
		})
	})
}

// startRun starts a run on a server and schedules its end.
func (m *Simulation) startRun(s *server, id flow.RunID, step *flows.Step) {
	f, ok := m.ledger.Flow(id.Flow)
	unwanted := !ok || f.Final() || step.Tasks[id.Index].Phase != flows.Placed
	if s.disconnected || unwanted {
		// The run is reported as lost as soon as the server can be reached.
		m.report(s, func() { m.recordEnd(s, id, inner.RunEnd_RUN_END_LOST) })
		return
	}
	req := m.requests[id.Flow]
	runtime := time.Duration(float64(req.runtimes[id.Step][id.Index]) / s.spec.speed)
	r := &run{RunID: id, startedAt: m.now, endsAt: m.now + runtime, step: step}
	s.runs[id.TaskID] = r
	runEnd := inner.RunEnd_RUN_END_DONE
	if m.rng.Float64() < m.scenario.FailureRate {
		runEnd, runtime = inner.RunEnd_RUN_END_FAILED, runtime/2
	}
	m.scheduleAfter(runtime, func() {
		if s.runs[id.TaskID] != r {
			return
		}
		delete(s.runs, id.TaskID)
		m.report(s, func() { m.runEnded(s, r, runEnd) })
	})
}

// report delivers a report from a server to the leader, once the server is connected and there
// is a leader.
func (m *Simulation) report(s *server, fn func()) {
	if s.disconnected {
		s.pendingReports = append(s.pendingReports, fn)
		return
	}
	m.scheduleAfter(callTime, func() { m.whenLeader(fn) })
}

// runEnded updates runtimeRatio after a successful run and records the end of the run.
func (m *Simulation) runEnded(s *server, r *run, runEnd inner.RunEnd) {
	if declared := r.step.Spec.GetRuntime(); runEnd == inner.RunEnd_RUN_END_DONE && declared > 0 {
		m.runtimeRatio += 0.02 * (float64((r.endsAt-r.startedAt)/time.Millisecond)/float64(declared) - m.runtimeRatio)
	}
	m.recordEnd(s, r.RunID, runEnd)
}

// recordEnd applies the end of a run to the ledger and stores the end time of its flow if the
// flow is final.
func (m *Simulation) recordEnd(s *server, id flow.RunID, runEnd inner.RunEnd) {
	m.apply(&record.Flow{What: &record.Flow_Ends{Ends: &record.FlowEnds{Server: s.spec.id, Born: 1, Ends: []*record.FlowEnd{{Run: id.Message(), How: runEnd}}}}})
	if f, ok := m.ledger.Flow(id.Flow); ok && f.Final() {
		if req := m.requests[id.Flow]; req.endedAt == 0 {
			req.endedAt = m.now + commitTime
		}
	}
}
