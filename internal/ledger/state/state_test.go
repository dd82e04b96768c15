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

// replicaPair applies the same commands to two ledgers, as two replicas do.
type replicaPair struct {
	first, second *state.State
	now           int64
	sent          []*record.Command
}

func newReplicaPair() *replicaPair {
	pair := &replicaPair{first: state.New(), second: state.New()}
	limit := &v1.Size{Cpu: 16, Memory: -1, Accel: -1, Slots: -1}
	pair.change("table", &v1.ChangeRequest{Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{
		{Row: &v1.Row{Team: "t0", Weight: 1, Limit: limit, Queue: 100}},
		{Row: &v1.Row{Team: "t1", Weight: 2, Limit: limit, Queue: 100}},
	}}}})
	for _, name := range []string{"t0", "t1"} {
		pair.change("grant"+name, &v1.ChangeRequest{Change: &v1.ChangeRequest_Grant{Grant: &v1.KeyGrant{Id: "k" + name, Team: name, Digest: make([]byte, 32)}}})
	}
	return pair
}

func (pair *replicaPair) apply(c *record.Command) state.Result {
	pair.now += 1000
	c.At = pair.now
	pair.sent = append(pair.sent, c)
	// The second replica decodes the command from its bytes, as from the log.
	encoded, err := command.Encode(c)
	if err != nil {
		panic(err)
	}
	d, err := command.Decode(encoded)
	if err != nil {
		panic(err)
	}
	r := pair.first.Apply(c)
	pair.second.Apply(d)
	return r
}

func (pair *replicaPair) change(id string, req *v1.ChangeRequest) state.Result {
	req.Id = id
	return pair.apply(&record.Command{What: &record.Command_Change{Change: &record.Change{By: "op", Request: req}}})
}

func (pair *replicaPair) accept(team, id string, kind v1.Kind, count uint32, cpu int64, once bool) state.Result {
	spec := &v1.Spec{Id: id, Kind: kind, Count: count, Size: &v1.Size{Cpu: cpu}, Once: once}
	return pair.apply(&record.Command{What: &record.Command_Accept{Accept: &record.Accept{Team: team, Key: "k" + team, Spec: spec}}})
}

func (pair *replicaPair) announce(server string, nonce uint64, cpu int64) state.Result {
	return pair.apply(&record.Command{What: &record.Command_Announce{Announce: &record.Announce{Server: server, Nonce: nonce, Capacity: &v1.Size{Cpu: cpu}}}})
}

func (pair *replicaPair) place(job uint64, server string, indexes ...uint32) state.Result {
	b, _ := pair.first.Server(server)
	p := &record.Place{Job: job}
	for _, i := range indexes {
		p.Spots = append(p.Spots, &record.Spot{Index: i, Server: server, Incarnation: b.Incarnation})
	}
	return pair.apply(&record.Command{What: &record.Command_Place{Place: p}})
}

func (pair *replicaPair) end(t *state.Task, e *record.End) state.Result {
	e.Job, e.Index, e.Attempt = t.ID.Job, t.ID.Index, t.Attempt
	return pair.apply(&record.Command{What: &record.Command_End{End: e}})
}

func (pair *replicaPair) fence(server string) state.Result {
	b, _ := pair.first.Server(server)
	return pair.apply(&record.Command{What: &record.Command_Fence{Fence: &record.Fence{Server: server, Incarnation: b.Incarnation}}})
}

