package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/state"
	"gypsumreel/internal/replica/group"
)

// Guards against a slow replica that is taken for one whose control thread stands, while it decodes a
// large snapshot or begins one.
func TestSnapshotsOfALargeLedgerCountAsProgress(t *testing.T) {
	const flows = 5000
	ledger := state.New()
	for i := range flows + 1 {
		f := &record.Flow{What: &record.Flow_Document{Document: &v1.Document{
			Version: 1, Pools: []*v1.Pool{{Name: "p"}}, Customers: []*v1.Customer{{Name: "c"}},
			Queues: []*v1.Queue{{Name: "q", Host: "h", Path: "/", Pool: "p", Attempts: 1, Timeout: 1}},
		}}}
		if i > 0 {
			spec := &v1.FlowSpec{Id: fmt.Sprintf("f%05d", i), Steps: []*v1.FlowStep{{Count: 1, Size: &v1.Size{Cpu: 1, Memory: 1}}}}
			f = &record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}}
		}
		if r := ledger.Apply(&record.Command{At: int64(i) + 1, What: &record.Command_Flow{Flow: f}}); r.Code != code.OK {
			t.Fatal(r)
		}
	}
	data, err := ledger.Encode()
	if err != nil {
		t.Fatal(err)
	}
	runWithLeader(t, func(h *harness) {
		h.group.notifications <- group.Following{Term: 2, Leader: "c2/1"}
		time.Sleep(time.Second)
		// advances returns the parts that ended in the time of a few ticks of the control thread.
		advances := func() uint64 {
			before := h.leader.Turns.Progress(h.group.now()).Advances
			time.Sleep(100 * time.Millisecond)
			return h.leader.Turns.Progress(h.group.now()).Advances - before
		}
		usual := advances()
		h.group.notifications <- group.RestoreSnapshot{Index: 10, State: data}
		if n := advances(); n < usual+flows/256 {
			t.Errorf("%d parts ended while %d flows were decoded, and %d without; want %d more", n, flows, usual, flows/256)
		}
		h.withLedger(func(*state.State) { h.leader.SnapshotInterval = 0 })
		if n := advances(); n < usual+flows/256 {
			t.Errorf("%d parts ended while a snapshot of %d flows began, and %d without; want %d more", n, flows, usual, flows/256)
		}
	})
}
