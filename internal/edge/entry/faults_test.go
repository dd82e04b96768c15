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

// fault is one thing that happens to the world: it comes at a step and is over after a while.
type fault struct {
	name string
	// lasts is how long it stays.
	lasts  time.Duration
	inject func(w *world)
	heal   func(w *world)
}

const silence = 10 * time.Second

var bothWays = []relay.Direction{relay.Upstream, relay.Downstream}

// faults lists every fault of the matrix. "inner" is between the first entry
// and the control group, "outer" between it and those that dial it.
func faults() []fault {
	out := []fault{
		{"entry killed", 2 * time.Second, func(w *world) { w.process("e1").kill() }, restartEntry},
		{"leader killed", 3 * time.Second, killLeader, func(w *world) { w.startReplica("c1") }},
		{"server killed", 2 * time.Second, func(w *world) { w.end("s1") }, func(w *world) { w.startServer("s1") }},
		{"entry paused 30 s", 30 * time.Second, set(anyOf, relay.Hold, bothWays...), set(anyOf, relay.Pass, bothWays...)},
		{"leader paused 30 s", 30 * time.Second, pauseLeader, func(w *world) { w.replicas["c1"].gate.open() }},
		{"server paused 30 s", 30 * time.Second, func(w *world) { w.backend("s1").Pause() }, func(w *world) { w.backend("s1").Resume() }},
	}
	for _, side := range []struct {
		name  string
		links func(name string) bool
	}{{"inner", innerLink}, {"outer", outerLink}} {
		out = append(
			out,
			fault{"silent up, " + side.name, silence, set(side.links, relay.Drop, relay.Upstream), set(side.links, relay.Pass, relay.Upstream)},
			fault{"silent down, " + side.name, silence, set(side.links, relay.Drop, relay.Downstream), set(side.links, relay.Pass, relay.Downstream)},
			fault{"silent both ways, " + side.name, silence, set(side.links, relay.Drop, bothWays...), set(side.links, relay.Pass, bothWays...)},
			fault{"forgotten, " + side.name, 0, each(side.links, func(r *relay.Relay) { r.BlackholeOpen(bothWays...) }), nil},
			fault{"answer lost, " + side.name, 100 * time.Millisecond, set(side.links, relay.Drop, relay.Downstream), set(side.links, relay.Pass, relay.Downstream)},
			fault{"answer late, " + side.name, 3 * time.Second, set(side.links, relay.Hold, relay.Downstream), set(side.links, relay.Pass, relay.Downstream)},
			fault{"doubled, " + side.name, silence, each(side.links, double(true)), each(side.links, double(false))},
			fault{"cut, " + side.name, 0, each(side.links, (*relay.Relay).CloseConnections), nil},
		)
	}
	return append(
		out,
		fault{"slow readers", silence, slowReaders, nil},
		fault{"full queue", 0, func(w *world) { w.wg.Go(w.burst) }, nil},
	)
}

func innerLink(name string) bool { return strings.HasPrefix(name, "e1>") }

func outerLink(name string) bool { return strings.Contains(name, ">e1-") }

func anyOf(name string) bool { return innerLink(name) || outerLink(name) }

func each(links func(string) bool, do func(*relay.Relay)) func(*world) {
	return func(w *world) {
		for name, r := range w.relays {
			if links(name) {
				do(r)
			}
		}
	}
}

func set(links func(string) bool, f relay.Mode, ways ...relay.Direction) func(*world) {
	return each(links, func(r *relay.Relay) {
		for _, way := range ways {
			r.SetMode(way, f)
		}
	})
}

// double doubles what new connections send up, and makes all connections new.
func double(on bool) func(*relay.Relay) {
	return func(r *relay.Relay) {
		r.SetDuplicate(on)
		r.CloseConnections()
	}
}

// restartEntry starts the first entry again unless its planned stop did so already.
func restartEntry(w *world) {
	select {
	case <-w.process("e1").entry.Done():
		w.startEntry("e1")
	default:
	}
}

// killLeader ends the leading replica; the other is elected a second later.
func killLeader(w *world) {
	w.end("c1")
	time.AfterFunc(time.Second, func() { w.lead("c2") })
}

// pauseLeader freezes the leading replica; the other is elected a second later.
func pauseLeader(w *world) {
	w.replicas["c1"].gate.close()
	time.AfterFunc(time.Second, func() { w.lead("c2") })
}

// slowReaders opens connections that ask for much and read nothing.
func slowReaders(w *world) {
	for range 20 {
		if conn := w.slowReader(); conn != nil {
			w.wg.Go(func() {
				<-w.ctx.Done()
				_ = conn.Close()
			})
		}
	}
}

// slowReader asks for a long answer, past any relay that would read it instead.
func (w *world) slowReader() net.Conn {
	conn, err := w.memory.Dial(w.ctx, "memory", "e1-callers")
	if err != nil {
		return nil
	}
	body := `{"id":"big","patience":"5000"}`
	_, _ = conn.Write([]byte("POST /gypsumreel.v1.Caller/Wait HTTP/1.1\r\nHost: e1\r\nContent-Type: application/json\r\n" +
		"Authorization: Bearer " + w.team + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body))
	return conn
}

// burst submits more at once than the first entry may hold. Each id is sent
// once only, so the entry may say not run, and then it must be true for good.
func (w *world) burst() {
	c := w.client(w.team)
	defer c.reset()
	for i := range 40 {
		id := "burst-" + string(rune('A'+i))
		w.wg.Go(func() {
			req := connect.NewRequest(&v1.SubmitRequest{Jobs: []*v1.Spec{spec(id, false, []byte(id))}, First: true})
			req.Header().Set("Authorization", "Bearer "+w.team)
			reply, err := c.callers[0].Submit(w.ctx, req)
			if err != nil {
				return
			}
			if a := reply.Msg.GetJobs()[0]; a.GetOutcome() == v1.Outcome_OUTCOME_NOT_RUN {
				w.note("refused", a.GetId())
			}
		})
	}
}

// note keeps what was observed for the checks at the end.
func (w *world) note(what, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes[what] = append(w.notes[what], id)
}

func (w *world) noted(what string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.notes[what])
}

// refusedButRan returns the jobs that were refused as not run and are in the ledger.
func (w *world) refusedButRan() []string {
	var out []string
	for _, id := range w.noted("refused") {
		if _, ok := w.cell.jobs["quarry/"+id]; ok {
			out = append(out, id+" was refused as not run and accepted")
		}
	}
	return out
}

// keyFault tells whether an answer that came at the time given used a key that was withdrawn before.
func (w *world) keyFault(status *v1.Status, at time.Time) bool {
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	ended, ok := w.cell.withdrawn["extra"]
	return ok && at.Sub(ended) > inForce && status.GetCode() == uint32(code.OK)
}
