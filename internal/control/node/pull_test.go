package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/replica/quorum"
)

// An entry that nobody uses asks for replies and gets none. It gives a poll up
// a little after its own patience; when the leader held the poll longer, each one
// failed, the entry took the leader for dead and looked for another all the time,
// and whoever asked there meanwhile waited.
func TestAnEmptyPullEndsWithItsPatience(t *testing.T) {
	client := alone(t)
	const patience = 100 * time.Millisecond
	pull(t, client, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Patience: uint64(patience.Milliseconds())}, time.Second)
}

// An operator changes the table while an entry's poll waits for replies that do
// not come. The poll must end then with the new revision: the entry would else
// serve the old one until its patience ends.
func TestAPullEndsWithANewRevision(t *testing.T) {
	client := alone(t)
	const long = 1500 // below the longest hold, in ms
	first := pull(t, client, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Patience: 1}, time.Second)
	change := &v1.ChangeRequest{Id: "1", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
		Base: first.GetRevision(), Edits: []*v1.Edit{{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 100, Limit: &v1.Size{}}}},
	}}}
	// Another entry's run makes the change, so that its reply wakes nobody here.
	digest := key.Digest("secret")
	_, err := client.Push(t.Context(), &inner.PushRequest{Cell: "test", Entry: "e2", Session: 2, Items: []*inner.Item{
		{Seq: 1, Credential: &inner.Credential{Id: "op", Digest: digest[:]}, Ask: &inner.Item_Change{Change: change}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	got := pull(t, client, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Revision: first.GetRevision(), Patience: long}, 2*time.Second)
	if got.GetRevision() != first.GetRevision()+1 || time.Since(began) >= long*time.Millisecond {
		t.Errorf("revision %d after %v, then %d", first.GetRevision(), time.Since(began), got.GetRevision())
	}
}

// alone runs a control replica alone in its cell.
func alone(t *testing.T) inner.Control {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := listen(t)
	digest := key.Digest("secret")
	n := &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(),
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
		RootKey:  &v1.KeyGrant{Id: "op", Operator: true, Digest: digest[:]},
	}
	go func() { _ = n.Run(ctx) }() // ends with ctx
	t.Cleanup(func() {
		cancel()
		<-n.Done()
	})
	return inner.NewControlProtobufClient("http://"+l.Addr().String(), http.DefaultClient)
}

// pull polls once the replica leads; a poll must be answered within limit.
func pull(t *testing.T, client inner.Control, req *inner.PullRequest, limit time.Duration) *inner.PullReply {
	t.Helper()
	for {
		ctx, end := context.WithTimeout(t.Context(), limit)
		reply, err := client.Pull(ctx, req)
		end()
		if err != nil {
			t.Fatalf("a poll with a patience of %d ms: %v", req.GetPatience(), err)
		}
		if reply.GetRedirect() == nil {
			return reply
		}
		time.Sleep(10 * time.Millisecond)
	}
}