// checkInvariants verifies the invariants that the ledger alone must guarantee.
func (pair *replicaPair) checkInvariants(t interface{ Fatalf(string, ...any) }) {
	heldByServer := map[string]capacity.Size{}
	heldByTeam := map[string]capacity.Size{}
	for _, j := range pair.first.Jobs("") {
		heldTasks, startedTasks := uint32(0), uint32(0)
		pair.first.EachTask(j, func(k *state.Task) {
			if k.Phase.HoldsCapacity() {
				heldByServer[k.Server] = heldByServer[k.Server].Add(j.Spec.Size)
				heldByTeam[j.Spec.Team] = heldByTeam[j.Spec.Team].Add(j.Spec.Size)
				heldTasks++
			}
			if k.Started {
				startedTasks++
			}
			if k.Phase == state.NotRun && k.Started {
				t.Fatalf("job %d: a started task has the phase not run", j.Number)
			}
		})
		if j.Outcome == v1.Outcome_OUTCOME_NOT_RUN && startedTasks > 0 {
			t.Fatalf("job %d: outcome is not run, but %d tasks started", j.Number, startedTasks)
		}
		if j.Spec.AllOrNothing() && !j.Final() && heldTasks == 0 && j.WaitingTasks != j.Spec.Count {
			t.Fatalf("gang %d is stuck: no task holds capacity and only %d of %d tasks wait", j.Number, j.WaitingTasks, j.Spec.Count)
		}
		pair.first.EachTask(j, func(k *state.Task) {
			if heldTasks == 0 && !j.Final() && k.Phase == state.WaitingForGang {
				t.Fatalf("task %v waits forever for its gang", k.ID)
			}
		})
		if j.Spec.AllOrNothing() && heldTasks > 0 && j.WaitingTasks > 0 && heldTasks+j.WaitingTasks+j.FinalTasks == j.Spec.Count && partlyPlaced(pair.first, j) {
			t.Fatalf("gang %d has both placed and queued tasks", j.Number)
		}
		if j.HeldTasks != heldTasks {
			t.Fatalf("job %d: recorded held tasks %d, counted %d", j.Number, j.HeldTasks, heldTasks)
		}
	}
	waitingJobs, waitingTeams := 0, map[string]bool{}
	for _, j := range pair.first.Jobs("") {
		if !j.Final() && j.WaitingTasks > 0 {
			waitingJobs++
			waitingTeams[j.Spec.Team] = true
		}
	}
	if got := pair.first.Backlog(); got.Jobs != waitingJobs || got.Teams != len(waitingTeams) {
		t.Fatalf("backlog %v, counted %d waiting jobs of %d teams", got, waitingJobs, len(waitingTeams))
	}
	for _, b := range pair.first.Servers() {
		if !b.HeldCapacity.Fits(b.Capacity) || b.HeldCapacity != heldByServer[b.ID] {
			t.Fatalf("server %s: recorded held capacity %v, counted %v, total capacity %v", b.ID, b.HeldCapacity, heldByServer[b.ID], b.Capacity)
		}
	}
	for _, r := range pair.first.Table().Rows() {
		if !heldByTeam[r.Name].Within(r.Limit) || pair.first.TeamHeldCapacity(r.Name) != heldByTeam[r.Name] {
			t.Fatalf("team %s holds %v with limit %v", r.Name, heldByTeam[r.Name], r.Limit)
		}
	}
	if pair.first.InvalidTransitions() > 0 {
		t.Fatalf("an event that the state chart does not allow occurred in %v", pair.sent[len(pair.sent)-1])
	}
	if pair.first.Digest() != pair.second.Digest() {
		t.Fatalf("replicas differ after %v", pair.sent[len(pair.sent)-1])
	}
}

