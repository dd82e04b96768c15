// Package adviser is a fake of the adviser, which decides which backend servers may run a
// step. It takes time for each question, refuses questions when too many wait, and can fail,
// be slow or give no answer.
package adviser

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/flow"
)

// Fault describes the fault of the adviser.
type Fault uint8

// Values of Fault.
const (
	None Fault = iota
	// Failing refuses all questions with an error.
	Failing
	// Slow takes slowFactor times as long as usual.
	Slow
	// Silent gives no answer.
	Silent
)

const slowFactor = 10

// Adviser decides for all backend servers. The exported fields are set before use.
type Adviser struct {
	// Seed determines which servers a step may run on. The decision never changes.
	Seed uint64
	// Servers holds the ids of all backend servers. At most MaxDenied of them are denied for
	// a step.
	Servers   []string
	MaxDenied int
	// AnswerTime returns how long a question takes.
	AnswerTime func(step flow.StepID, servers int) time.Duration
	// MaxWaiting is the number of questions of one caller that may wait at the same time.
	MaxWaiting int
	// PermitValidity is how long a permit is valid.
	PermitValidity time.Duration
	// Incarnation returns the current incarnation of a server, for which a permit is valid.
	Incarnation func(server string) int64

	mu      sync.Mutex
	fault   Fault
	permits map[string]permit
}

// permit is a permit that was given.
type permit struct {
	flow.StepID
	server      string
	incarnation int64
	validUntil  time.Time
}

// Caller is a process that asks the adviser. Its questions are answered one after the other.
type Caller struct {
	Adviser *Adviser

	mu      sync.Mutex
	waiting int
	// turn is held by the question that is being answered.
	turn sync.Mutex
}

// SetFault sets the fault of the adviser.
func (a *Adviser) SetFault(f Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
}

// Allows reports whether a step may run on a server.
func (a *Adviser) Allows(step flow.StepID, server string) bool {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(step.String()), a.Seed))
	random := rand.New(rand.NewPCG(a.Seed, hash.Sum64()))
	for range a.MaxDenied {
		if a.Servers[random.IntN(len(a.Servers))] == server {
			return false
		}
	}
	return slices.Contains(a.Servers, server)
}

// PermitValid reports whether a permit is valid for a step on an incarnation of a server.
func (a *Adviser) PermitValid(step flow.StepID, server string, incarnation int64, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, given := a.permits[ticket]
	return given && p.StepID == step && p.server == server && p.incarnation == incarnation && time.Now().Before(p.validUntil)
}

// Advise answers a question after the questions of the same caller that came before it.
func (c *Caller) Advise(ctx context.Context, step flow.StepID, servers []string) *inner.AdviseReply {
	if !c.enter() {
		return &inner.AdviseReply{Code: uint32(code.Overloaded)}
	}
	defer c.leave()
	c.turn.Lock()
	defer c.turn.Unlock()
	a := c.Adviser
	duration := a.AnswerTime(step, len(servers))
	a.mu.Lock()
	fault := a.fault
	a.mu.Unlock()
	switch fault {
	case Failing:
		return &inner.AdviseReply{Code: uint32(code.LeaderTimeout)}
	case Silent:
		<-ctx.Done()
	case Slow:
		duration *= slowFactor
	}
	select {
	case <-ctx.Done():
		return &inner.AdviseReply{Code: uint32(code.LeaderTimeout)}
	case <-time.After(duration):
		return a.answer(step, servers)
	}
}

// enter reports whether one more question may wait.
func (c *Caller) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting >= c.Adviser.MaxWaiting {
		return false
	}
	c.waiting++
	return true
}

func (c *Caller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
}

// answer gives permits for the servers on which the step may run.
func (a *Adviser) answer(step flow.StepID, servers []string) *inner.AdviseReply {
	reply := &inner.AdviseReply{Valid: uint64(a.PermitValidity / time.Millisecond)}
	for _, server := range servers {
		if a.Allows(step, server) {
			reply.Permits = append(reply.Permits, &inner.Permit{Server: server, Ticket: a.give(step, server)})
		}
	}
	return reply
}

func (a *Adviser) give(step flow.StepID, server string) (ticket string) {
	p := permit{StepID: step, server: server, incarnation: a.Incarnation(server), validUntil: time.Now().Add(a.PermitValidity)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.permits == nil {
		a.permits = map[string]permit{}
	}
	ticket = fmt.Sprintf("%s %s %d", step, server, len(a.permits))
	a.permits[ticket] = p
	return ticket
}
