package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/load/rig"
)

// delayRow is the output row of a change measurement. The delays run from the
// operator's request until every process applies the change.
type delayRow struct {
	Measurement string  `json:"part"`
	DelaySet    string  `json:"place"`
	Count       int     `json:"count"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	Max         float64 `json:"max_ms"`
}

const (
	// changesPerKind is the number of measured changes of each kind.
	changesPerKind = 60
	// pollInterval is the pause between two polls of a process.
	pollInterval = 2 * time.Millisecond
)

// measureChanges measures how long key withdrawals and table changes take until every
// process applies them.
func measureChanges(ctx context.Context, m *measurement) error {
	return m.withServers(ctx, func(ctx context.Context, r *rig.Rig, _ *rig.Fleet, _ string) error {
		for name, measureChange := range map[string]func(context.Context, *rig.Rig, int) (time.Duration, error){
			"key-withdrawal": measureWithdrawal, "table-change": measureTableChange,
		} {
			var applyDelays []time.Duration
			for i := range changesPerKind {
				d, err := measureChange(ctx, r, i)
				if err != nil {
					return err
				}
				applyDelays = append(applyDelays, d)
			}
			slices.Sort(applyDelays)
			quantile := func(q float64) float64 { return toMillis(applyDelays[int(math.Ceil(q*float64(len(applyDelays))))-1]) }
			if err := printRow(delayRow{Measurement: name, DelaySet: m.DelaySet, Count: len(applyDelays), P50: quantile(0.5), P99: quantile(0.99), Max: quantile(1)}); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureWithdrawal withdraws a key and polls each entry with it until all entries
// refuse it.
func measureWithdrawal(ctx context.Context, r *rig.Rig, i int) (time.Duration, error) {
	id := fmt.Sprintf("dead-%d", i)
	token, err := r.GrantKey(ctx, "measured", id)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	_, err = r.OperatorClient().Change(ctx, &v1.ChangeRequest{Id: "withdraw-" + id, Change: &v1.ChangeRequest_Withdraw{Withdraw: &v1.KeyWithdraw{Id: id}}})
	if err != nil {
		return 0, err
	}
	for _, address := range r.CallerURLs() {
		c := &caller.Client{Transport: &transport.Client{Addresses: []string{address}, Key: token}}
		for {
			got, err := c.Submit(ctx, []*v1.Spec{{Id: "x", Kind: v1.Kind_KIND_BATCH, Name: "x", Count: 1, Size: &v1.Size{Cpu: 1, Memory: 1, Slots: 1}, Runtime: 1}}, true)
			if err == nil && code.Code(got[0].GetStatus().GetCode()) == code.InvalidKey || err != nil && transport.AsCodeError(err).Code == code.InvalidKey {
				break
			}
			if !transport.Sleep(ctx, pollInterval) {
				return 0, ctx.Err()
			}
		}
		c.Transport.Close()
	}
	return time.Since(start), nil
}

// measureTableChange changes a team's weight and polls each process until all report
// the new revision.
func measureTableChange(ctx context.Context, r *rig.Rig, i int) (time.Duration, error) {
	op := r.OperatorClient()
	defer op.Transport.Close()
	table, err := op.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	revision, err := op.Change(ctx, &v1.ChangeRequest{Id: fmt.Sprintf("weight-%d", i), Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
		Base: table.GetRevision(), Edits: []*v1.Edit{{Row: &v1.Row{Team: "measured", Weight: uint32(2 + i)}, Cells: []string{"weight"}}},
	}}})
	if err != nil {
		return 0, err
	}
	for _, name := range append(r.ControlNames(), r.EntryNames()...) {
		for r.TableRevision(name) < revision {
			if !transport.Sleep(ctx, pollInterval) {
				return 0, ctx.Err()
			}
		}
	}
	return time.Since(start), nil
}
