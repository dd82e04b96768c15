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

// applyChange applies an operator's change exactly once. The result is stored under the
// change id. A resend after a lost answer gets the same result, also after snapshots
// and failovers, and does not take effect a second time.
func (s *State) applyChange(c *record.Change) Result {
	req := c.GetRequest()
	requestHash := hashMessage(req)
	if a, ok := s.changeResults[req.GetId()]; ok {
		if a.RequestHash != requestHash {
			return refused(code.IDReused, req.GetId())
		}
		return Result{Code: a.Code, Detail: a.Detail, Revision: a.Revision}
	}
	r := s.performChange(req)
	r.Revision = s.table.Revision()
	s.putChangeResult(req.GetId(), ChangeResult{RequestHash: requestHash, Code: r.Code, Detail: r.Detail, Revision: r.Revision, AppliedAt: s.now})
	return r
}

func (s *State) performChange(req *v1.ChangeRequest) Result {
	switch c := req.GetChange().(type) {
	case *v1.ChangeRequest_Table:
		return s.editTable(c.Table)
	case *v1.ChangeRequest_Grant:
		return s.grantKey(c.Grant)
	case *v1.ChangeRequest_Withdraw:
		return s.withdrawKey(c.Withdraw)
	case *v1.ChangeRequest_Mark:
		return s.setServerDrain(c.Mark)
	case *v1.ChangeRequest_Zone:
		return s.setZoneDrain(&record.ZoneMark{Zone: c.Zone.GetZone(), Drain: c.Zone.GetDrain()})
	}
	return refused(code.Malformed, "no change named")
}

// editTable creates the next revision of the table. If two changes have the same base
// revision, the second is refused with a conflict, because it would silently undo the
// first.
func (s *State) editTable(c *v1.TableChange) Result {
	if c.GetBase() != s.table.Revision() {
		return refused(code.RevisionConflict, fmt.Sprintf("base %d, current %d", c.GetBase(), s.table.Revision()))
	}
	set, removed, r := s.resolveEdits(c)
	if r.Code != code.OK {
		return r
	}
	next := s.table.Update(set, removed)
	for _, name := range removed {
		if s.teamInUse(name) {
			return refused(code.InUse, name)
		}
	}
	s.putTable(next, set, removed)
	s.observer().TableChanged(next)
	return Result{}
}

func (s *State) resolveEdits(c *v1.TableChange) (set []team.Row, removed []string, r Result) {
	editedTeams := map[string]bool{}
	for _, e := range c.GetEdits() {
		name := e.GetRow().GetTeam()
		if name == "" || editedTeams[name] {
			return nil, nil, refused(code.Malformed, "a row without a team, or twice the same")
		}
		editedTeams[name] = true
		if e.GetRemove() {
			removed = append(removed, name)
			continue
		}
		row, err := editRow(s.table, e)
		if err != nil {
			return nil, nil, refused(err.Code, err.Detail)
		}
		set = append(set, row)
	}
	if !c.GetReplace() {
		return set, removed, Result{}
	}
	for _, row := range s.table.Rows() {
		if !editedTeams[row.Name] {
			removed = append(removed, row.Name)
		}
	}
	return set, removed, Result{}
}

// Limits on the cells of a row.
const (
	// MaxWeight is the largest weight of a team.
	MaxWeight = 1_000_000
	// MaxShare is the largest share of a team, the whole cell, in thousandths.
	MaxShare = 1_000
)

// editRow returns the row that an edit produces from the team's current row, or from a
// new row if the team has none.
func editRow(t table.Table, e *v1.Edit) (team.Row, *code.Error) {
	m := e.GetRow()
	row, ok := t.Row(m.GetTeam())
	if !ok {
		row = team.New(m.GetTeam())
	}
	cells := e.GetCells()
	if len(cells) == 0 {
		cells = []string{"weight", "share", "cpu", "memory", "accel", "slots", "queue"}
	}
	limit, newLimit := row.Limit, command.SizeFromMessage(m.GetLimit())
	for _, cell := range cells {
		switch cell {
		case "weight":
			row = row.WithWeight(m.GetWeight())
		case "share":
			row = row.WithGuaranteedShare(m.GetShare())
		case "queue":
			row = row.WithMaxWaitingJobs(m.GetQueue())
		case "cpu":
			limit.CPU = newLimit.CPU
		case "memory":
			limit.Memory = newLimit.Memory
		case "accel":
			limit.Accel = newLimit.Accel
		case "slots":
			limit.Slots = newLimit.Slots
		default:
			return row, code.New(code.Malformed, "no such cell: %s", cell)
		}
	}
	return checkRow(row.WithLimit(limit))
}

