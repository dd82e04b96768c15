package progress_test

import (
	"testing"
	"time"

	"gypsumreel/internal/policy/progress"
)

// thread is a control thread as a watch sees it, and its judge.
type thread struct {
	progress.Look
	judge progress.Judge
}

func newThread() *thread {
	th := &thread{Look: progress.Look{At: time.Hour, Leads: true}}
	th.judge.Look(th.Look)
	return th
}

// looks lets a look come after each interval, and returns the verdict at the end and after how long
// it came.
func (th *thread) looks(duration, interval time.Duration, before func()) (verdict progress.Verdict, after time.Duration) {
	begin := th.At
	for th.At-begin < duration {
		th.At += interval
		before()
		if v := th.judge.Look(th.Look); v != verdict {
			verdict, after = v, th.At-begin
		}
	}
	return verdict, after
}

func (th *thread) beginTurn() { th.InTurn, th.Number, th.Parts = true, th.Number+1, th.Parts+1 }
func (th *thread) endPart()   { th.Parts++ }
func (th *thread) endTurn()   { th.InTurn, th.Parts = false, th.Parts+1 }
func (th *thread) turn()      { th.beginTurn(); th.endTurn() }
func stand()                  {}

func expect(t *testing.T, load string, want progress.Verdict, got progress.Verdict) {
	t.Helper()
	if got != want {
		t.Errorf("%s: the verdict is %q, want %q", load, got, want)
	}
}

// Guards against a leader that answers nobody and keeps the lead: a decision that never ends.
func TestControlThreadThatStandsIsNoticed(t *testing.T) {
	th := newThread()
	th.beginTurn()
	verdict, after := th.looks(5*time.Second, progress.Interval, stand)
	expect(t, "a part that does not end", progress.Stands, verdict)
	if after < 1500*time.Millisecond || after > 2500*time.Millisecond {
		t.Errorf("the verdict came after %v, want about 2 s", after)
	}
	th.endPart()
	verdict, _ = th.looks(progress.Interval, progress.Interval, stand)
	expect(t, "the part has ended, not the turn", progress.Stands, verdict)
	th.endTurn()
	verdict, _ = th.looks(progress.Interval, progress.Interval, stand)
	expect(t, "the turn has ended", progress.Well, verdict)
}

// Guards against a loop over the same items, of which each ends.
func TestTurnThatDoesNotEndIsNoticedAlthoughItsPartsEnd(t *testing.T) {
	th := newThread()
	th.beginTurn()
	verdict, after := th.looks(15*time.Second, progress.Interval, th.endPart)
	expect(t, "parts that end", progress.Endless, verdict)
	if after < 9*time.Second || after > 11*time.Second {
		t.Errorf("the verdict came after %v, want about 10 s", after)
	}
}

// Guards against a leader whose decisions nobody gets, for example after a gap in its proposals.
func TestLeaderThatCommitsNothingIsNoticed(t *testing.T) {
	th := newThread()
	th.ProposedAt = th.At
	verdict, after := th.looks(5*time.Second, progress.Interval, th.turn)
	expect(t, "no commit", progress.Uncommitted, verdict)
	if after < 1500*time.Millisecond || after > 2500*time.Millisecond {
		t.Errorf("the verdict came after %v, want about 2 s", after)
	}
	th.ProposedAt = 0
	verdict, _ = th.looks(progress.Interval, progress.Interval, th.turn)
	expect(t, "everything is committed", progress.Well, verdict)
}

// Guards against election after election under an overload: each part takes long, but ends.
func TestSlowControlThreadKeepsTheLead(t *testing.T) {
	th := newThread()
	for range 20 {
		th.beginTurn()
		for range 5 {
			th.endPart()
			verdict, _ := th.looks(1500*time.Millisecond, progress.Interval, stand)
			expect(t, "turns of 7.5 s with parts of 1.5 s", progress.Well, verdict)
		}
		th.endTurn()
	}
}

