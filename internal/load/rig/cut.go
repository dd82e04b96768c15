package rig

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/link"
)

const (
	// callersPerEntry is how many callers stay at each entry.
	callersPerEntry = 4
	// callPause is kept between two calls of such a caller.
	callPause = 20 * time.Millisecond
)

// CallCounts counts calls at single entries.
type CallCounts struct {
	Made atomic.Int64
	// CutOff are those that ended without any answer of the entry.
	CutOff atomic.Int64
}

// RunPinnedCallers keeps callers at each entry until ctx ends. They act as behind a balancer:
// they begin calls while the entry's readiness probe succeeds, and retry nothing.
func (r *Rig) RunPinnedCallers(ctx context.Context, token string, counts *CallCounts) {
	var w sync.WaitGroup
	for _, name := range r.EntryNames() {
		for range callersPerEntry {
			w.Go(func() {
				for ctx.Err() == nil {
					if r.Ready(name) {
						callEntry(ctx, r.directURL(name), token, counts)
					}
					link.Sleep(ctx, callPause)
				}
			})
		}
	}
	w.Wait()
}

// callEntry makes one call over a connection of its own. The call outlives ctx, so
// that the end of the measure cuts none.
func callEntry(ctx context.Context, address, token string, counts *CallCounts) {
	l := &link.Link{Addresses: []string{address}, Key: token}
	defer l.Close()
	_, err := link.Once(context.WithoutCancel(ctx), l, newListCall, &v1.ListRequest{})
	counts.Made.Add(1)
	if err != nil {
		counts.CutOff.Add(1)
	}
}

func newListCall(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ListRequest]) (*connect.Response[v1.ListReply], error) {
	return v1.NewCallerClient(c, base, opts...).List
}
