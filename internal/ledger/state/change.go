package state

import (
	"fmt"
	"slices"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/ledger/command"
)

// change makes an operator's change once. The answer is kept under the change
// id: a resend after a lost answer is told the same, also after snapshots and
// failovers, and never takes effect a second time.
func (s *State) change(c *record.Change) Result {
	req := c.GetRequest()
	sum := sumOf(req)
	if a, ok := s.answers[req.GetId()]; ok {
		if a.RequestHash != sum {
			return refused(code.IDReused, req.GetId())
		}
		return Result{Code: a.Code, Detail: a.Detail, Revision: a.Revision}
	}
	r := s.perform(req)
	r.Revision = s.table.Revision()
	s.putAnswer(req.GetId(), ChangeResult{RequestHash: sum, Code: r.Code, Detail: r.Detail, Revision: r.Revision, AppliedAt: s.at})
	return r
}

func (s *State) perform(req *v1.ChangeRequest) Result {
	switch c := req.GetChange().(type) {
	case *v1.ChangeRequest_Table:
		return s.edit(c.Table)
	case *v1.ChangeRequest_Grant:
		return s.grant(c.Grant)
	case *v1.ChangeRequest_Withdraw:
		return s.withdraw(c.Withdraw)
	case *v1.ChangeRequest_Mark:
		return s.drain(c.Mark)
	case *v1.ChangeRequest_Zone:
		return s.zone(&record.ZoneMark{Zone: c.Zone.GetZone(), Drain: c.Zone.GetDrain()})
	}
	return refused(code.Malformed, "no change named")
}

// edit makes the next revision of the table. Of two changes from the same base
// the first wins and the second is told: otherwise the second would silently
// undo the first.
func (s *State) edit(c *v1.TableChange) Result {
	if c.GetBase() != s.table.Revision() {
		return refused(code.RevisionConflict, fmt.Sprintf("base %d, current %d", c.GetBase(), s.table.Revision()))
	}
	set, removed, r := s.edits(c)
	if r.Code != code.OK {
		return r
	}
	next := s.table.With(set, removed)
	for _, name := range removed {
		if s.inUse(name) {
			return refused(code.InUse, name)
		}
	}
	s.putTable(next, set, removed)
	s.watch().TableChanged(next)
	return Result{}
}

func (s *State) edits(c *v1.TableChange) (set []team.Row, removed []string, r Result) {
	named := map[string]bool{}
	for _, e := range c.GetEdits() {
		name := e.GetRow().GetTeam()
		if name == "" || named[name] {
			return nil, nil, refused(code.Malformed, "a row without a team, or twice the same")
		}
		named[name] = true
		if e.GetRemove() {
			removed = append(removed, name)
			continue
		}
		row, err := edited(s.table, e)
		if err != nil {
			return nil, nil, refused(err.Code, err.Detail)
		}
		set = append(set, row)
	}
	if !c.GetReplace() {
		return set, removed, Result{}
	}
	for _, row := range s.table.Rows() {
		if !named[row.Name] {
			removed = append(removed, row.Name)
		}
	}
	return set, removed, Result{}
}

// Bounds of a row's cells.
const (
	// MaxWeight is the largest weight of a team.
	MaxWeight = 1_000_000
	// MaxShare is the whole cell in thousandths.
	MaxShare = 1_000
)

// edited returns the row that an edit makes of the table's, or a new one.
func edited(t table.Table, e *v1.Edit) (team.Row, *code.Error) {
	m := e.GetRow()
	row, ok := t.Row(m.GetTeam())
	if !ok {
		row = team.New(m.GetTeam())
	}
	cells := e.GetCells()
	if len(cells) == 0 {
		cells = []string{"weight", "share", "cpu", "memory", "accel", "slots", "queue"}
	}
	limit, from := row.Limit, command.SizeFromMessage(m.GetLimit())
	for _, cell := range cells {
		switch cell {
		case "weight":
			row = row.WithWeight(m.GetWeight())
		case "share":
			row = row.WithShare(m.GetShare())
		case "queue":
			row = row.WithQueue(m.GetQueue())
		case "cpu":
			limit.CPU = from.CPU
		case "memory":
			limit.Memory = from.Memory
		case "accel":
			limit.Accel = from.Accel
		case "slots":
			limit.Slots = from.Slots
		default:
			return row, code.New(code.Malformed, "no such cell: %s", cell)
		}
	}
	return valid(row.WithLimit(limit))
}

