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
	ctx, cancel := context.WithCancel(t.Context())
	l := listen(t)
	digest := key.Digest("secret")
	n := &node.Node{
		Cell: "test", Name: "c1", Data: t.TempDir(), Init: true, Listener: l, Address: l.Addr().String(),
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
		Root:     &v1.KeyGrant{Id: "op", Operator: true, Digest: digest[:]},
	}
	go func() { _ = n.Run(ctx) }() // ends with ctx
	defer func() {
		cancel()
		<-n.Done()
	}()
	client := inner.NewControlProtobufClient("http://"+l.Addr().String(), http.DefaultClient)
	const patience = 100 * time.Millisecond
	for {
		bounded, end := context.WithTimeout(ctx, time.Second)
		reply, err := client.Pull(bounded, &inner.PullRequest{Cell: "test", Entry: "e1", Session: 1, Patience: uint64(patience.Milliseconds())})
		end()
		if err != nil {
			t.Fatalf("a poll with a patience of %v: %v", patience, err)
		}
		if reply.GetRedirect() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
