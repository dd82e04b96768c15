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

// An idle entry abandons a poll shortly after the timeout that it requested. If the
// leader holds the poll longer, each poll fails, the entry treats the leader as dead
// and searches for another one, and its callers wait meanwhile.
func TestEmptyPullReturnsAtRequestedTimeout(t *testing.T) {
	client := startSingleReplica(t)
	const pullTimeout = 100 * time.Millisecond
	pull(t, client, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Patience: uint64(pullTimeout.Milliseconds())}, time.Second)
}

// An operator changes the table while an entry's poll waits without replies. The poll
// must return the new revision at once. Otherwise the entry would use the old
// revision until the poll times out.
func TestPullReturnsOnNewTableRevision(t *testing.T) {
	client := startSingleReplica(t)
	const pullTimeoutMillis = 1500 // shorter than the maximum wait of a Pull
	first := pull(t, client, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Patience: 1}, time.Second)
	change := &v1.ChangeRequest{Id: "1", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{
		Base: first.GetRevision(), Edits: []*v1.Edit{{Row: &v1.Row{Team: "rail", Weight: 1, Queue: 100, Limit: &v1.Size{}}}},
	}}}
	// The change is sent by another entry, so that its reply does not end the poll.
	digest := key.Digest("secret")
	_, err := client.Push(t.Context(), &inner.PushRequest{Cell: "test", Entry: "e2", Session: 2, Items: []*inner.Item{
		{Seq: 1, Credential: &inner.Credential{Id: "op", Digest: digest[:]}, Ask: &inner.Item_Change{Change: change}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	got := pull(t, client, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Revision: first.GetRevision(), Patience: pullTimeoutMillis}, 2*time.Second)
	if got.GetRevision() != first.GetRevision()+1 || time.Since(startedAt) >= pullTimeoutMillis*time.Millisecond {
		t.Errorf("revision before the change %d, poll took %v, revision after it %d", first.GetRevision(), time.Since(startedAt), got.GetRevision())
	}
}

// startSingleReplica runs the only control replica of a cell and returns a client.
func startSingleReplica(t *testing.T) inner.Control {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := listen(t)
	digest := key.Digest("secret")
	n := &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(),
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
		RootKey:  &v1.KeyGrant{Id: "op", Operator: true, Digest: digest[:]},
	}
	go func() { _ = n.Run(ctx) }() // returns when ctx is cancelled
	t.Cleanup(func() {
		cancel()
		<-n.Done()
	})
	return inner.NewControlProtobufClient("http://"+l.Addr().String(), http.DefaultClient)
}

// pull polls until the replica leads and returns the first reply without a redirect.
// Each poll must be answered within limit.
func pull(t *testing.T, client inner.Control, req *inner.PullRequest, timeout time.Duration) *inner.PullReply {
	t.Helper()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		reply, err := client.Pull(ctx, req)
		cancel()
		if err != nil {
			t.Fatalf("poll with a requested timeout of %d ms: %v", req.GetPatience(), err)
		}
		if reply.GetRedirect() == nil {
			return reply
		}
		time.Sleep(10 * time.Millisecond)
	}
}
