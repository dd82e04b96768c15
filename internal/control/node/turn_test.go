package node_test

import (
	"strings"
	"testing"
	"time"

	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/control/turn"
	"gypsumreel/internal/replica/quorum"
)

// stand stands for a decision that does not end.
func stand(end <-chan struct{}) { <-end }

// Guards against a state dump that tells nothing while the control thread stands.
func TestStateDumpShowsWhereTheControlThreadStands(t *testing.T) {
	l := listen(t)
	n := &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(),
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}}, Control: leader.New(),
	}
	startNode(t, n)
	for !n.Control.Status().Leads {
		time.Sleep(10 * time.Millisecond)
	}
	end := make(chan struct{})
	defer close(end)
	n.Control.Post(func() { stand(end) })
	dump, ok := n.State().(node.Dump)
	if !ok || dump.Fault == "" || dump.Turn.Step != turn.Function || !strings.Contains(dump.Stack, "node_test.stand control/node/turn_test.go") {
		t.Errorf("the dump has fault %q, turn %+v, stack %q", dump.Fault, dump.Turn, dump.Stack)
	}
}