// partlyPlaced reports whether one task of the job is placed while another is queued.
func partlyPlaced(st *state.State, j *state.Job) bool {
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

// Guards against commands, in any order and also from a faulty planner, that overcommit
// a server, exceed a team's limit, report "not run" for a task that ran, start an
// unrepeatable task twice, or let replicas differ.
func TestInvariantsHoldForAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newReplicaPair()
		starts := map[task.ID]int{}
		var builder *state.SnapshotBuilder
		var wantSnapshot []byte
		defer func() { builder.Cancel() }()
		drawIndex := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		tasks := func() (out []*state.Task) {
			for _, j := range pair.first.Jobs("") {
				pair.first.EachTask(j, func(k *state.Task) { out = append(out, k) })
			}
			return out
		}
		server := func() string { return []string{"s0", "s1", "s2"}[drawIndex("server", 3)] }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				team := []string{"t0", "t1"}[drawIndex("team", 2)]
				id := []string{"a", "b", "c", "d", "e", "f"}[drawIndex("id", 6)]
				kind := []v1.Kind{v1.Kind_KIND_BATCH, v1.Kind_KIND_GANG, v1.Kind_KIND_SERVICE}[drawIndex("kind", 3)]
				pair.accept(team, id, kind, uint32(1+drawIndex("count", 3)), int64(1+drawIndex("cpu", 12)), drawIndex("once", 2) == 0)
			},
			"announce": func(*rapid.T) { pair.announce(server(), uint64(drawIndex("nonce", 3)), 20) },
			"place": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					k := ts[drawIndex("task", len(ts))]
					j, _ := pair.first.Job(k.ID.Job)
					indexes := []uint32{k.ID.Index}
					if j.Spec.AllOrNothing() && drawIndex("whole", 4) > 0 {
						indexes = nil
						for i := range j.Spec.Count {
							indexes = append(indexes, i)
						}
					}
					pair.place(k.ID.Job, server(), indexes...)
				}
			},
			"end": func(t *rapid.T) {
				ts := tasks()
				if len(ts) == 0 {
					return
				}
				k := ts[drawIndex("task", len(ts))]
				started := drawIndex("started", 2) == 0
				ended := started && drawIndex("ended", 2) == 0
				r := pair.end(k, &record.End{Started: started, Ended: ended, Exit: int32(drawIndex("exit", 2))})
				if r.Code != code.OK || !started {
					return
				}
				starts[k.ID]++
				if j, _ := pair.first.Job(k.ID.Job); j.Spec.AtMostOnce && starts[k.ID] > 1 {
					t.Fatalf("task %v may not be repeated but started %d times", k.ID, starts[k.ID])
				}
			},
			"halt": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					k := ts[drawIndex("task", len(ts))]
					pair.apply(&record.Command{What: &record.Command_Halt{Halt: &record.Halt{Job: k.ID.Job, Indexes: []uint32{k.ID.Index}, Checkpoint: drawIndex("save", 2) == 0}}})
				}
			},
			"cancel": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					pair.apply(&record.Command{What: &record.Command_Cancel{Cancel: &record.Cancel{Jobs: []uint64{ts[drawIndex("task", len(ts))].ID.Job}}}})
				}
			},
			"drop": func(*rapid.T) {
				if ts := tasks(); len(ts) > 0 {
					c := []code.Code{code.DeadlinePassed, code.GivenUp}[drawIndex("why", 2)]
					pair.apply(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: ts[drawIndex("task", len(ts))].ID.Job, Code: uint32(c)}}})
				}
			},
			"fence": func(*rapid.T) { pair.fence(server()) },
			"forget": func(*rapid.T) {
				pair.apply(&record.Command{What: &record.Command_Forget{Forget: pair.first.ExpiredRecords(pair.first.Now(), 2)}})
			},
			// A snapshot copy is taken while commands are applied. It must show the
			// state at its beginning. Otherwise a restart would apply the later
			// commands twice.
			"overlapping snapshot": func(t *rapid.T) {
				if builder == nil {
					builder, wantSnapshot = pair.second.BeginSnapshot(), encode(t, pair.second)
				}
			},
			"restore": func(t *rapid.T) {
				data, err := pair.second.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if pair.second, err = state.Decode(data); err != nil {
					t.Fatal(err)
				}
				again, _ := pair.second.Encode()
				if diff := cmp.Diff(data, again); diff != "" {
					t.Fatalf("the snapshot differs after decoding and encoding: %s", diff)
				}
			},
			"": func(t *rapid.T) {
				pair.checkInvariants(t)
				if builder != nil && builder.CopyRecords(1) {
					if !bytes.Equal(wantSnapshot, encode(t, builder.State())) {
						t.Fatal("the snapshot copy differs from the state at its beginning")
					}
					builder = nil
				}
			},
		})
	})
}

