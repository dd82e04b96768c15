package leader

import (
	"slices"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/state"
)

// applyChange applies an operator's change and replies with the result once the
// change is committed.
func (l *Leader) applyChange(target ReplyTarget, k key.Key, req *v1.ChangeRequest) {
	if req.GetId() == "" {
		l.refuse(target, code.New(code.Malformed, "the change has no id"))
		return
	}
	if c := req.GetMember(); c != nil {
		l.handleMemberChange(target, c)
		return
	}
	if c := req.GetZone(); c != nil && !l.HasZone(c.GetZone()) {
		l.refuse(target, code.New(code.NotFound, "zone %q", c.GetZone()))
		return
	}
	oldRows := l.ledger.Table().Rows()
	_, isResend := l.ledger.ChangeResult(req.GetId())
	r := l.applyAndQueue(&record.Command{What: &record.Command_Change{Change: &record.Change{By: k.ID, Request: req}}})
	l.leadership.planNeeded = true
	if !isResend {
		l.logChange(k.ID, req, r, oldRows)
	}
	reply := &v1.ChangeReply{Status: statusOf(&code.Error{Code: r.Code, Detail: r.Detail}), Revision: l.ledger.Table().Revision()}
	if r.Revision > 0 {
		reply.Revision = r.Revision
	}
	l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Change{Change: reply}})
}

// handleShow answers an operator's read once the leadership is confirmed.
func (l *Leader) handleShow(target ReplyTarget, req *v1.ShowRequest) {
	l.runWhenConfirmed(target, func() {
		l.replyWhenCommitted(target, &inner.Reply{Answer: &inner.Reply_Show{Show: l.showReply(req)}})
	})
}

func (l *Leader) showReply(req *v1.ShowRequest) *v1.ShowReply {
	reply := &v1.ShowReply{Status: &v1.Status{}, Revision: l.ledger.Table().Revision()}
	switch req.GetPart() {
	case v1.Part_PART_TABLE:
		for _, r := range l.ledger.Table().Rows() {
			reply.Rows = append(reply.Rows, command.RowMessage(r))
			reply.Held = append(reply.Held, command.SizeMessage(l.ledger.TeamHeldCapacity(r.Name)))
		}
	case v1.Part_PART_KEYS:
		for _, k := range l.ledger.Keys() {
			reply.Keys = append(reply.Keys, &v1.KeyLine{Id: k.ID, Team: k.Team, Operator: k.Operator, Withdrawn: k.Withdrawn})
		}
	case v1.Part_PART_SERVERS:
		reply.Servers = l.serverLines(req.GetAfter(), req.GetLimit())
	case v1.Part_PART_MEMBERS:
		reply.Members = l.memberLines()
	case v1.Part_PART_JOBS:
		jobs, err := l.listJobs("", req.GetAfter(), req.GetLimit())
		reply.Jobs, reply.Status = jobs, statusOf(err)
	case v1.Part_PART_ZONES:
		reply.Zones = l.zoneLines()
	default:
		reply.Status = statusOf(code.New(code.Malformed, "unknown part %d", req.GetPart()))
	}
	return reply
}

func (l *Leader) serverLines(after string, limit uint32) []*v1.ServerLine {
	if limit == 0 {
		limit = maxPageSize
	}
	var out []*v1.ServerLine
	for _, b := range l.ledger.Servers() {
		if b.ID <= after || uint32(len(out)) >= limit {
			continue
		}
		out = append(out, &v1.ServerLine{
			Server: b.ID, Incarnation: b.Incarnation, State: displayedState(b), Rack: b.Rack, Zone: b.Zone,
			Capacity: command.SizeMessage(b.Capacity), Held: command.SizeMessage(b.HeldCapacity), Tasks: uint32(l.ledger.PlacedTaskCount(b.ID)),
		})
	}
	return out
}

// HasZone reports whether there is an availability zone of that name.
func (l *Leader) HasZone(name string) bool {
	if len(l.Zones) > 0 {
		return slices.Contains(l.Zones, name)
	}
	return slices.ContainsFunc(l.ledger.Zones(), func(z state.Zone) bool { return z.Name == name })
}

func (l *Leader) zoneLines() (out []*v1.ZoneLine) {
	for _, z := range l.ledger.Zones() {
		line := &v1.ZoneLine{Zone: z.Name, Drained: z.Drained, Servers: uint32(z.Servers), Tasks: uint32(z.Tasks)}
		if z.Drained {
			line.Since = uint64(max(l.ledgerTime()-z.Since, 0) / time.Millisecond)
		}
		out = append(out, line)
	}
	return out
}

// memberLines lists the control replicas and the entries. A replica's line has the
// table revision only if the replica has stored that revision on disk.
func (l *Leader) memberLines() []*v1.MemberLine {
	var out []*v1.MemberLine
	var matches map[string]uint64
	if l.MatchIndexes != nil {
		matches = l.MatchIndexes()
	}
	for _, m := range l.membership.Members {
		line := &v1.MemberLine{Name: m.ID, Role: "control", Address: m.Address, State: "voter", Leader: m.ID == l.membership.Self}
		if m.Learner {
			line.State = "learner"
		}
		if line.Leader || matches[m.ID] >= l.leadership.tableIndex {
			line.Revision = l.ledger.Table().Revision()
		}
		out = append(out, line)
	}
	if l.EntryMembers != nil {
		out = append(out, l.EntryMembers()...)
	}
	return out
}
