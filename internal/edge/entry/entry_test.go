package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/fake/server"
)

func TestJobsRunAndAnswersComeBackWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0)
		defer w.close()
		c := w.client(w.team)
		defer c.reset()
		began := time.Now()
		for i, wish := range []server.TaskScript{{}, {Sleep: "300ms"}, {AnswerSize: 200_000}} {
			if fault := c.runs(i, fmt.Sprintf("job-%d", i), wish); fault != "" {
				t.Error(fault)
			}
			t.Log(time.Since(began))
		}
		for _, f := range w.record.Violations() {
			t.Error(f)
		}
	})
}
