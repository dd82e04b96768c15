package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
)

// Run keeps the process known to the leader until ctx ends.
func (l *Client) Run(ctx context.Context) error {
	l.init()
	defer close(l.done)
	l.mu.Lock()
	l.gone = l.Now()
	l.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	for turn := 0; ctx.Err() == nil; turn++ {
		if !l.IsLeader() {
			for _, address := range l.targets(turn) {
				wg.Go(func() { l.greet(ctx, address) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.next()):
		}
	}
	return nil
}

// next returns how long the next greeting waits.
func (l *Client) next() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == "" {
		return l.pause / findParts
	}
	return l.pause
}

// targets returns whom to greet now: the leader, and one of the others, in turn.
// A leader that is cut off or stands still does not tell that it was replaced;
// one of the others does, before calls to the old one have timed out.
func (l *Client) targets(turn int) []string {
	leader, _, _ := l.at()
	all := l.known()
	if len(all) == 0 {
		return nil
	}
	if leader == "" {
		// Each of them knows the leader when there is one. All asked at once by all
		// processes, the next leader's first second would go to greetings.
		out := make([]string, 0, findAsked)
		for i := range min(findAsked, len(all)) {
			out = append(out, all[(turn*findAsked+i)%len(all)])
		}
		return out
	}
	other := all[turn%len(all)]
	if other == leader {
		return []string{leader}
	}
	return []string{leader, other}
}

// greet greets one address, and whoever that one takes for the leader.
func (l *Client) greet(ctx context.Context, address string) {
	w, asked := l.hello(ctx, address)
	if !asked {
		return
	}
	switch next := w.GetLeader(); {
	case w == nil:
		l.lost(address)
	case w.GetLeads():
		l.found(address, w)
	case next == "" || next == address:
		l.lost(address)
	default:
		if w, _ = l.hello(ctx, next); w.GetLeads() {
			l.found(next, w)
		}
	}
}

// hello greets one address, unless a greeting to it is under way. Asked again and
// again while it is slow, a replica would become slower with each. Nil is no answer.
func (l *Client) hello(ctx context.Context, address string) (w *inner.Welcome, asked bool) {
	if !l.begin(address) {
		return nil, false
	}
	defer l.end(address)
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	w, err := inner.NewFlowsProtobufClient("http://"+address, l.HTTPClient).Greet(ctx, l.self())
	if err != nil {
		return nil, true
	}
	return w, true
}

// self returns what this process says of itself now.
func (l *Client) self() *inner.Greeting {
	g := proto.CloneOf(l.Greeting)
	g.Clock = time.Now().UnixNano()
	return g
}

// LeaderAnnounced takes the word of a leader that has just begun, which comes long before
// the next greeting would find it.
func (l *Client) LeaderAnnounced(address string, w *inner.Welcome) *inner.Greeting {
	l.init()
	l.found(address, w)
	return l.self()
}

// begin notes a greeting to an address; false when one is under way.
func (l *Client) begin(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.greeting[address] {
		return false
	}
	l.greeting[address] = true
	return true
}

func (l *Client) end(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.greeting, address)
}

// known lists the addresses where the leader may be.
func (l *Client) known() []string {
	l.mu.Lock()
	all := append(slices.Clone(l.members), l.Seeds()...)
	l.mu.Unlock()
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return l.Greeting.GetReplica() != "" && a == l.Greeting.GetAddress() })
}
