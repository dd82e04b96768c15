package state_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/task"
	_ "gypsumreel/internal/fake/seed"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
)

// world drives two ledgers with the same commands, as two replicas would.
type world struct {
	a, b *state.State
	now  int64
	sent []*record.Command
}

func newWorld() *world {
	w := &world{a: state.New(), b: state.New()}
	limit := &v1.Size{Cpu: 16, Memory: -1, Accel: -1, Slots: -1}
	w.change("table", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{
		{Row: &v1.Row{Team: "t0", Weight: 1, Limit: limit, Queue: 100}},
		{Row: &v1.Row{Team: "t1", Weight: 2, Limit: limit, Queue: 100}},
	}}}})
	for _, name := range []string{"t0", "t1"} {
		w.change("grant"+name, &v1.ChangeRequest{Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k" + name, Team: name, Digest: make([]byte, 32)}}})
	}
	return w
}

func (w *world) do(c *record.Command) state.Result {
	w.now += 1000
	c.At = w.now
	w.sent = append(w.sent, c)
	// The second replica reads the command from its bytes, as from the log.
	d, err := command.Decode(command.Encode(c))
	if err != nil {
		panic(err)
	}
	r := w.a.Apply(c)
	w.b.Apply(d)
	return r
}

func (w *world) change(id string, req *v1.ChangeRequest) state.Result {
	req.Id = id
	return w.do(&record.Command{What: &record.Command_Change{Change: &record.Change{By: "op", Request: req}}})
}

func (w *world) accept(team, id string, kind v1.Kind, count uint32, cpu int64, once bool) state.Result {
	spec := &v1.Spec{Id: id, Kind: kind, Count: count, Size: &v1.Size{Cpu: cpu}, Once: once}
	return w.do(&record.Command{What: &record.Command_Accept{Accept: &record.Accept{Team: team, Key: "k" + team, Spec: spec}}})
}

func (w *world) announce(server string, nonce uint64, cpu int64) state.Result {
	return w.do(&record.Command{What: &record.Command_Announce{Announce: &record.Announce{Server: server, Nonce: nonce, Capacity: &v1.Size{Cpu: cpu}}}})
}

func (w *world) place(job uint64, server string, indexes ...uint32) state.Result {
	b, _ := w.a.Server(server)
	p := &record.Place{Job: job}
	for _, i := range indexes {
		p.Spots = append(p.Spots, &record.Spot{Index: i, Server: server, Incarnation: b.Incarnation})
	}
	return w.do(&record.Command{What: &record.Command_Place{Place: p}})
}

func (w *world) end(t *state.Task, e *record.End) state.Result {
	e.Job, e.Index, e.Attempt = t.ID.Job, t.ID.Index, t.Attempt
	return w.do(&record.Command{What: &record.Command_End{End: e}})
}

func (w *world) fence(server string) state.Result {
	b, _ := w.a.Server(server)
	return w.do(&record.Command{What: &record.Command_Fence{Fence: &record.Fence{Server: server, Incarnation: b.Incarnation}}})
}

// check holds the promises that rest on the ledger alone against it.
func (w *world) check(t interface{ Fatalf(string, ...any) }) {
	held := map[string]capacity.Size{}
	teams := map[string]capacity.Size{}
	for _, j := range w.a.Jobs("") {
		holds, begun := uint32(0), uint32(0)
		w.a.EachTask(j, func(k *state.Task) {
			if k.Phase.HoldsCapacity() {
				held[k.Server] = held[k.Server].Add(j.Spec.Size)
				teams[j.Spec.Team] = teams[j.Spec.Team].Add(j.Spec.Size)
				holds++
			}
			if k.Started {
				begun++
			}
			if k.Phase == state.NotRun && k.Started {
				t.Fatalf("job %d says not run of a task that ran", j.Number)
			}
		})
		if j.Outcome == v1.Outcome_OUTCOME_NOT_RUN && begun > 0 {
			t.Fatalf("job %d says not run and %d tasks ran", j.Number, begun)
		}
		if j.Spec.Whole() && !j.Final() && holds == 0 && j.WaitingTasks != j.Spec.Count {
			t.Fatalf("gang %d is stuck: nothing runs and %d of %d tasks wait", j.Number, j.WaitingTasks, j.Spec.Count)
		}
		w.a.EachTask(j, func(k *state.Task) {
			if holds == 0 && !j.Final() && k.Phase == state.WaitingForGang {
				t.Fatalf("task %v rests for ever", k.ID)
			}
		})
		if j.Spec.Whole() && holds > 0 && j.WaitingTasks > 0 && holds+j.WaitingTasks+j.FinalTasks == j.Spec.Count && placedBeside(w.a, j) {
			t.Fatalf("a part of gang %d runs while another waits for a place", j.Number)
		}
		if j.HeldTasks != holds {
			t.Fatalf("job %d counts %d held, has %d", j.Number, j.HeldTasks, holds)
		}
	}
	waiting, backlogged := 0, map[string]bool{}
	for _, j := range w.a.Jobs("") {
		if !j.Final() && j.WaitingTasks > 0 {
			waiting++
			backlogged[j.Spec.Team] = true
		}
	}
	if got := w.a.Backlog(); got.Jobs != waiting || got.Teams != len(backlogged) {
		t.Fatalf("backlog %v, counted %d jobs of %d teams", got, waiting, len(backlogged))
	}
	for _, b := range w.a.Servers() {
		if !b.HeldCapacity.Fits(b.Capacity) || b.HeldCapacity != held[b.ID] {
			t.Fatalf("server %s holds %v (counted %v) of %v", b.ID, b.HeldCapacity, held[b.ID], b.Capacity)
		}
	}
	for _, r := range w.a.Table().Rows() {
		if !teams[r.Name].Within(r.Limit) || w.a.TeamHeldCapacity(r.Name) != teams[r.Name] {
			t.Fatalf("team %s holds %v, limit %v", r.Name, teams[r.Name], r.Limit)
		}
	}
	if w.a.InvalidTransitions() > 0 {
		t.Fatalf("an event that the chart does not allow, at %v", w.sent[len(w.sent)-1])
	}
	if w.a.Digest() != w.b.Digest() {
		t.Fatalf("replicas differ after %v", w.sent[len(w.sent)-1])
	}
}

// placedBeside tells whether a task of the job is placed while another is queued.
func placedBeside(st *state.State, j *state.Job) bool {
	phases := map[state.Phase]bool{}
	st.EachTask(j, func(k *state.Task) { phases[k.Phase] = true })
	return phases[state.Placed] && phases[state.Queued]
}

func encode(t *rapid.T, s *state.State) []byte {
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Whatever order commands come in, also ones that a faulty planner would give,
// no server is overcommitted, no team is over its limit, "not run" is true,
// a task that may not be repeated starts at most once, and both replicas agree.
func TestPromisesHoldForAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		starts := map[task.ID]int{}
		var picture *state.SnapshotBuilder
		var shown []byte
		defer func() { picture.Cancel() }()
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		tasks := func() (out []*state.Task) {
			for _, j := range w.a.Jobs("") {
				w.a.EachTask(j, func(k *state.Task) { out = append(out, k) })
			}
			return out
		}
		server := func() string { return []string{"s0", "s1", "s2"}[pick("server", 3)] }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				team := []string{"t0", "t1"}[pick("team", 2)]
				id := []string{"a", "b", "c", "d", "e", "f"}[pick("id", 6)]
				kind := []v1.Kind{v1.Kind_KIND_BATCH, v1.Kind_KIND_GANG, v1.Kind_KIND_SERVICE}[pick("kind", 3)]
				w.accept(team, id, kind, uint32(1+pick("count", 3)), int64(1+pick("cpu", 12)), pick("once", 2) == 0)
			},
			"announce": func(*rapid.T) { w.announce(server(), uint64(pick("nonce", 3)), 20) },
			"place": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					k := ts[pick("task", len(ts))]
					j, _ := w.a.Job(k.ID.Job)
					indexes := []uint32{k.ID.Index}
					if j.Spec.Whole() && pick("whole", 4) > 0 {
						indexes = nil
						for i := range j.Spec.Count {
							indexes = append(indexes, i)
						}
					}
					w.place(k.ID.Job, server(), indexes...)
				}
			},
			"end": func(t *rapid.T) {
				ts := tasks()
				if len(ts) == 0 {
					return
				}
				k := ts[pick("task", len(ts))]
				started := pick("started", 2) == 0
				ended := started && pick("ended", 2) == 0
				r := w.end(k, &record.End{Started: started, Ended: ended, Exit: int32(pick("exit", 2))})
				if r.Code != code.OK || !started {
					return
				}
				starts[k.ID]++
				if j, _ := w.a.Job(k.ID.Job); j.Spec.Once && starts[k.ID] > 1 {
					t.Fatalf("task %v may not be repeated and ran %d times", k.ID, starts[k.ID])
				}
			},
			"halt": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					k := ts[pick("task", len(ts))]
					w.do(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: k.ID.Job, Indexes: []uint32{k.ID.Index}, Checkpoint: pick("save", 2) == 0}}})
				}
			},
			"cancel": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					w.do(&record.Command{What: &record.Command_Cancel{Cancel: &record.Cancel{Jobs: []uint64{ts[pick("task", len(ts))].ID.Job}}}})
				}
			},
			"drop": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					c := []code.Code{code.DeadlinePassed, code.GivenUp}[pick("why", 2)]
					w.do(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: ts[pick("task", len(ts))].ID.Job, Code: uint32(c)}}})
				}
			},
			"fence": func(*rapid.T) { w.fence(server()) },
			"forget": func(*rapid.T) {
				w.do(&record.Command{What: &record.Command_Forget{Forget: w.a.ExpiredRecords(w.a.Now(), 2)}})
			},
			// A snapshot is taken while commands go on. It has to show the
			// state of its index: with later commands in it they would be
			// applied twice after a restart.
			"picture": func(t *rapid.T) {
				if picture == nil {
					picture, shown = w.b.BeginSnapshot(), encode(t, w.b)
				}
			},
			"restore": func(t *rapid.T) {
				data, err := w.b.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if w.b, err = state.Decode(data); err != nil {
					t.Fatal(err)
				}
				again, _ := w.b.Encode()
				if diff := cmp.Diff(data, again); diff != "" {
					t.Fatalf("a snapshot read and written again differs: %s", diff)
				}
			},
			"": func(t *rapid.T) {
				w.check(t)
				if picture != nil && picture.CopyRecords(1) {
					if !bytes.Equal(shown, encode(t, picture.State())) {
						t.Fatal("the picture shows another state than that of its beginning")
					}
					picture = nil
				}
			},
		})
	})
}

