package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/page"
	"gypsumreel/internal/fake/server"
)

// inForce is how soon a withdrawn key and a drained server must be so everywhere.
const inForce = 2 * time.Second

// settled bounds a run of the matrix: by then everything must have its outcome.
const settled = 3 * time.Minute

// steps are the points at which a fault comes: when the leader first takes or
// gives one of these, or when the first entry begins its planned stop.
var steps = []string{"submit", "order", "report", "answer", "cancel", "table", "key", "drain", "stop"}

// A user sees a job lost, run twice, or answered in part or wrongly; a key that
// still works; a change that vanished. It happens when a process or a connection
// fails while a message of the step is on its way, so every fault is brought
// about at every step, on a virtual clock, and all promises are checked.
func TestEveryFaultAtEveryStep(t *testing.T) {
	var mu sync.Mutex
	checks := map[string]int{}
	slots := make(chan struct{}, 4)
	t.Run("matrix", func(t *testing.T) {
		for _, f := range faults() {
			for _, step := range steps {
				t.Run(f.name+" at "+step, func(t *testing.T) {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
					synctest.Test(t, func(t *testing.T) {
						n := runStory(t, f, step)
						mu.Lock()
						checks[f.name+"/"+step] = n
						mu.Unlock()
					})
				})
			}
		}
	})
	if !t.Failed() && len(checks) == len(faults())*len(steps) {
		page.CheckGenerated(t, "../../../docs/faults/edge.md", matrix(checks))
	}
}

// matrix is the table of the runs: the number of promises checked in each.
func matrix(checks map[string]int) string {
	var b strings.Builder
	b.WriteString("| fault | " + strings.Join(steps, " | ") + " |\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	total := 0
	for _, f := range faults() {
		b.WriteString("| " + f.name)
		for _, step := range steps {
			n := checks[f.name+"/"+step]
			total += n
			fmt.Fprintf(&b, " | %d", n)
		}
		b.WriteString(" |\n")
	}
	fmt.Fprintf(&b, "\n%d runs, %d promises checked, 0 broken.\n", len(checks), total)
	return b.String()
}

// story is one run: callers, an operator and a planned stop, with one fault.
type story struct {
	t      *testing.T
	w      *world
	checks atomic.Int32
	team   *client
	duty   *client
	extra  *client
}

func runStory(t *testing.T, f fault, step string) int {
	limit := 0
	if f.name == "full queue" {
		limit = 6
	}
	w := newWorld(limit)
	defer w.close()
	w.cell.mu.Lock()
	extra := w.cell.grant("extra", "quarry", false)
	w.cell.mu.Unlock()
	s := &story{t: t, w: w, team: w.client(w.team), duty: w.client(w.operator), extra: w.client(extra)}
	defer s.team.reset()
	defer s.duty.reset()
	defer s.extra.reset()
	s.plan(f, step)
	limitTimer := time.AfterFunc(settled, func() {
		w.note("late", "not settled in time")
		w.cancel()
	})
	defer limitTimer.Stop()

	var wg sync.WaitGroup
	for _, part := range []func(){s.work, s.once, s.cancelled, s.table, s.keys, s.drain, s.stop} {
		wg.Go(part)
	}
	wg.Wait()
	at := w.injected.Load()
	s.check(at != nil, "the fault never came")
	if at != nil && f.lasts > 0 {
		sleepUntil(w.ctx, at.Add(f.lasts+5*time.Second))
	}
	s.end()
	return int(s.checks.Load())
}

// plan brings the fault about when the step is first reached, and ends it.
func (s *story) plan(f fault, step string) {
	var once sync.Once
	w := s.w
	s.w.step = func(at string) {
		if at != step {
			return
		}
		once.Do(func() {
			now := time.Now()
			w.injected.Store(&now)
			w.wg.Go(func() {
				f.inject(w)
				if f.heal != nil {
					sleepUntil(w.ctx, time.Now().Add(f.lasts))
					f.heal(w)
				}
			})
		})
	}
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	w.cell.step = w.step
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}

func (s *story) check(ok bool, format string, args ...any) {
	s.checks.Add(1)
	if !ok {
		s.t.Errorf(format, args...)
	}
}

// work submits jobs that may be repeated, one of them longer than a lease, and wants the whole right answer to each.
func (s *story) work() {
	for i, wish := range []server.TaskScript{{}, {AnswerSize: 150_000}, {Sleep: "4s"}, {Sleep: "200ms", AnswerSize: 10}} {
		id := []string{"quick", "big", "long", "last"}[i]
		fault := s.team.runs(0, id, wish)
		s.check(fault == "", "%s", fault)
	}
}

// once submits a job that may run at most once.
func (s *story) once() {
	in := server.TaskScript{Sleep: "500ms"}.Input()
	s.team.submit(0, spec("once", true, in))
	reply, whole := s.team.wait(0, "once")
	s.check(reply.GetOutcome() >= v1.Outcome_OUTCOME_DONE, "once: no outcome, status %v", reply.GetStatus())
	if reply.GetOutcome() == v1.Outcome_OUTCOME_DONE {
		s.check(bytes.Equal(whole, in), "once: answer %q", whole)
	} else {
		s.checks.Add(1)
	}
}

// cancelled submits a long job and takes it back.
func (s *story) cancelled() {
	s.team.submit(0, spec("cancelled", false, server.TaskScript{Sleep: "1h"}.Input()))
	time.Sleep(300 * time.Millisecond)
	s.team.cancel(0, "cancelled")
	reply, _ := s.team.wait(0, "cancelled")
	c := code.Code(reply.GetStatus().GetCode())
	s.check(c == code.Stopped || c == code.Cancelled, "cancelled: status %v", reply.GetStatus())
}

// table makes changes, one of them twice and one from an old revision.
func (s *story) table() {
	edit := func(id string, base uint64) *v1.ChangeReply {
		return s.duty.change(0, &v1.ChangeRequest{Id: id, Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
			Base: base, Edits: []*v1.Edit{{Row: &v1.Row{Team: "quarry", Weight: 2}, Cells: []string{"weight"}}},
		}}})
	}
	time.Sleep(400 * time.Millisecond)
	first := edit("one", 0)
	second := edit("two", 1)
	again := edit("one", 0)
	old := edit("three", 0)
	s.check(first.GetRevision() == 1 && second.GetRevision() == 2, "revisions %d and %d", first.GetRevision(), second.GetRevision())
	s.check(again.GetRevision() == 1 && again.GetStatus().GetCode() == 0, "the resent change got %v", again)
	s.check(old.GetStatus().GetCode() == uint32(code.RevisionConflict), "the change from an old revision got %v", old.GetStatus())
}

