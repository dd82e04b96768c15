package operator

import (
	"crypto/sha256"
	"fmt"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/edge/caller"
)

// MaxTableEdits bounds the rows that one table change edits.
const MaxTableEdits = 2000

// maxShare is the largest guaranteed share, the whole cell, in thousandths.
const maxShare = 1000

// checkChange returns a *code.Error if the change is malformed or exceeds a limit.
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
		return caller.CheckName("server name", c.Mark.GetServer())
	case *v1.ChangeRequest_Member:
		return caller.CheckName("replica name", c.Member.GetReplica())
	case *v1.ChangeRequest_Zone:
		return caller.CheckName("availability zone", c.Zone.GetZone())
	}
	return code.New(code.Malformed, "the request contains no change")
}

func checkTable(t *v1.TableChange) error {
	if len(t.GetEdits()) > MaxTableEdits {
		return code.New(code.TooLarge, "the change has %d edits, at most %d are allowed", len(t.GetEdits()), MaxTableEdits)
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
	for _, cell := range e.GetCells() {
		switch cell {
		case "weight", "share", "cpu", "memory", "accel", "slots", "queue":
		default:
			return code.New(code.Malformed, "team %q has no cell %q", row.GetTeam(), cell)
		}
	}
	if row.GetShare() > maxShare {
		return code.New(code.Malformed, "team %q: the share is %d thousandths, at most %d are allowed", row.GetTeam(), row.GetShare(), maxShare)
	}
	limit := row.GetLimit()
	for _, n := range []int64{limit.GetCpu(), limit.GetMemory(), limit.GetAccel(), limit.GetSlots()} {
		if n < -1 {
			return code.New(code.Malformed, "team %q: the limit %d is below -1, which means unlimited", row.GetTeam(), n)
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
		return code.New(code.Malformed, "the digest has %d bytes, it must have %d", len(g.GetDigest()), sha256.Size)
	case g.GetOperator() != (g.GetTeam() == ""):
		return code.New(code.Malformed, "a key must belong either to a team or to an operator")
	}
	if g.GetTeam() == "" {
		return nil
	}
	return caller.CheckName("team", g.GetTeam())
}

func checkShow(m *v1.ShowRequest) error {
	if m.GetPart() < v1.Part_PART_TABLE || m.GetPart() > v1.Part_PART_ZONES {
		return code.New(code.Malformed, "unknown part %d", m.GetPart())
	}
	return nil
}

// describeChange returns the call and the subject of a change for the audit record.
func describeChange(m *v1.ChangeRequest) (call, subject string) {
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
