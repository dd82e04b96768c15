package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gypsumreel/internal/fake/server"
)

// Guards against jobs that never finish and answers that arrive incomplete or
// altered, with quick jobs, slow jobs and answers of several chunks.
func TestJobsRunAndReturnCompleteAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell(0)
		defer w.close()
		c := w.newClient(w.teamKey)
		defer c.closeIdle()
		startedAt := time.Now()
		for i, wish := range []server.TaskScript{{}, {Sleep: "300ms"}, {AnswerSize: 200_000}} {
			if problem := c.runJob(i, fmt.Sprintf("job-%d", i), wish); problem != "" {
				t.Error(problem)
			}
			t.Log(time.Since(startedAt))
		}
		for _, violation := range w.taskRecord.Violations() {
			t.Error(violation)
		}
	})
}
