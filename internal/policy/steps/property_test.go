package steps_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/ledger/flows"
	"gypsumreel/internal/policy/speed"
	"gypsumreel/internal/policy/steps"
)

// drawBool draws a value of a field that may be set or not.
func drawBool(t *rapid.T, name string) bool { return rapid.Bool().Draw(t, name) }

// drawRare draws a value of a field that is mostly not set.
func drawRare(t *rapid.T, name string) bool {
	return rapid.SampledFrom([]bool{false, false, false, false, true}).Draw(t, name)
}

// drawTime draws a time of up to a few seconds, also before the present.
func drawTime(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.IntRange(-2000, 4000).Draw(t, name)) * time.Millisecond
}

// drawSize draws a size with some fields that are zero.
func drawSize(t *rapid.T, name string) capacity.Size {
	value := func(field string, values ...int64) int64 { return rapid.SampledFrom(values).Draw(t, name+" "+field) }
	return capacity.Size{CPU: value("cpu", 0, 1, 100, 1000), Memory: value("memory", 0, 1, 10), Accel: value("accel", 0, 0, 1), Slots: value("slots", 0, 0, 1)}
}

// drawServers draws servers of a few kinds: idle, partly used, full, and with less capacity than
// what runs there. A kind may have more servers than are sorted at a time.
func drawServers(t *rapid.T) (servers []steps.Server) {
	for kind := range rapid.IntRange(1, 8).Draw(t, "kinds of servers") {
		b := flows.Server{
			Pool:   rapid.SampledFrom([]string{"pool", "pool", "other"}).Draw(t, "pool"),
			Used:   drawSize(t, "used"),
			Labels: rapid.SliceOfN(rapid.SampledFrom([]string{"rack1", "rack2", "kind"}), 0, 2).Draw(t, "labels"),
		}
		b.Capacity = b.Used.Add(drawSize(t, "free").Times(rapid.SampledFrom([]int64{1, 20, 100}).Draw(t, "times")))
		if drawBool(t, "shrunk") {
			b.Capacity = b.Capacity.Sub(drawSize(t, "less")).Max(capacity.Size{})
		}
		b.ConsecutiveFailures = uint32(rapid.IntRange(0, 2).Draw(t, "failures"))
		s := steps.Server{
			Speed:       rapid.SampledFrom([]float64{0, 0.6, 1, 2.5}).Draw(t, "speed"),
			InSlowStart: drawBool(t, "slow start"), RecentlyStarted: drawBool(t, "recently started"), OnProbation: drawRare(t, "on probation"),
			Proven: drawBool(t, "proven"), SinceSuccess: max(drawTime(t, "since success"), 0),
			Probing: drawRare(t, "probing"), ShortLease: drawBool(t, "short lease"),
		}
		if drawRare(t, "not quiet") {
			s.QuietIn = time.Second
		}
		for i := range rapid.SampledFrom([]int{1, 2, 70, 200}).Draw(t, "servers") {
			one := b
			one.ID = fmt.Sprintf("s%d-%03d", kind, i)
			s.Server = &one
			servers = append(servers, s)
		}
	}
	return servers
}

// drawSpec draws a step with few tasks.
func drawSpec(t *rapid.T) *v1.FlowStep {
	size := drawSize(t, "size")
	return &v1.FlowStep{
		Count: uint32(rapid.IntRange(1, 8).Draw(t, "count")), Size: &v1.Size{Cpu: size.CPU, Memory: size.Memory, Accel: size.Accel},
		Gang: drawBool(t, "gang"), Together: drawBool(t, "together"), Apart: uint32(rapid.IntRange(0, 2).Draw(t, "apart")),
		Rack: rapid.SampledFrom([]string{"", "rack1"}).Draw(t, "rack"), Label: rapid.SampledFrom([]string{"", "", "", "kind"}).Draw(t, "label"),
		Lasting: drawBool(t, "lasting"), Fills: drawBool(t, "fills"),
	}
}

// drawItem draws a step of which some tasks may be placed already.
func drawItem(t *rapid.T, id string, servers []steps.Server) steps.Item {
	out := item(id, drawSpec(t))
	out.Flow.Customer = rapid.SampledFrom([]string{"free", "free", "free", "limited"}).Draw(t, "customer")
	for i := range out.Tasks {
		task := &out.Tasks[i]
		task.FailedRuns = uint32(rapid.IntRange(0, 2).Draw(t, "failed runs"))
		if drawRare(t, "suspect") {
			task.BlamedCrashes = uint32(rapid.IntRange(1, flows.MaxBlamedCrashes-1).Draw(t, "blamed crashes"))
		}
		if i > 0 && len(servers) > 0 && drawRare(t, "placed") {
			task.Phase, task.Server = flows.Placed, rapid.SampledFrom(servers).Draw(t, "server").ID
			out.QueuedTasks--
		}
	}
	out.Priority, out.Urgent = uint32(rapid.IntRange(0, 2).Draw(t, "priority")), drawBool(t, "urgent")
	out.Slack, out.ExpectedRuntime = drawTime(t, "slack"), max(drawTime(t, "runtime"), 0)
	out.Late, out.Worthless, out.Surplus, out.Overdue = drawBool(t, "late"), drawBool(t, "worthless"), drawBool(t, "surplus"), drawBool(t, "overdue")
	out.Begun, out.BelowFloor, out.Starved = drawBool(t, "begun"), drawBool(t, "below floor"), drawBool(t, "starved")
	out.Demand = speed.Step{Runtime: max(drawTime(t, "demand"), 0), Budget: drawTime(t, "budget")}
	out.QuestionSize = rapid.SampledFrom([]int{0, steps.MinServersPerQuestion, steps.MaxServersPerQuestion}).Draw(t, "question size")
	out.LastAttempt, out.MaxAttempts, out.ProofPeriod = drawRare(t, "last attempt"), 2, time.Second
	out.AwaitsProven, out.AwaitsLaterProof, out.FailedAt = drawRare(t, "awaits proven"), drawBool(t, "awaits later proof"), drawTime(t, "failed at")
	out.NeedsPermit, out.AdviserAsked = drawBool(t, "needs permit"), drawBool(t, "adviser asked")
	if len(servers) > 0 && drawBool(t, "failed") {
		out.FailedOn, out.FailedRacks = map[string]bool{rapid.SampledFrom(servers).Draw(t, "failed on").ID: true}, map[string]bool{"rack2": true}
	}
	return out
}

