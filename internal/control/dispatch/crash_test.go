package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/fake/worker"
)

// mostCrashes is how many servers one task may take down: three, and two more by
// starts that were decided before the third was known.
const mostCrashes = 5

// crashing lets the first task of a flow take down every server that starts it.
func (w *world) crashing(id string) {
	w.do(func() {
		w.crashes = func(r flow.RunID) bool { return r.Flow == id && r.Index == 0 }
	})
}

// blame checks how many servers each task took down.
func (w *world) blame(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashed) == 0 {
		t.Error("no server crashed")
	}
	for id, n := range w.crashed {
		if n > mostCrashes {
			t.Errorf("%v took down %d servers, %d at most are allowed", id, n, mostCrashes)
		}
	}
}

// A task that crashes whatever server starts it takes down one after the other, with
// all that works there.
func TestTaskThatCrashesItsServersIsGivenUp(t *testing.T) {
	lasting := step(1, 1000)
	lasting.Lasting = true
	for name, s := range map[string]*v1.FlowStep{"single": step(3, 1000), "gang": gangOf(6, 1000), "lasting": lasting} {
		t.Run(name, func(t *testing.T) {
			play(t, 16, func(t *testing.T, w *world) {
				w.crashing("a")
				for i := range 8 {
					w.submit(fmt.Sprint("b", i), step(4, 500))
				}
				w.submit("a", s)
				w.await("a", failed, 20*time.Second)
				for i := range 8 {
					w.await(fmt.Sprint("b", i), done, 20*time.Second)
				}
				w.blame(t)
			})
		})
	}
}

// Each leader that follows takes the crashes under a task for the first.
func TestCrashesAreCountedAcrossLeaders(t *testing.T) {
	play(t, 16, func(t *testing.T, w *world) {
		w.crashing("a")
		w.submit("a", step(1, 1000))
		for range 20 {
			time.Sleep(700 * time.Millisecond)
			w.elect()
		}
		w.await("a", failed, 10*time.Second)
		w.blame(t)
	})
}

// Servers crash by themselves, over and over, and work on them that is sound is
// given up with them.
func TestSoundWorkOutlivesServersThatCrash(t *testing.T) {
	play(t, 12, func(_ *testing.T, w *world) {
		w.change(func(_ string, one *worker.Worker) {
			one.Work = func(flow.RunID) (time.Duration, inner.RunEnd) {
				return 800 * time.Millisecond, inner.RunEnd_RUN_END_DONE
			}
		})
		w.lives.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-w.done:
					return
				case <-time.After(400 * time.Millisecond):
				}
				w.crashSome(i)
			}
		})
		for i := range 40 {
			w.submit(fmt.Sprint("b", i), step(3, 500))
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 40 {
			w.await(fmt.Sprint("b", i), done, 20*time.Second)
		}
	})
}

// crashSome crashes the server that is next in turn.
func (w *world) crashSome(turn int) {
	w.mu.Lock()
	id := fmt.Sprint("s", 1+turn%4)
	for w.workers["r"+id] != nil {
		id = "r" + id
	}
	w.mu.Unlock()
	w.crash(id, nil)
}