// Guards against a gang that waits forever: one task is lost, the others are ordered to
// stop, and the last of them ends by itself before the order arrives. The whole gang
// must be queued again.
func TestGangRestartsWhenItsLastTaskEndsBeforeItsStop(t *testing.T) {
	pair := newReplicaPair()
	pair.announce("s0", 1, 20)
	pair.announce("s1", 1, 20)
	j := pair.accept("t0", "sweep", v1.Kind_KIND_GANG, 2, 10, false).Job
	b0, _ := pair.first.Server("s0")
	b1, _ := pair.first.Server("s1")
	pair.apply(&record.Command{What: &record.Command_Place{Place: &record.Place{Job: j.Number, Spots: []*record.Spot{
		{Index: 0, Server: "s0", Incarnation: b0.Incarnation}, {Index: 1, Server: "s1", Incarnation: b1.Incarnation},
	}}}})
	pair.fence("s0")
	last, _ := pair.first.Task(task.ID{Job: j.Number, Index: 1})
	pair.end(last, &record.End{Started: true, Ended: true, Answer: []byte("half")})
	pair.checkInvariants(t)
	if now, _ := pair.first.Job(j.Number); now.WaitingTasks != 2 {
		t.Errorf("%d of 2 gang tasks wait, want 2", now.WaitingTasks)
	}
}

// Guards against overcommitting a server that restarts within its lease. Its old
// process may still run the old task, so the task holds capacity and the new session is
// refused until the lease expires.
func TestOldTasksOfARestartedServerCountUntilItsLeaseExpires(t *testing.T) {
	pair := newReplicaPair()
	pair.announce("s0", 1, 10)
	j := pair.accept("t0", "plan", v1.Kind_KIND_BATCH, 1, 10, false).Job
	pair.place(j.Number, "s0", 0)
	if r := pair.announce("s0", 2, 10); r.Code != code.MembershipChangePending {
		t.Errorf("announce while the old session holds a task: got %v, want Busy", r)
	}
	pair.fence("s0")
	if r := pair.announce("s0", 2, 10); r.Code != code.OK || r.Incarnation != 2 {
		t.Errorf("announce after the fence: got %v, want incarnation 2", r)
	}
	pair.checkInvariants(t)
}

// Guards against a second start of a task that may not be repeated. The server stops
// the task because its lease expired, and reports that later. If the program had
// started, the outcome is unknown. If not, the task is queued again.
func TestUnrepeatableTaskIsNotRestartedAfterAStop(t *testing.T) {
	for started, want := range map[bool]state.Phase{true: state.Unknown, false: state.Queued} {
		pair := newReplicaPair()
		pair.announce("s0", 1, 10)
		j := pair.accept("t0", "stock", v1.Kind_KIND_BATCH, 1, 10, true).Job
		pair.place(j.Number, "s0", 0)
		k, _ := pair.first.Task(task.ID{Job: j.Number})
		pair.end(k, &record.End{Started: started})
		if k, _ = pair.first.Task(k.ID); k.Phase != want {
			t.Errorf("started = %v: got phase %v, want %v", started, k.Phase, want)
		}
		pair.checkInvariants(t)
	}
}

// Guards against a planner that works with outdated usage of a team or with a limit
// that was just lowered. The ledger refuses a placement beyond the limit.
func TestPlacementsNeverExceedATeamLimit(t *testing.T) {
	pair := newReplicaPair()
	pair.announce("s0", 1, 20)
	first := pair.accept("t0", "a", v1.Kind_KIND_BATCH, 1, 10, false).Job
	second := pair.accept("t0", "b", v1.Kind_KIND_BATCH, 1, 10, false).Job
	if r := pair.place(first.Number, "s0", 0); r.Code != code.OK {
		t.Fatal(r)
	}
	if r := pair.place(second.Number, "s0", 0); r.Code == code.OK {
		t.Error("the second task was placed beyond the limit of the team")
	}
	pair.checkInvariants(t)
}

// Guards against a planner that miscounts and places a second task on a full server,
// alone or in one command with the first. The ledger refuses both.
func TestPlacementsNeverOvercommitAServer(t *testing.T) {
	pair := newReplicaPair()
	pair.announce("s0", 1, 10)
	first := pair.accept("t0", "a", v1.Kind_KIND_BATCH, 2, 6, false).Job
	if r := pair.place(first.Number, "s0", 0, 1); r.Code == code.OK {
		t.Error("two tasks were placed on a server with capacity for one")
	}
	if r := pair.place(first.Number, "s0", 0); r.Code != code.OK {
		t.Fatal(r)
	}
	if r := pair.place(first.Number, "s0", 1); r.Code == code.OK {
		t.Error("a second task was placed on a full server")
	}
	pair.checkInvariants(t)
}