// One task of a gang is lost and the others are told to stop, but the last of
// them ends by itself before the order reaches it. The gang must start again as
// a whole; it would otherwise wait for ever for a stop that nobody reports.
func TestAGangWhoseLastTaskEndsBeforeItsStopStartsAgain(t *testing.T) {
	w := newWorld()
	w.announce("s0", 1, 20)
	w.announce("s1", 1, 20)
	j := w.accept("t0", "sweep", v1.Kind_KIND_GANG, 2, 10, false).Job
	b0, _ := w.a.Server("s0")
	b1, _ := w.a.Server("s1")
	w.do(&record.Command{What: &record.Command_Place{Place: &record.Place{Job: j.Number, Spots: []*record.Spot{
		{Index: 0, Server: "s0", Incarnation: b0.Incarnation}, {Index: 1, Server: "s1", Incarnation: b1.Incarnation},
	}}}})
	w.fence("s0")
	last, _ := w.a.Task(task.ID{Job: j.Number, Index: 1})
	w.end(last, &record.End{Started: true, Ended: true, Answer: []byte("half")})
	w.check(t)
	if now, _ := w.a.Job(j.Number); now.WaitingTasks != 2 {
		t.Errorf("%d of 2 tasks wait", now.WaitingTasks)
	}
}

// A backend server restarts within its lease and announces itself, while the
// process that it was before may still run: whoever restarted it may have left
// the old one behind. Its task counts on, and the new session has to wait.
func TestARestartedServersOldTasksCountUntilTheLeaseIsOver(t *testing.T) {
	w := newWorld()
	w.announce("s0", 1, 10)
	j := w.accept("t0", "plan", v1.Kind_KIND_BATCH, 1, 10, false).Job
	w.place(j.Number, "s0", 0)
	if r := w.announce("s0", 2, 10); r.Code != code.MembershipChangePending {
		t.Errorf("a new session while the old one holds work: %v", r)
	}
	w.fence("s0")
	if r := w.announce("s0", 2, 10); r.Code != code.OK || r.Incarnation != 2 {
		t.Errorf("after the lease: %v", r)
	}
	w.check(t)
}