func valid(r team.Row) (team.Row, *code.Error) {
	switch l := r.Limit; {
	case r.Weight < 1 || r.Weight > MaxWeight:
		return r, code.New(code.Malformed, "%s: weight is 1 to %d", r.Name, MaxWeight)
	case r.Share > MaxShare:
		return r, code.New(code.Malformed, "%s: share is 0 to %d thousandths", r.Name, MaxShare)
	case min(l.CPU, l.Memory, l.Accel, l.Slots) < -1:
		return r, code.New(code.Malformed, "%s: a limit is -1 (none) or more", r.Name)
	}
	return r, nil
}

// inUse tells whether a team has work or a key that works.
func (s *State) inUse(name string) bool {
	if u := s.teams[name]; u != nil && u.active > 0 {
		return true
	}
	for _, k := range s.keys {
		if k.Team == name && !k.Withdrawn {
			return true
		}
	}
	return false
}

func (s *State) grant(g *v1.KeyGrant) Result {
	if _, ok := s.keys[g.GetId()]; ok {
		// An id is never used again: a withdrawn key would come back to life.
		return refused(code.IDReused, g.GetId())
	}
	k := key.Key{ID: g.GetId(), Team: g.GetTeam(), Operator: g.GetOperator()}
	if k.ID == "" || len(g.GetDigest()) != len(k.Digest) || k.Operator == (k.Team != "") {
		return refused(code.Malformed, "a key needs an id, a digest, and a team or the operator's mark")
	}
	if _, ok := s.table.Row(k.Team); !ok && !k.Operator {
		return refused(code.NotFound, "team "+k.Team)
	}
	copy(k.Digest[:], g.GetDigest())
	s.putKey(k)
	return Result{}
}

func (s *State) withdraw(w *v1.KeyWithdraw) Result {
	k, ok := s.keys[w.GetId()]
	if !ok {
		return refused(code.NotFound, "key "+w.GetId())
	}
	if k.Operator && !k.Withdrawn && s.operators() == 1 {
		return refused(code.InUse, "the last operator's key")
	}
	s.putKey(k.WithWithdrawn())
	return Result{}
}

func (s *State) operators() int {
	n := 0
	for _, k := range s.keys {
		if k.Operator && !k.Withdrawn {
			n++
		}
	}
	return n
}

func (s *State) drain(m *v1.ServerMark) Result {
	b, ok := s.servers[m.GetServer()]
	if !ok {
		return refused(code.NotFound, "backend server "+m.GetServer())
	}
	b.DrainRequested = m.GetDrain()
	s.putServer(b)
	s.watch().ServerChanged(s.zoned(b))
	return Result{}
}

// ChangeResult returns the answer that was given to an operator's change of that id.
func (s *State) ChangeResult(id string) (ChangeResult, bool) {
	a, ok := s.answers[id]
	return a, ok
}

// Keys returns all keys in the order of their ids.
func (s *State) Keys() []key.Key {
	var out []key.Key
	for _, id := range sorted(s.keys) {
		out = append(out, s.keys[id])
	}
	return out
}

// EachServer calls fn for every backend server, in no fixed order.
func (s *State) EachServer(fn func(Server)) {
	for _, b := range s.servers {
		fn(s.zoned(b))
	}
}

// EachJob calls fn for every job, in no fixed order.
func (s *State) EachJob(fn func(*Job)) {
	for _, j := range s.jobs {
		fn(j)
	}
}

// Servers returns all backend servers in the order of their ids.
func (s *State) Servers() []Server {
	var out []Server
	for _, id := range sorted(s.servers) {
		out = append(out, s.zoned(s.servers[id]))
	}
	return out
}

// Jobs returns a team's jobs in the order of acceptance, or all when team is empty.
func (s *State) Jobs(owner string) []*Job {
	from := s.jobs
	if owner != "" {
		u := s.teams[owner]
		if u == nil {
			return nil
		}
		from = u.jobs
	}
	out := make([]*Job, 0, len(from))
	for _, j := range from {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return int(int64(a.Number) - int64(b.Number)) })
	return out
}