// drawPermissions draws what the adviser said about the servers: nothing, or each answer for some.
func drawPermissions(t *rapid.T, servers []steps.Server) func(flow.StepID) iter.Seq2[string, steps.Permission] {
	if drawBool(t, "nobody asked") {
		return notAsked
	}
	a, b := rapid.IntRange(0, 7).Draw(t, "permissions"), rapid.IntRange(0, 7).Draw(t, "more permissions")
	return func(id flow.StepID) iter.Seq2[string, steps.Permission] {
		return func(yield func(string, steps.Permission) bool) {
			for i, s := range servers {
				if p := steps.Permission((i*a + len(id.Flow)*b + i/5) % 4); p != steps.NotAsked && !yield(s.ID, p) {
					return
				}
			}
		}
	}
}

// drawView draws the input of a plan.
func drawView(t *rapid.T) steps.View {
	v := steps.View{Servers: drawServers(t), Contended: drawBool(t, "contended"), Uneven: drawBool(t, "uneven")}
	for i := range rapid.IntRange(1, 8).Draw(t, "items") {
		v.Items = append(v.Items, drawItem(t, fmt.Sprintf("f%0*d", 1+i%3, i), v.Servers))
	}
	v.MaxQuestions = rapid.SampledFrom([]int{0, 1, 8}).Draw(t, "most questions")
	v.Permissions = drawPermissions(t, v.Servers)
	limits := map[string]capacity.Size{
		"free":    {CPU: 1 << 40, Memory: 1 << 40, Accel: 1 << 40},
		"limited": drawSize(t, "limit").Times(4).Sub(drawSize(t, "beyond")),
	}
	v.RemainingLimit = func(customer string) capacity.Size { return limits[customer] }
	if drawBool(t, "headroom") {
		headroom := steps.Headroom{Size: drawSize(t, "headroom"), Tasks: rapid.SampledFrom([]int64{0, 1, 300}).Draw(t, "headroom tasks")}
		v.Headroom = func(string) steps.Headroom { return headroom }
	}
	if drawBool(t, "releases") {
		size, after := drawSize(t, "release"), drawTime(t, "release after")
		v.Releases = func(server string) []steps.Release {
			return []steps.Release{{After: after + time.Second, Size: size}, {After: time.Duration(len(server)), Size: size}}
		}
	}
	if drawBool(t, "allowed share") {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		v.AllowedShare = func(steps.Item) float64 { return share }
	}
	return v
}

// Guards against plans that never end, and against starts on servers without room for them,
// which the ledger refuses again and again: also where servers hold more than their capacity.
func TestEveryPlanEndsAndKeepsToTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		checkPlan(t, v, makeInTime(t, v))
	})
}

// checkPlan checks that no step was given up, that the placements of a plan fit on their servers, that gangs are whole, that
// no task is placed twice, and that questions are about servers.
func checkPlan(t *rapid.T, v steps.View, p steps.Plan) {
	if len(p.GivenUp) > 0 {
		t.Fatalf("the plan gave up %v", p.GivenUp)
	}
	free, placed := map[string]capacity.Size{}, map[flow.TaskID]bool{}
	for _, s := range v.Servers {
		free[s.ID] = s.FreeCapacity()
	}
	for _, placement := range p.Placements {
		size := flow.TaskSize(placement.Item.Spec)
		if n := len(placement.Assignments); placement.Item.Spec.GetGang() && n != len(placement.Item.Tasks) {
			t.Fatalf("%d tasks of gang %s start, want all %d", n, placement.Item.Flow.ID, len(placement.Item.Tasks))
		}
		for _, a := range placement.Assignments {
			if placed[a.TaskID] || placement.Item.Tasks[a.Index].Phase != flows.Queued {
				t.Fatalf("task %v starts twice", a.TaskID)
			}
			placed[a.TaskID] = true
			if free[a.Server] = free[a.Server].Sub(size); !free[a.Server].Valid() {
				t.Fatalf("server %s has %v left after the start of task %v", a.Server, free[a.Server], a.TaskID)
			}
		}
	}
	for _, q := range p.Questions {
		if n := len(q.Servers); n == 0 || n > steps.MaxServersPerStep {
			t.Fatalf("a question about step %s names %d servers", q.Item.Flow.ID, n)
		}
	}
}