// A server stops a task in the middle, because its lease ran out, and says so
// when it is back. The task had started and may not be repeated: it is not
// placed again, and its outcome is unknown. One that had not started is placed.
func TestATaskThatMayNotBeRepeatedIsNotStartedAgainAfterAStop(t *testing.T) {
	for started, want := range map[bool]state.Phase{true: state.Unknown, false: state.Queued} {
		w := newWorld()
		w.announce("s0", 1, 10)
		j := w.accept("t0", "stock", v1.Kind_KIND_BATCH, 1, 10, true).Job
		w.place(j.Number, "s0", 0)
		k, _ := w.a.Task(task.ID{Job: j.Number})
		w.end(k, &record.End{Started: started})
		if k, _ = w.a.Task(k.ID); k.Phase != want {
			t.Errorf("started %v: %v", started, k.Phase)
		}
		w.check(t)
	}
}

// A planner's picture of a team is out of date, or its limit was lowered a
// moment ago: the ledger places nothing that would take the team over it.
func TestNoPlacementTakesATeamOverItsLimit(t *testing.T) {
	w := newWorld()
	w.announce("s0", 1, 20)
	first := w.accept("t0", "a", v1.Kind_KIND_BATCH, 1, 10, false).Job
	second := w.accept("t0", "b", v1.Kind_KIND_BATCH, 1, 10, false).Job
	if r := w.place(first.Number, "s0", 0); r.Code != code.OK {
		t.Fatal(r)
	}
	if r := w.place(second.Number, "s0", 0); r.Code == code.OK {
		t.Error("placed beyond the limit")
	}
	w.check(t)
}

// A planner that lost count puts a second task on a server that has no room for
// it, alone or in one placement with the first: the ledger takes neither.
func TestNoPlacementOvercommitsAServer(t *testing.T) {
	w := newWorld()
	w.announce("s0", 1, 10)
	first := w.accept("t0", "a", v1.Kind_KIND_BATCH, 2, 6, false).Job
	if r := w.place(first.Number, "s0", 0, 1); r.Code == code.OK {
		t.Error("two tasks were placed in the room of one")
	}
	if r := w.place(first.Number, "s0", 0); r.Code != code.OK {
		t.Fatal(r)
	}
	if r := w.place(first.Number, "s0", 1); r.Code == code.OK {
		t.Error("placed beside a task that leaves no room")
	}
	w.check(t)
}
