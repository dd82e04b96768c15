package entry_test

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/fake/relay"
)

// fault is a failure that is injected into a test cell at a step of a scenario.
type fault struct {
	name string
	// duration is the time between inject and heal.
	duration time.Duration
	inject   func(w *testCell)
	// heal ends the fault. It is nil for faults that need no end.
	heal func(w *testCell)
}

// silenceDuration is the duration of faults in which connections lose or duplicate data.
const silenceDuration = 10 * time.Second

var bothDirections = []relay.Direction{relay.Upstream, relay.Downstream}

// allFaults returns every fault of the matrix. Inner faults affect the connections
// between the first entry and the control group, outer faults those between the first
// entry and its clients.
func allFaults() []fault {
	faults := []fault{
		{"entry killed", 2 * time.Second, func(w *testCell) { w.currentEntry("e1").kill() }, restartEntry},
		{"leader killed", 3 * time.Second, killLeader, func(w *testCell) { w.startReplica("c1") }},
		{"server killed", 2 * time.Second, func(w *testCell) { w.terminate("s1") }, func(w *testCell) { w.startServer("s1") }},
		{"entry paused 30 s", 30 * time.Second, setRelayFate(isEntryConnection, relay.Hold, bothDirections...), setRelayFate(isEntryConnection, relay.Pass, bothDirections...)},
		{"leader paused 30 s", 30 * time.Second, pauseLeader, func(w *testCell) { w.replicas["c1"].gate.open() }},
		{"server paused 30 s", 30 * time.Second, func(w *testCell) { w.backendServer("s1").Pause() }, func(w *testCell) { w.backendServer("s1").Resume() }},
	}
	for _, side := range []struct {
		name    string
		matches func(name string) bool
	}{{"inner", isInnerConnection}, {"outer", isOuterConnection}} {
		faults = append(
			faults,
			fault{"requests lost for 10 s, " + side.name, silenceDuration, setRelayFate(side.matches, relay.Drop, relay.Upstream), setRelayFate(side.matches, relay.Pass, relay.Upstream)},
			fault{"replies lost for 10 s, " + side.name, silenceDuration, setRelayFate(side.matches, relay.Drop, relay.Downstream), setRelayFate(side.matches, relay.Pass, relay.Downstream)},
			fault{"both directions lost for 10 s, " + side.name, silenceDuration, setRelayFate(side.matches, relay.Drop, bothDirections...), setRelayFate(side.matches, relay.Pass, bothDirections...)},
			fault{"open connections silent for good, " + side.name, 0, applyToRelays(side.matches, func(r *relay.Relay) { r.BlackholeOpen(bothDirections...) }), nil},
			fault{"replies lost for 0.1 s, " + side.name, 100 * time.Millisecond, setRelayFate(side.matches, relay.Drop, relay.Downstream), setRelayFate(side.matches, relay.Pass, relay.Downstream)},
			fault{"replies delayed by 3 s, " + side.name, 3 * time.Second, setRelayFate(side.matches, relay.Hold, relay.Downstream), setRelayFate(side.matches, relay.Pass, relay.Downstream)},
			fault{"requests duplicated, " + side.name, silenceDuration, applyToRelays(side.matches, setRequestDuplication(true)), applyToRelays(side.matches, setRequestDuplication(false))},
			fault{"connections closed, " + side.name, 0, applyToRelays(side.matches, (*relay.Relay).CloseConnections), nil},
		)
	}
	return append(
		faults,
		fault{"slow readers", silenceDuration, openSlowReaders, nil},
		fault{"full queue", 0, func(w *testCell) { w.wg.Go(w.submitBurst) }, nil},
	)
}

func isInnerConnection(name string) bool { return strings.HasPrefix(name, "e1>") }

func isOuterConnection(name string) bool { return strings.Contains(name, ">e1-") }

func isEntryConnection(name string) bool { return isInnerConnection(name) || isOuterConnection(name) }

// applyToRelays returns a function that applies the action to each relay with a matching name.
func applyToRelays(matches func(string) bool, action func(*relay.Relay)) func(*testCell) {
	return func(w *testCell) {
		for name, r := range w.relays {
			if matches(name) {
				action(r)
			}
		}
	}
}

