package scenario

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/fake/server"
)

// maxKeyWithdrawalTime is the guaranteed time after the acknowledgement of a key's withdrawal
// from which no entry accepts a call with the key.
const maxKeyWithdrawalTime = 2 * time.Second

// runWorkload submits jobs while faults are injected, and waits for their outcomes.
func (t *Scenario) runWorkload(ctx context.Context) error {
	var wg sync.WaitGroup
	faultError := make(chan error, 1)
	wg.Go(func() { faultError <- t.injectFaults(ctx) })
	wg.Go(func() { t.runService(ctx) })
	end := time.Now().Add(submitDuration)
	tick := time.NewTicker(t.Interval)
	defer tick.Stop()
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		spec := jobSpec(n)
		wg.Go(func() { t.runJob(ctx, t.callers[teams[n%len(teams)]], spec) })
		<-tick.C
	}
	t.OnStep("waiting for the last answers", 0.9)
	wg.Wait()
	t.computeFailover()
	return errors.CombineErrors(<-faultError, ctx.Err())
}

// jobSpec returns the specification of the n-th job. Of six consecutive jobs three are
// urgent, two are batch jobs, and one is a gang of three tasks.
func jobSpec(n int) *v1.Spec {
	spec := &v1.Spec{
		Id: fmt.Sprintf("job-%d", n), Name: "quote", Kind: v1.Kind_KIND_URGENT, Count: 1,
		Size:  &v1.Size{Cpu: 1000, Memory: 512, Slots: 1},
		Input: server.TaskScript{Sleep: "20ms", AnswerSize: answerBytes}.Input(),
	}
	switch n % 6 {
	case 2:
		spec.Kind, spec.Name, spec.Once = v1.Kind_KIND_BATCH, "reconciliation", true
	case 3:
		spec.Kind, spec.Name = v1.Kind_KIND_BATCH, "plan"
	case 5:
		spec.Kind, spec.Name, spec.Count = v1.Kind_KIND_GANG, "sweep", 3
	}
	return spec
}

// runJob submits one job and checks its outcome and answer.
func (t *Scenario) runJob(ctx context.Context, c *caller.Client, spec *v1.Spec) {
	ctx, cancel := context.WithTimeout(ctx, submitDuration+settleTimeout)
	defer cancel()
	submittedAt := time.Now()
	acceptances, err := c.Submit(ctx, []*v1.Spec{spec}, true)
	if err != nil || acceptances[0].GetStatus().GetCode() != 0 {
		t.increment(&t.report.Refused)
		return
	}
	t.recordAccepted()
	result, err := c.Wait(ctx, spec.GetId())
	switch {
	case err != nil || !caller.IsFinal(result.Outcome):
		t.increment(&t.report.Lost)
	case result.Outcome == v1.Outcome_OUTCOME_UNKNOWN && spec.GetOnce():
		t.increment(&t.report.Unknown)
	case result.Outcome != v1.Outcome_OUTCOME_DONE || result.Code != code.OK:
		t.increment(&t.report.Lost)
		t.recordViolation("%s ended with outcome %v: %s", spec.GetId(), result.Outcome, result.Text)
	case !bytes.Equal(result.Data, bytes.Repeat(server.AnswerPattern(answerBytes), int(spec.GetCount()))):
		t.increment(&t.report.Lost)
		t.recordViolation("%s: answer of %d bytes is incomplete or wrong", spec.GetId(), len(result.Data))
	default:
		t.recordDone(time.Since(submittedAt))
	}
}

func (t *Scenario) increment(n *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*n++
}

func (t *Scenario) recordAccepted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Accepted++
	t.acceptanceTimes = append(t.acceptanceTimes, time.Now())
}

func (t *Scenario) recordDone(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Done++
	_ = t.waitHistogram.RecordValue(d.Microseconds())
}

// injectFaults kills the leader, restarts it, and withdraws an API key, a third of the
// submission time apart.
func (t *Scenario) injectFaults(ctx context.Context) error {
	t.OnStep("submitting urgent, batch, gang and service jobs for two teams", 0.1)
	pause(ctx, submitDuration/3)
	name, err := t.leader(ctx)
	if err != nil {
		return err
	}
	t.OnStep("killing the leader, "+name, 0.4)
	t.recordLeaderKill(time.Now())
	t.cell.Kill(name)
	pause(ctx, submitDuration/3)
	t.OnStep("restarting "+name, 0.6)
	if err := t.cell.Restart(name); err != nil {
		return err
	}
	t.OnStep("withdrawing a key", 0.7)
	return t.withdrawKey(ctx)
}

