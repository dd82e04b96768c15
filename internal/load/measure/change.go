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

// spread is a row about how fast changes are in force everywhere, in ms from
// the moment at which the operator asks.
type spread struct {
	Part  string  `json:"part"`
	Place string  `json:"place"`
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

const (
	// tries is how many changes of each sort are made.
	tries = 60
	// askEvery is how often each process is asked meanwhile.
	askEvery = 2 * time.Millisecond
)

// change measures key withdrawals and table changes until they are in force everywhere.
func change(ctx context.Context, b *bench) error {
	return b.served(ctx, func(ctx context.Context, r *rig.Rig, _ *rig.Fleet, _ string) error {
		for name, one := range map[string]func(context.Context, *rig.Rig, int) (time.Duration, error){
			"key-withdrawal": withdrawal, "table-change": tableChange,
		} {
			var all []time.Duration
			for i := range tries {
				d, err := one(ctx, r, i)
				if err != nil {
					return err
				}
				all = append(all, d)
			}
			slices.Sort(all)
			at := func(q float64) float64 { return ms(all[int(math.Ceil(q*float64(len(all))))-1]) }
			if err := emit(spread{Part: name, Place: b.DelaySet, Count: len(all), P50: at(0.5), P99: at(0.99), Max: at(1)}); err != nil {
				return err
			}
		}
		return nil
	})
}

// withdrawal withdraws a key and asks every entry with it until all refuse.
func withdrawal(ctx context.Context, r *rig.Rig, i int) (time.Duration, error) {
	id := fmt.Sprintf("dead-%d", i)
	token, err := r.GrantKey(ctx, "measured", id)
	if err != nil {
		return 0, err
	}
	began := time.Now()
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
			if !transport.Sleep(ctx, askEvery) {
				return 0, ctx.Err()
			}
		}
		c.Transport.Close()
	}
	return time.Since(began), nil
}

// tableChange changes a cell of the table until every process says that it serves it.
func tableChange(ctx context.Context, r *rig.Rig, i int) (time.Duration, error) {
	op := r.OperatorClient()
	defer op.Transport.Close()
	now, err := op.Show(ctx, v1.Part_PART_TABLE)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	revision, err := op.Change(ctx, &v1.ChangeRequest{Id: fmt.Sprintf("weight-%d", i), Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
		Base: now.GetRevision(), Edits: []*v1.Edit{{Row: &v1.Row{Team: "measured", Weight: uint32(2 + i)}, Cells: []string{"weight"}}},
	}}})
	if err != nil {
		return 0, err
	}
	for _, name := range append(r.ControlNames(), r.EntryNames()...) {
		for r.TableRevision(name) < revision {
			if !transport.Sleep(ctx, askEvery) {
				return 0, ctx.Err()
			}
		}
	}
	return time.Since(began), nil
}