// setRelayFate returns a function that sets the fate of data in the given directions on
// each relay with a matching name.
func setRelayFate(matches func(string) bool, fate relay.Mode, directions ...relay.Direction) func(*testCell) {
	return applyToRelays(matches, func(r *relay.Relay) {
		for _, direction := range directions {
			r.SetMode(direction, fate)
		}
	})
}

// setRequestDuplication turns the duplication of requests on or off. It closes the open
// connections, since the setting applies only to new ones.
func setRequestDuplication(enabled bool) func(*relay.Relay) {
	return func(r *relay.Relay) {
		r.SetDuplicate(enabled)
		r.CloseConnections()
	}
}

// restartEntry starts the first entry if its last run has ended.
func restartEntry(w *testCell) {
	select {
	case <-w.currentEntry("e1").entry.Done():
		w.startEntry("e1")
	default:
	}
}

// killLeader terminates the leader. The other replica is elected one second later.
func killLeader(w *testCell) {
	w.terminate("c1")
	time.AfterFunc(time.Second, func() { w.setLeader("c2") })
}

// pauseLeader pauses the leader. The other replica is elected one second later.
func pauseLeader(w *testCell) {
	w.replicas["c1"].gate.close()
	time.AfterFunc(time.Second, func() { w.setLeader("c2") })
}

// openSlowReaders opens 20 connections that request a long answer and never read it.
func openSlowReaders(w *testCell) {
	for range 20 {
		if conn := w.openSlowReader(); conn != nil {
			w.wg.Go(func() {
				<-w.ctx.Done()
				_ = conn.Close()
			})
		}
	}
}

// openSlowReader requests a long answer on a connection that does not pass through a
// relay, because a relay would read the answer.
func (w *testCell) openSlowReader() net.Conn {
	conn, err := w.network.Dial(w.ctx, "memory", "e1-callers")
	if err != nil {
		return nil
	}
	body := `{"id":"big","patience":"5000"}`
	_, _ = conn.Write([]byte("POST /gypsumreel.v1.Caller/Wait HTTP/1.1\r\nHost: e1\r\nContent-Type: application/json\r\n" +
		"Authorization: Bearer " + w.teamKey + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body))
	return conn
}

// submitBurst submits more jobs at once than the first entry may hold as pending
// requests. Each id is sent only once, so the entry may refuse a job as not run. A
// refused job must never run.
func (w *testCell) submitBurst() {
	c := w.newClient(w.teamKey)
	defer c.closeIdle()
	for i := range 40 {
		id := "burst-" + string(rune('A'+i))
		w.wg.Go(func() {
			req := connect.NewRequest(&v1.SubmitRequest{Jobs: []*v1.Spec{newSpec(id, false, []byte(id))}, First: true})
			req.Header().Set("Authorization", "Bearer "+w.teamKey)
			reply, err := c.callerClients[0].Submit(w.ctx, req)
			if err != nil {
				return
			}
			if accepted := reply.Msg.GetJobs()[0]; accepted.GetOutcome() == v1.Outcome_OUTCOME_NOT_RUN {
				w.observe("refused", accepted.GetId())
			}
		})
	}
}

// observe stores an observation for the checks at the end of a scenario.
func (w *testCell) observe(kind, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observations[kind] = append(w.observations[kind], id)
}

// observed returns the stored observations of one kind.
func (w *testCell) observed(kind string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.observations[kind])
}

// refusedButAccepted returns a violation for each job that was refused as not run
// although it is in the ledger.
func (w *testCell) refusedButAccepted() []string {
	var violations []string
	for _, id := range w.observed("refused") {
		if _, ok := w.ledger.jobsByID["quarry/"+id]; ok {
			violations = append(violations, id+" was refused as not run and accepted")
		}
	}
	return violations
}

// acceptedAfterWithdrawal reports whether a reply received at the given time shows
// that a key still worked more than maxEnforcementDelay after its withdrawal.
func (w *testCell) acceptedAfterWithdrawal(status *v1.Status, receivedAt time.Time) bool {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	withdrawnAt, ok := w.ledger.withdrawnAt["extra"]
	return ok && receivedAt.Sub(withdrawnAt) > maxEnforcementDelay && status.GetCode() == uint32(code.OK)
}
