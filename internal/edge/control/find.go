package control

import (
	"context"
	"sync"
	"time"
)

// findLeader asks all replicas at once, with an empty Push, whether they lead. Asking
// everybody is safe, and a silent replica then costs no time.
func (c *Client) findLeader(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	type answer struct {
		link  *session
		hint  Replica
		leads bool
	}
	results := make(chan answer)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	probed := map[string]bool{}
	startProbe := func(r Replica) {
		probed[r.Address] = true
		s := c.newSession(r)
		wg.Go(func() {
			hint, leads := s.probe(ctx)
			select {
			case results <- answer{s, hint, leads}:
			case <-ctx.Done():
				s.close()
			}
		})
	}
	for _, r := range c.Replicas {
		startProbe(r)
	}
	for outstanding := len(probed); outstanding > 0; outstanding-- {
		var result answer
		select {
		case result = <-results:
		case <-ctx.Done():
			return nil, errNoLeader
		}
		if result.leads {
			return result.link, nil
		}
		result.link.close()
		if result.hint.Address != "" && !probed[result.hint.Address] {
			startProbe(result.hint)
			outstanding++
		}
	}
	return nil, errNoLeader
}

// probe tells whether the replica leads, or which one it names.
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
