package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
)

// Run sends greetings to the leader, and to other replicas to find the leader, until ctx
// is cancelled.
func (c *Client) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	c.mu.Lock()
	c.leaderLostAt = c.Now()
	c.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		if !c.IsLeader() {
			for _, address := range c.greetTargets(round) {
				wg.Go(func() { c.greet(ctx, address) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.nextInterval()):
		}
	}
	return nil
}

// nextInterval returns the time until the next greeting. It is shorter while no leader is
// known.
func (c *Client) nextInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.greetInterval / searchSpeedup
	}
	return c.greetInterval
}

// greetTargets returns the addresses to greet in this round: the leader and one of the
// other replicas in turn. A leader that is partitioned or frozen does not report that it
// was replaced. Another replica reports it before calls to the old leader time out.
// While no leader is known, greetTargets returns searchFanout of the known addresses in
// turn.
func (c *Client) greetTargets(round int) []string {
	leader := c.currentLeader().address
	addresses := c.knownAddresses()
	if len(addresses) == 0 {
		return nil
	}
	if leader == "" {
		// A few replicas are enough, because each one knows the leader if there is
		// one. If all processes greeted all replicas at the same time, the new leader
		// would spend its first second on greetings.
		targets := make([]string, 0, searchFanout)
		for i := range min(searchFanout, len(addresses)) {
			targets = append(targets, addresses[(round*searchFanout+i)%len(addresses)])
		}
		return targets
	}
	other := addresses[round%len(addresses)]
	if other == leader {
		return []string{leader}
	}
	return []string{leader, other}
}

// greet greets the replica at address. If that replica names another one as the leader,
// greet greets the named one too.
func (c *Client) greet(ctx context.Context, address string) {
	welcome, sent := c.sendGreeting(ctx, address)
	if !sent {
		return
	}
	switch namedLeader := welcome.GetLeader(); {
	case welcome == nil:
		c.recordLeaderLost(address)
	case welcome.GetLeads():
		c.recordLeader(address, welcome)
	case namedLeader == "" || namedLeader == address:
		c.recordLeaderLost(address)
	default:
		if welcome, _ = c.sendGreeting(ctx, namedLeader); welcome.GetLeads() {
			c.recordLeader(namedLeader, welcome)
		}
	}
}

// sendGreeting sends a greeting to address unless one is in flight, because repeated
// greetings would slow down a slow replica further. sent is false if one was in flight.
// A nil welcome means that the replica did not answer.
func (c *Client) sendGreeting(ctx context.Context, address string) (welcome *inner.Welcome, sent bool) {
	if !c.beginGreeting(address) {
		return nil, false
	}
	defer c.endGreeting(address)
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	welcome, err := inner.NewFlowsProtobufClient("http://"+address, c.HTTPClient).Greet(ctx, c.currentGreeting())
	if err != nil {
		return nil, true
	}
	return welcome, true
}

// currentGreeting returns the greeting of this process with the current wall-clock time.
func (c *Client) currentGreeting() *inner.Greeting {
	g := proto.CloneOf(c.Greeting)
	g.Clock = time.Now().UnixNano()
	return g
}

// LeaderAnnounced records a newly elected leader that announced itself, and returns the
// greeting for it. The announcement arrives long before the next greeting would find the
// leader.
func (c *Client) LeaderAnnounced(address string, welcome *inner.Welcome) *inner.Greeting {
	c.init()
	c.recordLeader(address, welcome)
	return c.currentGreeting()
}

// beginGreeting marks a greeting to the address as in flight. It returns false if one is
// in flight already.
func (c *Client) beginGreeting(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.greetingInFlight[address] {
		return false
	}
	c.greetingInFlight[address] = true
	return true
}

func (c *Client) endGreeting(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.greetingInFlight, address)
}

// knownAddresses returns the sorted addresses of all replicas that may be the leader,
// without this process.
func (c *Client) knownAddresses() []string {
	c.mu.Lock()
	addresses := append(slices.Clone(c.members), c.Seeds()...)
	c.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return c.Greeting.GetReplica() != "" && a == c.Greeting.GetAddress() })
}