// keys uses a key at the first entry until well after it was withdrawn at the other.
func (s *story) keys() {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			s.useKey(i)
		}
	})
	time.Sleep(600 * time.Millisecond)
	s.duty.change(1, &v1.ChangeRequest{Id: "withdraw", Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: "extra"}}})
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	s.check(len(s.w.noted("key")) == 0, "a withdrawn key still worked: %v", s.w.noted("key"))
}

// useKey reads and submits once with the extra key at the first entry.
func (s *story) useKey(i int) {
	ctx, cancel := context.WithTimeout(s.w.ctx, 1500*time.Millisecond)
	defer cancel()
	list := connect.NewRequest(&v1.ListRequest{})
	list.Header().Set("Authorization", "Bearer "+s.extra.key)
	if reply, err := s.extra.callers[0].List(ctx, list); err == nil && s.w.keyFault(reply.Msg.GetStatus(), time.Now()) {
		s.w.note("key", fmt.Sprintf("read %d", i))
	}
	submit := connect.NewRequest(&v1.SubmitRequest{Jobs: []*v1.Spec{spec(fmt.Sprintf("extra-%d", i), false, nil)}})
	submit.Header().Set("Authorization", "Bearer "+s.extra.key)
	reply, err := s.extra.callers[0].Submit(ctx, submit)
	if err == nil && s.w.keyFault(reply.Msg.GetJobs()[0].GetStatus(), time.Now()) {
		s.w.note("key", fmt.Sprintf("submission %d", i))
	}
}

// drain marks the second server as leaving.
func (s *story) drain() {
	time.Sleep(800 * time.Millisecond)
	mark := &v1.ChangeRequest{Id: "drain", Change: &v1.ChangeRequest_Mark{Mark: &v1.ServerMark{Server: "s2", Drain: true}}}
	reply := s.duty.change(1, mark)
	// With the leader gone from the start the server may not have announced yet.
	for n := 0; n < 50 && reply.GetStatus().GetCode() == uint32(code.NotFound); n++ {
		time.Sleep(200 * time.Millisecond)
		reply = s.duty.change(1, mark)
	}
	s.check(reply.GetStatus().GetCode() == 0, "drain: %v", reply.GetStatus())
}

// stop ends the first entry as planned and starts it again.
func (s *story) stop() {
	time.Sleep(1500 * time.Millisecond)
	s.w.step("stop")
	time.Sleep(time.Millisecond)
	p := s.w.process("e1")
	p.stop()
	select {
	case <-p.entry.Done():
	case <-s.w.ctx.Done():
	}
	s.w.startEntry("e1")
}

// end checks what must hold when all is over.
func (s *story) end() {
	w := s.w
	for _, late := range w.noted("late") {
		s.t.Error(late)
	}
	s.check(len(w.record.Violations()) == 0, "%v", w.record.Violations())
	broken := w.refusedButRan()
	s.check(len(broken) == 0, "%v", broken)
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	s.check(w.cell.revision == 2, "revision %d", w.cell.revision)
	if j, ok := w.cell.jobs["quarry/once"]; ok {
		starts := w.record.StartCount(server.Task{Job: j.number})
		s.check(starts <= 1, "once started %d times", starts)
		s.check(j.outcome != v1.Outcome_OUTCOME_NOT_RUN || starts == 0, "once was refused as not run and started")
	}
	late := w.record.LastStart("s2").Sub(w.cell.drained["s2"])
	s.check(late <= inForce, "the drained server started work %v later", late)
}