// leader returns the name of the leader. It waits for one, because a loaded machine may
// delay heartbeats until the leader is lost.
func (t *Scenario) leader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if name, ok := t.cell.Leader(); ok {
			return name, nil
		}
		pause(ctx, 10*time.Millisecond)
	}
	return "", errors.New("no leader found before the timeout")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// recordLeaderKill stores the time of the kill in Report.Failover until computeFailover
// replaces it.
func (t *Scenario) recordLeaderKill(killedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Failover = killedAt.UnixMilli()
}

// computeFailover sets Report.Failover to the time from the kill of the leader to the next
// accepted job, or to -1 if there is none.
func (t *Scenario) computeFailover() {
	t.mu.Lock()
	defer t.mu.Unlock()
	killedAt := time.UnixMilli(t.report.Failover)
	t.report.Failover = -1
	for _, acceptedAt := range t.acceptanceTimes {
		// Up to 50 ms after the kill, an acceptance may still come from the killed leader.
		d := acceptedAt.Sub(killedAt).Milliseconds()
		if d > 50 && (t.report.Failover < 0 || d < t.report.Failover) {
			t.report.Failover = d
		}
	}
}

// withdrawKey withdraws the spare key and calls each entry until the key is refused.
func (t *Scenario) withdrawKey(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	requestedAt := time.Now()
	if _, err := t.operator.Change(ctx, &v1.ChangeRequest{Id: "withdraw", Change: &v1.ChangeRequest_Withdraw{
		Withdraw: &v1.KeyWithdraw{Id: "spare"},
	}}); err != nil {
		return errors.Wrap(err, "withdraw a key")
	}
	acknowledgedAt := time.Now()
	c := t.callers["spare"]
	for range entries {
		lastAccepted, refused := pollUntilRefused(ctx, func() error {
			_, err := c.List(ctx, &v1.ListRequest{})
			return err
		})
		if d := lastAccepted.Sub(acknowledgedAt); d > maxKeyWithdrawalTime {
			t.recordViolation("a withdrawn key was accepted for %v, limit %v", d, maxKeyWithdrawalTime)
		}
		if !refused {
			t.recordViolation("a withdrawn key was not refused everywhere within %v", settleTimeout)
			break
		}
		c.Transport.NextEntry()
	}
	t.mu.Lock()
	t.report.Withdrawal = time.Since(requestedAt).Milliseconds()
	t.mu.Unlock()
	return nil
}

// pollUntilRefused makes a call with a withdrawn key again and again until the key is
// refused or ctx ends. It returns when the last accepted call was sent, which is the zero
// time if none was accepted. A refusal that arrives late does not show that the key worked
// until then.
func pollUntilRefused(ctx context.Context, call func() error) (lastAccepted time.Time, refused bool) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		err := call()
		var refusal *code.Error
		switch {
		case err == nil:
			lastAccepted = sentAt
		case errors.As(err, &refusal) && refusal.Code == code.InvalidKey:
			return lastAccepted, true
		}
		pause(ctx, 10*time.Millisecond)
	}
	return lastAccepted, false
}

// runService submits a service of three tasks, checks that all of them run when job
// submission ends, and cancels it.
func (t *Scenario) runService(ctx context.Context) {
	c := t.callers[teams[0]]
	spec := &v1.Spec{
		Id: "service", Name: "catalogue", Kind: v1.Kind_KIND_SERVICE, Count: 3, Floor: 2,
		Size: &v1.Size{Cpu: 1000, Memory: 512, Slots: 1}, Input: server.TaskScript{Sleep: "10m"}.Input(),
	}
	acceptances, err := c.Submit(ctx, []*v1.Spec{spec}, true)
	if err != nil || acceptances[0].GetStatus().GetCode() != 0 {
		t.recordViolation("the service was refused: %v", err)
		return
	}
	t.recordAccepted()
	pause(ctx, submitDuration)
	jobs, err := c.List(ctx, &v1.ListRequest{Ids: []string{spec.GetId()}})
	if err != nil || len(jobs) != 1 || jobs[0].GetRunning() != spec.GetCount() {
		t.recordViolation("not all %d tasks of the service run: %v (error: %v)", spec.GetCount(), jobs, err)
	}
	if _, err := c.Cancel(ctx, []string{spec.GetId()}, nil); err != nil {
		t.recordViolation("canceling the service failed: %v", err)
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	result, err := c.Wait(waitCtx, spec.GetId())
	if err != nil || result.Code != code.Stopped {
		t.recordViolation("canceled service ended with outcome %v: %s (error: %v)", result.Outcome, result.Text, err)
		return
	}
	t.increment(&t.report.Done)
}