// Guards against the loss of the lead in turns that are too long for the control thread to learn of
// commits, though each proposal is committed.
func TestLongTurnsHideCommits(t *testing.T) {
	th := newThread()
	for range 20 {
		th.ProposedAt = th.At
		th.beginTurn()
		verdict, _ := th.looks(5*time.Second, progress.Interval, th.endPart)
		expect(t, "turns of 5 s", progress.Well, verdict)
		th.endTurn()
		th.looks(progress.Interval, progress.Interval, stand)
	}
}

// Guards against the loss of the lead by a pause of the process, as SIGSTOP makes it.
func TestPausedProcessKeepsTheLead(t *testing.T) {
	th := newThread()
	th.beginTurn()
	th.ProposedAt = th.At
	for range 50 {
		verdict, _ := th.looks(5*time.Second, 5*time.Second, stand)
		expect(t, "a process paused again and again", progress.Well, verdict)
	}
}

// Guards against the loss of the lead for want of processor time: the looks come late and so do the
// ends of parts.
func TestProcessWithoutProcessorTimeKeepsTheLead(t *testing.T) {
	th := newThread()
	for range 20 {
		th.beginTurn()
		verdict, _ := th.looks(9*time.Second, 3*progress.Interval, stand)
		expect(t, "late looks", progress.Well, verdict)
		th.endTurn()
	}
}

// Guards against a series of elections where all disks are slow: each time, the leader waits longer
// before it gives up, until it has led well for some time.
func TestLeaderThatGaveUpIsPatient(t *testing.T) {
	th := newThread()
	giveUp := func() time.Duration {
		th.Leads = true
		th.looks(time.Second, progress.Interval, th.turn)
		th.ProposedAt = th.At
		verdict, after := th.looks(5*time.Minute, progress.Interval, th.turn)
		expect(t, "slow disks", progress.Uncommitted, verdict)
		th.ProposedAt, th.Leads = 0, false
		th.looks(5*time.Minute, progress.Interval, th.turn)
		return after
	}
	first, second, third := giveUp(), giveUp(), giveUp()
	if second < 2*first-progress.Interval || third < 2*second-progress.Interval {
		t.Errorf("the leader gave up after %v, %v and %v", first, second, third)
	}
	th.Leads = true
	th.looks(2*time.Minute, progress.Interval, th.turn)
	if again := giveUp(); again != first {
		t.Errorf("after it led well, the leader gave up after %v, want %v", again, first)
	}
}

// Guards against a process whose control thread stands for good: it follows nobody and fills the
// memory with what it does not take.
func TestStandingProcessIsLost(t *testing.T) {
	th := newThread()
	th.Leads = false
	th.beginTurn()
	verdict, after := th.looks(2*time.Minute, progress.Interval, stand)
	expect(t, "no part ends", progress.Lost, verdict)
	if after < 20*time.Second || after > time.Minute {
		t.Errorf("the process was lost after %v", after)
	}
}

// Guards against a replica that is started again and again while it applies a long log, and against
// one that stays in a loop for good.
func TestTurnWithPartsThatEndIsLostLate(t *testing.T) {
	th := newThread()
	th.Leads = false
	th.beginTurn()
	verdict, _ := th.looks(4*time.Minute, progress.Interval, th.endPart)
	expect(t, "a turn of four minutes", progress.Endless, verdict)
	verdict, _ = th.looks(2*time.Minute, progress.Interval, th.endPart)
	expect(t, "a turn of six minutes", progress.Lost, verdict)
}

// Guards against a leader that was found to commit nothing, and whose control thread then stands.
func TestStandingLeaderWithoutCommitsIsLost(t *testing.T) {
	th := newThread()
	th.ProposedAt = th.At
	th.looks(3*time.Second, progress.Interval, th.turn)
	th.beginTurn()
	verdict, _ := th.looks(2*time.Minute, progress.Interval, stand)
	expect(t, "no commit and no end of a turn", progress.Lost, verdict)
}
