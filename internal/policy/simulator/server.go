package simulator

import (
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
)

// server is a backend server of a play.
type server struct {
	spec   serverSpec
	silent bool
	// noticed tells that the leader knows of its silence.
	noticed bool
	heard   time.Duration
	runs    map[flow.TaskID]*run
	// told is what the leader hears when it answers again.
	told []func()
}

// run is a run on a server.
type run struct {
	flow.RunID
	began, ends time.Duration
	step        *flows.Step
}

// troubles brings what goes wrong.
func (m *Simulation) troubles() {
	for _, g := range m.setup.LeaderOutages {
		m.at(g.Start, func() { m.leads = false })
		m.at(g.End, m.lead)
	}
	for _, i := range sortedKeys(m.setup.ServerOutages) {
		if i >= len(m.order) {
			continue
		}
		s, g := m.servers[m.order[i]], m.setup.ServerOutages[i]
		m.at(g.Start, func() { m.silence(s, g.End) })
	}
	for _, i := range sortedKeys(m.setup.Shutdowns) {
		if i >= len(m.order) {
			continue
		}
		s := m.servers[m.order[i]]
		m.at(m.setup.Shutdowns[i], func() { m.led(func() { m.leave(s) }) })
	}
}

// lead lets somebody lead again.
func (m *Simulation) lead() {
	for _, g := range m.setup.LeaderOutages {
		if m.now >= g.Start && m.now < g.End {
			return // another absence goes on
		}
	}
	m.leads, m.dirty, m.wants = true, true, nil
	waiting := m.back
	m.back = nil
	for _, fn := range waiting {
		fn()
	}
}

// silence cuts a server off. What it runs goes on until its lease is over.
func (m *Simulation) silence(s *server, until time.Duration) {
	s.silent, s.heard = true, m.now
	m.after(noticeTime, func() { s.noticed = s.silent })
	lapse := m.now + m.policy.Lease
	m.at(lapse, func() {
		if s.silent && s.heard+m.policy.Lease == lapse {
			m.led(func() { m.lapse(s) })
		}
	})
	m.at(until, func() {
		s.silent, s.noticed = false, false
		told := s.told
		s.told = nil
		for _, fn := range told {
			m.led(fn)
		}
	})
}

// lapse ends all that a silent server ran.
func (m *Simulation) lapse(s *server) {
	if !s.silent {
		return
	}
	for _, r := range s.runs {
		m.wasted += m.spent(r)
	}
	s.runs, s.told = map[flow.TaskID]*run{}, nil
	m.apply(&record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: s.spec.id, Born: 1}}})
}

// spent returns the core-seconds that a run has used.
func (m *Simulation) spent(r *run) float64 {
	return (m.now - r.began).Seconds() * float64(r.step.Spec.GetSize().GetCpu()) / 1000
}

// leaveTime is how long a server that leaves works on.
const leaveTime = 2 * time.Second

func (m *Simulation) leave(s *server) {
	b, _ := m.ledger.Server(s.spec.id)
	m.apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{
		Id: b.ID, Born: 1, Address: b.ID, Pool: pool, Machine: b.ID, Labels: b.Labels, Leaving: true, Capacity: sizeMessage(b.Capacity),
	}}})
	m.after(leaveTime, func() {
		for _, r := range s.runs {
			m.wasted += m.spent(r)
		}
		s.runs = map[flow.TaskID]*run{}
		m.led(func() {
			m.apply(&record.Flow{What: &record.Flow_Clear{Clear: &record.FlowClear{Id: b.ID, Born: 1, Over: true}}})
		})
	})
}

// begin lets a run begin on a server.
func (m *Simulation) begin(s *server, id flow.RunID, step *flows.Step) {
	f, ok := m.ledger.Flow(id.Flow)
	unwanted := !ok || f.Final() || step.Tasks[id.Index].Phase != flows.Placed
	if s.silent || unwanted {
		// What does not begin is known to have ended once the server can be asked.
		m.tell(s, func() { m.end(s, id, inner.RunEnd_RUN_END_LOST) })
		return
	}
	q := m.requests[id.Flow]
	takes := time.Duration(float64(q.work[id.Step][id.Index]) / s.spec.speed)
	r := &run{RunID: id, began: m.now, ends: m.now + takes, step: step}
	s.runs[id.TaskID] = r
	how := inner.RunEnd_RUN_END_DONE
	if m.rng.Float64() < m.setup.FailureRate {
		how, takes = inner.RunEnd_RUN_END_FAILED, takes/2
	}
	m.after(takes, func() {
		if s.runs[id.TaskID] != r {
			return
		}
		delete(s.runs, id.TaskID)
		m.tell(s, func() { m.ended(s, r, how) })
	})
}

// tell lets the leader know something of a server, when it can.
func (m *Simulation) tell(s *server, fn func()) {
	if s.silent {
		s.told = append(s.told, fn)
		return
	}
	m.after(callTime, func() { m.led(fn) })
}

func (m *Simulation) ended(s *server, r *run, how inner.RunEnd) {
	if declared := r.step.Spec.GetRuntime(); how == inner.RunEnd_RUN_END_DONE && declared > 0 {
		m.usual += 0.02 * (float64((r.ends-r.began)/time.Millisecond)/float64(declared) - m.usual)
	}
	m.end(s, r.RunID, how)
}

func (m *Simulation) end(s *server, id flow.RunID, how inner.RunEnd) {
	m.apply(&record.Flow{What: &record.Flow_Ends{Ends: &record.FlowEnds{Server: s.spec.id, Born: 1, Ends: []*record.FlowEnd{{Run: id.Message(), How: how}}}}})
	if f, ok := m.ledger.Flow(id.Flow); ok && f.Final() {
		if q := m.requests[id.Flow]; q.ended == 0 {
			q.ended = m.now + commitTime
		}
	}
}
