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
	// pinned is how many callers stay at each entry.
	pinned = 4
	// pinPause is kept between two calls of such a caller.
	pinPause = 20 * time.Millisecond
)

// CallCounts counts calls at single entries.
type CallCounts struct {
	Made atomic.Int64
	// CutOff are those that ended without any answer of the entry.
	CutOff atomic.Int64
}

// RunPinnedCallers keeps callers at each entry until ctx ends. They act as behind a balancer:
// they begin calls while the entry's readiness probe succeeds, and retry nothing.
func (r *Rig) RunPinnedCallers(ctx context.Context, token string, n *CallCounts) {
	var w sync.WaitGroup
	for _, name := range r.EntryNames() {
		for range pinned {
			w.Go(func() {
				for ctx.Err() == nil {
					if r.Ready(name) {
						pin(ctx, r.direct(name), token, n)
					}
					transport.Sleep(ctx, pinPause)
				}
			})
		}
	}
	w.Wait()
}

// pin makes one call over a connection of its own. The call outlives ctx, so
// that the end of the measure cuts none.
func pin(ctx context.Context, address, token string, n *CallCounts) {
	l := &transport.Client{Addresses: []string{address}, Key: token}
	defer l.Close()
	_, err := transport.TryOnce(context.WithoutCancel(ctx), l, list, &v1.ListRequest{})
	n.Made.Add(1)
	if err != nil {
		n.CutOff.Add(1)
	}
}

func list(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}
