package control

import (
	"context"
	"sync"
	"time"
)

// findLeader sends an empty Push to all replicas in parallel and returns a session with
// the one that is the leader. An empty Push has no effect on a replica. Because the
// probes run in parallel, a replica that does not answer does not delay the search.
func (c *Client) findLeader(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	type probeResult struct {
		session    *session
		redirectTo Replica
		leads      bool
	}
	results := make(chan probeResult)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	probed := map[string]bool{}
	startProbe := func(r Replica) {
		probed[r.Address] = true
		s := c.newSession(r)
		wg.Go(func() {
			redirectTo, leads := s.probe(ctx)
			select {
			case results <- probeResult{s, redirectTo, leads}:
			case <-ctx.Done():
				s.close()
			}
		})
	}
	for _, r := range c.Replicas {
		startProbe(r)
	}
	for outstanding := len(probed); outstanding > 0; outstanding-- {
		var result probeResult
		select {
		case result = <-results:
		case <-ctx.Done():
			return nil, errNoLeader
		}
		if result.leads {
			return result.session, nil
		}
		result.session.close()
		if result.redirectTo.Address != "" && !probed[result.redirectTo.Address] {
			startProbe(result.redirectTo)
			outstanding++
		}
	}
	return nil, errNoLeader
}

// probe reports whether the replica is the leader. If it is not, redirectTo is the
// leader that the replica named, empty if it named none.
func (s *session) probe(ctx context.Context) (redirectTo Replica, leads bool) {
	startedAt := time.Now()
	reply, err := s.rpcClient.Push(ctx, s.newPushRequest(nil))
	if err != nil {
		return Replica{}, false
	}
	if redirect := reply.GetRedirect(); redirect != nil {
		return Replica{Name: redirect.GetLeader(), Address: redirect.GetAddress()}, false
	}
	s.client.recordContact(startedAt)
	return Replica{}, true
}
