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

// nextInterval returns how long the next greeting waits.
func (c *Client) nextInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.greetInterval / searchSpeedup
	}
	return c.greetInterval
}

// greetTargets returns whom to greet now: the leader, and one of the others, in turn.
// A leader that is cut off or stands still does not tell that it was replaced;
// one of the others does, before calls to the old one have timed out.
func (c *Client) greetTargets(round int) []string {
	leader, _, _ := c.currentLeader()
	addresses := c.knownAddresses()
	if len(addresses) == 0 {
		return nil
	}
	if leader == "" {
		// Each of them knows the leader when there is one. All asked at once by all
		// processes, the next leader's first second would go to greetings.
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

// greet greets one address, and whoever that one takes for the leader.
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

// sendGreeting greets one address, unless a greeting to it is under way. Asked again and
// again while it is slow, a replica would become slower with each. Nil is no answer.
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

// currentGreeting returns what this process says of itself now.
func (c *Client) currentGreeting() *inner.Greeting {
	g := proto.CloneOf(c.Greeting)
	g.Clock = time.Now().UnixNano()
	return g
}

// LeaderAnnounced takes the word of a leader that has just begun, which comes long before
// the next greeting would find it.
func (c *Client) LeaderAnnounced(address string, welcome *inner.Welcome) *inner.Greeting {
	c.init()
	c.recordLeader(address, welcome)
	return c.currentGreeting()
}

// beginGreeting notes a greeting to an address; false when one is under way.
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

// knownAddresses lists the addresses where the leader may be.
func (c *Client) knownAddresses() []string {
	c.mu.Lock()
	addresses := append(slices.Clone(c.members), c.Seeds()...)
	c.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return c.Greeting.GetReplica() != "" && a == c.Greeting.GetAddress() })
}
