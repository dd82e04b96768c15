package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/base/event"
)

// Timing of the checks of unresponsive servers.
const (
	// machinesCheckInterval is the interval between looks for servers to check.
	machinesCheckInterval = 50 * time.Millisecond
	// minMachinesPause and maxMachinesPause are the bounds of the pause between two readings of
	// the list of machines. It doubles while no further server becomes unresponsive.
	minMachinesPause = 250 * time.Millisecond
	maxMachinesPause = 4 * time.Second
	// machinesTimeout is the timeout of one reading, which may take several pages.
	machinesTimeout = 4 * time.Second
)

// MachineState is what the owner of a machine lists about it.
type MachineState struct {
	// Server is the id of the server on the machine; empty if none is listed.
	Server string
	// Stopped is true while no server runs on the machine.
	Stopped bool
}

// machineCheck is the state of the readings of the list of machines.
type machineCheck struct {
	lookedAt time.Duration
	// reading reports whether a reading is under way, requestedAt when the latest began.
	reading     bool
	requestedAt time.Duration
	pause       time.Duration
}

// checkMachines looks for proofs that unresponsive servers with runs have ended: a server that
// answered later on the same machine, or the list of machines. With such a proof their tasks need
// not wait for the end of the lease.
func (d *Dispatcher) checkMachines(now time.Duration) {
	check := &d.leader.machineCheck
	if now-check.lookedAt < machinesCheckInterval {
		return
	}
	check.lookedAt = now
	var suspects []*session
	hasNew := false
	for _, s := range d.leader.sortedSessions {
		if s.unresponsive && len(s.runs) > 0 && s.endProof == "" && s.machine != "" {
			suspects = append(suspects, s)
			hasNew = hasNew || s.unresponsiveSince >= check.requestedAt
		}
	}
	if len(suspects) == 0 {
		return
	}
	d.closeReplaced(suspects)
	if d.Machines == nil || check.reading {
		return
	}
	if hasNew {
		check.pause = minMachinesPause
	}
	if check.requestedAt == 0 || now-check.requestedAt >= check.pause {
		check.pause = min(2*check.pause, maxMachinesPause)
		d.readMachines(suspects, now)
	}
}

// closeReplaced closes the sessions of suspects on whose machine another server made a list
// after their latest answer. A machine has one server at a time, so theirs ended before that.
func (d *Dispatcher) closeReplaced(suspects []*session) {
	suspectsByMachine := make(map[string][]*session, len(suspects))
	for _, s := range suspects {
		suspectsByMachine[s.machine] = append(suspectsByMachine[s.machine], s)
	}
	var replaced []*session
	for _, s := range d.leader.sortedSessions {
		if !s.listReceived {
			continue
		}
		for _, suspect := range suspectsByMachine[s.machine] {
			if suspect != s && s.listMadeAfter > suspect.lastAnswerAt {
				replaced = append(replaced, suspect)
			}
		}
	}
	for _, s := range replaced {
		if d.leader.sessions[s.id] == s {
			d.beginClosing(s, proofMachineServesAnother)
		}
	}
}

// readMachines reads the list of machines and closes the sessions of the suspects that ended
// according to it.
func (d *Dispatcher) readMachines(suspects []*session, now time.Duration) {
	check := &d.leader.machineCheck
	check.reading, check.requestedAt = true, now
	names := make([]string, 0, len(suspects))
	for _, s := range suspects {
		names = append(names, s.machine)
	}
	term, ctx := d.leader.term, d.leader.ctx
	d.leader.callPool.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, machinesTimeout)
		defer cancel()
		states, err := d.Machines.States(ctx, names)
		d.postInTerm(term, func() {
			check.reading = false
			if err != nil {
				event.LogError(d.Log, event.MachinesUnread, err, "servers", len(suspects))
				return
			}
			d.closeListedAsEnded(suspects, states, now)
		})
	})
}

// closeListedAsEnded closes the sessions of the suspects that have ended according to a list of
// machines that was requested at requestedAt. The suspects had reported before that time, so a
// machine that the list shows without them is past them.
func (d *Dispatcher) closeListedAsEnded(suspects []*session, states map[string]MachineState, requestedAt time.Duration) {
	ended := 0
	for _, s := range suspects {
		answeredSince := s.lastAnswerAt >= requestedAt
		if d.leader.sessions[s.id] == s && s.endProof == "" && !answeredSince && states[s.machine].provesEnd(s.id) {
			ended++
			d.beginClosing(s, proofMachineListed)
		}
	}
	event.Log(d.Log, event.MachinesRead, "servers", len(suspects), "listed", len(states), "ended", ended, "took", (d.Now() - requestedAt).String())
}

// provesEnd reports whether a server that has been on the machine before has ended. The zero
// value, of a machine that is not listed, proves nothing.
func (m MachineState) provesEnd(server string) bool {
	return m.Stopped || m.Server != "" && m.Server != server
}
