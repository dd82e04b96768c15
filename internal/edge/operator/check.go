package operator

import (
	"crypto/sha256"
	"fmt"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/caller"
)

// MaxTableEdits bounds the rows that one change touches.
const MaxTableEdits = 2000

// maxShare is the whole cell in thousandths.
const maxShare = 1000

// checkChange returns a *code.Error when the change breaks a stated bound.
func checkChange(m *v1.ChangeRequest) error {
	if err := caller.CheckName("change id", m.GetId()); err != nil {
		return err
	}
	switch c := m.GetChange().(type) {
	case *v1.ChangeRequest_Table:
		return checkTable(c.Table)
	case *v1.ChangeRequest_Grant:
		return checkGrant(c.Grant)
	case *v1.ChangeRequest_Withdraw:
		return caller.CheckName("key id", c.Withdraw.GetId())
	case *v1.ChangeRequest_Mark:
		return caller.CheckName("server's name", c.Mark.GetServer())
	case *v1.ChangeRequest_Member:
		return caller.CheckName("replica", c.Member.GetReplica())
	case *v1.ChangeRequest_Zone:
		return caller.CheckName("zone", c.Zone.GetZone())
	}
	return code.New(code.Malformed, "the change says nothing")
}

func checkTable(t *v1.TableChange) error {
	if len(t.GetEdits()) > MaxTableEdits {
		return code.New(code.TooLarge, "up to %d edits", MaxTableEdits)
	}
	for _, e := range t.GetEdits() {
		if err := checkEdit(e); err != nil {
			return err
		}
	}
	return nil
}

func checkEdit(e *v1.Edit) error {
	row := e.GetRow()
	if err := caller.CheckName("team", row.GetTeam()); err != nil {
		return err
	}
	for _, name := range e.GetCells() {
		switch name {
		case "weight", "share", "cpu", "memory", "accel", "slots", "queue":
		default:
			return code.New(code.Malformed, "team %q has no cell %q", row.GetTeam(), name)
		}
	}
	if row.GetShare() > maxShare {
		return code.New(code.Malformed, "team %q: the share is at most %d thousandths", row.GetTeam(), maxShare)
	}
	l := row.GetLimit()
	for _, n := range []int64{l.GetCpu(), l.GetMemory(), l.GetAccel(), l.GetSlots()} {
		if n < -1 {
			return code.New(code.Malformed, "team %q: a limit is -1 or more", row.GetTeam())
		}
	}
	return nil
}

func checkGrant(g *v1.KeyGrant) error {
	if err := caller.CheckName("key id", g.GetId()); err != nil {
		return err
	}
	switch {
	case len(g.GetDigest()) != sha256.Size:
		return code.New(code.Malformed, "the digest has %d bytes", sha256.Size)
	case g.GetOperator() != (g.GetTeam() == ""):
		return code.New(code.Malformed, "a key is either a team's or an operator's")
	}
	if g.GetTeam() == "" {
		return nil
	}
	return caller.CheckName("team", g.GetTeam())
}

func checkShow(m *v1.ShowRequest) error {
	if m.GetPart() < v1.Part_PART_TABLE || m.GetPart() > v1.Part_PART_ZONES {
		return code.New(code.Malformed, "part %d", m.GetPart())
	}
	return nil
}

// describe names a change and what it is about, for the audit.
func describe(m *v1.ChangeRequest) (call, subject string) {
	switch c := m.GetChange().(type) {
	case *v1.ChangeRequest_Table:
		return "table", fmt.Sprintf("base %d, %d rows", c.Table.GetBase(), len(c.Table.GetEdits()))
	case *v1.ChangeRequest_Grant:
		return "grant", c.Grant.GetId()
	case *v1.ChangeRequest_Withdraw:
		return "withdraw", c.Withdraw.GetId()
	case *v1.ChangeRequest_Mark:
		return "mark", c.Mark.GetServer()
	case *v1.ChangeRequest_Member:
		return "member", c.Member.GetReplica()
	case *v1.ChangeRequest_Zone:
		return "zone", c.Zone.GetZone()
	}
	return "none", ""
}
