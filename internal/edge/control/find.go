package control

import (
	"context"
	"sync"
	"time"
)

// find asks all replicas at once, with an empty Push, whether they lead. Asking
// everybody is safe, and a silent replica then costs no time.
func (p *Client) find(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, p.CallTimeout)
	defer cancel()
	type answer struct {
		link  *link
		hint  Replica
		leads bool
	}
	answers := make(chan answer)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	asked := map[string]bool{}
	ask := func(r Replica) {
		asked[r.Address] = true
		l := p.link(r)
		wg.Go(func() {
			hint, leads := l.probe(ctx)
			select {
			case answers <- answer{l, hint, leads}:
			case <-ctx.Done():
				l.close()
			}
		})
	}
	for _, r := range p.Replicas {
		ask(r)
	}
	for open := len(asked); open > 0; open-- {
		var a answer
		select {
		case a = <-answers:
		case <-ctx.Done():
			return nil, errNoLeader
		}
		if a.leads {
			return a.link, nil
		}
		a.link.close()
		if a.hint.Address != "" && !asked[a.hint.Address] {
			ask(a.hint)
			open++
		}
	}
	return nil, errNoLeader
}

// probe tells whether the replica leads, or which one it names.
func (l *link) probe(ctx context.Context) (hint Replica, leads bool) {
	sent := time.Now()
	reply, err := l.client.Push(ctx, l.push(nil))
	if err != nil {
		return Replica{}, false
	}
	if to := reply.GetRedirect(); to != nil {
		return Replica{Name: to.GetLeader(), Address: to.GetAddress()}, false
	}
	l.pool.confirm(sent)
	return Replica{}, true
}
