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

// change commits an operator's change and answers with what it came to.
func (l *Leader) change(to ReplyTarget, k key.Key, req *v1.ChangeRequest) {
	if req.GetId() == "" {
		l.refuse(to, code.New(code.Malformed, "a change needs an id"))
		return
	}
	if c := req.GetMember(); c != nil {
		l.member(to, c)
		return
	}
	if c := req.GetZone(); c != nil && !l.HasZone(c.GetZone()) {
		l.refuse(to, code.New(code.NotFound, "zone %q", c.GetZone()))
		return
	}
	before := l.st.Table().Rows()
	_, resent := l.st.ChangeResult(req.GetId())
	r := l.do(&record.Command{What: &record.Command_Change{Change: &record.Change{By: k.ID, Request: req}}})
	l.lead.dirty = true
	if !resent {
		l.changed(k.ID, req, r, before)
	}
	rep := &v1.ChangeReply{Status: status(&code.Error{Code: r.Code, Detail: r.Detail}), Revision: l.st.Table().Revision()}
	if r.Revision > 0 {
		rep.Revision = r.Revision
	}
	l.reply(to, &inner.Reply{Answer: &inner.Reply_Change{Change: rep}})
}

// show answers a read once it is proved current.
func (l *Leader) show(to ReplyTarget, req *v1.ShowRequest) {
	l.read(to, func() {
		l.reply(to, &inner.Reply{Answer: &inner.Reply_Show{Show: l.shown(req)}})
	})
}

func (l *Leader) shown(req *v1.ShowRequest) *v1.ShowReply {
	rep := &v1.ShowReply{Status: &v1.Status{}, Revision: l.st.Table().Revision()}
	switch req.GetPart() {
	case v1.Part_PART_TABLE:
		for _, r := range l.st.Table().Rows() {
			rep.Rows = append(rep.Rows, command.RowMessage(r))
			rep.Held = append(rep.Held, command.SizeMessage(l.st.TeamHeldCapacity(r.Name)))
		}
	case v1.Part_PART_KEYS:
		for _, k := range l.st.Keys() {
			rep.Keys = append(rep.Keys, &v1.KeyLine{Id: k.ID, Team: k.Team, Operator: k.Operator, Withdrawn: k.Withdrawn})
		}
	case v1.Part_PART_SERVERS:
		rep.Servers = l.serverLines(req.GetAfter(), req.GetLimit())
	case v1.Part_PART_MEMBERS:
		rep.Members = l.memberLines()
	case v1.Part_PART_JOBS:
		jobs, err := l.page("", req.GetAfter(), req.GetLimit())
		rep.Jobs, rep.Status = jobs, status(err)
	case v1.Part_PART_ZONES:
		rep.Zones = l.zoneLines()
	default:
		rep.Status = status(code.New(code.Malformed, "no such part"))
	}
	return rep
}

func (l *Leader) serverLines(after string, limit uint32) []*v1.ServerLine {
	if limit == 0 {
		limit = maxLines
	}
	var out []*v1.ServerLine
	for _, b := range l.st.Servers() {
		if b.ID <= after || uint32(len(out)) >= limit {
			continue
		}
		out = append(out, &v1.ServerLine{
			Server: b.ID, Incarnation: b.Incarnation, State: shownState(b), Rack: b.Rack, Zone: b.Zone,
			Capacity: command.SizeMessage(b.Capacity), Held: command.SizeMessage(b.HeldCapacity), Tasks: uint32(l.st.PlacedTaskCount(b.ID)),
		})
	}
	return out
}

// HasZone tells whether there is an availability zone of that name.
func (l *Leader) HasZone(name string) bool {
	if len(l.Zones) > 0 {
		return slices.Contains(l.Zones, name)
	}
	return slices.ContainsFunc(l.st.Zones(), func(z state.Zone) bool { return z.Name == name })
}

func (l *Leader) zoneLines() (out []*v1.ZoneLine) {
	for _, z := range l.st.Zones() {
		line := &v1.ZoneLine{Zone: z.Name, Drained: z.Drained, Servers: uint32(z.Servers), Tasks: uint32(z.Tasks)}
		if z.Drained {
			line.Since = uint64(max(l.clock()-z.Since, 0) / time.Millisecond)
		}
		out = append(out, line)
	}
	return out
}

// memberLines lists control replicas and entries. A replica has confirmed the
// table's revision once it has it on its disk; until then none is told.
func (l *Leader) memberLines() []*v1.MemberLine {
	var out []*v1.MemberLine
	var matches map[string]uint64
	if l.MatchIndexes != nil {
		matches = l.MatchIndexes()
	}
	for _, m := range l.members.Members {
		line := &v1.MemberLine{Name: m.ID, Role: "control", Address: m.Address, State: "voter", Leader: m.ID == l.members.Self}
		if m.Learner {
			line.State = "learner"
		}
		if line.Leader || matches[m.ID] >= l.lead.tabled {
			line.Revision = l.st.Table().Revision()
		}
		out = append(out, line)
	}
	if l.EntryMembers != nil {
		out = append(out, l.EntryMembers()...)
	}
	return out
}