func checkRow(r team.Row) (team.Row, *code.Error) {
	switch l := r.Limit; {
	case r.Weight < 1 || r.Weight > MaxWeight:
		return r, code.New(code.Malformed, "%s: weight is 1 to %d", r.Name, MaxWeight)
	case r.GuaranteedShare > MaxShare:
		return r, code.New(code.Malformed, "%s: share is 0 to %d thousandths", r.Name, MaxShare)
	case min(l.CPU, l.Memory, l.Accel, l.Slots) < -1:
		return r, code.New(code.Malformed, "%s: a limit is -1 (none) or more", r.Name)
	}
	return r, nil
}

// teamInUse reports whether a team has unfinished jobs or a valid key.
func (s *State) teamInUse(name string) bool {
	if u := s.usageByTeam[name]; u != nil && u.activeJobs > 0 {
		return true
	}
	for _, k := range s.keys {
		if k.Team == name && !k.Withdrawn {
			return true
		}
	}
	return false
}

func (s *State) grantKey(g *v1.KeyGrant) Result {
	if _, ok := s.keys[g.GetId()]; ok {
		// A key id is never reused. Otherwise a withdrawn key could become valid again.
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

func (s *State) withdrawKey(w *v1.KeyWithdraw) Result {
	k, ok := s.keys[w.GetId()]
	if !ok {
		return refused(code.NotFound, "key "+w.GetId())
	}
	if k.Operator && !k.Withdrawn && s.activeOperatorKeys() == 1 {
		return refused(code.InUse, "the last operator's key")
	}
	s.putKey(k.WithWithdrawn())
	return Result{}
}

func (s *State) activeOperatorKeys() int {
	n := 0
	for _, k := range s.keys {
		if k.Operator && !k.Withdrawn {
			n++
		}
	}
	return n
}

func (s *State) setServerDrain(m *v1.ServerMark) Result {
	b, ok := s.servers[m.GetServer()]
	if !ok {
		return refused(code.NotFound, "backend server "+m.GetServer())
	}
	b.DrainRequested = m.GetDrain()
	s.putServer(b)
	s.observer().ServerChanged(s.withZoneDrain(b))
	return Result{}
}

// ChangeResult returns the stored result of the operator's change with the given id.
func (s *State) ChangeResult(id string) (ChangeResult, bool) {
	a, ok := s.changeResults[id]
	return a, ok
}

// Keys returns all keys sorted by id.
func (s *State) Keys() []key.Key {
	var out []key.Key
	for _, id := range sortedKeys(s.keys) {
		out = append(out, s.keys[id])
	}
	return out
}

// EachServer calls fn for every backend server, in no particular order.
func (s *State) EachServer(fn func(Server)) {
	for _, b := range s.servers {
		fn(s.withZoneDrain(b))
	}
}

// EachJob calls fn for every job, in no particular order.
func (s *State) EachJob(fn func(*Job)) {
	for _, j := range s.jobs {
		fn(j)
	}
}

// Servers returns all backend servers sorted by id.
func (s *State) Servers() []Server {
	var out []Server
	for _, id := range sortedKeys(s.servers) {
		out = append(out, s.withZoneDrain(s.servers[id]))
	}
	return out
}

// Jobs returns the jobs of a team, or of all teams if teamName is empty, in the order
// of their acceptance.
func (s *State) Jobs(teamName string) []*Job {
	from := s.jobs
	if teamName != "" {
		usage := s.usageByTeam[teamName]
		if usage == nil {
			return nil
		}
		from = usage.jobs
	}
	out := make([]*Job, 0, len(from))
	for _, j := range from {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return int(int64(a.Number) - int64(b.Number)) })
	return out
}
