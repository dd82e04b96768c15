package rig

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/transport"
)

const (
	// callersPerEntry is the number of pinned callers of each entry.
	callersPerEntry = 4
	// callPause is the pause of a pinned caller between two calls.
	callPause = 20 * time.Millisecond
)

// CallCounts counts the calls of pinned callers.
type CallCounts struct {
	Total atomic.Int64
	// Unanswered counts the calls that ended without an answer from the entry.
	Unanswered atomic.Int64
}

// RunPinnedCallers calls each entry directly until ctx ends. The callers behave as if
// behind a load balancer: they call an entry only while its readiness probe succeeds,
// and they never retry.
func (r *Rig) RunPinnedCallers(ctx context.Context, token string, counts *CallCounts) {
	var wg sync.WaitGroup
	for _, name := range r.EntryNames() {
		for range callersPerEntry {
			wg.Go(func() {
				for ctx.Err() == nil {
					if r.Ready(name) {
						callEntry(ctx, r.directURL(name), token, counts)
					}
					transport.Sleep(ctx, callPause)
				}
			})
		}
	}
	wg.Wait()
}

// callEntry makes one call over a new connection. The call ignores the cancellation of
// ctx, so that the end of the measurement interrupts no call.
func callEntry(ctx context.Context, address, token string, counts *CallCounts) {
	client := &transport.Client{Addresses: []string{address}, Key: token}
	defer client.Close()
	_, err := transport.TryOnce(context.WithoutCancel(ctx), client, newListCall, &v1.ListRequest{})
	counts.Total.Add(1)
	if err != nil {
		counts.Unanswered.Add(1)
	}
}

func newListCall(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}
